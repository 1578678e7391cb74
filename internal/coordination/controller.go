// Package coordination implements the controller. It connects the packages below it on one
// event loop and contains no policy itself.
//
// A Controller runs on one goroutine. Every input (an agent's heartbeat, a user's request, an
// answer, a timer) is a call on that goroutine. Every output goes through a small interface
// whose methods return their results by callback. Time comes only from the clock, so the same
// code runs on real sockets and, in package scenario, on simulated ones in virtual time.
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
)

const (
	// tickInterval is the interval of the periodic work. It is far below the durations of the
	// leases that this work renews and checks.
	tickInterval = 250 * time.Millisecond
	// shutdownDelay is how long a controller that shuts down waits for its last heartbeat to
	// reach the leader.
	shutdownDelay = 300 * time.Millisecond
)

// Config holds the dependencies and settings of a Controller.
type Config struct {
	Settings *config.Settings
	Options  config.Options
	Clock    loop.Clock
	Store    kv.Store
	Cloud    provisioning.Cloud
	Agents   reconcile.Agents
	Peers    membership.Peers
	Rand     *rand.Rand
	Log      *slog.Logger
}

// Controller is one controller of the cluster. Its methods must be called on its goroutine,
// except for Stats.
type Controller struct {
	Config
	controllers       []string // names of all controllers, sorted; there is one shard per controller
	shardLease        time.Duration
	maxStaleness      time.Duration
	maxAttemptNumbers uint64 // limit of the attempt numbers used under one grant; 0: the default

	// State of the process.
	committer *kv.Committer
	jobs      *jobs.Service
	stats     stats

	// State of the current generation.
	generation *loop.Generation
	replica    *replica.Replica
	leases     *sharding.Leases
	reporter   *membership.Reporter
	elector    *election.Elector
	leader     *leader // nil unless this controller leads
	reconciler *reconcile.Reconciler
}

// New creates a controller. Start must be called next.
func New(configuration Config) *Controller {
	agents := configuration.Settings.Cluster.Agents
	peers := peerNames(configuration.Settings)
	controller := &Controller{
		Config:       configuration,
		controllers:  append(slices.Clone(peers), configuration.Settings.Controller),
		shardLease:   configuration.Options.ShardLease(agents),
		maxStaleness: agents.MaxStaleness(),
		committer:    kv.NewCommitter(configuration.Store, configuration.Settings.Cluster.KVStore.Limits(), configuration.Log),
	}
	slices.Sort(controller.controllers)
	controller.jobs = jobs.New(jobs.Config{
		Store:     configuration.Store,
		Committer: controller.committer,
		Peers:     configuration.Peers,
		PeerNames: peers,
		Log:       configuration.Log,
	})
	return controller
}

// peerNames returns the names of the other controllers, in the order of the settings.
func peerNames(settings *config.Settings) []string {
	var names []string
	for _, peer := range settings.Peers {
		names = append(names, peer.Controller)
	}
	return names
}

// Start begins the first generation and the periodic work.
func (c *Controller) Start() {
	c.beginGeneration()
	c.tick()
	c.repeat(tickInterval, c.tick)
	c.repeat(membership.HeartbeatInterval, func() { c.reporter.SendHeartbeat() })
}

// repeat calls f at an interval until the controller stops.
func (c *Controller) repeat(interval time.Duration, f func()) {
	var next func()
	next = func() {
		if c.generation.Stopping() {
			return
		}
		f()
		c.Clock.After(interval, next)
	}
	c.Clock.After(interval, next)
}

// Stop shuts the controller down. The controller stops acting for its shards. If it is the
// leader, it then revokes its leader lease and calls done once the revocation has succeeded or
// failed. Otherwise it sends a last heartbeat to the leader and calls done after shutdownDelay.
func (c *Controller) Stop(done func()) {
	c.generation.Stop()
	lease, leading := c.elector.Stop()
	if !leading {
		c.reporter.SendHeartbeat()
		c.Clock.After(shutdownDelay, done)
		return
	}
	c.Store.RevokeLease(lease, func(error) { done() })
}

// tick does the periodic work.
func (c *Controller) tick() {
	if !c.replica.Ready() {
		return
	}
	if c.reconciler.AttemptNumbersExhausted() {
		c.Log.Warn("attempt numbers exhausted, generation restarted")
		c.beginGeneration()
		return
	}
	c.updateWriteBudget()
	c.reporter.WriteLiveness()
	c.jobs.Tick()
	c.publishSnapshot()
	c.refreshGauges()
	c.elector.Tick()
	if c.leader != nil {
		c.leader.tick()
	}
	c.reconciler.Tick()
}

// recordsChanged updates the components after the replica has processed the response to a watch
// request. changed is false if the response contained no changes.
func (c *Controller) recordsChanged(changed bool) {
	c.elector.ObserveRecord()
	if !changed {
		return
	}
	c.leases.ObserveGrants()
	c.jobs.ReadMissingOutcomes()
	c.reconciler.SyncWithRecords()
	c.reconciler.SchedulePass()
}
