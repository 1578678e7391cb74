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

// TestRejectedTransactionsReduceLimits: what the store rejects for good is not sent again
// as it is. From then on values and transactions are smaller.
func TestRejectedTransactionsReduceLimits(t *testing.T) {
	before := config.KVStore{RequestsPerSecond: 200, WritesPerSecond: 100, ValueKiB: 8, TransactionOperations: 8}.Limits()
	value := make([]byte, 4000)
	large := protocol.Transaction{Operations: []protocol.Operation{{Put: "r/x", Value: value}, {Put: "r/y"}, {Put: "r/z"}, {Put: "r/u"}, {Put: "r/v"}}}
	after := reducedLimits(before, large)
	if after.ValueBytes >= 4000 || after.ValueBytes < minValueBytes || after.Operations >= 5 || after.Conditions != 4*after.Operations {
		t.Errorf("%+v after %+v", after, before)
	}
	small := protocol.Transaction{Operations: []protocol.Operation{{Put: "r/x", Value: value[:100]}}}
	if after := reducedLimits(before, small); after != before {
		t.Errorf("%+v: a small transaction says nothing of the limits", after)
	}
}

// rejectingStore rejects every transaction once it is asked to answer.
type rejectingStore struct {
	Store
	answers []func(uint64, error)
}

func (s *rejectingStore) Commit(_ protocol.Transaction, done func(uint64, error)) {
	s.answers = append(s.answers, done)
}

// TestOnlyTheCurrentGenerationLearns: an answer to a transaction of an earlier generation
// does not change the limits of the present one.
func TestOnlyTheCurrentGenerationLearns(t *testing.T) {
	limits := config.KVStore{RequestsPerSecond: 200, WritesPerSecond: 100, ValueKiB: 8, TransactionOperations: 8}.Limits()
	store := &rejectingStore{}
	c := NewCommitter(store, limits, slog.New(slog.NewTextHandler(io.Discard, nil)))
	transaction := protocol.Transaction{Operations: []protocol.Operation{{Put: "r/x", Value: make([]byte, 4000)}}}
	for range 2 {
		c.BeginGeneration(loop.NewGeneration(nil, nil))
		c.Commit(transaction, func(uint64, error) {})
	}
	rejected := fmt.Errorf("%w: too large", protocol.ErrRejected)
	store.answers[0](0, rejected)
	if c.Limits() != limits {
		t.Errorf("limits %+v after an answer to an earlier generation", c.Limits())
	}
	store.answers[1](0, rejected)
	if c.Limits().ValueBytes >= limits.ValueBytes {
		t.Errorf("limits %+v after a rejection", c.Limits())
	}
}
