// Package coordination is a controller: it wires the packages below it on one event loop and
// decides nothing itself.
//
// A Controller runs on one goroutine. Everything that happens to it (an agent's heartbeat, a
// user's request, an answer, a timer) is a call on that goroutine, and everything it wants
// done leaves through small interfaces that answer by calling back. Time comes from the
// clock alone, so the same code runs against real sockets and, in package scenario, against
// stand-ins in virtual time.
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
	// tickInterval is the time between two looks at what only the passing of time
	// changes. It is far below the leases that it serves.
	tickInterval = 250 * time.Millisecond
	// farewellTime is how long a controller that ends gives the leader to hear so.
	farewellTime = 300 * time.Millisecond
)

// Config is all that a Controller is made of.
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

// Controller is one process of the service. Its methods must be called on its goroutine,
// except for Stats.
type Controller struct {
	Config
	controllers  []string // all controllers, by name; there is a shard for each
	shardLease   time.Duration
	maxStaleness time.Duration
	maxAttempts  uint64 // attempt numbers used under one grant; 0: all

	// These live as long as the process.
	committer *kv.Committer
	jobs      *jobs.Service
	stats     stats

	// These belong to a generation.
	generation *loop.Generation
	replica    *replica.Replica
	leases     *sharding.Leases
	reporter   *membership.Reporter
	elector    *election.Elector
	leader     *leader // nil unless this controller leads
	reconciler *reconcile.Reconciler
}

// New makes a controller; Start sets it going.
func New(parts Config) *Controller {
	agents := parts.Settings.Cluster.Agents
	peers := peerNames(parts.Settings)
	controller := &Controller{
		Config:       parts,
		controllers:  append(slices.Clone(peers), parts.Settings.Controller),
		shardLease:   parts.Options.ShardLease(agents),
		maxStaleness: agents.MaxStaleness(),
		committer:    kv.NewCommitter(parts.Store, parts.Settings.Cluster.KVStore.Limits(), parts.Log),
	}
	slices.Sort(controller.controllers)
	controller.jobs = jobs.New(jobs.Config{
		Store:     parts.Store,
		Committer: controller.committer,
		Peers:     parts.Peers,
		PeerNames: peers,
		Log:       parts.Log,
	})
	return controller
}

// peerNames are the other controllers, in the order of the settings.
func peerNames(settings *config.Settings) []string {
	var names []string
	for _, peer := range settings.Peers {
		names = append(names, peer.Controller)
	}
	return names
}

// Start begins the first generation and the controller's loops.
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

// Stop ends the controller's part in the service: it acts for no shard any more, tells
// the leader so, or gives up the leadership. done is called once that is known, or got
// no answer.
func (c *Controller) Stop(done func()) {
	c.generation.Stop()
	lease, leading := c.elector.Stop()
	if !leading {
		c.reporter.SendHeartbeat()
		c.Clock.After(farewellTime, done)
		return
	}
	c.Store.RevokeLease(lease, func(error) { done() })
}

// tick does what only the passing of time asks for.
func (c *Controller) tick() {
	if !c.replica.Ready() {
		return
	}
	if c.reconciler.AttemptNumbersExhausted() {
		c.Log.Warn("attempt numbers exhausted, starting over")
		c.beginGeneration()
		return
	}
	c.updateWriteBudget()
	c.reporter.WriteLiveness()
	c.jobs.Tick()
	c.noteStanding()
	c.refreshGauges()
	c.elector.Tick()
	if c.leader != nil {
		c.leader.tick()
	}
	c.reconciler.Tick()
}

// recordsChanged works out what follows from a read of the changes; changed is false where
// it brought none.
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
