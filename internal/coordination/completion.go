package coordination

import (
	"slices"

	"rockrun/internal/bookkeeping"
	"rockrun/internal/protocol"
)

// end marks an attempt as proven over. A completed one stays until that is
// durable; any other makes its task wait again.
func (h *holder) end(a *attempt, cause string) {
	if !a.live() {
		return
	}
	h.charge(a, -1)
	a.state, a.cause = taskEnded, cause
	if cause == protocol.CauseDone && !a.job.Over() && !a.job.Standing() {
		if p := a.prog; !p.done.Has(a.task) {
			p.done.Set(a.task)
			p.doneN++
			if p.doneN >= a.job.Tasks {
				h.ending = append(h.ending, p)
			} else if d := h.writers[a.on.shard]; d != nil {
				d.completed(p, a.task/bookkeeping.ChunkTasks, h.n.now())
			}
		}
		h.ended = append(h.ended, a)
		return
	}
	h.remove(a)
}

// settleAll ends every attempt of a machine that is proven to run nothing.
func (h *holder) settleAll(x *holding, why string) {
	if len(x.attempts) > 0 {
		h.n.Log.Info("tasks lost", "machine", x.m.Name, "tasks", len(x.attempts), "why", why)
	}
	for _, ref := range refs(x.attempts) {
		h.end(x.attempts[ref], "lost")
	}
	x.unexpected = nil
}

const maxFinishing = 8

// finish makes jobs durable whose tasks are all done, and lets completed
// attempts leave their machines once that is.
func (h *holder) finish() {
	n := h.n
	now := n.now()
	h.ending = slices.DeleteFunc(h.ending, func(p *progress) bool {
		j := p.job
		if j.Over() || h.jobs[j] != p {
			return true
		}
		if p.writing || n.revision < p.wroteAt || now < p.retryAt || !n.entitled(j.Home) || h.finishing >= maxFinishing {
			return false
		}
		// Users wait for it, and there are few jobs beside tasks.
		n.budget.force(now, 2)
		p.writing = true
		h.finishing++
		f := bookkeeping.FinalRecord{Stage: protocol.StageDone, Done: j.Tasks, AtMS: n.Clock.Wall().UnixMilli()}
		n.txn(protocol.Txn{
			If: []protocol.Cond{
				{Key: bookkeeping.JobKey(j.ID), Version: j.Version},
				{Key: bookkeeping.GrantKey(j.Home), Version: n.cache.Grants[j.Home].Version},
			},
			Then: []protocol.Op{
				{Delete: bookkeeping.JobKey(j.ID)},
				{Put: bookkeeping.FinalKey(j.ID), Value: bookkeeping.Encode(f)},
			},
		}, func(revision uint64, err error) {
			p.writing = false
			h.finishing--
			if n.hold != h {
				return
			}
			if err != nil {
				n.Log.Debug("completed job not written", "job", j.ID, "err", err)
				p.retryAt = n.now() + n.jitter(retryPause/2)
				return
			}
			p.wroteAt = revision
			n.remember(j.ID, f)
			n.Log.Debug("job done", "job", j.ID)
		})
		return false
	})
	h.ended = slices.DeleteFunc(h.ended, func(a *attempt) bool {
		if h.machines[a.on.m.Name] != a.on || a.on.attempts[a.ref()] != a {
			return true
		}
		if !a.job.Over() && !a.job.Done.Has(a.task) {
			return false
		}
		h.remove(a)
		a.on.busy = true // it can be reaped
		return true
	})
}
