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

// testLeader is a leader with a scripted clock and store.
type testLeader struct {
	now               time.Duration
	committed         []protocol.Transaction
	commitErr         error
	mayNotAnswer      bool
	leaseExpiry       time.Duration
	storeContactSince time.Duration
	revision          uint64
	replica           *replica.Replica
	generation        *loop.Generation
}

func (l *testLeader) Now() time.Duration                               { return l.now }
func (l *testLeader) Wall() time.Time                                  { return time.Unix(1_800_000_000, 0).Add(l.now) }
func (l *testLeader) After(time.Duration, func())                      {}
func (l *testLeader) Get(string, func(protocol.KeyValue, bool, error)) {}
func (l *testLeader) OpenLease(time.Duration, func(uint64, error))     {}
func (l *testLeader) RenewLease(uint64, func(error))                   {}
func (l *testLeader) RevokeLease(uint64, func(error))                  {}
func (l *testLeader) Term() uint64                                     { return 4 }
func (l *testLeader) MayAnswer() bool                                  { return !l.mayNotAnswer }
func (l *testLeader) LeaseExpiry() time.Duration                       { return l.leaseExpiry }
func (l *testLeader) StoreContactSince() time.Duration                 { return l.storeContactSince }
func (l *testLeader) List(_, _ string, done func(protocol.KeyValuePage, error)) {
	done(protocol.KeyValuePage{}, nil)
}
func (l *testLeader) Commit(t protocol.Transaction, done func(uint64, error)) {
	l.committed = append(l.committed, t)
	done(0, l.commitErr)
}
func (l *testLeader) Watch(_ string, after uint64, _ time.Duration, done func(protocol.Changes, error)) {
	done(protocol.Changes{Revision: after}, nil)
}

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

func newTestLeader() *testLeader {
	l := &testLeader{now: time.Minute, leaseExpiry: time.Hour}
	l.generation = loop.NewGeneration(l, rand.New(rand.NewPCG(1, 2)))
	l.replica = replica.New(replica.Config{
		Generation: l.generation, Store: l, View: storage.NewView(nil, 2), Controller: "a", Incarnation: 3, MinWatchInterval: time.Second,
		Log: discardLog, OnChange: func(bool) {},
	})
	l.replica.Start()
	return l
}

// applyRecord delivers a record to the view as a change.
func (l *testLeader) applyRecord(key string, record any) {
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
		OnUnrecordedAgent: func(*protocol.AgentHeartbeat) {}, Log: discardLog,
	})
}

// TestCountHealthyExcept: a controller counts as healthy if it is alive with a fresh view, is
// not leaving, does not hold the batch shard and is not the excluded controller.
func TestCountHealthyExcept(t *testing.T) {
	l := newTestLeader()
	l.applyRecord(storage.GrantKey(storage.BatchShard), storage.GrantRecord{Controller: "b", Incarnation: 1, FencingToken: 1})
	r := l.registry("a", "b", "c", "d", "e", "f")
	contactAt := l.now - time.Second
	r.peers = map[string]*Peer{
		"a": {LastContactAt: contactAt, Fresh: true}, "b": {LastContactAt: contactAt, Fresh: true}, "c": {LastContactAt: contactAt, Fresh: true},
		"d": {LastContactAt: contactAt}, "e": {LastContactAt: l.now - 2*PeerTimeout, Fresh: true}, "f": {LastContactAt: contactAt, Fresh: true, Leaving: true},
	}
	if n := r.countHealthyExcept("b"); n != 2 {
		t.Errorf("%d healthy controllers except the holder of the batch shard, want 2", n)
	}
	if n := r.countHealthyExcept("a"); n != 1 {
		t.Errorf("%d healthy controllers except the leader, want 1", n)
	}
}

// TestHeartbeatConfirmsGrants: the reply names the shards granted to the sender's current
// incarnation. An earlier incarnation gets no confirmation, and neither does any sender once
// another leader may have been elected.
func TestHeartbeatConfirmsGrants(t *testing.T) {
	l := newTestLeader()
	l.applyRecord(storage.GrantKey(0), storage.GrantRecord{Controller: "b", Incarnation: 5, FencingToken: 1})
	l.applyRecord(storage.GrantKey(1), storage.GrantRecord{Controller: "b", Incarnation: 4, FencingToken: 2})
	r := l.registry("a", "b")
	reply := r.OnHeartbeat(&protocol.PeerHeartbeat{Controller: "b", Incarnation: 5, SentAt: time.Second})
	if !reply.Leader || reply.Term != 4 || reply.SentAt != time.Second || !slices.Equal(reply.Shards, []int{0}) {
		t.Errorf("reply %+v, want shard 0 confirmed in term 4", reply)
	}
	if reply := r.OnHeartbeat(&protocol.PeerHeartbeat{Controller: "b", Incarnation: 4}); reply.Leader {
		t.Errorf("delayed heartbeat from an earlier incarnation confirmed: %+v", reply)
	}
	l.mayNotAnswer = true
	if reply := r.OnHeartbeat(&protocol.PeerHeartbeat{Controller: "b", Incarnation: 5}); reply.Leader {
		t.Errorf("confirmed by a leader that may not answer: %+v", reply)
	}
}

// TestLeaderWithoutLeaseConfirmsNothing guards against two holders of a shard: a leader that is
// partitioned from the store and from the other controllers confirmed its own grants beside its
// successor. Only while most controllers reach it, and none of them reaches the store, may it take
// the loss of its lease for an outage of the store.
func TestLeaderWithoutLeaseConfirmsNothing(t *testing.T) {
	const sinceExpiry = 5 * time.Second
	for _, c := range []struct {
		name string
		// staleness is that of the peers whose heartbeats reach the leader after its lease expired.
		staleness map[string]time.Duration
		confirms  bool
	}{
		{"partitioned from all", nil, false},
		{"one of four peers, without the store", map[string]time.Duration{"b": time.Minute}, false},
		{"two of four peers, without the store", map[string]time.Duration{"b": time.Minute, "c": sinceExpiry + time.Second}, true},
		{"all peers, one of them with the store", map[string]time.Duration{"b": time.Minute, "c": time.Minute, "d": time.Second, "e": time.Minute}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newTestLeader()
			l.applyRecord(storage.GrantKey(0), storage.GrantRecord{Controller: "a", Incarnation: 3, FencingToken: 1})
			r := l.registry("a", "b", "c", "d", "e")
			for _, peer := range []string{"b", "c", "d", "e"} { // too old to count once the lease has expired
				r.OnHeartbeat(&protocol.PeerHeartbeat{Controller: peer, Incarnation: 5})
			}
			l.now += PeerTimeout
			l.leaseExpiry, l.storeContactSince = l.now-sinceExpiry, l.now
			for peer, staleness := range c.staleness {
				r.OnHeartbeat(&protocol.PeerHeartbeat{Controller: peer, Incarnation: 5, StoreStaleness: staleness})
			}
			own := &protocol.PeerHeartbeat{Controller: "a", Incarnation: 3, StoreStaleness: 2 * sinceExpiry}
			if reply := r.OnHeartbeat(own); (len(reply.Shards) > 0) != c.confirms || reply.Leader != c.confirms {
				t.Errorf("reply %+v", reply)
			}
			l.leaseExpiry = l.now + time.Second
			if reply := r.OnHeartbeat(own); len(reply.Shards) != 1 {
				t.Errorf("not confirmed after the lease was renewed: %+v", reply)
			}
		})
	}
}

// TestPartitionedFromStore: a controller that alone has lost contact with the store gets no
// confirmation. This applies only once the leader has had contact with the store for longer than
// a shard lease.
func TestPartitionedFromStore(t *testing.T) {
	l := newTestLeader()
	l.applyRecord(storage.GrantKey(0), storage.GrantRecord{Controller: "b", Incarnation: 5, FencingToken: 1})
	r := l.registry("a", "b")
	stale := &protocol.PeerHeartbeat{Controller: "b", Incarnation: 5, StoreStaleness: testShardLease + time.Second}
	if reply := r.OnHeartbeat(stale); len(reply.Shards) != 0 {
		t.Errorf("grants confirmed to a controller that is partitioned from the store: %+v", reply)
	}
	l.storeContactSince = l.now
	if reply := r.OnHeartbeat(stale); len(reply.Shards) != 1 {
		t.Errorf("grants not confirmed after a store outage for all controllers: %+v", reply)
	}
}

// TestSilenceSurvivesHolderChange: if a machine was silent before its holder changed, the
// silence under the new holder is added to the earlier one.
func TestSilenceSurvivesHolderChange(t *testing.T) {
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
		t.Errorf("machine that was silent before: silent for %s, want %s", got, silent+time.Second)
	}
	if got := machines["m-2"].Silent; got != time.Second {
		t.Errorf("machine that was not silent before: silent for %s, want 1s", got)
	}
}

// TestLivenessRecordsAppliedOnce: a liveness record that exists when the registry is created is
// ignored. A new version of the record shows that its controller is alive.
func TestLivenessRecordsAppliedOnce(t *testing.T) {
	l := newTestLeader()
	l.applyRecord(storage.LivenessKey("b"), storage.LivenessRecord{Incarnation: 5})
	r := l.registry("a", "b")
	r.ApplyLiveness()
	if r.Peer("b") != nil {
		t.Error("a record from before the registry was created counts as contact")
	}
	l.applyRecord(storage.LivenessKey("b"), storage.LivenessRecord{Incarnation: 5})
	r.ApplyLiveness()
	if p := r.Peer("b"); p == nil || p.LastContactAt != l.now || p.Incarnation != 5 {
		t.Errorf("peer %+v after a new liveness record of incarnation 5", p)
	}
}

// testHoldings holds shard 0 and records extensions of shard leases.
type testHoldings struct{ extended map[int]time.Duration }

func (h *testHoldings) Holds(shard int) bool                      { return shard == 0 }
func (h *testHoldings) Extend(shard int, from time.Duration)      { h.extended[shard] = from }
func (h *testHoldings) AgentContactTimes() []time.Duration        { return []time.Duration{0, time.Second} }
func (h *testHoldings) MachineStatuses() []protocol.MachineStatus { return nil }
func (h *testHoldings) GrantsWithinQuota() []uint64               { return []uint64{9} }

// unresponsivePeers never answers a request.
type unresponsivePeers struct{}

func (unresponsivePeers) SendRequest(string, protocol.PeerRequest, func(protocol.PeerAnswer, error)) {
}

func (l *testLeader) reporter(holdings *testHoldings) *Reporter {
	limits := config.KVStore{RequestsPerSecond: 200, WritesPerSecond: 100, ValueKiB: 8, TransactionOperations: 8}.Limits()
	committer := kv.NewCommitter(l, limits, discardLog)
	committer.BeginGeneration(l.generation)
	return NewReporter(ReporterConfig{
		Generation: l.generation, Replica: l.replica, Committer: committer, Peers: unresponsivePeers{}, Leases: holdings, Holdings: holdings,
		ShardLease: testShardLease, Log: discardLog, Registry: func() *Registry { return nil },
	})
}

// TestRepliesExtendLeases: a reply extends shard leases from the time its heartbeat was sent,
// and only if it is from the leader of the current term.
func TestRepliesExtendLeases(t *testing.T) {
	l := newTestLeader()
	l.applyRecord(storage.KeyLeader, storage.LeaderRecord{Controller: "b", Incarnation: 1, Term: 4})
	holdings := &testHoldings{extended: map[int]time.Duration{}}
	r := l.reporter(holdings)
	r.OnReply(&protocol.PeerHeartbeatReply{Leader: true, Term: 3, SentAt: time.Second, Shards: []int{0}})
	r.OnReply(&protocol.PeerHeartbeatReply{Term: 4, SentAt: time.Second, Shards: []int{0}})
	if len(holdings.extended) != 0 {
		t.Errorf("leases extended by a controller that does not lead: %v", holdings.extended)
	}
	r.OnReply(&protocol.PeerHeartbeatReply{Leader: true, Term: 4, SentAt: 2 * time.Second, Shards: []int{0, 1}, HealthyPeers: 2})
	if len(holdings.extended) != 1 || holdings.extended[0] != 2*time.Second {
		t.Errorf("leases extended: %v, want shard 0 from 2s", holdings.extended)
	}
	if n := r.KnownHealthyPeers(); n != 2 {
		t.Errorf("%d healthy peers, want 2", n)
	}
	l.now += PeerTimeout
	if n := r.KnownHealthyPeers(); n != 0 {
		t.Errorf("%d healthy peers after the leader's reply expired, want 0", n)
	}
}

// TestLivenessRecordDependsOnGrants: a controller that the leader does not answer writes a
// liveness record with its grants as preconditions. A successful write extends their leases.
func TestLivenessRecordDependsOnGrants(t *testing.T) {
	l := newTestLeader()
	l.applyRecord(storage.KeyLeader, storage.LeaderRecord{Controller: "b", Incarnation: 1, Term: 4})
	l.applyRecord(storage.KeyJobShards, storage.JobShardsRecord{JobShards: 2})
	holdings := &testHoldings{extended: map[int]time.Duration{}}
	r := l.reporter(holdings)
	r.WriteLiveness()
	if len(l.committed) != 0 {
		t.Fatal("liveness record written although the leader has just answered")
	}
	l.now += testShardLease
	r.WriteLiveness()
	r.WriteLiveness()
	if len(l.committed) != 1 {
		t.Fatalf("%d transactions, want 1", len(l.committed))
	}
	preconditions := l.committed[0].Preconditions
	if len(preconditions) != 2 || preconditions[1].Key != storage.GrantKey(0) {
		t.Errorf("preconditions %v, want the liveness record and the grant of shard 0", preconditions)
	}
	if holdings.extended[0] != l.now {
		t.Errorf("leases extended: %v, want shard 0 from %s", holdings.extended, l.now)
	}
}
