package protocol

import "encoding/json"

// KeyValue is a key and its value.
type KeyValue struct {
	Key     string          `json:"k"`
	Value   json.RawMessage `json:"data"`
	Version uint64          `json:"stamp"` // revision of the last change
	Lease   uint64          `json:"permit,omitempty"`
}

// KeyValuePage is one page of a range of keys, in key order.
type KeyValuePage struct {
	Items    []KeyValue `json:"items"`
	More     bool       `json:"more"`
	Revision uint64     `json:"epoch"` // at which the page was read
}

// Precondition is a precondition of a transaction: the key has the version, or does not exist
// if the version is 0.
type Precondition struct {
	Key     string `json:"k"`
	Version uint64 `json:"stamp"`
}

// Operation is one change: either Put with Value, or Delete. The store deletes a key that was
// put with a lease when the lease ends.
type Operation struct {
	Put    string          `json:"put,omitempty"`
	Value  json.RawMessage `json:"data,omitempty"`
	Lease  uint64          `json:"permit,omitempty"`
	Delete string          `json:"remove,omitempty"`
}

// Transaction applies all operations if all preconditions hold, and none otherwise.
type Transaction struct {
	Preconditions []Precondition `json:"when"`
	Operations    []Operation    `json:"apply,omitempty"`
}

// Event is a change to a key: a put or a deletion.
type Event struct {
	Put     string          `json:"put,omitempty"`
	Delete  string          `json:"remove,omitempty"`
	Value   json.RawMessage `json:"data,omitempty"`
	Version uint64          `json:"stamp"`
}

// Changes are the events after a revision, in order.
type Changes struct {
	Revision uint64  `json:"epoch"` // up to which the events are complete
	Events   []Event `json:"events"`
}
