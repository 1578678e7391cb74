// Package coordination decides: who leads, which controller holds which
// machines, what runs where, which machines are rented and given back.
//
// A Node runs on one goroutine. Everything that happens to it (a report, a
// user's request, an answer, a timer) is a call on that goroutine, and
// everything it wants done leaves through small interfaces that answer by
// calling back. Time comes from Clock alone, so the same code runs against real
// sockets and, in package scenario, against stand-ins in virtual time.
package coordination

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"rockrun/internal/config"
	"rockrun/internal/coordination/kv"
	"rockrun/internal/coordination/loop"
	"rockrun/internal/coordination/replica"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// Cloud rents machines.
type Cloud interface {
	MachineTypes(done func(protocol.MachineTypeCatalogue, error))
	CreateMachines(r protocol.CreateMachinesRequest, done func([]string, error))
	DeleteMachines(names []string, done func(error))
	ListMachines(done func([]protocol.CloudMachine, error))
}

// Workers takes commands for workers.
type Agents interface {
	Execute(addr string, o protocol.CommandRequest, done func(*protocol.AgentHeartbeat, bool, error))
}

// Peers carries messages to other controllers.
type Peers interface {
	Ask(node string, r protocol.PeerRequest, done func(protocol.PeerAnswer, error))
}

// Config is all that a Controller is made of.
type Config struct {
	Settings *config.Settings
	Options  config.Options
	Clock    loop.Clock
	Store    kv.Store
	Cloud    Cloud
	Agents   Agents
	Peers    Peers
	Rand     *rand.Rand
	Log      *slog.Logger
}

// Times of the controller's own loops. They follow from nothing in the settings; all are
// far below the leases they serve.
const (
	tickInterval          = 250 * time.Millisecond
	peerHeartbeatInterval = 500 * time.Millisecond
	leaderLeaseTTL        = 4 * time.Second
	leaderRenewInterval   = time.Second
	peerTimeout           = 3 * time.Second // a heartbeat younger than this shows a live controller
)

// Controller is one process of the service.
type Controller struct {
	Config
	index       int      // among all controllers, by name
	controllers []string // all controllers, by name
	shardCount  int

	generation   *loop.Generation
	view         *storage.View
	replica      *replica.Replica
	committer    *kv.Committer
	watchPause   time.Duration
	finalRecords map[string]storage.FinalRecord

	candidacyInFlight bool
	candidacyAt       time.Duration
	candidateLeases   map[uint64]bool // leases opened for an election
	leadership        *leadership

	shardLease       time.Duration
	maxStaleness     time.Duration
	shardLeaseExpiry []time.Duration // by shard
	grantSeenAt      []time.Duration // by shard: when the grant in force was first seen
	shardHeardAt     []time.Duration // by shard: when one of its agents last sent a heartbeat here; 0: never
	leaderAnsweredAt time.Duration   // when the leader's last answer that counts came
	healthyPeerCount int             // what it said of the others then
	nextLivenessAt   time.Duration   // no liveness record is written before

	notices              map[string]*cancellationNotices // by controller
	reconciler           *reconciler
	unrecordedHeartbeats map[string]protocol.AgentHeartbeat
	outcomes             *outcomeReader
	recentlyAccepted     recentSubmissions
	stats                stats
}

// New makes a controller; Start sets it going.
func New(c Config) *Controller {
	n := &Controller{Config: c}
	n.controllers = []string{c.Settings.Controller}
	for _, peer := range c.Settings.Peers {
		n.controllers = append(n.controllers, peer.Controller)
	}
	slices.Sort(n.controllers)
	n.index = slices.Index(n.controllers, c.Settings.Controller)
	n.shardCount = len(n.controllers)
	n.shardLease = c.Options.ShardLease(c.Settings.Cluster.Agents)
	n.maxStaleness = c.Settings.Cluster.Agents.MaxStaleness()
	n.finalRecords = map[string]storage.FinalRecord{}
	limits := c.Settings.Cluster.KVStore.Limits()
	n.committer = kv.NewCommitter(c.Store, limits, c.Log)
	n.watchPause = watchPause(len(n.controllers), limits)
	return n
}

// watchPause is the pause between two reads of the changes with which all controllers
// together use a quarter of the requests that the store allows.
func watchPause(controllers int, limits config.StoreLimits) time.Duration {
	const (
		shareDivisor = 4
		minPause     = 20 * time.Millisecond
	)
	return max(minPause, time.Duration(shareDivisor*float64(controllers)/limits.RequestRate*float64(time.Second)))
}

// Start begins the node's loops. It must be called on the node's goroutine.
func (n *Controller) Start() {
	n.begin()
	var tick func()
	tick = func() {
		if n.generation.Stopping() {
			return
		}
		n.tick()
		n.Clock.After(tickInterval, tick)
	}
	tick()
	var heartbeat func()
	heartbeat = func() {
		if n.generation.Stopping() {
			return
		}
		n.sendPeerHeartbeat()
		n.Clock.After(peerHeartbeatInterval, heartbeat)
	}
	n.Clock.After(peerHeartbeatInterval, heartbeat)
}

// Stop ends the controller's part in the service: it acts for no shard any more, tells
// the leader so, or gives up the leadership. done is called once that is known, or got
// no answer.
func (n *Controller) Stop(done func()) {
	n.generation.Stop()
	if n.leadership == nil {
		n.sendPeerHeartbeat()
		n.Clock.After(300*time.Millisecond, done)
		return
	}
	lease := n.leadership.lease
	n.leadership = nil
	n.Store.RevokeLease(lease, func(error) { done() })
}

// begin starts a new generation with an empty view. It is used at the start and whenever
// the controller has lost track of the store's changes; what an earlier generation held
// is granted anew under a higher token, which fences whatever it left behind.
func (n *Controller) begin() {
	var former replica.Replica
	stopping := false
	if n.replica != nil {
		former = *n.replica
		stopping = n.generation.Stopping()
		n.generation.End()
	}
	n.generation = loop.NewGeneration(n.Clock, n.Rand)
	if stopping {
		n.generation.Stop()
	}
	n.committer.BeginGeneration(n.generation)
	n.beginReplica(&former)
	n.leadership, n.candidacyInFlight = nil, false
	n.candidateLeases = map[uint64]bool{}
	n.shardLeaseExpiry = make([]time.Duration, n.shardCount)
	n.grantSeenAt = make([]time.Duration, n.shardCount)
	n.shardHeardAt = make([]time.Duration, n.shardCount)
	n.leaderAnsweredAt, n.nextLivenessAt = n.now(), 0
	n.unrecordedHeartbeats = map[string]protocol.AgentHeartbeat{}
	n.notices = map[string]*cancellationNotices{}
	n.reconciler = newReconciler(n)
	if n.outcomes != nil {
		n.outcomes.abandon()
	}
	n.outcomes = newOutcomeReader(n)
	for _, done := range former.Abandon() {
		done(protocol.ErrNotExecuted)
	}
	n.replica.Start()
}

// beginReplica makes the replica of a new generation, after the former one.
func (n *Controller) beginReplica(former *replica.Replica) {
	teams := make([]storage.Team, 0, len(n.Settings.Cluster.Teams))
	for _, t := range n.Settings.Cluster.Teams {
		teams = append(teams, storage.Team{
			Name: t.Name, GuaranteedCPUs: t.GuaranteedCPUs, MaxCPUs: t.MaxCPUs, GuaranteedGPUs: t.GuaranteedGPUs, MaxGPUs: t.MaxGPUs,
		})
	}
	n.view = storage.NewView(teams, n.shardCount)
	n.replica = replica.New(replica.Config{
		Generation: n.generation, Store: n.Store, View: n.view, Controller: n.Settings.Controller,
		Incarnation: n.nextIncarnation(former.Incarnation), WatchPause: n.watchPause, SyncNotBefore: former.NextSyncAt(), Log: n.Log,
		OnChange: n.recordsChanged, OnCompacted: n.begin,
	})
}

// nextIncarnation draws an incarnation above the former one: the time of day in the high
// bits, chance in the low ones.
func (n *Controller) nextIncarnation(former uint64) uint64 {
	const randomBits = 20
	return max(former+1, uint64(n.Clock.Wall().UnixMilli())<<randomBits|n.Rand.Uint64N(1<<randomBits))
}

func (n *Controller) now() time.Duration { return n.Clock.Now() }

// holds reports whether the cache grants a shard to this incarnation.
func (n *Controller) holdsShard(shard int) bool {
	if shard < 0 || shard >= n.shardCount {
		return false
	}
	g := &n.view.Grants[shard]
	return g.Version > 0 && g.Controller == n.Settings.Controller && g.Incarnation == n.replica.Incarnation
}

// entitled reports whether this node may act for a shard now: the grant is its
// own, the block lease runs, and its knowledge of cancellations is young enough
// that renewing a worker's lease can't outlast the time for cancelling.
func (n *Controller) mayActFor(shard int) bool {
	now := n.now()
	return n.replica.Ready() && !n.generation.Stopping() && n.holdsShard(shard) && now < n.shardLeaseExpiry[shard] && n.replica.Staleness() < n.maxStaleness
}

func (n *Controller) tick() {
	if !n.replica.Ready() {
		return
	}
	if n.reconciler.attemptCounter >= maxAttemptCounter {
		n.Log.Warn("attempt numbers used up, starting over")
		n.begin()
		return
	}
	n.setWriteBudget()
	n.writeLiveness()
	n.sendCancellations()
	n.outcomes.readWanted()
	n.refreshGauges()
	n.electionTick()
	if n.leadership != nil {
		n.leadership.tick()
	}
	n.reconciler.tick()
}

// recordsChanged works out what follows from new records.
func (n *Controller) recordsChanged(changed bool) {
	if !n.replica.Ready() {
		return
	}
	n.checkLeadership()
	if !changed {
		return
	}
	for s := range n.shardCount {
		if !n.holdsShard(s) {
			n.grantSeenAt[s] = 0
		} else if n.grantSeenAt[s] == 0 {
			n.grantSeenAt[s] = n.now()
			// The grant is fresh: its lease begins with it. The leader made it no
			// earlier than the request that brought it.
			n.shardLeaseExpiry[s] = max(n.shardLeaseExpiry[s], n.replica.FreshAt()+n.shardLease)
		}
	}
	n.outcomes.readWanted()
	n.reconciler.syncWithRecords()
	n.reconciler.schedulePass()
}
