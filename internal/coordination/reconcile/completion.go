package reconcile

import (
	"slices"

	"rockrun/internal/coordination/kv"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// maxFinalRecordsInFlight limits the concurrent writes of final records. At a write latency of
// half a second, 16 jobs can end per second.
const maxFinalRecordsInFlight = 8

// completions holds the attempts and jobs whose completion is not durable yet.
type completions struct {
	attempts             []*attempt     // completed attempts
	jobs                 []*jobProgress // jobs whose tasks are all done
	finalRecordsInFlight int
}

// endAttempt marks an attempt as confirmed terminated. A completed attempt is retained until its
// completion is durable. Any other attempt is removed, which makes its task pending again.
func (r *Reconciler) endAttempt(attempt *attempt, cause string) {
	if !attempt.live() {
		return
	}
	r.logAttemptEnded(attempt, cause)
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

// endReported ends an attempt whose end its agent has reported. Unless the task is completed, it
// will be started again, or its job is cancelled. The attempt therefore counts, for quotas as well,
// until the agent reports a fencing token with which it rejects delayed copies of the start.
func (r *Reconciler) endReported(attempt *attempt, cause string) {
	completed := cause == protocol.CauseDone && !attempt.job.Ended() && !attempt.job.IsService()
	if completed || !attempt.start.sent() {
		r.endAttempt(attempt, cause)
		return
	}
	r.logAttemptEnded(attempt, cause)
	attempt.state, attempt.awaitsFence = attemptEnded, true
	r.supersedeStart(attempt, cause)
}

// recordCompletion schedules the durable record of a completed task: the final record of the
// job if this was its last task, otherwise a completion page.
func (r *Reconciler) recordCompletion(a *attempt) {
	if a.progress.done() {
		r.completions.jobs = append(r.completions.jobs, a.progress)
	} else if writer := r.writers[a.agent.shard]; writer != nil {
		writer.markCompleted(a.progress, a.task/storage.TasksPerChunk)
	}
}

// endAllAttempts ends all attempts on a machine that certainly runs none of them.
func (r *Reconciler) endAllAttempts(agent *agent, reason string) {
	if len(agent.attempts) > 0 {
		r.Log.Info("tasks lost", "machine", agent.machine.Name, "tasks", len(agent.attempts), "reason", reason)
	}
	for _, ref := range storage.SortedTasks(agent.attempts) {
		if attempt := agent.attempts[ref]; attempt.awaitsFence {
			r.removeAttempt(attempt)
		} else {
			r.endAttempt(attempt, "lost")
		}
	}
	agent.unexpected.list = nil
}

// writeFinalRecords writes the final records of jobs whose tasks are all done, and removes
// completed attempts from their machines once their completion is durable.
func (r *Reconciler) writeFinalRecords() {
	pending := &r.completions
	pending.jobs = slices.DeleteFunc(pending.jobs, func(progress *jobProgress) bool {
		if progress.job.Ended() || r.jobs[progress.job] != progress {
			return true
		}
		if r.mayWriteFinalRecord(progress) {
			r.writeFinalRecord(progress)
		}
		return false
	})
	pending.attempts = slices.DeleteFunc(pending.attempts, r.removeCompleted)
}

// mayWriteFinalRecord reports whether the final record of a job may be written now.
func (r *Reconciler) mayWriteFinalRecord(progress *jobProgress) bool {
	return progress.finalRecordWrite.Ready(r.now(), r.Replica.Revision()) && r.Leases.MayActFor(progress.job.Shard) &&
		r.completions.finalRecordsInFlight < maxFinalRecordsInFlight
}

// writeFinalRecord writes the final record of a completed job. Users wait for the final record
// and there are few jobs compared with tasks, so the write does not wait for the write budget.
func (r *Reconciler) writeFinalRecord(progress *jobProgress) {
	job := progress.job
	final := storage.FinalRecord{Stage: protocol.StageDone, CompletedTasks: job.Tasks, EndedAtMS: r.Generation.Wall().UnixMilli()}
	operations := storage.EndJobOperations(job.ID, final)
	transaction := protocol.Transaction{
		Preconditions: []protocol.Precondition{
			{Key: storage.JobKey(job.ID), Version: job.Version},
			r.View.GrantPrecondition(job.Shard),
		},
		Operations: operations,
	}
	r.Committer.Budget.ForceConsume(r.now(), len(operations))
	progress.finalRecordWrite.Begin()
	r.completions.finalRecordsInFlight++
	r.Committer.Commit(transaction, func(revision uint64, err error) {
		progress.finalRecordWrite.Finish()
		r.completions.finalRecordsInFlight--
		if r.Generation.Ended() {
			return
		}
		if err != nil {
			r.Log.Debug("final record write failed", "job", job.ID, "err", err)
			progress.finalRecordWrite.DelayUntil(r.now() + r.Generation.Jitter(kv.RetryDelay/2))
			return
		}
		progress.finalRecordWrite.Written(revision)
		r.Outcomes.RecordOutcome(job.ID, final)
		r.Log.Debug("job done", "job", job.ID)
	})
}

// removeCompleted removes a completed attempt from its machine once the completion is
// durable. It reports whether the attempt needs no further check.
func (r *Reconciler) removeCompleted(a *attempt) bool {
	if !r.agents.contains(a.agent) || a.agent.attempts[a.ref()] != a {
		return true
	}
	if !a.job.Ended() && !a.job.Completed.Has(a.task) {
		return false
	}
	r.removeAttempt(a)
	a.agent.needsAttention = true // the task can be reaped
	return true
}
