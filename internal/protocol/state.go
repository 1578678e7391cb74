package protocol

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// ErrConflict says that a condition of a transaction did not hold; nothing was changed.
var ErrConflict = errors.New("condition not met")

// ErrNoLease says that the lease has ended.
var ErrLeaseNotFound = errors.New("no such lease")

// ErrTooOld says that the changes asked for are no longer kept; read the keys again.
var ErrCompacted = errors.New("changes no longer kept")

// Item is a key with its value.
type KeyValue struct {
	Key     string          `json:"k"`
	Value   json.RawMessage `json:"data"`
	Version uint64          `json:"stamp"`
	Lease   uint64          `json:"permit,omitempty"`
}

// Page is a part of a range of keys.
type KeyValuePage struct {
	Items    []KeyValue `json:"items"`
	More     bool       `json:"more"`
	Revision uint64     `json:"epoch"`
}

// Cond demands that a key has a version; 0 demands that it does not exist.
type Condition struct {
	Key     string `json:"k"`
	Version uint64 `json:"stamp"`
}

// Op is one change: either Put with Value, or Delete.
type Operation struct {
	Put    string          `json:"put,omitempty"`
	Value  json.RawMessage `json:"data,omitempty"`
	Lease  uint64          `json:"permit,omitempty"`
	Delete string          `json:"remove,omitempty"`
}

// Txn is an atomic transaction.
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

// Changes are the events after a revision.
type Changes struct {
	Revision uint64  `json:"epoch"`
	Events   []Event `json:"events"`
}

// StateClient speaks to the state service. Every error wraps one of ErrNotDone,
// ErrRejected, ErrUnknown, ErrConflict, ErrNoLease or ErrTooOld.
type KVClient struct {
	HTTP    Caller
	Addr    string
	Timeout time.Duration
}

// Get reads one key; found is false when it does not exist.
func (c *KVClient) Get(key string) (it KeyValue, found bool, err error) {
	status, answer, err := callJSON(c.HTTP, http.MethodGet, c.Addr, "/store/"+key, nil, &it, c.Timeout)
	switch {
	case err != nil:
		return it, false, err
	case status == http.StatusOK && it.Key != key:
		return it, false, fmt.Errorf("%w: get %s: answer names %q", ErrOutcomeUnknown, key, it.Key)
	case status == http.StatusOK:
		return it, true, nil
	case status == http.StatusNotFound:
		return it, false, nil
	}
	return it, false, refused("get", status, answer)
}

// List reads a page of keys with a prefix, beginning after the key given.
func (c *KVClient) List(prefix, after string) (KeyValuePage, error) {
	var p KeyValuePage
	path := "/store?prefix=" + url.QueryEscape(prefix) + "&most=1000"
	if after != "" {
		path += "&from=" + url.QueryEscape(after)
	}
	status, answer, err := callJSON(c.HTTP, http.MethodGet, c.Addr, path, nil, &p, c.Timeout)
	if err == nil && status != http.StatusOK {
		err = refused("list", status, answer)
	}
	return p, err
}

// Txn carries out a transaction and returns its revision.
func (c *KVClient) Commit(t Transaction) (uint64, error) {
	if t.Conditions == nil {
		t.Conditions = []Condition{}
	}
	var out struct {
		Revision uint64 `json:"epoch"`
	}
	status, answer, err := callJSON(c.HTTP, http.MethodPost, c.Addr, "/multi", t, &out, c.Timeout)
	switch {
	case err != nil:
		return 0, err
	case status == http.StatusOK:
		return out.Revision, nil
	case status == http.StatusConflict:
		return 0, fmt.Errorf("%w: %s", ErrConflict, answer)
	case status == http.StatusBadRequest:
		var p ErrorBody
		if json.Unmarshal(answer, &p) == nil && p.Error == "no such lease" {
			return 0, ErrLeaseNotFound
		}
	}
	return 0, refused("transaction", status, answer)
}

// NewLease opens a lease.
func (c *KVClient) OpenLease(ttl time.Duration) (uint64, error) {
	in := struct {
		TTL int64 `json:"lifeMs"`
	}{ttl.Milliseconds()}
	var out struct {
		Lease uint64 `json:"permit"`
	}
	status, answer, err := callJSON(c.HTTP, http.MethodPost, c.Addr, "/holds", in, &out, c.Timeout)
	if err == nil && status != http.StatusOK {
		err = refused("new lease", status, answer)
	}
	if err == nil && out.Lease == 0 {
		err = fmt.Errorf("%w: new lease: answer names none", ErrOutcomeUnknown)
	}
	return out.Lease, err
}

func leasePath(lease uint64) string { return "/holds/" + strconv.FormatUint(lease, 10) }

// Renew renews a lease.
func (c *KVClient) RenewLease(lease uint64) error {
	status, answer, err := callJSON(c.HTTP, http.MethodPost, c.Addr, leasePath(lease)+"/touch", nil, nil, c.Timeout)
	switch {
	case err != nil:
		return err
	case status == http.StatusOK || status == http.StatusNoContent:
		return nil
	case status == http.StatusNotFound:
		return ErrLeaseNotFound
	}
	return refused("renew lease", status, answer)
}

// EndLease ends a lease and with it the keys attached to it.
func (c *KVClient) RevokeLease(lease uint64) error {
	status, answer, err := callJSON(c.HTTP, http.MethodDelete, c.Addr, leasePath(lease), nil, nil, c.Timeout)
	if err == nil && status >= 300 && status != http.StatusNotFound {
		err = refused("end lease", status, answer)
	}
	return err
}

// Follow waits for changes after a revision.
func (c *KVClient) Watch(prefix string, after uint64, wait time.Duration) (Changes, error) {
	var out Changes
	path := "/follow?prefix=" + url.QueryEscape(prefix) + "&from=" + strconv.FormatUint(after, 10) +
		"&blockMs=" + strconv.FormatInt(wait.Milliseconds(), 10)
	status, answer, err := callJSON(c.HTTP, http.MethodGet, c.Addr, path, nil, &out, wait+c.Timeout)
	switch {
	case err != nil:
		return out, err
	case status == http.StatusOK:
		return out, nil
	case status == http.StatusGone:
		return out, ErrCompacted
	}
	return out, refused("follow", status, answer)
}
