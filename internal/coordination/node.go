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

	"rockrun/internal/bookkeeping"
	"rockrun/internal/config"
	"rockrun/internal/protocol"
)

// Clock tells the time and calls back later, on the node's goroutine.
type Clock interface {
	Now() time.Duration // steady
	Wall() time.Time    // time of day
	After(d time.Duration, f func())
}

// State is the state service.
type State interface {
	Get(key string, done func(protocol.Item, bool, error))
	List(prefix, after string, done func(protocol.Page, error))
	Txn(t protocol.Txn, done func(uint64, error))
	NewLease(ttl time.Duration, done func(uint64, error))
	Renew(lease uint64, done func(error))
	EndLease(lease uint64, done func(error))
	Follow(prefix string, after uint64, wait time.Duration, done func(protocol.Changes, error))
}

// Cloud rents machines.
type Cloud interface {
	Catalogue(done func(protocol.Catalogue, error))
	Rent(r protocol.Rent, done func([]string, error))
	Delete(names []string, done func(error))
	List(done func([]protocol.CloudMachine, error))
}

// Workers takes commands for workers.
type Workers interface {
	Command(addr string, o protocol.CommandRequest, done func(*protocol.Report, bool, error))
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
	State    State
	Cloud    Cloud
	Workers  Workers
	Peers    Peers
	Rand     *rand.Rand
	Log      *slog.Logger
}

// Times of the node's own loops. They follow from nothing in the settings; all
// are far below the leases they serve.
const (
	tickEvery        = 250 * time.Millisecond
	heartbeatEvery   = 500 * time.Millisecond
	followWait       = time.Second
	retryPause       = 200 * time.Millisecond
	leaderTTL        = 4 * time.Second
	leaderRenewEvery = time.Second
	aliveFor         = 3 * time.Second // a heartbeat younger than this shows a live controller
)

// Node is one controller.
type Node struct {
	Config
	index  int      // among all controllers, by name
	nodes  []string // all controllers, by name
	shards int

	incarnation uint64
	era         int // counts incarnations within this process; callbacks of earlier ones are dropped
	cache       *bookkeeping.Cache
	revision    uint64        // the cache holds all changes up to here
	ready       bool          // the cache has been read whole
	freshAt     time.Duration // the cache held everything that was durable at this time
	finals      map[string]bookkeeping.FinalRecord
	budget      bucket
	limits      config.StateLimits // that writes keep to

	readPause time.Duration // between two reads of the changes; twice that between two that questions ask for

	syncWaits  []func(error) // questions that wait for the cache to be as new as they are
	syncing    bool
	syncAt     time.Duration
	syncWanted bool

	candidate       bool
	candidateAt     time.Duration
	candidateLeases map[uint64]bool // leases opened for an election
	lead            *leadership

	blockLease       time.Duration
	authority        time.Duration
	leaseUntil       []time.Duration // by shard
	grantedAt        []time.Duration // by shard: when the grant in force was first seen
	heardFrom        []time.Duration // by shard: when one of its machines last reported here; 0: never
	leaderAnsweredAt time.Duration   // when the leader's last answer that counts came
	healthyPeers     int             // what it said of the others then
	livenessAt       time.Duration   // no liveness record is written before

	notices       map[string]*cancellationNotices // by controller
	hold          *holder
	orphanReports map[string]protocol.Report
	stopped       bool
	outcomes      *outcomeReader
	accepted      acceptedMemory
	stats         stats
}

// New makes a node; Start sets it going.
func New(c Config) *Node {
	n := &Node{Config: c}
	n.nodes = []string{c.Settings.Node}
	for _, s := range c.Settings.Siblings {
		n.nodes = append(n.nodes, s.Node)
	}
	slices.Sort(n.nodes)
	n.index = slices.Index(n.nodes, c.Settings.Node)
	n.shards = len(n.nodes)
	n.blockLease = c.Options.BlockLease(c.Settings.Cluster.Workers)
	n.authority = c.Settings.Cluster.Workers.Authority()
	n.finals = map[string]bookkeeping.FinalRecord{}
	// All controllers together read with a quarter of the requests allowed.
	n.limits = c.Settings.Cluster.State.Limits()
	n.readPause = max(20*time.Millisecond, time.Duration(4*float64(len(n.nodes))/n.limits.RequestRate*float64(time.Second)))
	n.budget = newBucket(n.limits.WriteRate / 4)
	return n
}

// Start begins the node's loops. It must be called on the node's goroutine.
func (n *Node) Start() {
	n.begin()
	var tick func()
	tick = func() {
		if n.stopped {
			return
		}
		n.tick()
		n.Clock.After(tickEvery, tick)
	}
	tick()
	var heartbeat func()
	heartbeat = func() {
		if n.stopped {
			return
		}
		n.sendHeartbeat()
		n.Clock.After(heartbeatEvery, heartbeat)
	}
	n.Clock.After(heartbeatEvery, heartbeat)
}

// Stop ends the node's part in the service: it acts for no shard any more, tells
// the leader so, or gives up the leadership. done is called once that is known,
// or got no answer.
func (n *Node) Stop(done func()) {
	n.stopped = true
	if n.lead == nil {
		n.sendHeartbeat()
		n.Clock.After(300*time.Millisecond, done)
		return
	}
	lease := n.lead.lease
	n.lead = nil
	n.State.EndLease(lease, func(error) { done() })
}

// begin starts a new incarnation with an empty cache. It is used at the start
// and whenever the node has lost track of the state service's changes; what an
// earlier incarnation held is granted anew under a higher token, which fences
// whatever it left behind.
func (n *Node) begin() {
	n.era++
	// Later incarnations have higher numbers: the time of day in the high bits,
	// chance in the low ones.
	n.incarnation = max(n.incarnation+1, uint64(n.Clock.Wall().UnixMilli())<<20|n.Rand.Uint64N(1<<20))
	teams := make([]bookkeeping.Team, 0, len(n.Settings.Cluster.Teams))
	for _, t := range n.Settings.Cluster.Teams {
		teams = append(teams, bookkeeping.Team{Name: t.Name, CPUs: t.CPUs, CPUsMax: t.CPUsMax, GPUs: t.GPUs, GPUsMax: t.GPUsMax})
	}
	n.cache = bookkeeping.NewCache(teams, n.shards)
	n.ready, n.revision, n.lead, n.candidate = false, 0, nil, false
	n.candidateLeases = map[uint64]bool{}
	n.leaseUntil = make([]time.Duration, n.shards)
	n.grantedAt = make([]time.Duration, n.shards)
	n.heardFrom = make([]time.Duration, n.shards)
	n.leaderAnsweredAt, n.livenessAt = n.now(), 0
	n.orphanReports = map[string]protocol.Report{}
	n.notices = map[string]*cancellationNotices{}
	n.hold = newHolder(n)
	if n.outcomes != nil {
		n.outcomes.abandon()
	}
	n.outcomes = newOutcomeReader(n)
	waits := n.syncWaits
	n.syncWaits, n.syncing, n.syncWanted = nil, false, false
	for _, f := range waits {
		f(protocol.ErrNotDone)
	}
	n.load("", 0, 0)
}

// later runs f after d, unless a new incarnation has begun by then.
func (n *Node) later(d time.Duration, f func()) {
	era := n.era
	n.Clock.After(d, func() {
		if era == n.era && !n.stopped {
			f()
		}
	})
}

func (n *Node) now() time.Duration { return n.Clock.Now() }

// jitter returns a time between d and 2d.
func (n *Node) jitter(d time.Duration) time.Duration {
	return d + time.Duration(n.Rand.Int64N(int64(d)+1))
}

// holds reports whether the cache grants a shard to this incarnation.
func (n *Node) holds(shard int) bool {
	if shard < 0 || shard >= n.shards {
		return false
	}
	g := &n.cache.Grants[shard]
	return g.Version > 0 && g.Node == n.Settings.Node && g.Incarnation == n.incarnation
}

// entitled reports whether this node may act for a shard now: the grant is its
// own, the block lease runs, and its knowledge of cancellations is young enough
// that renewing a worker's lease can't outlast the time for cancelling.
func (n *Node) entitled(shard int) bool {
	now := n.now()
	return n.ready && !n.stopped && n.holds(shard) && now < n.leaseUntil[shard] && now-n.freshAt < n.authority
}

func (n *Node) tick() {
	if !n.ready {
		return
	}
	if n.hold.tries >= lastTry {
		n.Log.Warn("attempt numbers used up, starting over")
		n.begin()
		return
	}
	n.setWriteBudget()
	n.writeLiveness()
	n.sendCancellations()
	n.outcomes.want()
	n.refreshGauges()
	n.electionTick()
	if n.lead != nil {
		n.lead.tick()
	}
	n.hold.tick()
}
