package reconcile

import (
	"cmp"
	"slices"
	"time"

	"rockrun/internal/coordination/placement"
	"rockrun/internal/coordination/quota"
	"rockrun/internal/storage"
)

// sortedActiveJobs lists the jobs that are neither over nor cancelled, in the order in
// which they could start.
func (h *Reconciler) sortedActiveJobs() []*storage.Job {
	if h.seenJobsAdded != h.View.JobsAdded {
		h.seenJobsAdded = h.View.JobsAdded
		h.activeJobs = h.activeJobs[:0]
		h.View.Jobs.All(func(_ int, j *storage.Job) {
			if j.Active() {
				h.activeJobs = append(h.activeJobs, j)
			}
		})
		slices.SortFunc(h.activeJobs, func(a, b *storage.Job) int {
			return cmp.Or(cmp.Compare(a.ReadyAtMS(), b.ReadyAtMS()), cmp.Compare(a.ID, b.ID))
		})
	}
	h.activeJobs = slices.DeleteFunc(h.activeJobs, func(j *storage.Job) bool { return !j.Active() })
	return h.activeJobs
}

// pendingJobs lists the jobs of the job shards held that have tasks to place, in order.
func (h *Reconciler) pendingJobs(now time.Duration) []placement.Candidate {
	var list []placement.Candidate
	guarantees, wall := quota.NewGuarantees(h.View), h.Generation.Wall()
	for _, j := range h.sortedActiveJobs() {
		if !j.Runnable() || h.writers[j.Shard] == nil || !h.Leases.MayActFor(j.Shard) {
			continue
		}
		p := h.progress(j)
		remaining := j.Tasks - p.completedCount
		p.withinGuarantee = guarantees.Claim(j, remaining)
		if now < p.backoffUntil || h.nextOpenTask(j, p) < 0 {
			continue
		}
		progress := placement.Progress{Remaining: remaining, Begun: p.attempts > 0 || p.completedCount > 0}
		candidate := placement.NewCandidate(j, h.View.EffectiveRank(j), progress, h.Objectives, wall)
		candidate.WithinGuarantee = p.withinGuarantee
		p.starved = p.starved || candidate.Starved
		list = append(list, candidate)
	}
	placement.Sort(list, h.placingPasses%placement.LongLateTurn == placement.LongLateTurn-1)
	return list
}
