package coordination

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"rockrun/internal/coordination/placement"

	"rockrun/internal/coordination/election"
	"rockrun/internal/coordination/quota"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// nextOpen returns the first task of a job that waits to be placed, or -1.
func (h *reconciler) nextOpenTask(j *storage.Job, p *jobProgress) int {
	for ; p.nextTask < j.Tasks; p.nextTask++ {
		if !p.completed.Has(p.nextTask) && h.attemptsByTask[storage.TaskRef{Job: j.Index, Task: p.nextTask}] == 0 {
			return p.nextTask
		}
	}
	return -1
}

// place gives waiting tasks to machines, and makes room for those that may
// preempt others.
func (h *reconciler) place() {
	now := h.controller.now()
	list := h.pendingJobs(now)
	if len(list) == 0 {
		return
	}
	r := &placementRound{reconciler: h, now: now, agents: h.agentsWithCapacity(smallestTask(list), now), promised: map[*agent]*placement.Resources{}}
	for _, w := range list {
		r.place(w)
	}
	if r.placed {
		h.placingPasses++
	}
}

// smallestTask is the least that any waiting task takes.
func smallestTask(list []pendingJob) placement.Resources {
	need := placement.TaskNeeds(list[0].Job)
	for _, w := range list {
		need = need.Min(placement.TaskNeeds(w.Job))
	}
	return need
}

// placingRound is one pass over all that waits.
type placementRound struct {
	reconciler    *reconciler
	now           time.Duration
	agents        []*agent                        // with room for the least of the tasks
	promised      map[*agent]*placement.Resources // room that stops under way will leave
	placed        bool
	unplaceable   []*storage.Job // jobs for which there is no place; larger ones of their kind need not look
	unpreemptable []pendingJob   // jobs for which nothing can be stopped
}

// place gives the tasks of one job to machines.
func (r *placementRound) place(w pendingJob) {
	h := r.reconciler
	if w.Job.Kind == protocol.KindGang {
		h.placeGang(r.agents, w, r.promised, r.now)
		return
	}
	if w.Job.OneZone && w.progress.attempts == 0 {
		if zone := h.gatheringZone(w); zone >= 0 {
			there := slices.DeleteFunc(slices.Clone(r.agents), func(x *agent) bool { return x.machine.ZoneIndex != zone })
			r.placed = h.placeTasks(there, w, r.now) || r.placed
			return
		}
	}
	hopeless := slices.ContainsFunc(r.unplaceable, func(j *storage.Job) bool { return placement.Dominates(w.Job, j) })
	promises, open := 0, max(1, w.Job.Tasks-w.progress.completedCount-w.progress.attempts)
	for task := h.nextOpenTask(w.Job, w.progress); task >= 0 && h.underQuota(w.Job); task = h.nextOpenTask(w.Job, w.progress) {
		if !hopeless && r.placeTask(w, task) {
			continue
		}
		hopeless = true
		// Each waiting task is promised room once.
		if promises++; promises > open || !r.preempt(w) {
			return
		}
	}
}

// placeTask gives a task to a machine, if there is one for it.
func (r *placementRound) placeTask(w pendingJob, task int) bool {
	h := r.reconciler
	x := h.chooseAgent(r.agents, w.Job, task, r.now)
	if x == nil {
		if !w.Job.OneZone && !w.Job.Spread {
			r.unplaceable = append(r.unplaceable, w.Job)
		}
		return false
	}
	r.placed = true
	h.planAttempt(w.Job, task, x, h.nextAttemptNumber(x), r.now)
	return true
}

// makeRoom stops other work for one task of a job, if any may be stopped for it.
func (r *placementRound) preempt(w pendingJob) bool {
	if !r.reconciler.preemptionPossible(w) || slices.ContainsFunc(r.unpreemptable, w.preemptsNoMoreThan) {
		return false
	}
	if !r.reconciler.preemptFor(w, r.promised, r.now) {
		r.unpreemptable = append(r.unpreemptable, w)
		return false
	}
	r.agents = slices.DeleteFunc(r.agents, func(x *agent) bool { return r.promised[x] != nil })
	return true
}

// placeTasks gives as many tasks of a job to machines as these take.
func (h *reconciler) placeTasks(machines []*agent, w pendingJob, now time.Duration) (placed bool) {
	for task := h.nextOpenTask(w.Job, w.progress); task >= 0 && h.underQuota(w.Job); task = h.nextOpenTask(w.Job, w.progress) {
		x := h.chooseAgent(machines, w.Job, task, now)
		if x == nil {
			break
		}
		placed = true
		h.planAttempt(w.Job, task, x, h.nextAttemptNumber(x), now)
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
func (h *reconciler) gatheringZone(w pendingJob) int {
	rooms, ready := map[int]int{}, map[int]int{}
	open := w.Job.Tasks - w.progress.completedCount
	waited := time.Duration(h.controller.Clock.Wall().UnixMilli()-w.Job.ReadyAtMS()) * time.Millisecond
	best := -1
	for _, x := range h.sortedAgents {
		booting := x.sequence == 0 && len(x.machine.Intents) == 0 && waited < gatherPatience
		if x.shard != w.Job.Shard || x.machine.Phase != storage.PhaseActive || !h.controller.view.Eligible(w.Job, x.machine) || !booting && !h.schedulable(x, h.controller.now()) {
			continue
		}
		count := h.freeCapacity(x).Count(w.Job)
		rooms[x.machine.ZoneIndex] += count
		if !booting {
			ready[x.machine.ZoneIndex] += count
		}
		if ready[x.machine.ZoneIndex] >= open {
			return x.machine.ZoneIndex
		}
		if z := x.machine.ZoneIndex; best < 0 || rooms[z] > rooms[best] || rooms[z] == rooms[best] && z < best {
			best = z
		}
	}
	if best >= 0 && rooms[best] == 0 {
		return -1
	}
	return best
}

// roomy lists the machines that take new tasks now and have some room.
func (h *reconciler) agentsWithCapacity(need placement.Resources, now time.Duration) []*agent {
	var list []*agent
	for _, x := range h.sortedAgents {
		if h.freeCapacity(x).Covers(need) && h.schedulable(x, now) {
			list = append(list, x)
		}
	}
	return list
}

// lastTry is how far the counter of attempts may go: a holder that has used it up
// starts over under another grant (see Node.tick). More than a tick can use is left.
const maxAttemptCounter = election.HolderSteps - 1<<16

// nextTry returns an attempt number above every earlier one: the grant's token
// in the high bits, a counter of this holder's in the low ones.
func (h *reconciler) nextAttemptNumber(x *agent) uint64 {
	h.attemptCounter++
	return election.DerivedNumber(h.controller.view.Grants[x.shard].FencingToken, h.attemptCounter)
}

// plan makes a new attempt at a task.
func (h *reconciler) planAttempt(j *storage.Job, task int, x *agent, try uint64, now time.Duration) *attempt {
	a := &attempt{job: j, task: task, agent: x, plannedAt: now, number: try}
	_, cached := x.imageWantedAt[j.ImageIndex]
	h.addAttempt(a)
	h.writers[x.shard].unassigned = append(h.writers[x.shard].unassigned, a)
	if h.controller.Log.Enabled(context.Background(), slog.LevelDebug) {
		h.controller.Log.Debug("place", "job", j.ID, "task", task, "machine", x.machine.Name, "cached", cached, "image", j.Image,
			"waited_ms", h.controller.Clock.Wall().UnixMilli()-j.ReadyAtMS())
	}
	return a
}

// placeGang places all open tasks of a gang or none, and only once no attempt
// of an earlier round is left: a gang that has lost a task starts over.
func (h *reconciler) placeGang(machines []*agent, w pendingJob, promised map[*agent]*placement.Resources, now time.Duration) {
	j := w.Job
	if slices.ContainsFunc(w.progress.attemptsByZone, func(n int) bool { return n > 0 }) {
		return
	}
	var planned []*attempt
	var try uint64
	for task := h.nextOpenTask(j, w.progress); task >= 0; task = h.nextOpenTask(j, w.progress) {
		x := h.chooseAgent(machines, j, task, now)
		if x == nil || !h.underQuota(j) {
			for _, a := range planned {
				h.removeAttempt(a)
			}
			for left := j.Tasks - w.progress.completedCount; x == nil && left > 0 && h.preemptionPossible(w) && h.preemptFor(w, promised, now); left-- {
				h.controller.Log.Debug("room for a gang", "job", j.ID, "left", left)
			}
			return
		}
		if try == 0 {
			try = h.nextAttemptNumber(x) // the tasks of a round know each other by it
		}
		planned = append(planned, h.planAttempt(j, task, x, try, now))
	}
}

// underLimit reports whether one more task of a job keeps its home's share of the
// team's limit. Everything that may be on a machine counts.
func (h *reconciler) underQuota(j *storage.Job) bool {
	b := h.controller.view
	t, u := &b.Teams[j.TeamIndex], h.usageOf(j.Shard)[j.TeamIndex]
	return quota.ShardWithin(b, t, j.Shard, quota.Usage{CPUs: u.CPUs + j.CPUs, GPUs: u.GPUs + j.GPUs})
}

// allowed reports whether a machine is one that a job's task may start on,
// room aside. Only machines of the home's own shard are, even for a controller
// that holds several: the shards may part again, and whoever holds a home must
// hold everything that its jobs may be on, or it would not count it.
func (h *reconciler) placementAllowed(x *agent, j *storage.Job, p *jobProgress) bool {
	if x.shard != j.Shard || !h.controller.view.Eligible(j, x.machine) {
		return false
	}
	if !j.OneZone && !j.Spread {
		return true
	}
	// Tasks that may be on a machine anywhere count, unproven ones too.
	inZone, elsewhere := 0, 0
	for zone, n := range p.attemptsByZone {
		if zone == x.machine.ZoneIndex {
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
func (h *reconciler) schedulable(x *agent, now time.Duration) bool {
	report := h.controller.Settings.Cluster.Agents.HeartbeatInterval()
	return h.controller.leases.MayActFor(x.shard) && x.fenceConfirmed && !x.suspect && x.machine.Phase == storage.PhaseActive && x.terminationAt == 0 &&
		now >= x.quarantinedUntil && now-min(x.lastHeartbeatAt, x.lastAnsweredAt) < 2*report+time.Second
}

// freeCapacity is what is left on a machine.
func (h *reconciler) freeCapacity(x *agent) placement.Resources {
	t := &h.controller.view.MachineTypes[x.machine.TypeIndex]
	return placement.Resources{CPUs: t.CPUs - x.cpus, GPUs: t.GPUs - x.gpus, MemoryGB: t.MemoryGB - x.memory}
}

// choose picks the machine for a task among usable ones: spot before ordinary
// where the job allows it, one that has the image, then the fullest, so that
// others empty.
func (h *reconciler) chooseAgent(machines []*agent, j *storage.Job, task int, now time.Duration) *agent {
	var best *agent
	var bestScore float64
	p := h.progress(j)
	for _, x := range machines {
		if !h.freeCapacity(x).Fits(j) || !h.placementAllowed(x, j, p) || listsTask(x, j, task) || !h.schedulable(x, now) {
			continue
		}
		score := 0.0
		if x.slow() {
			score -= 5000 // only where there is nothing else
		}
		if x.machine.Spot {
			score += 1000
		}
		t := &h.controller.view.MachineTypes[x.machine.TypeIndex]
		if _, cached := x.imageWantedAt[j.ImageIndex]; cached {
			score += 100
		} else if t.FetchGBPS > 0 {
			score -= min(10*j.ImageGB/t.FetchGBPS, 80) // seconds, and what they weigh against a fuller machine
		}
		if j.IsService() {
			// Beside other services: one alone would keep a machine that was
			// rented for a burst of other work from going back.
			// But not all on one, which may die with them.
			score += 50 * x.serviceCPUs / t.CPUs
			if x.serviceCPUs+j.CPUs > h.serviceCPUs/4 && x.serviceCPUs > 0 {
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
func listsTask(x *agent, j *storage.Job, task int) bool {
	if len(x.unexpected) == 0 {
		return false
	}
	name := protocol.TaskName(j.ID, task)
	return slices.ContainsFunc(x.unexpected, func(t protocol.TaskStatus) bool { return t.Task == name })
}
