// Package kv is the controllers' side of the key-value store that keeps all records: the
// interface that its client implements, and a Committer that keeps transactions within
// the limits and the write budget.
package kv

import (
	"time"

	"rockrun/internal/protocol"
)

// Store is the consensus-backed key-value store. Every call returns at once; done is
// called later on the controller's goroutine. Errors wrap those of package protocol:
// after ErrOutcomeUnknown a transaction may still be applied, however late.
type Store interface {
	// Get reads one key; found is false where it does not exist.
	Get(key string, done func(item protocol.KeyValue, found bool, err error))
	// List reads a page of the keys with a prefix, beginning after the one given.
	List(prefix, after string, done func(page protocol.KeyValuePage, err error))
	// Commit applies a transaction if all its conditions hold.
	Commit(t protocol.Transaction, done func(revision uint64, err error))
	// OpenLease opens a lease; keys attached to it are removed when it expires.
	OpenLease(ttl time.Duration, done func(lease uint64, err error))
	// RenewLease gives a lease its full time again.
	RenewLease(lease uint64, done func(err error))
	// RevokeLease ends a lease and removes the keys attached to it.
	RevokeLease(lease uint64, done func(err error))
	// Watch waits at most for the given time for changes after a revision.
	Watch(prefix string, after uint64, wait time.Duration, done func(changes protocol.Changes, err error))
}
