package coordination

import (
	"sync/atomic"
	"time"
)

// gaugeInterval is how often the gauges are counted anew: it takes a walk through all
// unfinished jobs and, on the leader, through all machine groups.
const gaugeInterval = 10 * time.Second

// stats are counts of a controller that other goroutines may read.
type stats struct {
	passes                   atomic.Uint64
	jobsAwaitingDependencies atomic.Int64
	oversizedValues          atomic.Int64
	nextGaugesAt             time.Duration // when the gauges are counted again
	standing                 atomic.Pointer[Standing]
}

// Standing is what a controller takes itself for, and how much it has read of the records.
type Standing struct {
	Leading   bool
	Term      uint64 // the highest that it has read
	JobShards int    // that it holds
	Revision  uint64 // of the store, up to which it has read
	Staleness time.Duration
}

// Stats are a controller's counts.
type Stats struct {
	Passes                    uint64 // reconcile passes
	JobsReleased              uint64 // jobs of its shards whose last dependency was done
	JobsCancelledByDependency uint64 // jobs of its shards that were cancelled with a dependency
	JobsAwaitingDependencies  int64  // unfinished jobs of its shards that wait for dependencies
	OversizedValues           int64  // values of its shards and, on the leader, machine groups over the limit in force
	Standing                  Standing
}

// Stats returns the counts; it may be called from any goroutine.
func (c *Controller) Stats() Stats {
	counters := c.jobs.Counters()
	standing := Standing{}
	if noted := c.stats.standing.Load(); noted != nil {
		standing = *noted
	}
	return Stats{
		Standing:                  standing,
		Passes:                    c.stats.passes.Load(),
		JobsReleased:              counters.Released,
		JobsCancelledByDependency: counters.CancelledByDependency,
		JobsAwaitingDependencies:  c.stats.jobsAwaitingDependencies.Load(),
		OversizedValues:           c.stats.oversizedValues.Load(),
	}
}

// noteStanding notes for other goroutines how this controller stands.
func (c *Controller) noteStanding() {
	c.stats.standing.Store(&Standing{
		Leading:   c.leader != nil,
		Term:      c.replica.View.Term,
		JobShards: c.reconciler.JobShardsHeld(),
		Revision:  c.replica.Revision(),
		Staleness: c.replica.Staleness(),
	})
}

// refreshGauges counts what the gauges show.
func (c *Controller) refreshGauges() {
	if c.Clock.Now() < c.stats.nextGaugesAt {
		return
	}
	c.stats.nextGaugesAt = c.Clock.Now() + gaugeInterval
	c.stats.jobsAwaitingDependencies.Store(c.jobs.CountAwaitingDependencies())
	c.stats.oversizedValues.Store(c.countOversized())
}

// countOversized counts the values that this controller would have to make smaller before it
// could write them again.
func (c *Controller) countOversized() int64 {
	count := c.reconciler.OversizedValues()
	if c.leader != nil {
		count += c.leader.provisioner.OversizedGroups()
	}
	return int64(count)
}
