package coordination

import (
	"time"

	"rockrun/internal/bookkeeping"
	"rockrun/internal/protocol"
)

// dependentWrite is the state of writing the final record of a job that is cancelled
// with another.
type dependentWrite struct {
	writing bool
	wroteAt uint64 // revision that must be in the cache before it is written again
	retryAt time.Duration
}

// writeDependentCancelled writes the final records of jobs that are cancelled with one
// they need, a few to a transaction. Answers follow from the needs in the meantime,
// so nobody waits for these writes, and they never keep new tasks from theirs.
func (h *holder) writeDependentCancelled() {
	n := h.n
	now := n.now()
	var batch []*bookkeeping.Job
	send := func() {
		if len(batch) > 0 {
			h.sendDependentCancelled(batch)
		}
		batch = nil
	}
	for _, j := range n.cache.DependentCancelled() {
		w := h.dependentWrites[j]
		if !h.n.holds(j.Home) || !n.entitled(j.Home) || w != nil && (w.writing || n.revision < w.wroteAt || now < w.retryAt) {
			continue
		}
		if !n.budget.take(now, 2) {
			break
		}
		batch = append(batch, j)
		if len(batch) >= n.limits.Changes/2 {
			send()
		}
	}
	send()
	for j := range h.dependentWrites {
		if j.Over() {
			delete(h.dependentWrites, j)
		}
	}
}

func (h *holder) sendDependentCancelled(batch []*bookkeeping.Job) {
	n := h.n
	f := bookkeeping.FinalRecord{Stage: protocol.StageWithdrawn, AtMS: n.Clock.Wall().UnixMilli()}
	var t protocol.Txn
	for _, j := range batch {
		t.If = append(t.If, protocol.Cond{Key: bookkeeping.JobKey(j.ID), Version: j.Version})
		t.Then = append(t.Then, endOps(j.ID, f)...)
		w := h.dependentWrites[j]
		if w == nil {
			w = &dependentWrite{}
			h.dependentWrites[j] = w
		}
		w.writing = true
	}
	n.txn(t, func(revision uint64, err error) {
		if n.hold != h {
			return
		}
		for _, j := range batch {
			w := h.dependentWrites[j]
			if w == nil {
				continue
			}
			w.writing = false
			if err == nil {
				w.wroteAt = revision
				n.remember(j.ID, f)
			} else {
				w.retryAt = n.now() + n.jitter(retryPause)
			}
		}
		if err != nil {
			n.Log.Debug("jobs cancelled with another not written", "jobs", len(batch), "err", err)
		}
	})
}
