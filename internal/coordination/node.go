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
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// Clock tells the time and calls back later, on the node's goroutine.
type Clock interface {
	Now() time.Duration // steady
	Wall() time.Time    // time of day
	After(d time.Duration, f func())
}

// State is the state service.
type KVStore interface {
	Get(key string, done func(protocol.KeyValue, bool, error))
	List(prefix, after string, done func(protocol.KeyValuePage, error))
	Commit(t protocol.Transaction, done func(uint64, error))
	OpenLease(ttl time.Duration, done func(uint64, error))
	RenewLease(lease uint64, done func(error))
	RevokeLease(lease uint64, done func(error))
	Watch(prefix string, after uint64, wait time.Duration, done func(protocol.Changes, error))
}

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

// Config is all that a Node is made of.
type Config struct {
	Settings *config.Settings
	Options  config.Options
	Clock    Clock
	Store    KVStore
	Cloud    Cloud
	Agents   Agents
	Peers    Peers
	Rand     *rand.Rand
	Log      *slog.Logger
}

// Times of the node's own loops. They follow from nothing in the settings; all
// are far below the leases they serve.
const (
	tickInterval          = 250 * time.Millisecond
	peerHeartbeatInterval = 500 * time.Millisecond
	watchTimeout          = time.Second
	retryPause            = 200 * time.Millisecond
	leaderLeaseTTL        = 4 * time.Second
	leaderRenewInterval   = time.Second
	peerTimeout           = 3 * time.Second // a heartbeat younger than this shows a live controller
)

// Node is one controller.
type Controller struct {
	Config
	index       int      // among all controllers, by name
	controllers []string // all controllers, by name
	shardCount  int

	incarnation  uint64
	generation   int // counts incarnations within this process; callbacks of earlier ones are dropped
	view         *storage.View
	revision     uint64        // the cache holds all changes up to here
	ready        bool          // the cache has been read whole
	freshAt      time.Duration // the cache held everything that was durable at this time
	finalRecords map[string]storage.FinalRecord
	writeBudget  tokenBucket
	storeLimits  config.StoreLimits // that writes keep to

	watchPause time.Duration // between two reads of the changes; twice that between two that questions ask for

	syncWaiters   []func(error) // questions that wait for the cache to be as new as they are
	syncInFlight  bool
	nextSyncAt    time.Duration
	syncScheduled bool

	candidacyInFlight bool
	candidacyAt       time.Duration
	candidateLeases   map[uint64]bool // leases opened for an election
	leadership        *leadership

	shardLease       time.Duration
	maxStaleness     time.Duration
	shardLeaseExpiry []time.Duration // by shard
	grantSeenAt      []time.Duration // by shard: when the grant in force was first seen
	shardHeardAt     []time.Duration // by shard: when one of its machines last reported here; 0: never
	leaderAnsweredAt time.Duration   // when the leader's last answer that counts came
	healthyPeerCount int             // what it said of the others then
	nextLivenessAt   time.Duration   // no liveness record is written before

	notices              map[string]*cancellationNotices // by controller
	reconciler           *reconciler
	unrecordedHeartbeats map[string]protocol.AgentHeartbeat
	stopped              bool
	outcomes             *outcomeReader
	recentlyAccepted     recentSubmissions
	stats                stats
}

// New makes a node; Start sets it going.
func New(c Config) *Controller {
	n := &Controller{Config: c}
	n.controllers = []string{c.Settings.Controller}
	for _, s := range c.Settings.Peers {
		n.controllers = append(n.controllers, s.Controller)
	}
	slices.Sort(n.controllers)
	n.index = slices.Index(n.controllers, c.Settings.Controller)
	n.shardCount = len(n.controllers)
	n.shardLease = c.Options.ShardLease(c.Settings.Cluster.Agents)
	n.maxStaleness = c.Settings.Cluster.Agents.MaxStaleness()
	n.finalRecords = map[string]storage.FinalRecord{}
	// All controllers together read with a quarter of the requests allowed.
	n.storeLimits = c.Settings.Cluster.KVStore.Limits()
	n.watchPause = max(20*time.Millisecond, time.Duration(4*float64(len(n.controllers))/n.storeLimits.RequestRate*float64(time.Second)))
	n.writeBudget = newTokenBucket(n.storeLimits.WriteRate / 4)
	return n
}

// Start begins the node's loops. It must be called on the node's goroutine.
func (n *Controller) Start() {
	n.begin()
	var tick func()
	tick = func() {
		if n.stopped {
			return
		}
		n.tick()
		n.Clock.After(tickInterval, tick)
	}
	tick()
	var heartbeat func()
	heartbeat = func() {
		if n.stopped {
			return
		}
		n.sendPeerHeartbeat()
		n.Clock.After(peerHeartbeatInterval, heartbeat)
	}
	n.Clock.After(peerHeartbeatInterval, heartbeat)
}

// Stop ends the node's part in the service: it acts for no shard any more, tells
// the leader so, or gives up the leadership. done is called once that is known,
// or got no answer.
func (n *Controller) Stop(done func()) {
	n.stopped = true
	if n.leadership == nil {
		n.sendPeerHeartbeat()
		n.Clock.After(300*time.Millisecond, done)
		return
	}
	lease := n.leadership.lease
	n.leadership = nil
	n.Store.RevokeLease(lease, func(error) { done() })
}

// begin starts a new incarnation with an empty cache. It is used at the start
// and whenever the node has lost track of the state service's changes; what an
// earlier incarnation held is granted anew under a higher token, which fences
// whatever it left behind.
func (n *Controller) begin() {
	n.generation++
	// Later incarnations have higher numbers: the time of day in the high bits,
	// chance in the low ones.
	n.incarnation = max(n.incarnation+1, uint64(n.Clock.Wall().UnixMilli())<<20|n.Rand.Uint64N(1<<20))
	teams := make([]storage.Team, 0, len(n.Settings.Cluster.Teams))
	for _, t := range n.Settings.Cluster.Teams {
		teams = append(teams, storage.Team{Name: t.Name, GuaranteedCPUs: t.GuaranteedCPUs, MaxCPUs: t.MaxCPUs, GuaranteedGPUs: t.GuaranteedGPUs, MaxGPUs: t.MaxGPUs})
	}
	n.view = storage.NewView(teams, n.shardCount)
	n.ready, n.revision, n.leadership, n.candidacyInFlight = false, 0, nil, false
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
	waits := n.syncWaiters
	n.syncWaiters, n.syncInFlight, n.syncScheduled = nil, false, false
	for _, f := range waits {
		f(protocol.ErrNotExecuted)
	}
	n.readRecords("", 0, 0)
}

// later runs f after d, unless a new incarnation has begun by then.
func (n *Controller) later(d time.Duration, f func()) {
	era := n.generation
	n.Clock.After(d, func() {
		if era == n.generation && !n.stopped {
			f()
		}
	})
}

func (n *Controller) now() time.Duration { return n.Clock.Now() }

// jitter returns a time between d and 2d.
func (n *Controller) jitter(d time.Duration) time.Duration {
	return d + time.Duration(n.Rand.Int64N(int64(d)+1))
}

// holds reports whether the cache grants a shard to this incarnation.
func (n *Controller) holdsShard(shard int) bool {
	if shard < 0 || shard >= n.shardCount {
		return false
	}
	g := &n.view.Grants[shard]
	return g.Version > 0 && g.Controller == n.Settings.Controller && g.Incarnation == n.incarnation
}

// entitled reports whether this node may act for a shard now: the grant is its
// own, the block lease runs, and its knowledge of cancellations is young enough
// that renewing a worker's lease can't outlast the time for cancelling.
func (n *Controller) mayActFor(shard int) bool {
	now := n.now()
	return n.ready && !n.stopped && n.holdsShard(shard) && now < n.shardLeaseExpiry[shard] && now-n.freshAt < n.maxStaleness
}

func (n *Controller) tick() {
	if !n.ready {
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
