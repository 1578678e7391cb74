package protocol

import "encoding/json"

// KeyValue is a key with its value.
type KeyValue struct {
	Key     string          `json:"k"`
	Value   json.RawMessage `json:"data"`
	Version uint64          `json:"stamp"` // revision of the last change
	Lease   uint64          `json:"permit,omitempty"`
}

// KeyValuePage is a part of a range of keys, in their order.
type KeyValuePage struct {
	Items    []KeyValue `json:"items"`
	More     bool       `json:"more"`
	Revision uint64     `json:"epoch"` // at which the page was read
}

// Condition demands that a key has a version; 0 demands that it does not exist.
type Condition struct {
	Key     string `json:"k"`
	Version uint64 `json:"stamp"`
}

// Operation is one change: either Put with Value, or Delete. A put with a lease is undone
// when the lease ends.
type Operation struct {
	Put    string          `json:"put,omitempty"`
	Value  json.RawMessage `json:"data,omitempty"`
	Lease  uint64          `json:"permit,omitempty"`
	Delete string          `json:"remove,omitempty"`
}

// Transaction applies all operations if all conditions hold, and nothing otherwise.
type Transaction struct {
	Conditions []Condition `json:"when"`
	Operations []Operation `json:"apply,omitempty"`
}

// Event is a change to a key: a put, or a removal.
type Event struct {
	Put     string          `json:"put,omitempty"`
	Remove  string          `json:"remove,omitempty"`
	Value   json.RawMessage `json:"data,omitempty"`
	Version uint64          `json:"stamp"`
}

// Changes are the events after a revision, in their order.
type Changes struct {
	Revision uint64  `json:"epoch"` // up to which they are complete
	Events   []Event `json:"events"`
}
