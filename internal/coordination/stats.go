package coordination

import (
	"sync/atomic"
	"time"

	"rockrun/internal/bookkeeping"
)

// gaugesEvery is how often the gauges are counted anew: it takes a walk through all
// unfinished jobs and, on the leader, through all blocks.
const gaugesEvery = 10 * time.Second

// stats are counts of a node that other goroutines may read.
type stats struct {
	passes        atomic.Uint64
	released      atomic.Uint64
	cancelledWith atomic.Uint64
	waiting       atomic.Int64
	oversized     atomic.Int64
	gaugesAt      time.Duration // when to count waiting and oversized again
}

// Stats are a node's counts.
type Stats struct {
	Passes        uint64 // passes over all that it holds
	Released      uint64 // jobs of its homes that could start since the last job that they need was done
	CancelledWith uint64 // jobs of its homes that were cancelled with one that they need
	Waiting       int64  // unfinished jobs of its homes that wait for others
	Oversized     int64  // values of its homes and, on the leader, blocks that are over the limit in force
}

// Stats returns the counts; it may be called from any goroutine.
func (n *Node) Stats() Stats {
	return Stats{
		Passes: n.stats.passes.Load(), Released: n.stats.released.Load(), CancelledWith: n.stats.cancelledWith.Load(),
		Waiting: n.stats.waiting.Load(), Oversized: n.stats.oversized.Load(),
	}
}

// refreshGauges counts what the gauges show.
func (n *Node) refreshGauges() {
	if n.now() < n.stats.gaugesAt {
		return
	}
	n.stats.gaugesAt = n.now() + gaugesEvery
	n.stats.waiting.Store(n.countWaiting())
	n.stats.oversized.Store(n.countOversized())
}

func (n *Node) countWaiting() int64 {
	var count int64
	n.cache.Jobs.All(func(_ int, j *bookkeeping.Job) {
		if !j.Over() && j.Waits() && n.holds(j.Home) {
			count++
		}
	})
	return count
}

// countOversized counts the values that this node would have to make smaller before it
// could write them again.
func (n *Node) countOversized() int64 {
	count := 0
	for _, w := range n.hold.writers {
		if w != nil {
			count += w.oversizedValues()
		}
	}
	if n.lead != nil {
		for _, b := range n.cache.Blocks {
			if !n.fits(b.BlockRecord) {
				count++
			}
		}
	}
	return int64(count)
}
