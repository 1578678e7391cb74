package coordination

import (
	"slices"

	"rockrun/internal/coordination/kv"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// end marks an attempt as proven over. A completed one stays until that is
// durable; any other makes its task wait again.
func (h *reconciler) end(a *attempt, cause string) {
	if !a.live() {
		return
	}
	h.charge(a, -1)
	a.state, a.cause = taskEnded, cause
	if cause == protocol.CauseDone && !a.job.Ended() && !a.job.IsService() {
		if p := a.progress; !p.completed.Has(a.task) {
			p.completed.Set(a.task)
			p.completedCount++
			if p.completedCount >= a.job.Tasks {
				h.completedJobs = append(h.completedJobs, p)
			} else if d := h.writers[a.agent.shard]; d != nil {
				d.markCompleted(p, a.task/storage.TasksPerChunk, h.controller.now())
			}
		}
		h.completedAttempts = append(h.completedAttempts, a)
		return
	}
	h.removeAttempt(a)
}

// settleAll ends every attempt of a machine that is proven to run nothing.
func (h *reconciler) endAll(x *agent, why string) {
	if len(x.attempts) > 0 {
		h.controller.Log.Info("tasks lost", "machine", x.machine.Name, "tasks", len(x.attempts), "why", why)
	}
	for _, ref := range sortedTasks(x.attempts) {
		h.end(x.attempts[ref], "lost")
	}
	x.unexpected = nil
}

// endOps are the changes that end a job: its record leaves what controllers follow and
// its final one is written, in one transaction under the version of the first, so only
// one end can ever happen.
func endJobOperations(id string, f storage.FinalRecord) []protocol.Operation {
	return []protocol.Operation{
		{Delete: storage.JobKey(id)},
		{Put: storage.FinalKey(id), Value: storage.Encode(f)},
	}
}

// maxFinishing bounds the ends of jobs under way: with answers in half a second, sixteen
// jobs end each second.
const maxJobEndsInFlight = 8

// finish makes jobs durable whose tasks are all done, and lets completed
// attempts leave their machines once that is.
func (h *reconciler) writeJobEnds() {
	h.completedJobs = slices.DeleteFunc(h.completedJobs, func(p *jobProgress) bool {
		if p.job.Ended() || h.jobs[p.job] != p {
			return true
		}
		if h.mayWriteJobEnd(p) {
			h.writeJobEnd(p)
		}
		return false
	})
	h.completedAttempts = slices.DeleteFunc(h.completedAttempts, h.releaseCompleted)
}

// mayFinish reports whether the end of a job may be written now.
func (h *reconciler) mayWriteJobEnd(p *jobProgress) bool {
	n := h.controller
	return !p.endInFlight && n.replica.Revision() >= p.endWrittenRevision && n.now() >= p.retryAt && n.leases.MayActFor(p.job.Shard) && h.jobEndsInFlight < maxJobEndsInFlight
}

// finishJob writes that a job is done. Users wait for it and there are few jobs beside
// tasks, so it doesn't wait for a write to be to spare.
func (h *reconciler) writeJobEnd(p *jobProgress) {
	n := h.controller
	j := p.job
	n.committer.Budget.TakeAnyway(n.now(), 2)
	p.endInFlight = true
	h.jobEndsInFlight++
	f := storage.FinalRecord{Stage: protocol.StageDone, CompletedTasks: j.Tasks, EndedAtMS: n.Clock.Wall().UnixMilli()}
	n.committer.Commit(protocol.Transaction{
		Conditions: []protocol.Condition{
			{Key: storage.JobKey(j.ID), Version: j.Version},
			{Key: storage.GrantKey(j.Shard), Version: n.view.Grants[j.Shard].Version},
		},
		Operations: endJobOperations(j.ID, f),
	}, func(revision uint64, err error) {
		p.endInFlight = false
		h.jobEndsInFlight--
		if n.reconciler != h {
			return
		}
		if err != nil {
			n.Log.Debug("completed job not written", "job", j.ID, "err", err)
			p.retryAt = n.now() + n.generation.Jitter(kv.RetryPause/2)
			return
		}
		p.endWrittenRevision = revision
		n.rememberFinal(j.ID, f)
		n.Log.Debug("job done", "job", j.ID)
	})
}

// releaseCompleted lets a completed attempt leave its machine once its completion is
// durable, and reports whether it need not be looked at any more.
func (h *reconciler) releaseCompleted(a *attempt) bool {
	if h.agents[a.agent.machine.Name] != a.agent || a.agent.attempts[a.ref()] != a {
		return true
	}
	if !a.job.Ended() && !a.job.Completed.Has(a.task) {
		return false
	}
	h.removeAttempt(a)
	a.agent.needsAttention = true // it can be reaped
	return true
}
