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
	"rockrun/internal/coordination/election"
	"rockrun/internal/coordination/jobs"
	"rockrun/internal/coordination/kv"
	"rockrun/internal/coordination/loop"
	"rockrun/internal/coordination/membership"
	"rockrun/internal/coordination/provisioning"
	"rockrun/internal/coordination/reconcile"
	"rockrun/internal/coordination/replica"
	"rockrun/internal/coordination/sharding"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

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
	Cloud    provisioning.Cloud
	Agents   reconcile.Agents
	Peers    Peers
	Rand     *rand.Rand
	Log      *slog.Logger
}

// tickInterval is the time between two looks at what only the passing of time changes. It
// is far below the leases that it serves.
const tickInterval = 250 * time.Millisecond

// Controller is one process of the service.
type Controller struct {
	Config
	index       int      // among all controllers, by name
	controllers []string // all controllers, by name
	shardCount  int

	generation *loop.Generation
	view       *storage.View
	replica    *replica.Replica
	committer  *kv.Committer
	watchPause time.Duration

	shardLease   time.Duration
	maxStaleness time.Duration
	maxAttempts  uint64 // attempt numbers used under one grant; 0: all
	leases       *sharding.Leases
	reporter     *membership.Reporter
	elector      *election.Elector
	leadership   *leadership // nil unless this controller leads

	reconciler *reconcile.Reconciler
	jobs       *jobs.Service
	stats      stats
}

// New makes a controller; Start sets it going.
func New(c Config) *Controller {
	n := &Controller{Config: c}
	n.controllers = append(peerNames(c.Settings), c.Settings.Controller)
	slices.Sort(n.controllers)
	n.index = slices.Index(n.controllers, c.Settings.Controller)
	n.shardCount = len(n.controllers)
	n.shardLease = c.Options.ShardLease(c.Settings.Cluster.Agents)
	n.maxStaleness = c.Settings.Cluster.Agents.MaxStaleness()
	limits := c.Settings.Cluster.KVStore.Limits()
	n.committer = kv.NewCommitter(c.Store, limits, c.Log)
	n.jobs = jobs.New(jobs.Config{
		Store: c.Store, Committer: n.committer, Peers: c.Peers, PeerNames: peerNames(c.Settings), Log: c.Log,
	})
	n.watchPause = watchPause(len(n.controllers), limits)
	return n
}

// peerNames are the other controllers, in the order of the settings.
func peerNames(settings *config.Settings) []string {
	var names []string
	for _, peer := range settings.Peers {
		names = append(names, peer.Controller)
	}
	return names
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
		n.reporter.SendHeartbeat()
		n.Clock.After(membership.HeartbeatInterval, heartbeat)
	}
	n.Clock.After(membership.HeartbeatInterval, heartbeat)
}

// farewellTime is how long a controller that ends gives the leader to hear so.
const farewellTime = 300 * time.Millisecond

// Stop ends the controller's part in the service: it acts for no shard any more, tells
// the leader so, or gives up the leadership. done is called once that is known, or got
// no answer.
func (n *Controller) Stop(done func()) {
	n.generation.Stop()
	lease, leading := n.elector.Stop()
	if !leading {
		n.reporter.SendHeartbeat()
		n.Clock.After(farewellTime, done)
		return
	}
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
	n.leadership = nil
	n.leases = sharding.NewLeases(sharding.LeasesConfig{
		Generation: n.generation, Replica: n.replica, ShardLease: n.shardLease, MaxStaleness: n.maxStaleness,
	})
	n.beginReconciler()
	n.beginMembership()
	n.jobs.BeginGeneration(jobs.GenerationConfig{
		Generation: n.generation, Replica: n.replica, View: n.view, Leases: n.leases, Reconciler: n.reconciler,
		NeedsOutcomes: func() bool { return n.leadership != nil || n.reconciler.HoldsJobShards() },
	})
	for _, done := range former.Abandon() {
		done(protocol.ErrNotExecuted)
	}
	n.replica.Start()
}

// beginReconciler makes what runs the tasks of the shards held.
func (n *Controller) beginReconciler() {
	n.reconciler = reconcile.New(reconcile.Config{
		Generation:    n.generation,
		Replica:       n.replica,
		View:          n.view,
		Committer:     n.committer,
		Leases:        n.leases,
		Agents:        n.Agents,
		Outcomes:      n.jobs,
		Log:           n.Log,
		AgentSettings: n.Settings.Cluster.Agents,
		Objectives:    n.Settings.Cluster.Objectives,
		MaxStaleness:  n.maxStaleness,
		MaxAttempts:   n.maxAttempts,
		EndOfPass: func() {
			n.stats.passes.Add(1)
			n.jobs.WriteCancelledDependents()
		},
	})
}

// beginMembership makes what tells the leader about this controller, or makes this one the
// leader.
func (n *Controller) beginMembership() {
	healthyPeers := 0
	if n.reporter != nil {
		healthyPeers = n.reporter.LastHealthyPeers()
	}
	n.reporter = membership.NewReporter(membership.ReporterConfig{
		Generation: n.generation, Replica: n.replica, Committer: n.committer, Peers: n.Peers, Leases: n.leases, Holdings: n.reconciler,
		ShardLease: n.shardLease, HealthyPeers: healthyPeers, Log: n.Log, Registry: n.registry,
	})
	n.elector = election.New(election.Config{
		Generation: n.generation, Store: n.Store, Committer: n.committer, Replica: n.replica, MaxStaleness: n.maxStaleness, Log: n.Log,
		OnElected: n.beginLeadership, OnDeposed: func() { n.leadership = nil },
	})
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

func (n *Controller) tick() {
	if !n.replica.Ready() {
		return
	}
	if n.reconciler.AttemptsExhausted() {
		n.Log.Warn("attempt numbers used up, starting over")
		n.begin()
		return
	}
	n.updateWriteBudget()
	n.reporter.WriteLiveness()
	n.jobs.Tick()
	n.refreshGauges()
	n.elector.Tick()
	if n.leadership != nil {
		n.leadership.tick()
	}
	n.reconciler.Tick()
}

// recordsChanged works out what follows from new records.
func (n *Controller) recordsChanged(changed bool) {
	if !n.replica.Ready() {
		return
	}
	n.elector.ObserveRecord()
	if !changed {
		return
	}
	n.leases.ObserveGrants()
	n.jobs.ReadMissingOutcomes()
	n.reconciler.SyncWithRecords()
	n.reconciler.SchedulePass()
}
