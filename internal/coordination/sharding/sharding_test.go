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

// testLeader is a leader whose clock and store do what a test says, with its assigner.
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
func (l *testLeader) StoreHeardSince() time.Duration                   { return 0 }
func (l *testLeader) Condition() protocol.Condition {
	return protocol.Condition{Key: storage.KeyLeader, Version: l.replica.View.LeaderVersion}
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

// newTestLeader is controller "a", which has just been elected.
func newTestLeader(t *testing.T, shards int, controllers ...string) *testLeader {
	t.Helper()
	l := &testLeader{t: t, now: time.Minute, since: time.Minute}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	generation := loop.NewGeneration(l, rand.New(rand.NewPCG(1, 2)))
	l.replica = replica.New(replica.Config{
		Generation: generation, Store: l, View: storage.NewView(nil, shards), Controller: "a", Incarnation: 3, WatchPause: time.Second,
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

// put lets a record come with the changes.
func (l *testLeader) put(key string, record any) {
	l.revision++
	l.replica.Apply(protocol.Changes{Revision: l.revision, Events: []protocol.Event{
		{Put: key, Value: storage.Encode(record), Version: l.revision},
	}}, l.now)
}

// hear lets a controller be heard now.
func (l *testLeader) hear(controller string, incarnation uint64) {
	l.members.OnHeartbeat(&protocol.PeerHeartbeat{Controller: controller, Incarnation: incarnation})
}

// granted assigns shards and returns to whom each was granted.
func (l *testLeader) granted() map[string]string {
	l.t.Helper()
	l.committed = nil
	l.assigner.Assign()
	to := map[string]string{}
	for _, transaction := range l.committed {
		for _, op := range transaction.Operations {
			var grant storage.GrantRecord
			if err := protocol.Decode(op.Value, &grant); err != nil {
				l.t.Fatal(err)
			}
			to[op.Put] = grant.Controller
		}
	}
	return to
}

// TestAssignment: to whom a leader grants a shard.
func TestAssignment(t *testing.T) {
	grantedTo := func(controller string, incarnation uint64) func(*testLeader) {
		return func(l *testLeader) {
			l.put(storage.GrantKey(0), storage.GrantRecord{Controller: controller, Incarnation: incarnation, FencingToken: 1})
		}
	}
	for _, c := range []struct {
		name   string
		before func(*testLeader)
		after  time.Duration // from the election
		heard  map[string]uint64
		want   string
	}{
		{"nothing before all controllers are heard", func(*testLeader) {}, 0, map[string]uint64{"a": 3}, ""},
		{"to another than the leader", func(*testLeader) {}, 0, map[string]uint64{"a": 3, "b": 5}, "b"},
		{"to those that are heard after a while", func(*testLeader) {}, startupGrace + time.Second, map[string]uint64{"a": 3}, "a"},
		{"a live holder keeps its shard", grantedTo("b", 5), time.Second, map[string]uint64{"a": 3, "b": 5}, ""},
		{"a holder that has restarted gets it anew", grantedTo("b", 4), time.Second, map[string]uint64{"a": 3, "b": 5}, "b"},
		{"a silent holder keeps it for a shard lease", grantedTo("b", 5), testShardLease, map[string]uint64{"a": 3}, ""},
		{"and loses it then", grantedTo("b", 5), testShardLease + time.Second, map[string]uint64{"a": 3}, "a"},
	} {
		l := newTestLeader(t, 1, "a", "b")
		c.before(l)
		l.now += c.after
		for controller, incarnation := range c.heard {
			l.hear(controller, incarnation)
		}
		if got := l.granted()[storage.GrantKey(0)]; got != c.want {
			t.Errorf("%s: granted to %q", c.name, got)
		}
	}
}

// TestLeavingHolderIsReplacedAtOnce: a controller that has given up its shards is not
// waited for.
func TestLeavingHolderIsReplacedAtOnce(t *testing.T) {
	l := newTestLeader(t, 1, "a", "b")
	l.put(storage.GrantKey(0), storage.GrantRecord{Controller: "b", Incarnation: 5, FencingToken: 1})
	l.hear("a", 3)
	l.members.OnHeartbeat(&protocol.PeerHeartbeat{Controller: "b", Incarnation: 5, Leaving: true})
	if got := l.granted()[storage.GrantKey(0)]; got != "a" {
		t.Errorf("granted to %q", got)
	}
}

// TestGrantsDependOnLeadershipAndFormerGrant: a leader that was succeeded, or one of two
// grants of a shard, changes nothing.
func TestGrantsDependOnLeadershipAndFormerGrant(t *testing.T) {
	l := newTestLeader(t, 1, "a", "b")
	l.put(storage.KeyLeader, storage.LeaderRecord{Controller: "a", Incarnation: 3, Term: 4})
	l.put(storage.GrantKey(0), storage.GrantRecord{Controller: "b", Incarnation: 4, FencingToken: 1})
	l.hear("a", 3)
	l.hear("b", 5)
	l.granted()
	if len(l.committed) != 1 {
		t.Fatalf("%d transactions", len(l.committed))
	}
	want := map[string]uint64{storage.KeyLeader: l.replica.View.LeaderVersion, storage.GrantKey(0): l.replica.View.Grants[0].Version}
	for _, condition := range l.committed[0].Conditions {
		if want[condition.Key] != condition.Version {
			t.Errorf("condition %+v", condition)
		}
		delete(want, condition.Key)
	}
	if len(want) > 0 {
		t.Errorf("it does not depend on %v", want)
	}
	l.granted()
	if len(l.committed) != 0 {
		t.Error("granted again before the view can show the first grant")
	}
}

// TestJobShardsAreSettledOnce: three controllers have one job shard, more have two, and
// what is settled stays.
func TestJobShardsAreSettledOnce(t *testing.T) {
	for _, c := range []struct {
		controllers []string
		want        int
	}{
		{[]string{"a", "b", "c"}, 1},
		{[]string{"a", "b", "c", "d", "e"}, 2},
	} {
		l := newTestLeader(t, len(c.controllers), c.controllers...)
		l.assigner.SettleJobShards()
		if len(l.committed) != 1 {
			t.Fatalf("%d transactions", len(l.committed))
		}
		var record storage.JobShardsRecord
		if err := protocol.Decode(l.committed[0].Operations[0].Value, &record); err != nil || record.JobShards != c.want {
			t.Errorf("%d controllers: %d job shards, %v", len(c.controllers), record.JobShards, err)
		}
		l.put(storage.KeyJobShards, record)
		l.now += time.Minute
		l.assigner.SettleJobShards()
		if len(l.committed) != 1 {
			t.Error("settled again")
		}
	}
}

// TestLeases: a holder may act while the grant is its own, the lease runs and its
// knowledge is young enough.
func TestLeases(t *testing.T) {
	l := newTestLeader(t, 2, "a", "b")
	l.put(storage.GrantKey(0), storage.GrantRecord{Controller: "a", Incarnation: 3, FencingToken: 1})
	l.leases.ObserveGrants()
	fresh := func() { l.replica.Apply(protocol.Changes{}, l.now) }
	if !l.leases.MayActFor(0) || l.leases.MayActFor(1) {
		t.Fatal("it does not act for the shard that it was granted, or for another")
	}
	l.now += testShardLease
	fresh()
	if l.leases.MayActFor(0) {
		t.Error("it acts without a lease")
	}
	l.leases.Extend(0, l.now)
	if !l.leases.MayActFor(0) {
		t.Error("it does not act once the lease is extended")
	}
	l.now += testAgents.MaxStaleness()
	l.leases.Extend(0, l.now)
	if l.leases.MayActFor(0) {
		t.Error("it acts with knowledge that is too old")
	}
	fresh()
	if !l.leases.MayActFor(0) {
		t.Error("it does not act with fresh knowledge")
	}
}

// TestFormerIncarnationHoldsNothing: a process that is back at once does not act under the
// grant of its former self.
func TestFormerIncarnationHoldsNothing(t *testing.T) {
	l := newTestLeader(t, 1, "a", "b")
	l.put(storage.GrantKey(0), storage.GrantRecord{Controller: "a", Incarnation: 2, FencingToken: 1})
	l.leases.ObserveGrants()
	if l.leases.Holds(0) || l.leases.MayActFor(0) {
		t.Error("it holds what its former self was granted")
	}
}

// TestRebalance: a controller that holds two job shards gives one to another that has long
// been well and holds none, and not before.
func TestRebalance(t *testing.T) {
	l := newTestLeader(t, 3, "a", "b", "c")
	l.put(storage.KeyJobShards, storage.JobShardsRecord{JobShards: 2})
	for shard := range 3 {
		l.put(storage.GrantKey(shard), storage.GrantRecord{Controller: "b", Incarnation: 5, FencingToken: 1})
	}
	moved := 0
	for step := time.Duration(0); step <= rebalanceAfter+time.Second; step += time.Second {
		l.now += time.Second
		for controller, incarnation := range map[string]uint64{"a": 3, "b": 5, "c": 6} {
			l.hear(controller, incarnation)
		}
		granted := l.granted()
		if len(granted) > 0 && step < rebalanceAfter-time.Second {
			t.Fatalf("after %s: %v", step, granted)
		}
		moved += len(granted)
		for key, controller := range granted {
			if controller != "c" {
				t.Errorf("%s is granted to %s", key, controller)
			}
		}
	}
	if moved != 1 {
		t.Errorf("%d shards moved", moved)
	}
}

// TestUnreachableHolderIsRelieved: a holder that hears none of its agents, while another
// controller does, loses the shard to that one, and gets no job shard until agents reach
// it again.
func TestUnreachableHolderIsRelieved(t *testing.T) {
	l := newTestLeader(t, 1, "a", "b", "c")
	l.put(storage.KeyJobShards, storage.JobShardsRecord{JobShards: 1})
	l.put(storage.GrantKey(0), storage.GrantRecord{Controller: "b", Incarnation: 5, FencingToken: 1})
	group := storage.MachineGroupRecord{Type: "small", Zone: "z"}
	var statuses []protocol.MachineStatus
	for _, name := range []string{"m-1", "m-2", "m-3", "m-4"} {
		group.Machines = append(group.Machines, storage.MachineEntry{Name: name})
		statuses = append(statuses, protocol.MachineStatus{Name: name, Seen: true})
	}
	l.put(storage.MachineGroupKey("g"), group)
	var relieved time.Duration
	for step := time.Second; step <= 20*time.Second && relieved == 0; step += time.Second {
		l.now += time.Second
		l.hear("a", 3)
		l.members.OnHeartbeat(&protocol.PeerHeartbeat{Controller: "b", Incarnation: 5, Machines: statuses, ShardHeardAgo: []time.Duration{-1}})
		l.members.OnHeartbeat(&protocol.PeerHeartbeat{Controller: "c", Incarnation: 6, ShardHeardAgo: []time.Duration{0}})
		if to := l.granted()[storage.GrantKey(0)]; to != "" {
			relieved = step
			if to != "c" {
				t.Errorf("granted to %s", to)
			}
		}
	}
	if relieved < membership.AgentAnswerTimeout {
		t.Errorf("relieved after %s", relieved)
	}
	if !l.assigner.recentlyRelieved("b") {
		t.Error("it may get a job shard at once")
	}
	l.members.OnHeartbeat(&protocol.PeerHeartbeat{Controller: "b", Incarnation: 5, ShardHeardAgo: []time.Duration{0}})
	l.now += time.Second
	l.members.OnHeartbeat(&protocol.PeerHeartbeat{Controller: "b", Incarnation: 5, ShardHeardAgo: []time.Duration{0}})
	if l.assigner.recentlyRelieved("b") {
		t.Error("it gets none although agents reach it")
	}
}
