package replica

import (
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"rockrun/internal/coordination/loop"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// fakeStore is a store with fixed records. Its watch returns no changes; tests apply changes to
// the replica directly.
type fakeStore struct {
	items []protocol.KeyValue
	now   time.Duration
}

func (s *fakeStore) Now() time.Duration          { return s.now }
func (s *fakeStore) Wall() time.Time             { return time.Unix(1_800_000_000, 0).Add(s.now) }
func (s *fakeStore) After(time.Duration, func()) {}

func (s *fakeStore) Get(string, func(protocol.KeyValue, bool, error)) {}
func (s *fakeStore) List(_, _ string, done func(protocol.KeyValuePage, error)) {
	done(protocol.KeyValuePage{Items: s.items, Revision: uint64(len(s.items))}, nil)
}
func (s *fakeStore) Commit(protocol.Transaction, func(uint64, error)) {}
func (s *fakeStore) OpenLease(time.Duration, func(uint64, error))     {}
func (s *fakeStore) RenewLease(uint64, func(error))                   {}
func (s *fakeStore) RevokeLease(uint64, func(error))                  {}
func (s *fakeStore) Watch(_ string, after uint64, _ time.Duration, done func(protocol.Changes, error)) {
	done(protocol.Changes{Revision: after}, nil)
}

// newTestReplica creates a replica that has read the given records.
func newTestReplica(t *testing.T, items ...protocol.KeyValue) *Replica {
	t.Helper()
	store := &fakeStore{now: time.Minute, items: items}
	r := New(Config{
		Generation: loop.NewGeneration(store, rand.New(rand.NewPCG(1, 2))), Store: store,
		View: storage.NewView([]storage.Team{{Name: "red"}}, 1), Controller: "a", Incarnation: 10, MinWatchInterval: time.Second,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), OnChange: func(bool) {},
	})
	r.Start()
	if !r.Ready() {
		t.Fatal("replica is not ready after reading all records")
	}
	return r
}

// TestOutOfOrderWatchResponses: two watch requests may be answered in reverse order. A record
// whose removal the view has applied must not reappear with the older response.
func TestOutOfOrderWatchResponses(t *testing.T) {
	r := newTestReplica(t)
	const revision = 100
	job := storage.Encode(storage.JobRecord{Spec: protocol.JobSpec{
		ID: "run-7", Team: "red", Kind: protocol.KindArray, Priority: "normal", Tasks: 1, CPUs: 1,
	}})
	group := storage.Encode(storage.MachineGroupRecord{Type: "small", Zone: "z", Machines: []storage.MachineEntry{{Name: "m-9"}}})
	for _, c := range []struct {
		name, key string
		value     []byte
		exists    func() bool
	}{
		{"job", storage.JobKey("run-7"), job, func() bool {
			_, j := r.View.Jobs.Find("run-7")
			return j != nil && !j.Ended()
		}},
		{"machine", storage.MachineGroupKey("c"), group, func() bool {
			_, m := r.View.Machines.Find("m-9")
			return m != nil && m.Exists()
		}},
	} {
		first := r.Revision() + revision
		put := protocol.Event{Put: c.key, Value: c.value, Version: first}
		removed := protocol.Event{Delete: c.key, Version: first + 1}
		r.Apply(protocol.Changes{Revision: first + 1, Events: []protocol.Event{put, removed}}, time.Minute)
		r.Apply(protocol.Changes{Revision: first, Events: []protocol.Event{put}}, time.Minute)
		if c.exists() {
			t.Errorf("removed %s reappeared", c.name)
		}
	}
}

// TestIncarnationAboveEarlier: the wall clock may step back between the end of a process and
// its restart. The new incarnation must still be higher than the earlier one.
func TestIncarnationAboveEarlier(t *testing.T) {
	const earlier = 15
	grant := storage.Encode(storage.GrantRecord{Controller: "a", Incarnation: earlier, FencingToken: 1 << 44})
	r := newTestReplica(t, protocol.KeyValue{Key: storage.GrantKey(0), Value: grant, Version: 1})
	if r.Incarnation <= earlier {
		t.Errorf("incarnation %d is not above the earlier one, %d", r.Incarnation, earlier)
	}
}

// TestSyncSharesReads: calls of Sync made while a watch request is in flight or scheduled share
// the next one. The end of a generation must not leave a caller without a response.
func TestSyncSharesReads(t *testing.T) {
	r := newTestReplica(t)
	answers := 0
	for range 3 {
		r.Sync(func(error) { answers++ })
	}
	if waiting := r.RemoveWaiters(); len(waiting) != 3 || answers != 0 {
		t.Errorf("%d callers waiting and %d answered, want 3 and 0", len(waiting), answers)
	}
}
