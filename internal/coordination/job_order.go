package coordination

import (
	"cmp"
	"slices"
	"time"

	"rockrun/internal/bookkeeping"
	"rockrun/internal/config"
)

// waiting is a job with tasks to place.
type waiting struct {
	job    *bookkeeping.Job
	prog   *progress
	rank   int     // the highest of its own and of those of the jobs that need it
	within bool    // fits into its team's guarantee with the team's earlier jobs
	starve bool    // nothing of it has begun for too long
	late   bool    // too late to be of the use its owner hoped for
	aged   bool    // and has been for long
	claim  float64 // work left by the time it has waited; the least goes first
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
func order(list []waiting, agedFirst bool) {
	slices.SortStableFunc(list, func(a, b waiting) int {
		return cmp.Or(
			cmp.Compare(a.rank, b.rank),
			compareBool(b.starve, a.starve),
			compareBool(b.within, a.within),
			compareBool(a.aged != agedFirst, b.aged != agedFirst),
			compareBool(a.late, b.late),
			cmp.Compare(a.claim, b.claim),
			cmp.Compare(a.job.ReadyMS(), b.job.ReadyMS()),
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
func (w *waiting) rate(left int, begun bool, aims []config.Objective, nowMS int64) {
	j := w.job
	age := float64(nowMS-j.ReadyMS()) / 1000
	w.starve = !begun && age > bound
	if j.Standing() {
		return
	}
	w.claim = float64(left) * max(j.CPUs, 0.1) * runS(j) / (age + runS(j))
	last := j.DeadlineS
	for _, o := range aims {
		switch {
		case o.Class != j.Class:
		case o.Kind == "finished" && j.DeadlineS == 0:
			last = o.WithinS
		case o.Kind == "deadline" && j.DeadlineS > 0:
			last = max(last, j.DeadlineS*o.Times)
		}
	}
	if j.DeadlineS > 0 {
		age = float64(nowMS-j.AtMS) / 1000 // a deadline counts from the submission
	}
	w.late = last > 0 && age+runS(j) > last
	if w.aged = last > 0 && age > last+bound; w.aged {
		w.claim = 0 // by arrival
	}
}

// bound is how long a job may be put behind others of its rank. Work that
// nothing has begun of by then goes first, and what has been late for so long
// takes turns with what is not: else large jobs would starve for as long as more
// is asked for than can be done.
const bound = 100.0 // seconds

// agedTurn is in how many passes that place something work that has been late
// for long goes first once.
const agedTurn = 3

// unfinished lists the unfinished jobs of the homes held, in the order in which they
// could start.
func (h *holder) unfinished() []*bookkeeping.Job {
	n := h.n
	if h.jobsSeen != n.cache.JobsSeen {
		h.jobsSeen = n.cache.JobsSeen
		h.mine = h.mine[:0]
		n.cache.Jobs.All(func(_ int, j *bookkeeping.Job) {
			if j.Wanted() {
				h.mine = append(h.mine, j)
			}
		})
		slices.SortFunc(h.mine, func(a, b *bookkeeping.Job) int {
			return cmp.Or(cmp.Compare(a.ReadyMS(), b.ReadyMS()), cmp.Compare(a.ID, b.ID))
		})
	}
	h.mine = slices.DeleteFunc(h.mine, func(j *bookkeeping.Job) bool { return !j.Wanted() })
	return h.mine
}

// waitingJobs lists the jobs of the homes held with open tasks, in order.
func (h *holder) waitingJobs(now time.Duration) []waiting {
	n := h.n
	var list []waiting
	booked := map[int][]usage{}
	nowMS := n.Clock.Wall().UnixMilli()
	for _, j := range h.unfinished() {
		if !j.Runnable() || h.writers[j.Home] == nil || !n.entitled(j.Home) {
			continue
		}
		if booked[j.Home] == nil {
			booked[j.Home] = make([]usage, len(n.cache.Teams))
		}
		t := &n.cache.Teams[j.TeamIdx]
		p := h.progress(j)
		open := float64(j.Tasks - p.doneN)
		b := &booked[j.Home][j.TeamIdx]
		within := t.Guaranteed && b.cpus+open*j.CPUs <= n.cache.Share(t, j.Home, t.CPUs)+1e-6 &&
			(j.GPUs == 0 || b.gpus+open*j.GPUs <= n.cache.Share(t, j.Home, t.GPUs)+1e-6)
		b.cpus += open * j.CPUs
		b.gpus += open * j.GPUs
		p.within = within
		if now < p.backoff || h.nextOpen(j, p) < 0 {
			continue
		}
		w := waiting{job: j, prog: p, within: within, rank: n.cache.EffectiveRank(j)}
		w.rate(j.Tasks-p.doneN, p.attempts > 0 || p.doneN > 0, n.Settings.Cluster.Objectives, nowMS)
		p.starved = p.starved || w.starve
		list = append(list, w)
	}
	order(list, h.placingPasses%agedTurn == agedTurn-1)
	return list
}
