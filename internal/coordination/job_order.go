package coordination

import (
	"cmp"
	"slices"
	"time"

	"rockrun/internal/coordination/placement"
	"rockrun/internal/coordination/quota"
	"rockrun/internal/storage"
)

// unfinished lists the unfinished jobs of the homes held, in the order in which they
// could start.
func (h *reconciler) sortedActiveJobs() []*storage.Job {
	n := h.controller
	if h.seenJobsAdded != n.view.JobsAdded {
		h.seenJobsAdded = n.view.JobsAdded
		h.activeJobs = h.activeJobs[:0]
		n.view.Jobs.All(func(_ int, j *storage.Job) {
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

// waitingJobs lists the jobs of the homes held with open tasks, in order.
func (h *reconciler) pendingJobs(now time.Duration) []placement.Candidate {
	n := h.controller
	var list []placement.Candidate
	booked := map[int][]quota.Usage{}
	wall := n.Clock.Wall()
	for _, j := range h.sortedActiveJobs() {
		if !j.Runnable() || h.writers[j.Shard] == nil || !n.leases.MayActFor(j.Shard) {
			continue
		}
		if booked[j.Shard] == nil {
			booked[j.Shard] = make([]quota.Usage, len(n.view.Teams))
		}
		t := &n.view.Teams[j.TeamIndex]
		p := h.progress(j)
		open := float64(j.Tasks - p.completedCount)
		b := &booked[j.Shard][j.TeamIndex]
		within := t.HasGuarantee && b.CPUs+open*j.CPUs <= n.view.QuotaShare(t, j.Shard, t.GuaranteedCPUs)+1e-6 &&
			(j.GPUs == 0 || b.GPUs+open*j.GPUs <= n.view.QuotaShare(t, j.Shard, t.GuaranteedGPUs)+1e-6)
		b.CPUs += open * j.CPUs
		b.GPUs += open * j.GPUs
		p.withinGuarantee = within
		if now < p.backoffUntil || h.nextOpenTask(j, p) < 0 {
			continue
		}
		progress := placement.Progress{Remaining: j.Tasks - p.completedCount, Begun: p.attempts > 0 || p.completedCount > 0}
		w := placement.NewCandidate(j, n.view.EffectiveRank(j), progress, n.Settings.Cluster.Objectives, wall)
		w.WithinGuarantee = within
		p.starved = p.starved || w.Starved
		list = append(list, w)
	}
	placement.Sort(list, h.placingPasses%placement.LongLateTurn == placement.LongLateTurn-1)
	return list
}
