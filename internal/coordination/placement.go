package coordination

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"rockrun/internal/bookkeeping"
	"rockrun/internal/protocol"
)

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
	now := h.n.now()
	list := h.waitingJobs(now)
	if len(list) == 0 {
		return
	}
	r := &placingRound{h: h, now: now, machines: h.roomy(leastRoom(list), now), promised: map[*holding]*room{}}
	for _, w := range list {
		r.place(w)
	}
	if r.placed {
		h.placingPasses++
	}
}

// leastRoom is the least that any waiting task takes.
func leastRoom(list []waiting) room {
	least := list[0].job
	need := room{least.CPUs, least.GPUs, least.MemoryGB}
	for _, w := range list {
		need = room{min(need.cpus, w.job.CPUs), min(need.gpus, w.job.GPUs), min(need.memory, w.job.MemoryGB)}
	}
	return need
}

// placingRound is one pass over all that waits.
type placingRound struct {
	h        *holder
	now      time.Duration
	machines []*holding         // with room for the least of the tasks
	promised map[*holding]*room // room that stops under way will leave
	placed   bool
	failed   []*bookkeeping.Job // jobs for which there is no place; larger ones of their kind need not look
	unaided  []waiting          // jobs for which nothing can be stopped
}

// place gives the tasks of one job to machines.
func (r *placingRound) place(w waiting) {
	h := r.h
	if w.job.Kind == protocol.KindGang {
		h.placeGang(r.machines, w, r.promised, r.now)
		return
	}
	if w.job.OneZone && w.prog.attempts == 0 {
		if zone := h.gatheringZone(w); zone >= 0 {
			there := slices.DeleteFunc(slices.Clone(r.machines), func(x *holding) bool { return x.m.ZoneIdx != zone })
			r.placed = h.placeTasks(there, w, r.now) || r.placed
			return
		}
	}
	hopeless := slices.ContainsFunc(r.failed, func(j *bookkeeping.Job) bool { return harder(w.job, j) })
	promises, open := 0, max(1, w.job.Tasks-w.prog.doneN-w.prog.attempts)
	for task := h.nextOpen(w.job, w.prog); task >= 0 && h.underLimit(w.job); task = h.nextOpen(w.job, w.prog) {
		if !hopeless && r.placeTask(w, task) {
			continue
		}
		hopeless = true
		// Each waiting task is promised room once.
		if promises++; promises > open || !r.makeRoom(w) {
			return
		}
	}
}

// placeTask gives a task to a machine, if there is one for it.
func (r *placingRound) placeTask(w waiting, task int) bool {
	h := r.h
	x := h.choose(r.machines, w.job, task, r.now)
	if x == nil {
		if !w.job.OneZone && !w.job.Spread {
			r.failed = append(r.failed, w.job)
		}
		return false
	}
	r.placed = true
	h.plan(w.job, task, x, h.nextTry(x), r.now)
	return true
}

// makeRoom stops other work for one task of a job, if any may be stopped for it.
func (r *placingRound) makeRoom(w waiting) bool {
	if !r.h.mayMakeRoom(w) || slices.ContainsFunc(r.unaided, w.stopsNoMore) {
		return false
	}
	if !r.h.makeRoom(w, r.promised, r.now) {
		r.unaided = append(r.unaided, w)
		return false
	}
	r.machines = slices.DeleteFunc(r.machines, func(x *holding) bool { return r.promised[x] != nil })
	return true
}

// placeTasks gives as many tasks of a job to machines as these take.
func (h *holder) placeTasks(machines []*holding, w waiting, now time.Duration) (placed bool) {
	for task := h.nextOpen(w.job, w.prog); task >= 0 && h.underLimit(w.job); task = h.nextOpen(w.job, w.prog) {
		x := h.choose(machines, w.job, task, now)
		if x == nil {
			break
		}
		placed = true
		h.plan(w.job, task, x, h.nextTry(x), now)
	}
	return placed
}

// gatherPatience is how long a job waits for machines that boot in a better zone: some
// never come up, and the cloud's word for that takes much longer.
const gatherPatience = 45 * time.Second

// gatheringZone is the zone to which the first task of a job goes whose tasks must
// share one: a zone that has room for them all now, or the one in which the machines
// held, those that still boot included, have most room. The first machine that is free
// anywhere would settle it otherwise, and what was rented for the job in another zone
// would come up for nothing. It is -1 where no machine can take any.
func (h *holder) gatheringZone(w waiting) int {
	rooms, ready := map[int]int{}, map[int]int{}
	open := w.job.Tasks - w.prog.doneN
	waited := time.Duration(h.n.Clock.Wall().UnixMilli()-w.job.ReadyMS()) * time.Millisecond
	best := -1
	for _, x := range h.list {
		booting := x.seq == 0 && len(x.m.Intents) == 0 && waited < gatherPatience
		if x.shard != w.job.Home || x.m.Phase != bookkeeping.PhaseActive || !h.n.cache.Suits(w.job, x.m) || !booting && !h.usable(x, h.n.now()) {
			continue
		}
		count := h.free(x).count(w.job)
		rooms[x.m.ZoneIdx] += count
		if !booting {
			ready[x.m.ZoneIdx] += count
		}
		if ready[x.m.ZoneIdx] >= open {
			return x.m.ZoneIdx
		}
		if z := x.m.ZoneIdx; best < 0 || rooms[z] > rooms[best] || rooms[z] == rooms[best] && z < best {
			best = z
		}
	}
	if best >= 0 && rooms[best] == 0 {
		return -1
	}
	return best
}

// harder reports whether a place for a would also be one for b.
func harder(a, b *bookkeeping.Job) bool {
	return a.Home == b.Home && a.CPUs >= b.CPUs && a.GPUs >= b.GPUs && a.MemoryGB >= b.MemoryGB && (b.Spot || !a.Spot) &&
		(b.ZoneIdx < 0 || a.ZoneIdx == b.ZoneIdx) && (len(b.TypeIdx) == 0 || slices.Equal(a.TypeIdx, b.TypeIdx))
}

// roomy lists the machines that take new tasks now and have some room.
func (h *holder) roomy(need room, now time.Duration) []*holding {
	var list []*holding
	for _, x := range h.list {
		if r := h.free(x); r.cpus+1e-6 >= need.cpus && r.gpus+1e-6 >= need.gpus && r.memory+1e-6 >= need.memory && h.usable(x, now) {
			list = append(list, x)
		}
	}
	return list
}

// lastTry is how far the counter of attempts may go: a holder that has used it up
// starts over under another grant (see Node.tick). More than a tick can use is left.
const lastTry = 1<<counterShift - 1<<16

// nextTry returns an attempt number above every earlier one: the grant's token
// in the high bits, a counter of this holder's in the low ones.
func (h *holder) nextTry(x *holding) uint64 {
	h.tries++
	return h.n.cache.Grants[x.shard].Token>>counterShift<<counterShift | h.tries&(1<<counterShift-1)
}

// plan makes a new attempt at a task.
func (h *holder) plan(j *bookkeeping.Job, task int, x *holding, try uint64, now time.Duration) *attempt {
	a := &attempt{job: j, task: task, on: x, planned: now, try: try}
	_, cached := x.images[j.ImageIdx]
	h.add(a)
	h.writers[x.shard].unassigned = append(h.writers[x.shard].unassigned, a)
	if h.n.Log.Enabled(context.Background(), slog.LevelDebug) {
		h.n.Log.Debug("place", "job", j.ID, "task", task, "machine", x.m.Name, "cached", cached, "image", j.Image,
			"waited_ms", h.n.Clock.Wall().UnixMilli()-j.ReadyMS())
	}
	return a
}

// placeGang places all open tasks of a gang or none, and only once no attempt
// of an earlier round is left: a gang that has lost a task starts over.
func (h *holder) placeGang(machines []*holding, w waiting, promised map[*holding]*room, now time.Duration) {
	j := w.job
	if slices.ContainsFunc(w.prog.zones, func(n int) bool { return n > 0 }) {
		return
	}
	var planned []*attempt
	var try uint64
	for task := h.nextOpen(j, w.prog); task >= 0; task = h.nextOpen(j, w.prog) {
		x := h.choose(machines, j, task, now)
		if x == nil || !h.underLimit(j) {
			for _, a := range planned {
				h.remove(a)
			}
			for left := j.Tasks - w.prog.doneN; x == nil && left > 0 && h.mayMakeRoom(w) && h.makeRoom(w, promised, now); left-- {
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

// underLimit reports whether one more task of a job keeps its home's share of the
// team's limit. Everything that may be on a machine counts.
func (h *holder) underLimit(j *bookkeeping.Job) bool {
	b := h.n.cache
	t, u := &b.Teams[j.TeamIdx], h.used(j.Home)[j.TeamIdx]
	return keeps(u.cpus+j.CPUs, t.CPUsMax, b.Share(t, j.Home, t.CPUsMax)) && keeps(u.gpus+j.GPUs, t.GPUsMax, b.Share(t, j.Home, t.GPUsMax))
}

// keeps reports whether an amount keeps a home's share of a limit; 0 is no limit.
func keeps(amount, limit, share float64) bool { return limit <= 0 || amount <= share+1e-6 }

// allowed reports whether a machine is one that a job's task may start on,
// room aside. Only machines of the home's own shard are, even for a controller
// that holds several: the shards may part again, and whoever holds a home must
// hold everything that its jobs may be on, or it would not count it.
func (h *holder) allowed(x *holding, j *bookkeeping.Job, p *progress) bool {
	if x.shard != j.Home || !h.n.cache.Suits(j, x.m) {
		return false
	}
	if !j.OneZone && !j.Spread {
		return true
	}
	// Tasks that may be on a machine anywhere count, unproven ones too.
	inZone, elsewhere := 0, 0
	for zone, n := range p.zones {
		if zone == x.m.ZoneIdx {
			inZone = n
		} else {
			elsewhere += n
		}
	}
	if j.OneZone && elsewhere > 0 {
		return false
	}
	return !j.Spread || inZone+1 <= (j.Tasks+1)/2
}

// usable reports whether a machine takes new tasks now. One that only answers
// commands, while its own reports reach nobody, is not: its lease runs out.
func (h *holder) usable(x *holding, now time.Duration) bool {
	report := h.n.Settings.Cluster.Workers.Report()
	return h.n.entitled(x.shard) && x.fenced && !x.suspect && x.m.Phase == bookkeeping.PhaseActive && x.notice == 0 &&
		now >= x.avoid && now-min(x.heard, x.answered) < 2*report+time.Second
}

// room is what is left on a machine.
type room struct{ cpus, gpus, memory float64 }

func (r room) fits(j *bookkeeping.Job) bool {
	return j.CPUs <= r.cpus+1e-6 && j.GPUs <= r.gpus+1e-6 && j.MemoryGB <= r.memory+1e-6
}

// count is how many tasks of a job fit.
func (r room) count(j *bookkeeping.Job) int {
	n := 0
	for r.fits(j) && n < j.Tasks {
		r.take(j)
		n++
	}
	return n
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
	t := &h.n.cache.Types[x.m.TypeIdx]
	return room{t.CPUs - x.cpus, t.GPUs - x.gpus, t.MemoryGB - x.memory}
}

// choose picks the machine for a task among usable ones: spot before ordinary
// where the job allows it, one that has the image, then the fullest, so that
// others empty.
func (h *holder) choose(machines []*holding, j *bookkeeping.Job, task int, now time.Duration) *holding {
	var best *holding
	var bestScore float64
	p := h.progress(j)
	for _, x := range machines {
		if !h.free(x).fits(j) || !h.allowed(x, j, p) || has(x, j, task) || !h.usable(x, now) {
			continue
		}
		score := 0.0
		if x.slow() {
			score -= 5000 // only where there is nothing else
		}
		if x.m.Spot {
			score += 1000
		}
		t := &h.n.cache.Types[x.m.TypeIdx]
		if _, cached := x.images[j.ImageIdx]; cached {
			score += 100
		} else if t.FetchGBPS > 0 {
			score -= min(10*j.ImageGB/t.FetchGBPS, 80) // seconds, and what they weigh against a fuller machine
		}
		if j.Standing() {
			// Beside other services: one alone would keep a machine that was
			// rented for a burst of other work from going back.
			// But not all on one, which may die with them.
			score += 50 * x.services / t.CPUs
			if x.services+j.CPUs > h.services/4 && x.services > 0 {
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

// has reports whether a machine still lists an earlier attempt at a task that is
// not reaped; a start of another attempt would be refused.
func has(x *holding, j *bookkeeping.Job, task int) bool {
	if len(x.unexpected) == 0 {
		return false
	}
	name := protocol.TaskName(j.ID, task)
	return slices.ContainsFunc(x.unexpected, func(t protocol.TaskStatus) bool { return t.Task == name })
}
