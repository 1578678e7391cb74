package scenario

import (
	"testing"
	"time"

	"rockrun/internal/config"
	"rockrun/internal/protocol"
)

// TestWriteBudget checks that the write budget holds one second of writes and refills over
// time, and that a transaction over the budget consumes nothing.
func TestWriteBudget(t *testing.T) {
	limits := newStoreLimits(config.KVStore{WritesPerSecond: 10, ValueKiB: 1, TransactionOperations: 4})
	for i, c := range []struct {
		at      time.Duration
		count   int
		allowed bool
	}{
		{0, 8, true},
		{0, 3, false},
		{0, 2, true},
		{500 * time.Millisecond, 6, false},
		{500 * time.Millisecond, 5, true},
		{time.Minute, 11, false},
		{time.Minute, 10, true},
	} {
		if allowed := limits.consumeWrites(c.at, c.count); allowed != c.allowed {
			t.Errorf("case %d: %d writes at %s: allowed %t", i, c.count, c.at, allowed)
		}
	}
}

// TestTransactionLimits checks that transactions over a limit are rejected, also after the
// limits are lowered.
func TestTransactionLimits(t *testing.T) {
	settings := config.KVStore{WritesPerSecond: 10, ValueKiB: 1, TransactionOperations: 2}
	limits := newStoreLimits(settings)
	value := func(bytes int) protocol.Operation { return protocol.Operation{Put: "k", Value: make([]byte, bytes)} }
	for name, c := range map[string]struct {
		operations []protocol.Operation
		exceeds    bool
	}{
		"within limits":       {[]protocol.Operation{value(1024), value(1)}, false},
		"oversized value":     {[]protocol.Operation{value(1025)}, true},
		"too many operations": {[]protocol.Operation{value(1), value(1), value(1)}, true},
	} {
		if got := limits.exceedsLimits(protocol.Transaction{Operations: c.operations}); got != c.exceeds {
			t.Errorf("%s: exceeds limits %t", name, got)
		}
	}
	settings.ValueKiB, settings.WritesPerSecond = 0.5, 4
	limits.setLimits(settings.Limits())
	if !limits.exceedsLimits(protocol.Transaction{Operations: []protocol.Operation{value(1024)}}) {
		t.Error("a value over the lowered limit is allowed")
	}
	if limits.consumeWrites(0, 5) {
		t.Error("more writes than the lowered limit are allowed")
	}
}
