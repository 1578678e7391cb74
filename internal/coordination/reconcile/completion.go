package reconcile

import (
	"slices"

	"rockrun/internal/coordination/kv"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// end marks an attempt as proven over. A completed one stays until that is
// durable; any other makes its task wait again.
func (h *Reconciler) end(a *attempt, cause string) {
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
				d.markCompleted(p, a.task/storage.TasksPerChunk, h.now())
			}
		}
		h.completedAttempts = append(h.completedAttempts, a)
		return
	}
	h.removeAttempt(a)
}

// settleAll ends every attempt of a machine that is proven to run nothing.
func (h *Reconciler) endAll(x *agent, why string) {
	if len(x.attempts) > 0 {
		h.Log.Info("tasks lost", "machine", x.machine.Name, "tasks", len(x.attempts), "why", why)
	}
	for _, ref := range storage.SortedTasks(x.attempts) {
		h.end(x.attempts[ref], "lost")
	}
	x.unexpected = nil
}

// maxFinishing bounds the ends of jobs under way: with answers in half a second, sixteen
// jobs end each second.
const maxJobEndsInFlight = 8

// finish makes jobs durable whose tasks are all done, and lets completed
// attempts leave their machines once that is.
func (h *Reconciler) writeJobEnds() {
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
func (h *Reconciler) mayWriteJobEnd(p *jobProgress) bool {
	return !p.endInFlight && h.Replica.Revision() >= p.endWrittenRevision && h.now() >= p.retryAt && h.Leases.MayActFor(p.job.Shard) && h.jobEndsInFlight < maxJobEndsInFlight
}

// finishJob writes that a job is done. Users wait for it and there are few jobs beside
// tasks, so it doesn't wait for a write to be to spare.
func (h *Reconciler) writeJobEnd(p *jobProgress) {
	j := p.job
	h.Committer.Budget.TakeAnyway(h.now(), 2)
	p.endInFlight = true
	h.jobEndsInFlight++
	f := storage.FinalRecord{Stage: protocol.StageDone, CompletedTasks: j.Tasks, EndedAtMS: h.Generation.Wall().UnixMilli()}
	h.Committer.Commit(protocol.Transaction{
		Conditions: []protocol.Condition{
			{Key: storage.JobKey(j.ID), Version: j.Version},
			{Key: storage.GrantKey(j.Shard), Version: h.View.Grants[j.Shard].Version},
		},
		Operations: storage.EndJobOperations(j.ID, f),
	}, func(revision uint64, err error) {
		p.endInFlight = false
		h.jobEndsInFlight--
		if h.Generation.Ended() {
			return
		}
		if err != nil {
			h.Log.Debug("completed job not written", "job", j.ID, "err", err)
			p.retryAt = h.now() + h.Generation.Jitter(kv.RetryPause/2)
			return
		}
		p.endWrittenRevision = revision
		h.Outcomes.Remember(j.ID, f)
		h.Log.Debug("job done", "job", j.ID)
	})
}

// releaseCompleted lets a completed attempt leave its machine once its completion is
// durable, and reports whether it need not be looked at any more.
func (h *Reconciler) releaseCompleted(a *attempt) bool {
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
