package coordination

import (
	"sync/atomic"
	"time"
)

// gaugeInterval is the time between two refreshes of the gauges. A refresh iterates over all
// unfinished jobs and, on the leader, over all machine groups.
const gaugeInterval = 10 * time.Second

// stats holds the counters and gauges of a controller. Other goroutines may read its atomic
// fields.
type stats struct {
	passes                   atomic.Uint64
	commandsDeferred         atomic.Uint64
	jobsAwaitingDependencies atomic.Int64
	oversizedValues          atomic.Int64
	nextGaugeRefreshAt       time.Duration // accessed only on the controller's goroutine
	snapshot                 atomic.Pointer[Snapshot]
}

// Snapshot is a controller's role and the state of its view at its last tick.
type Snapshot struct {
	Leading   bool
	Term      uint64 // highest term in the view
	JobShards int    // job shards that the controller holds
	Revision  uint64 // revision of the view
	Staleness time.Duration
}

// Stats are the counters and gauges of a controller.
type Stats struct {
	Passes                    uint64 // reconcile passes
	CommandsDeferred          uint64 // commands that did not fit into a message to an agent and were sent with a later one
	JobsReleased              uint64 // jobs of the held shards whose last dependency was done
	JobsCancelledByDependency uint64 // jobs of the held shards that were cancelled because a dependency was cancelled
	JobsAwaitingDependencies  int64  // unfinished jobs of the held shards that await dependencies
	OversizedValues           int64  // values of the held shards and, on the leader, machine groups that exceed the size limit in force
	Snapshot                  Snapshot
}

// Stats returns the counters and gauges. It may be called from any goroutine.
func (c *Controller) Stats() Stats {
	counters := c.jobs.Counters()
	snapshot := Snapshot{}
	if published := c.stats.snapshot.Load(); published != nil {
		snapshot = *published
	}
	return Stats{
		Snapshot:                  snapshot,
		Passes:                    c.stats.passes.Load(),
		CommandsDeferred:          c.stats.commandsDeferred.Load(),
		JobsReleased:              counters.Released,
		JobsCancelledByDependency: counters.CancelledByDependency,
		JobsAwaitingDependencies:  c.stats.jobsAwaitingDependencies.Load(),
		OversizedValues:           c.stats.oversizedValues.Load(),
	}
}

// publishSnapshot stores the current snapshot for other goroutines.
func (c *Controller) publishSnapshot() {
	c.stats.snapshot.Store(&Snapshot{
		Leading:   c.leader != nil,
		Term:      c.replica.View.Term,
		JobShards: c.reconciler.JobShardsHeld(),
		Revision:  c.replica.Revision(),
		Staleness: c.replica.Staleness(),
	})
}

// refreshGauges recomputes the gauges that are due.
func (c *Controller) refreshGauges() {
	if c.Clock.Now() < c.stats.nextGaugeRefreshAt {
		return
	}
	c.stats.nextGaugeRefreshAt = c.Clock.Now() + gaugeInterval
	c.stats.jobsAwaitingDependencies.Store(c.jobs.CountAwaitingDependencies())
	c.stats.oversizedValues.Store(c.countOversized())
}

// countOversized counts the values that exceed the size limit in force and must shrink before
// this controller can write them again.
func (c *Controller) countOversized() int64 {
	count := c.reconciler.OversizedValues()
	if c.leader != nil {
		count += c.leader.provisioner.OversizedGroups()
	}
	return int64(count)
}
