package quota

import (
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"rockrun/internal/config"
	"rockrun/internal/coordination/kv"
	"rockrun/internal/coordination/loop"
	"rockrun/internal/coordination/membership"
	"rockrun/internal/coordination/replica"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// TestWithinAndExceeds checks amounts at the bounds of a maximum and of a shard's part of it.
func TestWithinAndExceeds(t *testing.T) {
	for _, c := range []struct {
		name                  string
		amount, maximum, part float64
		within, exceeds       bool
	}{
		{"no maximum", 100, 0, 0, true, false},
		{"equal to the part", 4, 8, 4, true, false},
		{"rounded sum equal to the part", 0.1 + 0.2, 0.3, 0.3, true, false},
		{"above the part", 5, 8, 4, false, false},
		{"above the maximum", 9, 8, 8, false, true},
	} {
		if got := WithinPart(c.amount, c.maximum, c.part); got != c.within {
			t.Errorf("%s: within the part: %t", c.name, got)
		}
		if got := ExceedsMaximum(c.amount, c.maximum); got != c.exceeds {
			t.Errorf("%s: exceeds the maximum: %t", c.name, got)
		}
	}
}

const half, quarter = storage.WholeQuota / 2, storage.WholeQuota / 4

// TestSplit checks how a quota is split between two job shards. The second holds services.
func TestSplit(t *testing.T) {
	for _, c := range []struct {
		name         string
		current      []int
		demands      []Demand
		guaranteed   int
		acknowledged bool
		check        func(next []int) bool
	}{
		{"first split covers the usage of each shard", nil, []Demand{{Used: half}, {Used: quarter}}, storage.WholeQuota, false,
			func(next []int) bool { return next[0] >= half && next[1] >= quarter }},
		{"services have precedence when pending demand exceeds the quota", nil,
			[]Demand{{Pending: storage.WholeQuota}, {Pending: storage.WholeQuota}}, storage.WholeQuota, false,
			func(next []int) bool { return next[1] == storage.WholeQuota && next[0] == 0 }},
		{"split unchanged while not all holders acknowledge it", []int{half, half},
			[]Demand{{Used: half, Pending: half}, {}}, storage.WholeQuota, false,
			func(next []int) bool { return slices.Equal(next, []int{half, half}) }},
		{"split unchanged when no shard is short", []int{half, half}, []Demand{{Used: quarter}, {Used: quarter}}, storage.WholeQuota, true,
			func(next []int) bool { return slices.Equal(next, []int{half, half}) }},
		{"quota is taken from one shard before another gets it", []int{half, half}, []Demand{{Used: half, Pending: half}, {}}, storage.WholeQuota, true,
			func(next []int) bool { return next[0] == half && next[1] < half }},
		{"unassigned quota goes to the shard that is short", []int{half, quarter}, []Demand{{Used: half, Pending: half}, {}}, storage.WholeQuota, true,
			func(next []int) bool { return next[0] > half }},
	} {
		next := split(c.current, c.demands, c.guaranteed, c.acknowledged)
		if !c.check(next) {
			t.Errorf("%s: split %v", c.name, next)
		}
		if sum := next[0] + next[1]; sum > storage.WholeQuota {
			t.Errorf("%s: split %v exceeds the whole quota", c.name, next)
		}
	}
}

// TestSplitNeverExceedsWholeQuota checks that the parts of a team add up to at most the whole
// quota after every step of randomly changing demands.
func TestSplitNeverExceedsWholeQuota(t *testing.T) {
	for seed := range uint64(100) {
		random := rand.New(rand.NewPCG(seed, 5))
		var current []int
		for range 50 {
			demands := make([]Demand, 3)
			for i := range demands {
				demands[i] = Demand{Used: random.IntN(storage.WholeQuota / 3), Pending: random.IntN(storage.WholeQuota)}
			}
			current = split(current, demands, random.IntN(storage.WholeQuota), random.IntN(2) == 0)
			sum := 0
			for _, part := range current {
				sum += part
			}
			if sum > storage.WholeQuota {
				t.Fatalf("seed %d: split %v exceeds the whole quota", seed, current)
			}
		}
	}
}

// testLeader is a leader with a store that records the committed transactions.
type testLeader struct {
	now       time.Duration
	committed []protocol.Transaction
	revision  uint64
	replica   *replica.Replica
	members   *membership.Registry
	splitter  *Splitter
}

func (l *testLeader) Now() time.Duration                               { return l.now }
func (l *testLeader) Wall() time.Time                                  { return time.Unix(1_800_000_000, 0).Add(l.now) }
func (l *testLeader) After(time.Duration, func())                      {}
func (l *testLeader) Get(string, func(protocol.KeyValue, bool, error)) {}
func (l *testLeader) OpenLease(time.Duration, func(uint64, error))     {}
func (l *testLeader) RenewLease(uint64, func(error))                   {}
func (l *testLeader) RevokeLease(uint64, func(error))                  {}
func (l *testLeader) Term() uint64                                     { return 4 }
func (l *testLeader) MayAnswer() bool                                  { return true }
func (l *testLeader) LeaseExpiry() time.Duration                       { return l.now + time.Second }
func (l *testLeader) StoreContactSince() time.Duration                 { return 0 }
func (l *testLeader) Precondition() protocol.Precondition {
	return protocol.Precondition{Key: storage.KeyLeader, Version: l.replica.View.LeaderVersion}
}
func (l *testLeader) List(_, _ string, done func(protocol.KeyValuePage, error)) {
	done(protocol.KeyValuePage{}, nil)
}
func (l *testLeader) Commit(t protocol.Transaction, done func(uint64, error)) {
	l.committed = append(l.committed, t)
	done(0, nil)
}
func (l *testLeader) Watch(_ string, after uint64, _ time.Duration, done func(protocol.Changes, error)) {
	done(protocol.Changes{Revision: after}, nil)
}

func newTestLeader(teams ...storage.Team) *testLeader {
	l := &testLeader{now: time.Minute}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	generation := loop.NewGeneration(l, rand.New(rand.NewPCG(1, 2)))
	l.replica = replica.New(replica.Config{
		Generation: generation, Store: l, View: storage.NewView(teams, 2), Controller: "a", Incarnation: 3, MinWatchInterval: time.Second,
		Log: log, OnChange: func(bool) {},
	})
	l.replica.Start()
	limits := config.KVStore{RequestsPerSecond: 200, WritesPerSecond: 100, ValueKiB: 8, TransactionOperations: 8}.Limits()
	committer := kv.NewCommitter(l, limits, log)
	committer.BeginGeneration(generation)
	l.members = membership.NewRegistry(membership.RegistryConfig{
		Generation: generation, Replica: l.replica, Leadership: l, Controllers: []string{"a", "b"},
		Agents: config.Agents{HeartbeatSeconds: 3, LeaseSeconds: 30, CancelSeconds: 60}, ShardLease: 3 * time.Second,
		OnUnrecordedAgent: func(*protocol.AgentHeartbeat) {},
	})
	l.splitter = NewSplitter(SplitterConfig{Generation: generation, Replica: l.replica, Committer: committer, Leadership: l, Members: l.members})
	return l
}

func (l *testLeader) applyRecord(key string, record any) {
	l.revision++
	l.replica.Apply(protocol.Changes{Revision: l.revision, Events: []protocol.Event{
		{Put: key, Value: storage.Encode(record), Version: l.revision},
	}}, l.now)
}

// TestPartsGrowOnlyAfterAcknowledgement guards against raising a part because of a heartbeat
// that a controller sent before it was granted a shard: that heartbeat does not cover the
// usage on the shard's machines.
func TestPartsGrowOnlyAfterAcknowledgement(t *testing.T) {
	const tokenA, tokenB = 5 << 44, 6 << 44
	l := newTestLeader(storage.Team{Name: "red", MaxCPUs: 8})
	l.applyRecord(storage.KeyJobShards, storage.JobShardsRecord{JobShards: 2})
	l.applyRecord(storage.GrantKey(0), storage.GrantRecord{Controller: "a", Incarnation: 3, FencingToken: tokenA})
	l.applyRecord(storage.GrantKey(1), storage.GrantRecord{Controller: "b", Incarnation: 7, FencingToken: tokenB})
	l.applyRecord(storage.KeyQuotaSplit, storage.QuotaSplitRecord{"red": {quarter, quarter}})
	l.applyRecord(storage.JobKey("run-5"), storage.JobRecord{Spec: protocol.JobSpec{
		ID: "run-5", Team: "red", Kind: protocol.KindArray, Priority: "normal", Tasks: 2, CPUs: 4, MemoryGB: 1,
	}})
	version := l.replica.View.QuotaSplitVersion
	receiveHeartbeat := func(controller string, incarnation uint64, tokens ...uint64) {
		l.members.OnHeartbeat(&protocol.PeerHeartbeat{
			Controller: controller, Incarnation: incarnation, QuotaSplitVersion: version, GrantsWithinQuota: tokens,
		})
	}
	receiveHeartbeat("a", 3, tokenA)
	receiveHeartbeat("b", 7) // sent before b was granted the shard
	l.splitter.Update()
	if len(l.committed) != 0 {
		t.Fatal("a part was raised because of a heartbeat sent before the grant")
	}
	receiveHeartbeat("b", 7, tokenB)
	l.splitter.Update()
	if len(l.committed) != 1 {
		t.Fatal("no part was raised after both holders acknowledged the split")
	}
	if count := len(l.committed[0].Preconditions); count != 4 {
		t.Errorf("the write has %d preconditions, want 4: the leader, the split and both grants", count)
	}
}

// TestOnlyRunnableJobsAddDemand checks that a job has no demand while a dependency is
// unfinished, and has pending demand once the dependency is done.
func TestOnlyRunnableJobsAddDemand(t *testing.T) {
	for _, c := range []struct{ name, kind string }{{"array", protocol.KindArray}, {"service", protocol.KindService}} {
		t.Run(c.name, func(t *testing.T) {
			l := newTestLeader(storage.Team{Name: "red", MaxCPUs: 8})
			l.applyRecord(storage.KeyJobShards, storage.JobShardsRecord{JobShards: 1})
			l.applyRecord(storage.JobKey("run-20"), storage.JobRecord{Spec: protocol.JobSpec{
				ID: "run-20", Team: "red", Kind: c.kind, Priority: "normal", Tasks: 2, CPUs: 2, Dependencies: []string{"run-7"},
			}})
			if d := Demands(l.replica.View)[0][0]; d != (Demand{}) {
				t.Errorf("demand before the dependency is done: %+v", d)
			}
			l.replica.View.SetOutcome("run-7", storage.FinalRecord{Stage: protocol.StageDone})
			if d := Demands(l.replica.View)[0][0]; d != (Demand{Pending: half}) {
				t.Errorf("demand after the dependency is done: %+v", d)
			}
		})
	}
}
