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
}

// Stats are a controller's counts.
type Stats struct {
	Passes                    uint64 // reconcile passes
	JobsReleased              uint64 // jobs of its shards whose last dependency was done
	JobsCancelledByDependency uint64 // jobs of its shards that were cancelled with a dependency
	JobsAwaitingDependencies  int64  // unfinished jobs of its shards that wait for dependencies
	OversizedValues           int64  // values of its shards and, on the leader, machine groups over the limit in force
}

// Stats returns the counts; it may be called from any goroutine.
func (c *Controller) Stats() Stats {
	counters := c.jobs.Counters()
	return Stats{
		Passes:                    c.stats.passes.Load(),
		JobsReleased:              counters.Released,
		JobsCancelledByDependency: counters.CancelledWithAnother,
		JobsAwaitingDependencies:  c.stats.jobsAwaitingDependencies.Load(),
		OversizedValues:           c.stats.oversizedValues.Load(),
	}
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
