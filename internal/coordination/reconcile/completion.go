package reconcile

import (
	"slices"

	"rockrun/internal/coordination/kv"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// maxJobEndsInFlight bounds the ends of jobs being written: with answers in half a second,
// sixteen jobs end each second.
const maxJobEndsInFlight = 8

// completions are what waits to be durable.
type completions struct {
	attempts        []*attempt     // completed
	jobs            []*jobProgress // all tasks done
	jobEndsInFlight int
}

// end marks an attempt as proven over. A completed one stays until that is durable; any
// other makes its task wait again.
func (r *Reconciler) end(attempt *attempt, cause string) {
	if !attempt.live() {
		return
	}
	r.logOver(attempt, cause)
	r.usage.charge(attempt, -1)
	attempt.state = attemptEnded
	if cause != protocol.CauseDone || attempt.job.Ended() || attempt.job.IsService() {
		r.removeAttempt(attempt)
		return
	}
	if attempt.progress.complete(attempt.task) {
		r.recordCompletion(attempt)
	}
	r.completions.attempts = append(r.completions.attempts, attempt)
}

// recordCompletion sees to it that a completed task becomes durable, with its job where it
// was the last.
func (r *Reconciler) recordCompletion(a *attempt) {
	if a.progress.done() {
		r.completions.jobs = append(r.completions.jobs, a.progress)
	} else if writer := r.writers[a.agent.shard]; writer != nil {
		writer.markCompleted(a.progress, a.task/storage.TasksPerChunk)
	}
}

// endAll ends every attempt of a machine that is proven to run nothing.
func (r *Reconciler) endAll(agent *agent, reason string) {
	if len(agent.attempts) > 0 {
		r.Log.Info("tasks lost", "machine", agent.machine.Name, "tasks", len(agent.attempts), "reason", reason)
	}
	for _, ref := range storage.SortedTasks(agent.attempts) {
		r.end(agent.attempts[ref], "lost")
	}
	agent.unexpected.list = nil
}

// writeJobEnds makes jobs durable whose tasks are all done, and lets completed attempts
// leave their machines once that is.
func (r *Reconciler) writeJobEnds() {
	pending := &r.completions
	pending.jobs = slices.DeleteFunc(pending.jobs, func(progress *jobProgress) bool {
		if progress.job.Ended() || r.jobs[progress.job] != progress {
			return true
		}
		if r.mayWriteJobEnd(progress) {
			r.writeJobEnd(progress)
		}
		return false
	})
	pending.attempts = slices.DeleteFunc(pending.attempts, r.releaseCompleted)
}

// mayWriteJobEnd reports whether the end of a job may be written now.
func (r *Reconciler) mayWriteJobEnd(progress *jobProgress) bool {
	return progress.endWrite.Ready(r.now(), r.Replica.Revision()) && r.Leases.MayActFor(progress.job.Shard) &&
		r.completions.jobEndsInFlight < maxJobEndsInFlight
}

// writeJobEnd writes that a job is done. Users wait for it and there are few jobs beside
// tasks, so it doesn't wait for a write to be to spare.
func (r *Reconciler) writeJobEnd(progress *jobProgress) {
	job := progress.job
	final := storage.FinalRecord{Stage: protocol.StageDone, CompletedTasks: job.Tasks, EndedAtMS: r.Generation.Wall().UnixMilli()}
	operations := storage.EndJobOperations(job.ID, final)
	transaction := protocol.Transaction{
		Conditions: []protocol.Condition{
			{Key: storage.JobKey(job.ID), Version: job.Version},
			r.View.GrantCondition(job.Shard),
		},
		Operations: operations,
	}
	r.Committer.Budget.TakeAnyway(r.now(), len(operations))
	progress.endWrite.Begin()
	r.completions.jobEndsInFlight++
	r.Committer.Commit(transaction, func(revision uint64, err error) {
		progress.endWrite.Finish()
		r.completions.jobEndsInFlight--
		if r.Generation.Ended() {
			return
		}
		if err != nil {
			r.Log.Debug("end of job not written", "job", job.ID, "err", err)
			progress.endWrite.RetryAt(r.now() + r.Generation.Jitter(kv.RetryPause/2))
			return
		}
		progress.endWrite.Written(revision)
		r.Outcomes.Remember(job.ID, final)
		r.Log.Debug("job done", "job", job.ID)
	})
}

// releaseCompleted lets a completed attempt leave its machine once its completion is
// durable, and reports whether it need not be looked at any more.
func (r *Reconciler) releaseCompleted(a *attempt) bool {
	if !r.agents.contains(a.agent) || a.agent.attempts[a.ref()] != a {
		return true
	}
	if !a.job.Ended() && !a.job.Completed.Has(a.task) {
		return false
	}
	r.removeAttempt(a)
	a.agent.needsAttention = true // it can be reaped
	return true
}
