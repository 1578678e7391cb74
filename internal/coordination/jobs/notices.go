package jobs

import (
	"slices"
	"time"

	"rockrun/internal/coordination/loop"
	"rockrun/internal/protocol"
)

// A cancellation reaches every holder with the changes. Where the store refuses a holder
// or is away, the bound on its staleness (see sharding.Leases.MayActFor) sees to it that
// the tasks are gone in time all the same. In addition the controller that confirms a
// cancellation tells the others, which stop the tasks at once: stopping is always safe,
// whoever may hold the machines by now.

const (
	// maxNotices bounds what is kept for a controller that cannot be reached: when it is
	// back it has the records, or the bound has done its work. It is several for each
	// second of the longest cancel_s that a cluster was run with.
	maxNotices = 4096
	// noticeRetryPause is the pause after a notice that got no answer.
	noticeRetryPause = time.Second
)

// cancellationNotices tells the other controllers of cancellations confirmed here.
type cancellationNotices struct {
	generation *loop.Generation
	peers      Peers
	queues     []*noticeQueue
}

// noticeQueue is what one controller has not been told of yet.
type noticeQueue struct {
	controller string
	jobs       []string
	retry      loop.Call // several notices may be under way; only its pause counts
}

func newCancellationNotices(generation *loop.Generation, peers Peers, names []string) *cancellationNotices {
	notices := &cancellationNotices{generation: generation, peers: peers}
	for _, name := range names {
		notices.queues = append(notices.queues, &noticeQueue{controller: name})
	}
	return notices
}

// add queues a cancellation for every other controller.
func (n *cancellationNotices) add(job string) {
	for _, queue := range n.queues {
		if !slices.Contains(queue.jobs, job) {
			queue.jobs = append(queue.jobs, job)
		}
		queue.dropOldest()
	}
}

// send tells every other controller what is queued for it.
func (n *cancellationNotices) send() {
	now := n.generation.Now()
	for _, queue := range n.queues {
		if len(queue.jobs) > 0 && queue.retry.Ready(now) {
			n.sendQueue(queue)
		}
	}
}

func (n *cancellationNotices) sendQueue(queue *noticeQueue) {
	sent := queue.jobs
	queue.jobs = nil
	n.peers.Ask(queue.controller, protocol.PeerRequest{Cancelled: sent}, func(_ protocol.PeerAnswer, err error) {
		if err != nil {
			queue.jobs = append(sent, queue.jobs...)
			queue.dropOldest()
			queue.retry.RetryAt(n.generation.Now() + noticeRetryPause)
		}
	})
}

func (q *noticeQueue) dropOldest() { q.jobs = q.jobs[max(0, len(q.jobs)-maxNotices):] }
