package scenario

import (
	"testing"
	"time"

	"rockrun/internal/config"
	"rockrun/internal/protocol"
)

// TestWriteBudget: the budget holds a second's writes, fills up with time, and a
// transaction that it can't hold takes nothing.
func TestWriteBudget(t *testing.T) {
	limits := newStoreLimits(config.KVStore{WritesPerSecond: 10, ValueKiB: 1, TransactionOperations: 4})
	for i, c := range []struct {
		at    time.Duration
		count int
		taken bool
	}{
		{0, 8, true},
		{0, 3, false},
		{0, 2, true},
		{500 * time.Millisecond, 6, false},
		{500 * time.Millisecond, 5, true},
		{time.Minute, 11, false},
		{time.Minute, 10, true},
	} {
		if taken := limits.takeWrites(c.at, c.count); taken != c.taken {
			t.Errorf("%d: %d writes at %s: taken %t", i, c.count, c.at, taken)
		}
	}
}

// TestTransactionLimits: what is over a limit is rejected, also one that was lowered.
func TestTransactionLimits(t *testing.T) {
	settings := config.KVStore{WritesPerSecond: 10, ValueKiB: 1, TransactionOperations: 2}
	limits := newStoreLimits(settings)
	value := func(bytes int) protocol.Operation { return protocol.Operation{Put: "k", Value: make([]byte, bytes)} }
	for name, c := range map[string]struct {
		operations []protocol.Operation
		exceeds    bool
	}{
		"within":     {[]protocol.Operation{value(1024), value(1)}, false},
		"large":      {[]protocol.Operation{value(1025)}, true},
		"operations": {[]protocol.Operation{value(1), value(1), value(1)}, true},
	} {
		if got := limits.exceeds(protocol.Transaction{Operations: c.operations}); got != c.exceeds {
			t.Errorf("%s: exceeds %t", name, got)
		}
	}
	settings.ValueKiB, settings.WritesPerSecond = 0.5, 4
	limits.setLimits(settings.Limits())
	if !limits.exceeds(protocol.Transaction{Operations: []protocol.Operation{value(1024)}}) {
		t.Error("a value over the lowered limit is allowed")
	}
	if limits.takeWrites(0, 5) {
		t.Error("more writes than the lowered limit are allowed")
	}
}
