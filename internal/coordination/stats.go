package coordination

import "sync/atomic"

// stats are counts of a node that other goroutines may read.
type stats struct {
	passes        atomic.Uint64
	released      atomic.Uint64
	cancelledWith atomic.Uint64
	waiting       atomic.Int64
	oversized     atomic.Int64
}

// Stats are a node's counts.
type Stats struct {
	Passes        uint64 // passes over all that it holds
	Released      uint64 // jobs of its homes that could start since the last job that they need was done
	CancelledWith uint64 // jobs of its homes that were cancelled with one that they need
	Waiting       int64  // unfinished jobs that wait for others
	Oversized     int64  // values of its homes and, on the leader, blocks that are over the limit in force
}

// Stats returns the counts; it may be called from any goroutine.
func (n *Node) Stats() Stats {
	return Stats{
		Passes: n.stats.passes.Load(), Released: n.stats.released.Load(), CancelledWith: n.stats.cancelledWith.Load(),
		Waiting: n.stats.waiting.Load(), Oversized: n.stats.oversized.Load(),
	}
}
