package membership

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
	"rockrun/internal/coordination/replica"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// testLeader is a leader whose clock and store do what a test says.
type testLeader struct {
	now             time.Duration
	committed       []protocol.Transaction
	commitErr       error
	silenced        bool
	storeHeardSince time.Duration
	revision        uint64
	replica         *replica.Replica
	generation      *loop.Generation
}

func (l *testLeader) Now() time.Duration                               { return l.now }
func (l *testLeader) Wall() time.Time                                  { return time.Unix(1_800_000_000, 0).Add(l.now) }
func (l *testLeader) After(time.Duration, func())                      {}
func (l *testLeader) Get(string, func(protocol.KeyValue, bool, error)) {}
func (l *testLeader) OpenLease(time.Duration, func(uint64, error))     {}
func (l *testLeader) RenewLease(uint64, func(error))                   {}
func (l *testLeader) RevokeLease(uint64, func(error))                  {}
func (l *testLeader) Term() uint64                                     { return 4 }
func (l *testLeader) MayAnswer() bool                                  { return !l.silenced }
func (l *testLeader) StoreHeardSince() time.Duration                   { return l.storeHeardSince }
func (l *testLeader) List(_, _ string, d func(protocol.KeyValuePage, error)) {
	d(protocol.KeyValuePage{}, nil)
}
func (l *testLeader) Commit(t protocol.Transaction, done func(uint64, error)) {
	l.committed = append(l.committed, t)
	done(0, l.commitErr)
}
func (l *testLeader) Watch(_ string, after uint64, _ time.Duration, done func(protocol.Changes, error)) {
	done(protocol.Changes{Revision: after}, nil)
}

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

func newTestLeader() *testLeader {
	l := &testLeader{now: time.Minute}
	l.generation = loop.NewGeneration(l, rand.New(rand.NewPCG(1, 2)))
	l.replica = replica.New(replica.Config{
		Generation: l.generation, Store: l, View: storage.NewView(nil, 2), Controller: "a", Incarnation: 3, WatchPause: time.Second,
		Log: quiet, OnChange: func(bool) {},
	})
	l.replica.Start()
	return l
}

// put lets a record come with the changes.
func (l *testLeader) put(key string, record any) {
	l.revision++
	l.replica.Apply(protocol.Changes{Revision: l.revision, Events: []protocol.Event{
		{Put: key, Value: storage.Encode(record), Version: l.revision},
	}}, l.now)
}

const testShardLease = 3 * time.Second

func (l *testLeader) registry(controllers ...string) *Registry {
	return NewRegistry(RegistryConfig{
		Generation: l.generation, Replica: l.replica, Leadership: l, Controllers: controllers,
		Agents: config.Agents{HeartbeatSeconds: 3, LeaseSeconds: 30, CancelSeconds: 60}, ShardLease: testShardLease,
		OnUnrecordedAgent: func(*protocol.AgentHeartbeat) {},
	})
}

// TestHealthyControllers: a controller counts as healthy that is alive and fresh, is not
// leaving, holds other shards than the batch shard and is not the one that asks.
func TestHealthyControllers(t *testing.T) {
	l := newTestLeader()
	l.put(storage.GrantKey(storage.BatchShard), storage.GrantRecord{Controller: "b", Incarnation: 1, FencingToken: 1})
	r := l.registry("a", "b", "c", "d", "e", "f")
	at := l.now - time.Second
	r.peers = map[string]*Peer{
		"a": {HeardAt: at, Fresh: true}, "b": {HeardAt: at, Fresh: true}, "c": {HeardAt: at, Fresh: true},
		"d": {HeardAt: at}, "e": {HeardAt: l.now - 2*PeerTimeout, Fresh: true}, "f": {HeardAt: at, Fresh: true, Leaving: true},
	}
	if n := r.healthyBesides("b"); n != 2 {
		t.Errorf("%d are healthy beside the holder", n)
	}
	if n := r.healthyBesides("a"); n != 1 {
		t.Errorf("%d are healthy beside the leader", n)
	}
}

// TestHeartbeatConfirmsGrants: the reply names the shards granted to the sender's present
// incarnation, and nothing is confirmed to an earlier one or by a leader that may have
// been succeeded.
func TestHeartbeatConfirmsGrants(t *testing.T) {
	l := newTestLeader()
	l.put(storage.GrantKey(0), storage.GrantRecord{Controller: "b", Incarnation: 5, FencingToken: 1})
	l.put(storage.GrantKey(1), storage.GrantRecord{Controller: "b", Incarnation: 4, FencingToken: 2})
	r := l.registry("a", "b")
	reply := r.OnHeartbeat(&protocol.PeerHeartbeat{Controller: "b", Incarnation: 5, SentAt: time.Second})
	if !reply.Leader || reply.Term != 4 || reply.SentAt != time.Second || !slices.Equal(reply.Shards, []int{0}) {
		t.Errorf("%+v", reply)
	}
	if reply := r.OnHeartbeat(&protocol.PeerHeartbeat{Controller: "b", Incarnation: 4}); reply.Leader {
		t.Errorf("a late copy from an earlier incarnation: %+v", reply)
	}
	l.silenced = true
	if reply := r.OnHeartbeat(&protocol.PeerHeartbeat{Controller: "b", Incarnation: 5}); reply.Leader {
		t.Errorf("a leader that may not answer: %+v", reply)
	}
}

// TestPartitionedFromStore: a controller that the store alone refuses is confirmed nothing,
// but only while the leader itself has heard from the store for long.
func TestPartitionedFromStore(t *testing.T) {
	l := newTestLeader()
	l.put(storage.GrantKey(0), storage.GrantRecord{Controller: "b", Incarnation: 5, FencingToken: 1})
	r := l.registry("a", "b")
	stale := &protocol.PeerHeartbeat{Controller: "b", Incarnation: 5, StoreStaleness: testShardLease + time.Second}
	if reply := r.OnHeartbeat(stale); len(reply.Shards) != 0 {
		t.Errorf("confirmed to a controller that is partitioned from the store: %+v", reply)
	}
	l.storeHeardSince = l.now
	if reply := r.OnHeartbeat(stale); len(reply.Shards) != 1 {
		t.Errorf("not confirmed after an outage for all: %+v", reply)
	}
}

// TestSilenceOutlivesTheHolder: a machine that was silent before its holder changed goes
// on being so for the new one.
func TestSilenceOutlivesTheHolder(t *testing.T) {
	l := newTestLeader()
	r := l.registry("a", "b")
	silent := 20 * time.Second
	r.OnHeartbeat(&protocol.PeerHeartbeat{Controller: "a", Incarnation: 3, Machines: []protocol.MachineStatus{
		{Name: "m-1", Seen: true, Silent: silent}, {Name: "m-2", Seen: true, Silent: time.Second},
	}})
	r.OnHeartbeat(&protocol.PeerHeartbeat{Controller: "b", Incarnation: 5, Machines: []protocol.MachineStatus{
		{Name: "m-1", Silent: time.Second}, {Name: "m-2", Silent: time.Second},
	}})
	machines := r.Peer("b").machines
	if got := machines["m-1"].Silent; got != silent+time.Second {
		t.Errorf("silent for %s", got)
	}
	if got := machines["m-2"].Silent; got != time.Second {
		t.Errorf("one that was heard is silent for %s", got)
	}
}

// TestLivenessRecordsCountOnce: a record that was there when the registry was made says
// nothing; a new version of it shows that its controller is alive.
func TestLivenessRecordsCountOnce(t *testing.T) {
	l := newTestLeader()
	l.put(storage.LivenessKey("b"), storage.LivenessRecord{Incarnation: 5})
	r := l.registry("a", "b")
	r.ApplyLiveness()
	if r.Peer("b") != nil {
		t.Error("an old record counts")
	}
	l.put(storage.LivenessKey("b"), storage.LivenessRecord{Incarnation: 5})
	r.ApplyLiveness()
	if p := r.Peer("b"); p == nil || p.HeardAt != l.now || p.Incarnation != 5 {
		t.Errorf("%+v", p)
	}
}

// testHoldings are the shards that a reporter speaks of.
type testHoldings struct{ extended map[int]time.Duration }

func (h *testHoldings) Holds(shard int) bool                      { return shard == 0 }
func (h *testHoldings) Extend(shard int, from time.Duration)      { h.extended[shard] = from }
func (h *testHoldings) HeardAt() []time.Duration                  { return []time.Duration{0, time.Second} }
func (h *testHoldings) MachineStatuses() []protocol.MachineStatus { return nil }
func (h *testHoldings) GrantsWithinQuota() []uint64               { return []uint64{9} }

// silentPeers never answer.
type silentPeers struct{}

func (silentPeers) SendRequest(string, protocol.PeerRequest, func(protocol.PeerAnswer, error)) {}

func (l *testLeader) reporter(holdings *testHoldings) *Reporter {
	limits := config.KVStore{RequestsPerSecond: 200, WritesPerSecond: 100, ValueKiB: 8, TransactionOperations: 8}.Limits()
	committer := kv.NewCommitter(l, limits, quiet)
	committer.BeginGeneration(l.generation)
	return NewReporter(ReporterConfig{
		Generation: l.generation, Replica: l.replica, Committer: committer, Peers: silentPeers{}, Leases: holdings, Holdings: holdings,
		ShardLease: testShardLease, Log: quiet, Registry: func() *Registry { return nil },
	})
}

// TestRepliesExtendLeases: a reply counts from when the heartbeat was sent, and only if it
// is from the leader of the present term.
func TestRepliesExtendLeases(t *testing.T) {
	l := newTestLeader()
	l.put(storage.KeyLeader, storage.LeaderRecord{Controller: "b", Incarnation: 1, Term: 4})
	holdings := &testHoldings{extended: map[int]time.Duration{}}
	r := l.reporter(holdings)
	r.OnReply(&protocol.PeerHeartbeatReply{Leader: true, Term: 3, SentAt: time.Second, Shards: []int{0}})
	r.OnReply(&protocol.PeerHeartbeatReply{Term: 4, SentAt: time.Second, Shards: []int{0}})
	if len(holdings.extended) != 0 {
		t.Errorf("extended by who does not lead: %v", holdings.extended)
	}
	r.OnReply(&protocol.PeerHeartbeatReply{Leader: true, Term: 4, SentAt: 2 * time.Second, Shards: []int{0, 1}, HealthyPeers: 2})
	if len(holdings.extended) != 1 || holdings.extended[0] != 2*time.Second {
		t.Errorf("extended: %v", holdings.extended)
	}
	if n := r.KnownHealthyPeers(); n != 2 {
		t.Errorf("%d healthy peers", n)
	}
	l.now += PeerTimeout
	if n := r.KnownHealthyPeers(); n != 0 {
		t.Errorf("%d healthy peers long after the leader was heard", n)
	}
}

// TestLivenessRecordDependsOnGrants: a controller that the leader does not answer writes a
// liveness record that depends on the grants it holds, and its success extends their leases.
func TestLivenessRecordDependsOnGrants(t *testing.T) {
	l := newTestLeader()
	l.put(storage.KeyLeader, storage.LeaderRecord{Controller: "b", Incarnation: 1, Term: 4})
	l.put(storage.KeyJobShards, storage.JobShardsRecord{JobShards: 2})
	holdings := &testHoldings{extended: map[int]time.Duration{}}
	r := l.reporter(holdings)
	r.WriteLiveness()
	if len(l.committed) != 0 {
		t.Fatal("written while the leader was heard a moment ago")
	}
	l.now += testShardLease
	r.WriteLiveness()
	r.WriteLiveness()
	if len(l.committed) != 1 {
		t.Fatalf("%d transactions", len(l.committed))
	}
	conditions := l.committed[0].Conditions
	if len(conditions) != 2 || conditions[1].Key != storage.GrantKey(0) {
		t.Errorf("conditions %v", conditions)
	}
	if holdings.extended[0] != l.now {
		t.Errorf("extended: %v", holdings.extended)
	}
}
