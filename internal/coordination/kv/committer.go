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

// RetryPause is the least pause before a request to the store is tried again.
const RetryPause = 200 * time.Millisecond

// valueReserve is how much of the limit of a value is left free: sizes are worked out in
// advance from the parts of a record.
const valueReserve = 128

// minValueBytes is how far rejected transactions lower the limit of a value.
const minValueBytes = 1024

// Committer carries out transactions within the limits of the store. It lives as long
// as the process, so what it has learned of the limits outlives a generation.
type Committer struct {
	// Budget is this controller's part of the writes that all controllers share.
	Budget loop.TokenBucket

	store      Store
	limits     config.StoreLimits
	generation *loop.Generation
	log        *slog.Logger
}

// NewCommitter makes a committer that keeps to the given limits.
func NewCommitter(store Store, limits config.StoreLimits, log *slog.Logger) *Committer {
	return &Committer{
		Budget: loop.NewTokenBucket(limits.WriteRate / 4),
		store:  store,
		limits: limits,
		log:    log,
	}
}

// BeginGeneration tells the generation to which the transactions from now on belong.
func (c *Committer) BeginGeneration(g *loop.Generation) { c.generation = g }

// Limits are the limits in force: those of the settings, or lower ones where the store
// has rejected a transaction within those.
func (c *Committer) Limits() config.StoreLimits { return c.limits }

// SetLimits changes the limits that transactions keep to from now on.
func (c *Committer) SetLimits(limits config.StoreLimits) { c.limits = limits }

// ValueCapacity is how many bytes a value may be planned to take.
func (c *Committer) ValueCapacity() int { return c.limits.ValueBytes - valueReserve }

// Fits reports whether a record may be written as a value.
func (c *Committer) Fits(record any) bool {
	return len(storage.Encode(record)) <= c.limits.ValueBytes
}

// Commit carries out a transaction. One that the store rejects for good shows that its
// limits are lower than the settings say: whatever is written from then on keeps to
// lower ones, and the transaction must not be sent again as it is.
func (c *Committer) Commit(t protocol.Transaction, done func(revision uint64, err error)) {
	generation := c.generation
	c.store.Commit(t, func(revision uint64, err error) {
		if errors.Is(err, protocol.ErrRejected) && generation == c.generation {
			c.limits = reducedLimits(c.limits, t)
			c.log.Error("transaction rejected",
				"operations", len(t.Operations), "largest_value", LargestValue(t), "err", err,
				"value_bytes", c.limits.ValueBytes, "txn_operations", c.limits.Operations)
		}
		done(revision, err)
	})
}

// LargestValue is the size of the largest value of a transaction, in bytes.
func LargestValue(t protocol.Transaction) int {
	largest := 0
	for _, op := range t.Operations {
		largest = max(largest, len(op.Value))
	}
	return largest
}

// reducedLimits are the limits after a transaction that kept to them was rejected.
func reducedLimits(limits config.StoreLimits, t protocol.Transaction) config.StoreLimits {
	if largest := LargestValue(t); largest > minValueBytes {
		limits.ValueBytes = min(limits.ValueBytes, max(minValueBytes, largest*3/4))
	}
	if operations := len(t.Operations); operations > config.MinOperations {
		limits.Operations = min(limits.Operations, max(config.MinOperations, operations*3/4))
		limits.Conditions = config.ConditionsPerOperation * limits.Operations
	}
	return limits
}
