package kv

import (
	"errors"
	"log/slog"
	"time"

	"rockrun/internal/config"
	"rockrun/internal/coordination/loop"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// RetryDelay is the minimum delay before a request to the store is retried.
const RetryDelay = 200 * time.Millisecond

// valueHeadroomBytes is the part of the value limit that planned values leave free, because
// their sizes are estimated in advance from the parts of a record.
const valueHeadroomBytes = 128

// minValueBytes is the lower bound to which rejected transactions reduce the value limit.
const minValueBytes = 1024

// Committer sends transactions to the store and tracks the store's limits on transactions. It
// lives as long as the process, so limits learned from rejections outlast a generation.
type Committer struct {
	// Budget limits the writes to this controller's share of the total write rate.
	Budget loop.TokenBucket

	store      Store
	limits     config.StoreLimits
	generation *loop.Generation
	log        *slog.Logger
}

// NewCommitter returns a committer with the given limits.
func NewCommitter(store Store, limits config.StoreLimits, log *slog.Logger) *Committer {
	return &Committer{
		Budget: loop.NewTokenBucket(limits.WriteRate / 4),
		store:  store,
		limits: limits,
		log:    log,
	}
}

// BeginGeneration sets the generation to which subsequent transactions belong.
func (c *Committer) BeginGeneration(g *loop.Generation) { c.generation = g }

// Limits returns the current limits: those of the settings, or lower ones if the store has
// rejected a transaction that was within them.
func (c *Committer) Limits() config.StoreLimits { return c.limits }

// SetLimits replaces the limits for subsequent transactions.
func (c *Committer) SetLimits(limits config.StoreLimits) { c.limits = limits }

// ValueCapacity returns the maximum planned size of a value in bytes.
func (c *Committer) ValueCapacity() int { return c.limits.ValueBytes - valueHeadroomBytes }

// Fits reports whether the encoded record is within the value limit.
func (c *Committer) Fits(record any) bool {
	return len(storage.Encode(record)) <= c.limits.ValueBytes
}

// Commit sends a transaction to the store. A permanent rejection shows that the limits of the
// store are lower than the configured ones: Commit lowers the limits for subsequent
// transactions, and the caller must not send the rejected transaction again unchanged.
func (c *Committer) Commit(transaction protocol.Transaction, done func(revision uint64, err error)) {
	generation := c.generation
	c.store.Commit(transaction, func(revision uint64, err error) {
		if errors.Is(err, protocol.ErrRejected) && generation == c.generation {
			c.limits = reducedLimits(c.limits, transaction)
			c.log.Error("transaction rejected",
				"operations", len(transaction.Operations), "largest_value", LargestValue(transaction), "err", err,
				"value_bytes", c.limits.ValueBytes, "txn_operations", c.limits.Operations)
		}
		done(revision, err)
	})
}

// LargestValue returns the size of the largest value of a transaction in bytes.
func LargestValue(transaction protocol.Transaction) int {
	largest := 0
	for _, op := range transaction.Operations {
		largest = max(largest, len(op.Value))
	}
	return largest
}

// reducedLimits returns the limits after the rejection of a transaction that was within them.
func reducedLimits(limits config.StoreLimits, transaction protocol.Transaction) config.StoreLimits {
	if largest := LargestValue(transaction); largest > minValueBytes {
		limits.ValueBytes = min(limits.ValueBytes, max(minValueBytes, largest*3/4))
	}
	if operations := len(transaction.Operations); operations > config.MinOperations {
		limits.Operations = min(limits.Operations, max(config.MinOperations, operations*3/4))
		limits.Preconditions = config.PreconditionsPerOperation * limits.Operations
	}
	return limits
}
