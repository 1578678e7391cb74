package jobs

import (
	"slices"
	"time"

	"rockrun/internal/coordination/loop"
	"rockrun/internal/protocol"
)

// Every holder reads a cancellation from the changes in the store. While the store is
// unavailable or rejects a holder's requests, the staleness bound (see
// sharding.Leases.MayActFor) still ends the tasks in time. In addition, the controller that
// confirms a cancellation notifies the other controllers, which stop the tasks at once:
// stopping tasks of a cancelled job is always safe, whichever controller holds the machines.

const (
	// maxQueuedNotices bounds the notices queued for an unreachable controller. Dropped
	// notices do no harm: the controller reads the cancellations from the store, or the
	// staleness bound ends the tasks. The value allows several notices for each second of
	// a long cancel_s.
	maxQueuedNotices = 4096
	// noticeRetryDelay is the delay after a notice that was not answered.
	noticeRetryDelay = time.Second
)

// cancellationNotices sends cancellations that this controller confirmed to the other
// controllers.
type cancellationNotices struct {
	generation *loop.Generation
	peers      Peers
	queues     []*noticeQueue
}

// noticeQueue holds the notices that are not yet sent to one controller.
type noticeQueue struct {
	controller string
	jobs       []string
	retry      loop.Call // used for its retry delay only: several notices may be in flight
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

// send sends every other controller the notices queued for it, unless its retry delay runs.
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
	n.peers.SendRequest(queue.controller, protocol.PeerRequest{Cancelled: sent}, func(_ protocol.PeerAnswer, err error) {
		if err != nil {
			queue.jobs = append(sent, queue.jobs...)
			queue.dropOldest()
			queue.retry.DelayUntil(n.generation.Now() + noticeRetryDelay)
		}
	})
}

func (q *noticeQueue) dropOldest() { q.jobs = q.jobs[max(0, len(q.jobs)-maxQueuedNotices):] }
