package coordination

import (
	"cmp"
	"slices"
	"time"

	"rockrun/internal/bookkeeping"
	"rockrun/internal/config"
	"rockrun/internal/protocol"
)

// waiting is a job with tasks to place.
type waiting struct {
	job    *bookkeeping.Job
	prog   *progress
	within bool    // fits into its team's guarantee with the team's earlier jobs
	late   bool    // too late to be of the use its owner hoped for
	claim  float64 // work left by the time it has waited; the least goes first
}

// order sorts jobs into the order in which they get machines: by priority, work
// within a guarantee before borrowed share, jobs that can still be in time
// before those that can't. Among equals it is the work left, weighed against
// the time waited: where not all can be in time, small jobs let more of them be,
// and no large one waits for ever.
func order(list []waiting) {
	slices.SortStableFunc(list, func(a, b waiting) int {
		return cmp.Or(
			cmp.Compare(a.job.Rank(), b.job.Rank()),
			compareBool(b.within, a.within),
			compareBool(a.late, b.late),
			cmp.Compare(a.claim, b.claim),
			cmp.Compare(a.job.AtMS, b.job.AtMS),
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

// rate works out a job's claim, and whether it is late, from how many tasks are left of it.
func (w *waiting) rate(left int, aims []config.Objective, nowMS int64) {
	j := w.job
	if j.Kind == protocol.KindService {
		return
	}
	age := float64(nowMS-j.AtMS) / 1000
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
	w.late = last > 0 && age+runS(j) > last
}

// waitingJobs lists the jobs of this home with open tasks, in order.
func (h *holder) waitingJobs(now time.Duration) []waiting {
	n := h.n
	var list []waiting
	var mine []*bookkeeping.Job
	n.book.Jobs.All(func(_ int, j *bookkeeping.Job) {
		if !j.Over() && n.entitled(n.book.Home(j)) {
			mine = append(mine, j)
		}
	})
	slices.SortFunc(mine, func(a, b *bookkeeping.Job) int {
		return cmp.Or(cmp.Compare(a.AtMS, b.AtMS), cmp.Compare(a.ID, b.ID))
	})
	booked := make([]usage, len(n.book.Teams))
	for _, j := range mine {
		t := &n.book.Teams[j.TeamIdx]
		p := h.progress(j)
		open := float64(j.Tasks - p.doneN)
		b := &booked[j.TeamIdx]
		within := t.Guaranteed && b.cpus+open*j.CPUs <= t.CPUs+1e-6 && (j.GPUs == 0 || b.gpus+open*j.GPUs <= t.GPUs+1e-6)
		b.cpus += open * j.CPUs
		b.gpus += open * j.GPUs
		if now < p.backoff {
			continue
		}
		if h.nextOpen(j, p) >= 0 {
			w := waiting{job: j, prog: p, within: within}
			w.rate(j.Tasks-p.doneN, n.Settings.Cluster.Objectives, n.Clock.Wall().UnixMilli())
			list = append(list, w)
		}
	}
	order(list)
	return list
}

// nextOpen returns the first task of a job that waits to be placed, or -1.
func (h *holder) nextOpen(j *bookkeeping.Job, p *progress) int {
	for ; p.next < j.Tasks; p.next++ {
		if !p.done.Has(p.next) && h.placed[bookkeeping.TaskRef{Job: j.Index, Task: p.next}] == 0 {
			return p.next
		}
	}
	return -1
}

// place gives waiting tasks to machines, and makes room for those that may
// preempt others.
func (h *holder) place() {
	n := h.n
	now := n.now()
	list := h.waitingJobs(now)
	if len(list) == 0 {
		return
	}
	machines := h.sorted()
	promised := map[*holding]*room{} // room that stops under way will leave
	for _, w := range list {
		if w.job.Kind == protocol.KindGang {
			h.placeGang(machines, w, promised, now)
			continue
		}
		promises, open := 0, max(1, w.job.Tasks-w.prog.doneN-w.job.Refs)
		for {
			task := h.nextOpen(w.job, w.prog)
			if task < 0 {
				break
			}
			if !h.underLimit(w.job) {
				break
			}
			if x := h.choose(machines, w.job, task, promised, now); x != nil {
				h.plan(w.job, task, x, h.nextTry(x), now)
				continue
			}
			// Each waiting task is promised room once.
			if promises++; promises > open || !h.makeRoom(machines, w, promised, now) {
				break
			}
		}
	}
}

// nextTry returns an attempt number above every earlier one: the grant's token
// in the high bits, a counter of this holder's in the low ones.
func (h *holder) nextTry(x *holding) uint64 {
	h.tries++
	return h.n.book.Grants[x.shard].Token>>24<<24 | h.tries&(1<<24-1)
}

// plan makes a new attempt at a task.
func (h *holder) plan(j *bookkeeping.Job, task int, x *holding, try uint64, now time.Duration) *attempt {
	a := &attempt{job: j, task: task, on: x, planned: now, try: try}
	_, cached := x.images[j.ImageIdx]
	h.add(a)
	h.n.Log.Debug("place", "job", j.ID, "task", task, "machine", x.m.Name, "cached", cached, "image", j.Image,
		"waited_ms", h.n.Clock.Wall().UnixMilli()-j.AtMS)
	return a
}

// placeGang places all open tasks of a gang or none, and only once no attempt
// of an earlier round is left: a gang that has lost a task starts over.
func (h *holder) placeGang(machines []*holding, w waiting, promised map[*holding]*room, now time.Duration) {
	j := w.job
	for _, x := range machines {
		for _, a := range x.attempts {
			if a.job == j && a.live() {
				return
			}
		}
	}
	var planned []*attempt
	var try uint64
	for task := h.nextOpen(j, w.prog); task >= 0; task = h.nextOpen(j, w.prog) {
		x := h.choose(machines, j, task, promised, now)
		if x == nil || !h.underLimit(j) {
			for _, a := range planned {
				h.remove(a)
			}
			for left := j.Tasks - w.prog.doneN; x == nil && left > 0 && h.makeRoom(machines, w, promised, now); left-- {
				h.n.Log.Debug("room for a gang", "job", j.ID, "left", left)
			}
			return
		}
		if try == 0 {
			try = h.nextTry(x) // the tasks of a round know each other by it
		}
		planned = append(planned, h.plan(j, task, x, try, now))
	}
}

// underLimit reports whether one more task of a job keeps its team's limit.
// Everything that may be on a machine counts.
func (h *holder) underLimit(j *bookkeeping.Job) bool {
	t, u := &h.n.book.Teams[j.TeamIdx], &h.usage[j.TeamIdx]
	return !over(u.cpus+j.CPUs, t.CPUsMax) && !over(u.gpus+j.GPUs, t.GPUsMax)
}

// allowed reports whether a machine is one that a job's task may start on,
// room aside. Only machines of the home's own shard are, even for a controller
// that holds several: the shards may part again, and whoever holds a home must
// hold everything that its jobs may be on, or it would not count it.
func (h *holder) allowed(x *holding, j *bookkeeping.Job) bool {
	n := h.n
	if x.shard != n.book.Home(j) || !n.book.Suits(j, x.m) {
		return false
	}
	if !j.OneZone && !j.Spread {
		return true
	}
	// Tasks that may be on a machine anywhere count, unproven ones too.
	inZone, elsewhere := 0, 0
	for _, y := range h.machines {
		for _, a := range y.attempts {
			if a.job == j && a.live() {
				if y.m.ZoneIdx == x.m.ZoneIdx {
					inZone++
				} else {
					elsewhere++
				}
			}
		}
	}
	if j.OneZone && elsewhere > 0 {
		return false
	}
	return !j.Spread || inZone+1 <= (j.Tasks+1)/2
}

// usable reports whether a machine takes new tasks now.
func (h *holder) usable(x *holding, now time.Duration) bool {
	report := h.n.Settings.Cluster.Workers.Report()
	return h.n.entitled(x.shard) && x.fenced && x.m.Phase == bookkeeping.PhaseActive && x.notice == 0 &&
		now >= x.avoid && now-x.heard < 2*report+time.Second
}

// room is what is left on a machine.
type room struct{ cpus, gpus, memory float64 }

func (r room) fits(j *bookkeeping.Job) bool {
	return j.CPUs <= r.cpus+1e-6 && j.GPUs <= r.gpus+1e-6 && j.MemoryGB <= r.memory+1e-6
}

// take takes off what a task of a job needs.
func (r *room) take(j *bookkeeping.Job) {
	r.cpus -= j.CPUs
	r.gpus -= j.GPUs
	r.memory -= j.MemoryGB
}

// leave adds what a task of a job will leave.
func (r *room) leave(j *bookkeeping.Job) {
	r.cpus += j.CPUs
	r.gpus += j.GPUs
	r.memory += j.MemoryGB
}

func (h *holder) free(x *holding) room {
	t := &h.n.book.Types[x.m.TypeIdx]
	return room{t.CPUs - x.cpus, t.GPUs - x.gpus, t.MemoryGB - x.memory}
}

// choose picks the machine for a task: spot before ordinary where the job
// allows it, one that has the image, then the fullest, so that others empty.
func (h *holder) choose(machines []*holding, j *bookkeeping.Job, task int, promised map[*holding]*room, now time.Duration) *holding {
	var best *holding
	var bestScore float64
	most := int(h.n.Settings.Cluster.State.ValueKB * 1024 / 64)
	services := 0.0
	if j.Kind == protocol.KindService {
		for _, x := range machines {
			services += h.serviceCPUs(x)
		}
	}
	for _, x := range machines {
		if promised[x] != nil || !h.usable(x, now) || len(x.attempts) >= most || !h.allowed(x, j) || !h.free(x).fits(j) {
			continue
		}
		if has(x, j, task) {
			continue
		}
		score := 0.0
		if x.slow() {
			score -= 5000 // only where there is nothing else
		}
		if x.m.Spot {
			score += 1000
		}
		if _, cached := x.images[j.ImageIdx]; cached {
			score += 100
		}
		t := &h.n.book.Types[x.m.TypeIdx]
		if j.Kind == protocol.KindService {
			// Beside other services: one alone would keep a machine that was
			// rented for a burst of other work from going back.
			// But not all on one, which may die with them.
			here := h.serviceCPUs(x)
			score += 50 * here / t.CPUs
			if here+j.CPUs > services/4 && here > 0 {
				score -= 120
			}
		} else {
			score += 50 * x.cpus / t.CPUs
		}
		if best == nil || score > bestScore {
			best, bestScore = x, score
		}
	}
	return best
}

// serviceCPUs is what services take of a machine.
func (h *holder) serviceCPUs(x *holding) float64 {
	sum := 0.0
	for _, ref := range refs(x.attempts) {
		if a := x.attempts[ref]; a.live() && a.job.Kind == protocol.KindService {
			sum += a.job.CPUs
		}
	}
	return sum
}

// has reports whether a machine still lists an earlier attempt at a task that is
// not reaped; a start of another attempt would be refused.
func has(x *holding, j *bookkeeping.Job, task int) bool {
	name := protocol.TaskName(j.ID, task)
	return slices.ContainsFunc(x.extras, func(t protocol.TaskStatus) bool { return t.Task == name })
}

// mayStop reports whether work may be stopped to make room for a waiting job.
func (h *holder) mayStop(w waiting, a *attempt) bool {
	if a.job.Rank() > w.job.Rank() {
		return true
	}
	// Guaranteed share comes before what another team has borrowed. A service is
	// never stopped for it: not for batch work, and one for another gains nobody
	// anything, least of all when machines are lost and they take turns.
	if !w.within || a.job.TeamIdx == w.job.TeamIdx || a.job.Kind == protocol.KindService {
		return false
	}
	t := &h.n.book.Teams[a.job.TeamIdx]
	return h.usage[a.job.TeamIdx].cpus-a.job.CPUs >= t.CPUs
}

// makeRoom stops the least work that lets one task of a job start; false when
// nothing can be done.
func (h *holder) makeRoom(machines []*holding, w waiting, promised map[*holding]*room, now time.Duration) bool {
	var best *holding
	var victims []*attempt
	var left room // on the best, with its victims gone
	bestCost := 0.0
	for _, x := range machines {
		if !h.usable(x, now) || !h.allowed(x, w.job) {
			continue
		}
		r := h.free(x)
		if p := promised[x]; p != nil {
			r = *p
		} else {
			for _, a := range x.attempts {
				if a.live() && a.stop {
					r.leave(a.job)
				}
			}
		}
		var list []*attempt
		for _, a := range x.attempts {
			if a.live() && !a.stop && h.mayStop(w, a) {
				list = append(list, a)
			}
		}
		slices.SortFunc(list, func(a, b *attempt) int {
			return cmp.Or(cmp.Compare(b.job.Rank(), a.job.Rank()), cmp.Compare(b.planned, a.planned), cmp.Compare(a.try, b.try), cmp.Compare(a.task, b.task))
		})
		cost := 0.0
		var chosen []*attempt
		for _, a := range list {
			if r.fits(w.job) {
				break
			}
			r.leave(a.job)
			cost += 1 + a.job.CPUs*(now-a.planned).Seconds()
			chosen = append(chosen, a)
		}
		if !r.fits(w.job) {
			continue
		}
		if best == nil || cost < bestCost {
			best, victims, left, bestCost = x, chosen, r, cost
		}
	}
	if best == nil {
		return false
	}
	for _, a := range victims {
		a.stop, a.halted = true, 0
		if a.job.CheckpointS > 0 {
			a.grace = a.job.SaveS
		}
		h.n.Log.Info("preempt", "job", a.job.ID, "task", a.task, "machine", best.m.Name, "for", w.job.ID)
	}
	left.take(w.job)
	promised[best] = &left
	return true
}
