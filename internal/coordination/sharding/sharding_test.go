package sharding

import (
	"io"
	"log/slog"
	"math/rand/v2"
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

const testShardLease = 3 * time.Second

var testAgents = config.Agents{HeartbeatSeconds: 3, LeaseSeconds: 30, CancelSeconds: 60}

// testLeader is a leader with its assigner and leases. The test controls its clock and store.
type testLeader struct {
	t         *testing.T
	now       time.Duration
	since     time.Duration
	tokens    uint64
	committed []protocol.Transaction
	revision  uint64
	replica   *replica.Replica
	members   *membership.Registry
	assigner  *Assigner
	leases    *Leases
}

func (l *testLeader) Now() time.Duration                               { return l.now }
func (l *testLeader) Wall() time.Time                                  { return time.Unix(1_800_000_000, 0).Add(l.now) }
func (l *testLeader) After(time.Duration, func())                      {}
func (l *testLeader) Get(string, func(protocol.KeyValue, bool, error)) {}
func (l *testLeader) OpenLease(time.Duration, func(uint64, error))     {}
func (l *testLeader) RenewLease(uint64, func(error))                   {}
func (l *testLeader) RevokeLease(uint64, func(error))                  {}
func (l *testLeader) Term() uint64                                     { return 4 }
func (l *testLeader) Since() time.Duration                             { return l.since }
func (l *testLeader) MayAnswer() bool                                  { return true }
func (l *testLeader) LeaseExpiry() time.Duration                       { return l.now + time.Second }
func (l *testLeader) StoreContactSince() time.Duration                 { return 0 }
func (l *testLeader) Precondition() protocol.Precondition {
	return protocol.Precondition{Key: storage.KeyLeader, Version: l.replica.View.LeaderVersion}
}
func (l *testLeader) NextFencingToken() uint64 {
	l.tokens++
	return l.tokens
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

// newTestLeader creates controller "a", which has just been elected.
func newTestLeader(t *testing.T, shards int, controllers ...string) *testLeader {
	t.Helper()
	l := &testLeader{t: t, now: time.Minute, since: time.Minute}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	generation := loop.NewGeneration(l, rand.New(rand.NewPCG(1, 2)))
	l.replica = replica.New(replica.Config{
		Generation: generation, Store: l, View: storage.NewView(nil, shards), Controller: "a", Incarnation: 3, MinWatchInterval: time.Second,
		Log: log, OnChange: func(bool) {},
	})
	l.replica.Start()
	limits := config.KVStore{RequestsPerSecond: 200, WritesPerSecond: 100, ValueKiB: 8, TransactionOperations: 8}.Limits()
	committer := kv.NewCommitter(l, limits, log)
	committer.BeginGeneration(generation)
	l.members = membership.NewRegistry(membership.RegistryConfig{
		Generation: generation, Replica: l.replica, Leadership: l, Controllers: controllers, Agents: testAgents, ShardLease: testShardLease,
		OnUnrecordedAgent: func(*protocol.AgentHeartbeat) {},
	})
	l.assigner = NewAssigner(AssignerConfig{
		Generation: generation, Replica: l.replica, Committer: committer, Leadership: l, Members: l.members, Controllers: controllers,
		Agents: testAgents, ShardLease: testShardLease, Log: log,
	})
	l.leases = NewLeases(LeasesConfig{
		Generation: generation, Replica: l.replica, ShardLease: testShardLease, MaxStaleness: testAgents.MaxStaleness(),
	})
	return l
}

// applyRecord applies a record to the view, as a change read from the store.
func (l *testLeader) applyRecord(key string, record any) {
	l.revision++
	l.replica.Apply(protocol.Changes{Revision: l.revision, Events: []protocol.Event{
		{Put: key, Value: storage.Encode(record), Version: l.revision},
	}}, l.now)
}

// heartbeat delivers a heartbeat of a controller to the leader.
func (l *testLeader) heartbeat(controller string, incarnation uint64) {
	l.members.OnHeartbeat(&protocol.PeerHeartbeat{Controller: controller, Incarnation: incarnation})
}

// assign runs the assigner and returns the new holders by grant key.
func (l *testLeader) assign() map[string]string {
	l.t.Helper()
	l.committed = nil
	l.assigner.Assign()
	holders := map[string]string{}
	for _, transaction := range l.committed {
		for _, op := range transaction.Operations {
			var grant storage.GrantRecord
			if err := protocol.Decode(op.Value, &grant); err != nil {
				l.t.Fatal(err)
			}
			holders[op.Put] = grant.Controller
		}
	}
	return holders
}

// TestAssignment checks to which controller a leader grants a shard.
func TestAssignment(t *testing.T) {
	recordGrant := func(controller string, incarnation uint64) func(*testLeader) {
		return func(l *testLeader) {
			l.applyRecord(storage.GrantKey(0), storage.GrantRecord{Controller: controller, Incarnation: incarnation, FencingToken: 1})
		}
	}
	for _, c := range []struct {
		name   string
		before func(*testLeader)
		after  time.Duration     // since the election
		heard  map[string]uint64 // incarnations of the controllers that send a heartbeat
		want   string
	}{
		{"no grant before heartbeats of all controllers", func(*testLeader) {}, 0, map[string]uint64{"a": 3}, ""},
		{"a controller other than the leader is preferred", func(*testLeader) {}, 0, map[string]uint64{"a": 3, "b": 5}, "b"},
		{"after the startup grace a controller that sent a heartbeat", func(*testLeader) {}, startupGrace + time.Second, map[string]uint64{"a": 3}, "a"},
		{"a live holder retains its shard", recordGrant("b", 5), time.Second, map[string]uint64{"a": 3, "b": 5}, ""},
		{"a restarted holder gets a new grant", recordGrant("b", 4), time.Second, map[string]uint64{"a": 3, "b": 5}, "b"},
		{"a holder without heartbeats retains its shard for a shard lease", recordGrant("b", 5), testShardLease, map[string]uint64{"a": 3}, ""},
		{"a holder without heartbeats loses its shard after a shard lease", recordGrant("b", 5), testShardLease + time.Second, map[string]uint64{"a": 3}, "a"},
	} {
		l := newTestLeader(t, 1, "a", "b")
		c.before(l)
		l.now += c.after
		for controller, incarnation := range c.heard {
			l.heartbeat(controller, incarnation)
		}
		if got := l.assign()[storage.GrantKey(0)]; got != c.want {
			t.Errorf("%s: granted to %q", c.name, got)
		}
	}
}

// TestLeavingHolderIsReplacedImmediately: the shard of a controller that shuts down is granted
// to another controller without waiting for the shard lease to expire.
func TestLeavingHolderIsReplacedImmediately(t *testing.T) {
	l := newTestLeader(t, 1, "a", "b")
	l.applyRecord(storage.GrantKey(0), storage.GrantRecord{Controller: "b", Incarnation: 5, FencingToken: 1})
	l.heartbeat("a", 3)
	l.members.OnHeartbeat(&protocol.PeerHeartbeat{Controller: "b", Incarnation: 5, Leaving: true})
	if got := l.assign()[storage.GrantKey(0)]; got != "a" {
		t.Errorf("granted to %q", got)
	}
}

// TestGrantsDependOnLeadershipAndPreviousGrant: the preconditions of a grant make it fail if
// another leader was elected, or if the shard was granted in the meantime.
func TestGrantsDependOnLeadershipAndPreviousGrant(t *testing.T) {
	l := newTestLeader(t, 1, "a", "b")
	l.applyRecord(storage.KeyLeader, storage.LeaderRecord{Controller: "a", Incarnation: 3, Term: 4})
	l.applyRecord(storage.GrantKey(0), storage.GrantRecord{Controller: "b", Incarnation: 4, FencingToken: 1})
	l.heartbeat("a", 3)
	l.heartbeat("b", 5)
	l.assign()
	if len(l.committed) != 1 {
		t.Fatalf("%d transactions", len(l.committed))
	}
	want := map[string]uint64{storage.KeyLeader: l.replica.View.LeaderVersion, storage.GrantKey(0): l.replica.View.Grants[0].Version}
	for _, precondition := range l.committed[0].Preconditions {
		if want[precondition.Key] != precondition.Version {
			t.Errorf("precondition %+v", precondition)
		}
		delete(want, precondition.Key)
	}
	if len(want) > 0 {
		t.Errorf("missing preconditions %v", want)
	}
	l.assign()
	if len(l.committed) != 0 {
		t.Error("shard granted again before the view can show the first grant")
	}
}

// TestJobShardsAreDecidedOnce: three controllers get one job shard and more controllers get
// two. The number is not changed once it is recorded.
func TestJobShardsAreDecidedOnce(t *testing.T) {
	for _, c := range []struct {
		controllers []string
		want        int
	}{
		{[]string{"a", "b", "c"}, 1},
		{[]string{"a", "b", "c", "d", "e"}, 2},
	} {
		l := newTestLeader(t, len(c.controllers), c.controllers...)
		l.assigner.DecideJobShards()
		if len(l.committed) != 1 {
			t.Fatalf("%d transactions", len(l.committed))
		}
		var record storage.JobShardsRecord
		if err := protocol.Decode(l.committed[0].Operations[0].Value, &record); err != nil || record.JobShards != c.want {
			t.Errorf("%d controllers: %d job shards, %v", len(c.controllers), record.JobShards, err)
		}
		l.applyRecord(storage.KeyJobShards, record)
		l.now += time.Minute
		l.assigner.DecideJobShards()
		if len(l.committed) != 1 {
			t.Error("number of job shards written again")
		}
	}
}

// TestLeases: a holder may act while it holds the grant, the shard lease has not expired and
// its view is fresh enough.
func TestLeases(t *testing.T) {
	l := newTestLeader(t, 2, "a", "b")
	l.applyRecord(storage.GrantKey(0), storage.GrantRecord{Controller: "a", Incarnation: 3, FencingToken: 1})
	l.leases.ObserveGrants()
	refreshView := func() { l.replica.Apply(protocol.Changes{}, l.now) }
	if !l.leases.MayActFor(0) || l.leases.MayActFor(1) {
		t.Fatal("may not act for the granted shard, or may act for another shard")
	}
	l.now += testShardLease
	refreshView()
	if l.leases.MayActFor(0) {
		t.Error("may act after the lease has expired")
	}
	l.leases.Extend(0, l.now)
	if !l.leases.MayActFor(0) {
		t.Error("may not act after the lease is extended")
	}
	l.now += testAgents.MaxStaleness()
	l.leases.Extend(0, l.now)
	if l.leases.MayActFor(0) {
		t.Error("may act with a stale view")
	}
	refreshView()
	if !l.leases.MayActFor(0) {
		t.Error("may not act with a fresh view")
	}
}

// TestEarlierIncarnationHoldsNoShard: a controller that restarts quickly does not act under the
// grant of its earlier incarnation.
func TestEarlierIncarnationHoldsNoShard(t *testing.T) {
	l := newTestLeader(t, 1, "a", "b")
	l.applyRecord(storage.GrantKey(0), storage.GrantRecord{Controller: "a", Incarnation: 2, FencingToken: 1})
	l.leases.ObserveGrants()
	if l.leases.Holds(0) || l.leases.MayActFor(0) {
		t.Error("holds the shard granted to its earlier incarnation")
	}
}

// TestRebalance: one of two job shards of a controller moves to a controller that has none, but
// only after that controller has been healthy for rebalanceAfter.
func TestRebalance(t *testing.T) {
	l := newTestLeader(t, 3, "a", "b", "c")
	l.applyRecord(storage.KeyJobShards, storage.JobShardsRecord{JobShards: 2})
	for shard := range 3 {
		l.applyRecord(storage.GrantKey(shard), storage.GrantRecord{Controller: "b", Incarnation: 5, FencingToken: 1})
	}
	moved := 0
	for step := time.Duration(0); step <= rebalanceAfter+time.Second; step += time.Second {
		l.now += time.Second
		for controller, incarnation := range map[string]uint64{"a": 3, "b": 5, "c": 6} {
			l.heartbeat(controller, incarnation)
		}
		granted := l.assign()
		if len(granted) > 0 && step < rebalanceAfter-time.Second {
			t.Fatalf("after %s: %v", step, granted)
		}
		moved += len(granted)
		for key, controller := range granted {
			if controller != "c" {
				t.Errorf("%s granted to %s", key, controller)
			}
		}
	}
	if moved != 1 {
		t.Errorf("%d shards moved", moved)
	}
}

// TestUnreachableHolderIsReplaced: if a holder hears from none of its agents while
// another controller hears from them, the shard moves to that controller. The earlier holder
// gets no job shard until agents reach it again.
func TestUnreachableHolderIsReplaced(t *testing.T) {
	l := newTestLeader(t, 1, "a", "b", "c")
	l.applyRecord(storage.KeyJobShards, storage.JobShardsRecord{JobShards: 1})
	l.applyRecord(storage.GrantKey(0), storage.GrantRecord{Controller: "b", Incarnation: 5, FencingToken: 1})
	group := storage.MachineGroupRecord{Type: "small", Zone: "z"}
	var statuses []protocol.MachineStatus
	for _, name := range []string{"m-1", "m-2", "m-3", "m-4"} {
		group.Machines = append(group.Machines, storage.MachineEntry{Name: name})
		statuses = append(statuses, protocol.MachineStatus{Name: name, Seen: true})
	}
	l.applyRecord(storage.MachineGroupKey("g"), group)
	var replacedAfter time.Duration
	for step := time.Second; step <= 20*time.Second && replacedAfter == 0; step += time.Second {
		l.now += time.Second
		l.heartbeat("a", 3)
		l.members.OnHeartbeat(&protocol.PeerHeartbeat{Controller: "b", Incarnation: 5, Machines: statuses, ShardHeartbeatAges: []time.Duration{-1}})
		l.members.OnHeartbeat(&protocol.PeerHeartbeat{Controller: "c", Incarnation: 6, ShardHeartbeatAges: []time.Duration{0}})
		if holder := l.assign()[storage.GrantKey(0)]; holder != "" {
			replacedAfter = step
			if holder != "c" {
				t.Errorf("granted to %s", holder)
			}
		}
	}
	if replacedAfter < membership.AgentAnswerTimeout {
		t.Errorf("replaced after %s", replacedAfter)
	}
	if !l.assigner.recentlyUnreachable("b") {
		t.Error("the earlier holder may get a job shard immediately")
	}
	l.members.OnHeartbeat(&protocol.PeerHeartbeat{Controller: "b", Incarnation: 5, ShardHeartbeatAges: []time.Duration{0}})
	l.now += time.Second
	l.members.OnHeartbeat(&protocol.PeerHeartbeat{Controller: "b", Incarnation: 5, ShardHeartbeatAges: []time.Duration{0}})
	if l.assigner.recentlyUnreachable("b") {
		t.Error("the earlier holder may get no job shard although agents reach it")
	}
}
