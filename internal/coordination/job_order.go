package coordination

import (
	"cmp"
	"slices"
	"time"

	"rockrun/internal/config"
	"rockrun/internal/coordination/quota"
	"rockrun/internal/storage"
)

// waiting is a job with tasks to place.
type pendingJob struct {
	job             *storage.Job
	progress        *jobProgress
	rank            int     // the highest of its own and of those of the jobs that need it
	withinGuarantee bool    // fits into its team's guarantee with the team's earlier jobs
	starved         bool    // nothing of it has begun for too long
	late            bool    // too late to be of the use its owner hoped for
	longLate        bool    // and has been for long
	weight          float64 // work left by the time it has waited; the least goes first
}

// order sorts jobs into the order in which they get machines: by priority, work
// within a guarantee before borrowed share, jobs that can still be in time
// before those that can't. Among equals it is the work left, weighed against
// the time waited: where not all can be in time, small jobs let more of them be,
// and no large one waits for ever.
//
// Where more is asked for than can be done, work that is late would wait for
// ever behind what is not, or all would be late if it went first. So what has
// been late for long takes turns with the rest, the oldest first.
func sortPendingJobs(list []pendingJob, agedFirst bool) {
	slices.SortStableFunc(list, func(a, b pendingJob) int {
		return cmp.Or(
			cmp.Compare(a.rank, b.rank),
			compareBool(b.starved, a.starved),
			compareBool(b.withinGuarantee, a.withinGuarantee),
			compareBool(a.longLate != agedFirst, b.longLate != agedFirst),
			compareBool(a.late, b.late),
			cmp.Compare(a.weight, b.weight),
			cmp.Compare(a.job.ReadyAtMS(), b.job.ReadyAtMS()),
			cmp.Compare(a.job.ID, b.job.ID),
		)
	})
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// rate works out a job's claim, and whether it is late or starves, from how many
// tasks are left of it and whether any has begun.
func (w *pendingJob) rate(left int, begun bool, aims []config.Objective, nowMS int64) {
	j := w.job
	age := float64(nowMS-j.ReadyAtMS()) / 1000
	w.starved = !begun && age > maxDelaySeconds
	if j.IsService() {
		return
	}
	w.weight = float64(left) * max(j.CPUs, 0.1) * expectedRunSeconds(j) / (age + expectedRunSeconds(j))
	last := j.DeadlineSeconds
	for _, o := range aims {
		switch {
		case o.Class != j.Class:
		case o.Kind == "finished" && j.DeadlineSeconds == 0:
			last = o.WithinSeconds
		case o.Kind == "deadline" && j.DeadlineSeconds > 0:
			last = max(last, j.DeadlineSeconds*o.DeadlineFactor)
		}
	}
	if j.DeadlineSeconds > 0 {
		age = float64(nowMS-j.SubmittedAtMS) / 1000 // a deadline counts from the submission
	}
	w.late = last > 0 && age+expectedRunSeconds(j) > last
	if w.longLate = last > 0 && age > last+maxDelaySeconds; w.longLate {
		w.weight = 0 // by arrival
	}
}

// bound is how long a job may be put behind others of its rank. Work that
// nothing has begun of by then goes first, and what has been late for so long
// takes turns with what is not: else large jobs would starve for as long as more
// is asked for than can be done.
const maxDelaySeconds = 100.0 // seconds

// agedTurn is in how many passes that place something work that has been late
// for long goes first once.
const longLateTurn = 3

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
func (h *reconciler) pendingJobs(now time.Duration) []pendingJob {
	n := h.controller
	var list []pendingJob
	booked := map[int][]quota.Usage{}
	nowMS := n.Clock.Wall().UnixMilli()
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
		w := pendingJob{job: j, progress: p, withinGuarantee: within, rank: n.view.EffectiveRank(j)}
		w.rate(j.Tasks-p.completedCount, p.attempts > 0 || p.completedCount > 0, n.Settings.Cluster.Objectives, nowMS)
		p.starved = p.starved || w.starved
		list = append(list, w)
	}
	sortPendingJobs(list, h.placingPasses%longLateTurn == longLateTurn-1)
	return list
}
