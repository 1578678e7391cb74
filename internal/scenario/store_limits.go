package scenario

import (
	"slices"
	"time"

	"rockrun/internal/config"
	"rockrun/internal/protocol"
)

// storeLimits are what the store allows: sizes, and a budget of writes that fills up with
// time.
type storeLimits struct {
	limits     config.StoreLimits
	available  float64 // writes that may be made now
	refilledAt time.Duration
}

// newStoreLimits are the limits in force today, whatever is announced.
func newStoreLimits(settings config.KVStore) storeLimits {
	settings.Announced = nil
	limits := settings.Limits()
	return storeLimits{limits: limits, available: limits.WriteRate}
}

// setLimits puts other limits in force.
func (l *storeLimits) setLimits(limits config.StoreLimits) {
	l.limits = limits
	l.available = min(l.available, limits.WriteRate)
}

// takeWrites takes a number of writes from the budget and reports whether it held them.
func (l *storeLimits) takeWrites(now time.Duration, count int) bool {
	l.available = min(l.limits.WriteRate, l.available+l.limits.WriteRate*(now-l.refilledAt).Seconds())
	l.refilledAt = now
	if l.available < float64(count) {
		return false
	}
	l.available -= float64(count)
	return true
}

// exceeds reports whether a transaction is over a limit, whatever its conditions.
func (l *storeLimits) exceeds(transaction protocol.Transaction) bool {
	oversized := slices.ContainsFunc(transaction.Operations, func(operation protocol.Operation) bool {
		return len(operation.Value) > l.limits.ValueBytes
	})
	return oversized || len(transaction.Operations) > l.limits.Operations || len(transaction.Preconditions) > l.limits.Preconditions
}
