package coordination

import (
	"time"

	"rockrun/internal/coordination/kv"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// dependentWrite is the state of writing the final record of a job that is cancelled
// with another.
type cancelledDependentWrite struct {
	inFlight        bool
	writtenRevision uint64 // revision that must be in the cache before it is written again
	retryAt         time.Duration
}

// writeDependentCancelled writes the final records of jobs that are cancelled with one
// they need, a few to a transaction. Answers follow from the needs in the meantime,
// so nobody waits for these writes, and they never keep new tasks from theirs.
func (n *Controller) writeDependentCancelled() {
	now := n.now()
	var batch []*storage.Job
	send := func() {
		if len(batch) > 0 {
			n.sendDependentCancelled(batch)
		}
		batch = nil
	}
	for _, j := range n.view.CancelledDependents() {
		w := n.cancelledDependentWrites[j]
		if !n.leases.Holds(j.Shard) || !n.leases.MayActFor(j.Shard) || w != nil && (w.inFlight || n.replica.Revision() < w.writtenRevision || now < w.retryAt) {
			continue
		}
		if !n.committer.Budget.Take(now, 2) {
			break
		}
		batch = append(batch, j)
		if len(batch) >= n.committer.Limits().Operations/2 {
			send()
		}
	}
	send()
	for j := range n.cancelledDependentWrites {
		if j.Ended() {
			delete(n.cancelledDependentWrites, j)
		}
	}
}

func (n *Controller) sendDependentCancelled(batch []*storage.Job) {
	generation := n.generation
	f := storage.FinalRecord{Stage: protocol.StageCancelled, EndedAtMS: n.Clock.Wall().UnixMilli()}
	var t protocol.Transaction
	for _, j := range batch {
		t.Conditions = append(t.Conditions, protocol.Condition{Key: storage.JobKey(j.ID), Version: j.Version})
		t.Operations = append(t.Operations, storage.EndJobOperations(j.ID, f)...)
		w := n.cancelledDependentWrites[j]
		if w == nil {
			w = &cancelledDependentWrite{}
			n.cancelledDependentWrites[j] = w
		}
		w.inFlight = true
	}
	n.committer.Commit(t, func(revision uint64, err error) {
		if generation.Ended() {
			return
		}
		for _, j := range batch {
			w := n.cancelledDependentWrites[j]
			if w == nil {
				continue
			}
			w.inFlight = false
			if err == nil {
				w.writtenRevision = revision
				n.rememberFinal(j.ID, f)
			} else {
				w.retryAt = n.now() + n.generation.Jitter(kv.RetryPause)
			}
		}
		if err != nil {
			n.Log.Debug("jobs cancelled with another not written", "jobs", len(batch), "err", err)
		}
	})
}
