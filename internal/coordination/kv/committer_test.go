package kv

import (
	"fmt"
	"io"
	"log/slog"
	"testing"

	"rockrun/internal/config"
	"rockrun/internal/coordination/loop"
	"rockrun/internal/protocol"
)

// TestRejectedTransactionsReduceLimits checks that a permanent rejection lowers the limits,
// so that subsequent values and transactions are smaller. A small transaction does not lower
// them.
func TestRejectedTransactionsReduceLimits(t *testing.T) {
	before := config.KVStore{RequestsPerSecond: 200, WritesPerSecond: 100, ValueKiB: 8, TransactionOperations: 8}.Limits()
	value := make([]byte, 4000)
	large := protocol.Transaction{Operations: []protocol.Operation{{Put: "r/x", Value: value}, {Put: "r/y"}, {Put: "r/z"}, {Put: "r/u"}, {Put: "r/v"}}}
	after := reducedLimits(before, large)
	if after.ValueBytes >= 4000 || after.ValueBytes < minValueBytes || after.Operations >= 5 || after.Preconditions != 4*after.Operations {
		t.Errorf("limits %+v after the rejection of a large transaction, %+v before", after, before)
	}
	small := protocol.Transaction{Operations: []protocol.Operation{{Put: "r/x", Value: value[:100]}}}
	if after := reducedLimits(before, small); after != before {
		t.Errorf("limits %+v after the rejection of a small transaction, want them unchanged", after)
	}
}

// deferringStore retains the callbacks of transactions, so that a test can reject them later.
type deferringStore struct {
	Store
	callbacks []func(uint64, error)
}

func (s *deferringStore) Commit(_ protocol.Transaction, done func(uint64, error)) {
	s.callbacks = append(s.callbacks, done)
}

// TestRejectionInEarlierGenerationIsIgnored checks that the rejection of a transaction of an
// earlier generation does not change the limits, and that one of the current generation does.
func TestRejectionInEarlierGenerationIsIgnored(t *testing.T) {
	limits := config.KVStore{RequestsPerSecond: 200, WritesPerSecond: 100, ValueKiB: 8, TransactionOperations: 8}.Limits()
	store := &deferringStore{}
	committer := NewCommitter(store, limits, slog.New(slog.NewTextHandler(io.Discard, nil)))
	transaction := protocol.Transaction{Operations: []protocol.Operation{{Put: "r/x", Value: make([]byte, 4000)}}}
	for range 2 {
		committer.BeginGeneration(loop.NewGeneration(nil, nil))
		committer.Commit(transaction, func(uint64, error) {})
	}
	rejected := fmt.Errorf("%w: too large", protocol.ErrRejected)
	store.callbacks[0](0, rejected)
	if committer.Limits() != limits {
		t.Errorf("limits changed to %+v by a rejection in an earlier generation", committer.Limits())
	}
	store.callbacks[1](0, rejected)
	if committer.Limits().ValueBytes >= limits.ValueBytes {
		t.Errorf("limits %+v not lowered by a rejection", committer.Limits())
	}
}
