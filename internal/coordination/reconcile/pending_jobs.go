package reconcile

import (
	"time"

	"rockrun/internal/coordination/placement"
	"rockrun/internal/coordination/quota"
	"rockrun/internal/storage"
)

// pendingJobs returns the jobs of the held job shards that have tasks to place, in the order
// of placement.
func (r *Reconciler) pendingJobs(now time.Duration) []placement.Candidate {
	var list []placement.Candidate
	guarantees, wall := quota.NewGuarantees(r.View), r.Generation.Wall()
	for _, job := range r.activeJobs.update(r.View) {
		if !job.Runnable() || r.writers[job.Shard] == nil || !r.Leases.MayActFor(job.Shard) {
			continue
		}
		progress := r.progressOf(job)
		remaining := job.Tasks - progress.completedCount
		progress.withinGuarantee = guarantees.Claim(job, remaining)
		if now < progress.backoffUntil || r.nextUnplacedTask(job, progress) < 0 {
			continue
		}
		begun := progress.attempts > 0 || progress.completedCount > 0
		rank := r.View.EffectiveRank(job)
		candidate := placement.NewCandidate(job, rank, placement.Progress{Remaining: remaining, Begun: begun}, r.Objectives, wall)
		candidate.WithinGuarantee = progress.withinGuarantee
		progress.starved = progress.starved || candidate.Starved
		list = append(list, candidate)
	}
	placement.Sort(list, r.placingPasses%placement.LongOverduePassInterval == placement.LongOverduePassInterval-1)
	return list
}

// nextUnplacedTask returns the first unplaced task of a job, or -1.
func (r *Reconciler) nextUnplacedTask(job *storage.Job, progress *jobProgress) int {
	for ; progress.nextTask < job.Tasks; progress.nextTask++ {
		ref := storage.TaskRef{Job: job.Index, Task: progress.nextTask}
		if !progress.completed.Has(progress.nextTask) && r.attemptsByTask[ref] == 0 {
			return progress.nextTask
		}
	}
	return -1
}
