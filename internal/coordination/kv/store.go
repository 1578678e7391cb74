// Package kv is the controllers' access to the key-value store of all records: the interface
// that the store's client implements, and a Committer that tracks the store's limits and the
// controller's write budget.
package kv

import (
	"time"

	"rockrun/internal/protocol"
)

// Store is the consensus-backed key-value store. Its methods do not block; done is called
// later on the controller's goroutine. Errors wrap those of package protocol. After
// ErrOutcomeUnknown a transaction may still be applied after an arbitrary delay.
type Store interface {
	// Get reads one key; found is false if the key does not exist.
	Get(key string, done func(item protocol.KeyValue, found bool, err error))
	// List reads a page of the keys with a prefix, starting after the given key.
	List(prefix, after string, done func(page protocol.KeyValuePage, err error))
	// Commit applies a transaction if all its preconditions hold.
	Commit(transaction protocol.Transaction, done func(revision uint64, err error))
	// OpenLease opens a lease; keys attached to it are removed when it expires.
	OpenLease(ttl time.Duration, done func(lease uint64, err error))
	// RenewLease resets the remaining time of a lease to its TTL.
	RenewLease(lease uint64, done func(err error))
	// RevokeLease revokes a lease and removes the keys attached to it.
	RevokeLease(lease uint64, done func(err error))
	// Watch waits for changes after a revision, for at most the given time.
	Watch(prefix string, after uint64, wait time.Duration, done func(changes protocol.Changes, err error))
}
