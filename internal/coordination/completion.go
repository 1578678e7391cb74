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

// endOps are the changes that end a job: its record leaves what controllers follow and
// its final one is written, in one transaction under the version of the first, so only
// one end can ever happen.
func endOps(id string, f bookkeeping.FinalRecord) []protocol.Op {
	return []protocol.Op{
		{Delete: bookkeeping.JobKey(id)},
		{Put: bookkeeping.FinalKey(id), Value: bookkeeping.Encode(f)},
	}
}

// maxFinishing bounds the ends of jobs under way: with answers in half a second, sixteen
// jobs end each second.
const maxFinishing = 8

// finish makes jobs durable whose tasks are all done, and lets completed
// attempts leave their machines once that is.
func (h *holder) finish() {
	h.ending = slices.DeleteFunc(h.ending, func(p *progress) bool {
		if p.job.Over() || h.jobs[p.job] != p {
			return true
		}
		if h.mayFinish(p) {
			h.finishJob(p)
		}
		return false
	})
	h.ended = slices.DeleteFunc(h.ended, h.releaseCompleted)
}

// mayFinish reports whether the end of a job may be written now.
func (h *holder) mayFinish(p *progress) bool {
	n := h.n
	return !p.writing && n.revision >= p.wroteAt && n.now() >= p.retryAt && n.entitled(p.job.Home) && h.finishing < maxFinishing
}

// finishJob writes that a job is done. Users wait for it and there are few jobs beside
// tasks, so it doesn't wait for a write to be to spare.
func (h *holder) finishJob(p *progress) {
	n := h.n
	j := p.job
	n.budget.force(n.now(), 2)
	p.writing = true
	h.finishing++
	f := bookkeeping.FinalRecord{Stage: protocol.StageDone, Done: j.Tasks, AtMS: n.Clock.Wall().UnixMilli()}
	n.txn(protocol.Txn{
		If: []protocol.Cond{
			{Key: bookkeeping.JobKey(j.ID), Version: j.Version},
			{Key: bookkeeping.GrantKey(j.Home), Version: n.cache.Grants[j.Home].Version},
		},
		Then: endOps(j.ID, f),
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
}

// releaseCompleted lets a completed attempt leave its machine once its completion is
// durable, and reports whether it need not be looked at any more.
func (h *holder) releaseCompleted(a *attempt) bool {
	if h.machines[a.on.m.Name] != a.on || a.on.attempts[a.ref()] != a {
		return true
	}
	if !a.job.Over() && !a.job.Done.Has(a.task) {
		return false
	}
	h.remove(a)
	a.on.busy = true // it can be reaped
	return true
}
