package coordination

import (
	"sync/atomic"
	"time"
)

// gaugesEvery is how often the gauges are counted anew: it takes a walk through all
// unfinished jobs and, on the leader, through all blocks.
const gaugeInterval = 10 * time.Second

// stats are counts of a node that other goroutines may read.
type stats struct {
	passes                   atomic.Uint64
	jobsAwaitingDependencies atomic.Int64
	oversizedValues          atomic.Int64
	nextGaugesAt             time.Duration // when to count waiting and oversized again
}

// Stats are a node's counts.
type Stats struct {
	Passes                    uint64 // passes over all that it holds
	JobsReleased              uint64 // jobs of its homes that could start since the last job that they need was done
	JobsCancelledByDependency uint64 // jobs of its homes that were cancelled with one that they need
	JobsAwaitingDependencies  int64  // unfinished jobs of its homes that wait for others
	OversizedValues           int64  // values of its homes and, on the leader, blocks that are over the limit in force
}

// Stats returns the counts; it may be called from any goroutine.
func (n *Controller) Stats() Stats {
	jobs := n.jobs.Counters()
	return Stats{
		Passes: n.stats.passes.Load(), JobsReleased: jobs.Released, JobsCancelledByDependency: jobs.CancelledWithAnother,
		JobsAwaitingDependencies: n.stats.jobsAwaitingDependencies.Load(), OversizedValues: n.stats.oversizedValues.Load(),
	}
}

// refreshGauges counts what the gauges show.
func (n *Controller) refreshGauges() {
	if n.now() < n.stats.nextGaugesAt {
		return
	}
	n.stats.nextGaugesAt = n.now() + gaugeInterval
	n.stats.jobsAwaitingDependencies.Store(n.jobs.CountAwaitingDependencies())
	n.stats.oversizedValues.Store(n.countOversized())
}

// countOversized counts the values that this node would have to make smaller before it
// could write them again.
func (n *Controller) countOversized() int64 {
	count := n.reconciler.OversizedValues()
	if n.leadership != nil {
		count += n.leadership.provisioner.OversizedGroups()
	}
	return int64(count)
}
