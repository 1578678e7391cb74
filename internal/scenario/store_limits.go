package scenario

import (
	"slices"
	"time"

	"rockrun/internal/config"
	"rockrun/internal/protocol"
)

// storeLimits are the store's limits per transaction and its write rate limit, a token bucket
// that holds one second of writes.
type storeLimits struct {
	limits          config.StoreLimits
	availableWrites float64 // as of refilledAt
	refilledAt      time.Duration
}

// newStoreLimits returns the current limits. Announced limits are ignored.
func newStoreLimits(settings config.KVStore) storeLimits {
	settings.Announced = nil
	limits := settings.Limits()
	return storeLimits{limits: limits, availableWrites: limits.WriteRate}
}

// setLimits replaces the limits.
func (l *storeLimits) setLimits(limits config.StoreLimits) {
	l.limits = limits
	l.availableWrites = min(l.availableWrites, limits.WriteRate)
}

// consumeWrites refills the bucket and consumes count writes from it. It returns false and
// consumes nothing if fewer writes are available.
func (l *storeLimits) consumeWrites(now time.Duration, count int) bool {
	l.availableWrites = min(l.limits.WriteRate, l.availableWrites+l.limits.WriteRate*(now-l.refilledAt).Seconds())
	l.refilledAt = now
	if l.availableWrites < float64(count) {
		return false
	}
	l.availableWrites -= float64(count)
	return true
}

// exceedsLimits reports whether a transaction exceeds a limit per transaction. The result does
// not depend on whether its preconditions hold.
func (l *storeLimits) exceedsLimits(transaction protocol.Transaction) bool {
	oversized := slices.ContainsFunc(transaction.Operations, func(operation protocol.Operation) bool {
		return len(operation.Value) > l.limits.ValueBytes
	})
	return oversized || len(transaction.Operations) > l.limits.Operations || len(transaction.Preconditions) > l.limits.Preconditions
}
