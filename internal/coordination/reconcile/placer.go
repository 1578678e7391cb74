package reconcile

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"rockrun/internal/coordination/election"
	"rockrun/internal/coordination/placement"
	"rockrun/internal/coordination/quota"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// place gives waiting tasks to machines, and makes room for those that may
// preempt others.
func (h *Reconciler) place() {
	now := h.now()
	list := h.pendingJobs(now)
	if len(list) == 0 {
		return
	}
	p := &placer{reconciler: h, now: now}
	config := placement.RoundConfig[*agent]{Fleet: p, Jobs: p, Teams: p, Actions: p, Wall: h.Generation.Wall()}
	if placement.NewRound(config).Run(list) {
		h.placingPasses++
	}
}

// nextOpenTask returns the first task of a job that waits to be placed, or -1.
func (h *Reconciler) nextOpenTask(j *storage.Job, p *jobProgress) int {
	for ; p.nextTask < j.Tasks; p.nextTask++ {
		if !p.completed.Has(p.nextTask) && h.attemptsByTask[storage.TaskRef{Job: j.Index, Task: p.nextTask}] == 0 {
			return p.nextTask
		}
	}
	return -1
}

// nextAttemptNumber returns an attempt number above every earlier one: the grant's token
// in the high bits, a counter of this holder's in the low ones.
func (h *Reconciler) nextAttemptNumber(x *agent) uint64 {
	h.attemptCounter++
	return election.DerivedNumber(h.View.Grants[x.shard].FencingToken, h.attemptCounter)
}

// schedulable reports whether a machine takes new tasks now. One that only answers
// commands, while its own heartbeats reach nobody, does not: its lease runs out.
func (h *Reconciler) schedulable(x *agent, now time.Duration) bool {
	report := h.AgentSettings.HeartbeatInterval()
	return h.Leases.MayActFor(x.shard) && x.fenceConfirmed && !x.suspect && x.machine.Phase == storage.PhaseActive && x.terminationAt == 0 &&
		now >= x.quarantinedUntil && now-min(x.lastHeartbeatAt, x.lastAnsweredAt) < 2*report+time.Second
}

// freeCapacity is what is left on a machine.
func (h *Reconciler) freeCapacity(x *agent) placement.Resources {
	t := &h.View.MachineTypes[x.machine.TypeIndex]
	return placement.Resources{CPUs: t.CPUs - x.cpus, GPUs: t.GPUs - x.gpus, MemoryGB: t.MemoryGB - x.memory}
}

// placer tells a round of placement at one time what the reconciler knows, and carries
// out what it decides.
type placer struct {
	reconciler *Reconciler
	now        time.Duration
}

var (
	_ placement.Fleet[*agent]   = (*placer)(nil)
	_ placement.Jobs            = (*placer)(nil)
	_ placement.Teams           = (*placer)(nil)
	_ placement.Actions[*agent] = (*placer)(nil)
)

// Machines lists all agents, by their machines' names.
func (p *placer) Machines() []*agent { return p.reconciler.sortedAgents }

// Free is what a machine has left.
func (p *placer) Free(x *agent) placement.Resources { return p.reconciler.freeCapacity(x) }

// Zone is the index of a machine's zone.
func (p *placer) Zone(x *agent) int { return x.machine.ZoneIndex }

// Eligible reports whether a job's task may ever be on a machine.
func (p *placer) Eligible(x *agent, j *storage.Job) bool {
	return x.shard == j.Shard && p.reconciler.View.Eligible(j, x.machine)
}

// Schedulable reports whether a machine takes new tasks now.
func (p *placer) Schedulable(x *agent) bool { return p.reconciler.schedulable(x, p.now) }

// Booting reports whether a machine is new and has not been heard of yet.
func (p *placer) Booting(x *agent) bool {
	return x.machine.Phase == storage.PhaseActive && x.sequence == 0 && len(x.machine.Intents) == 0
}

// ListsTask reports whether a machine still lists an earlier attempt at a task that is
// not reaped; a start of another attempt would be refused.
func (p *placer) ListsTask(x *agent, j *storage.Job, task int) bool {
	if len(x.unexpected) == 0 {
		return false
	}
	name := protocol.TaskName(j.ID, task)
	return slices.ContainsFunc(x.unexpected, func(t protocol.TaskStatus) bool { return t.Task == name })
}

// Describe says what weighs in the choice of a machine.
func (p *placer) Describe(x *agent, j *storage.Job) placement.Machine {
	_, cached := x.imageWantedAt[j.ImageIndex]
	return placement.Machine{
		Type:        &p.reconciler.View.MachineTypes[x.machine.TypeIndex],
		Spot:        x.machine.Spot,
		Slow:        x.slow(),
		ImageCached: cached,
		UsedCPUs:    x.cpus,
		ServiceCPUs: x.serviceCPUs,
	}
}

// ServiceCPUs is what all replicas on all machines take.
func (p *placer) ServiceCPUs() float64 { return p.reconciler.serviceCPUs }

// AppendRunning appends the attempts that may be on a machine to a list.
func (p *placer) AppendRunning(list []placement.Running, x *agent) []placement.Running {
	for _, a := range x.attempts {
		if !a.live() {
			continue
		}
		list = append(list, placement.Running{
			Job:             a.job,
			Task:            a.task,
			Number:          a.number,
			Rank:            p.reconciler.View.EffectiveRank(a.job),
			Age:             p.now - a.plannedAt,
			Stopping:        a.stopRequested,
			WithinGuarantee: a.progress.withinGuarantee,
			Starved:         a.progress.starved,
		})
	}
	return list
}

// State is how far the tasks of a job have come.
func (p *placer) State(j *storage.Job) placement.JobState {
	progress := p.reconciler.progress(j)
	return placement.JobState{
		Remaining:      j.Tasks - progress.completedCount,
		Attempts:       progress.attempts,
		AttemptsByZone: progress.attemptsByZone,
	}
}

// NextTask is the first task of a job that waits to be placed, or -1.
func (p *placer) NextTask(j *storage.Job) int {
	return p.reconciler.nextOpenTask(j, p.reconciler.progress(j))
}

// WithinQuota reports whether one more task of a job keeps its shard's share of the
// team's maximum. Everything that may be on a machine counts.
func (p *placer) WithinQuota(j *storage.Job) bool {
	view := p.reconciler.View
	used := p.reconciler.usageOf(j.Shard)[j.TeamIndex]
	used.Add(j, 1)
	return quota.ShardWithin(view, &view.Teams[j.TeamIndex], j.Shard, used)
}

// RunsBelow reports whether any attempt is of a lower priority than rank.
func (p *placer) RunsBelow(rank int) bool {
	for lower := rank + 1; lower < maxRank; lower++ {
		if p.reconciler.liveAttemptsByRank[lower] > 0 {
			return true
		}
	}
	return false
}

// BorrowsBeyond reports whether a job's team would use no less than its guarantee with
// one task of the job less.
func (p *placer) BorrowsBeyond(j *storage.Job) bool {
	return p.reconciler.usageOf(j.Shard)[j.TeamIndex].CPUs-j.CPUs >= p.guaranteedCPUs(j.TeamIndex, j.Shard)
}

// OthersBorrow reports whether any team but the job's uses more than its guarantee in the
// job's shard.
func (p *placer) OthersBorrow(j *storage.Job) bool {
	for team, used := range p.reconciler.usageOf(j.Shard) {
		if team != j.TeamIndex && used.CPUs > p.guaranteedCPUs(team, j.Shard) {
			return true
		}
	}
	return false
}

// guaranteedCPUs is a shard's share of what a team is guaranteed.
func (p *placer) guaranteedCPUs(team, shard int) float64 {
	view := p.reconciler.View
	return view.QuotaShare(&view.Teams[team], shard, view.Teams[team].GuaranteedCPUs)
}

// NextAttemptNumber is a number above that of every earlier attempt.
func (p *placer) NextAttemptNumber(x *agent) uint64 { return p.reconciler.nextAttemptNumber(x) }

// Place makes a new attempt at a task.
func (p *placer) Place(j *storage.Job, task int, x *agent, number uint64) {
	h := p.reconciler
	a := &attempt{job: j, task: task, agent: x, plannedAt: p.now, number: number}
	_, cached := x.imageWantedAt[j.ImageIndex]
	h.addAttempt(a)
	h.writers[x.shard].unassigned = append(h.writers[x.shard].unassigned, a)
	if h.Log.Enabled(context.Background(), slog.LevelDebug) {
		h.Log.Debug("place", "job", j.ID, "task", task, "machine", x.machine.Name, "cached", cached, "image", j.Image,
			"waited_ms", h.Generation.Wall().UnixMilli()-j.ReadyAtMS())
	}
}

// Unplace drops an attempt that has just been placed.
func (p *placer) Unplace(j *storage.Job, task int, x *agent) {
	p.reconciler.removeAttempt(x.attempts[storage.TaskRef{Job: j.Index, Task: task}])
}

// Preempt asks for the stop of attempts on a machine; those that can save their progress
// get the time for it.
func (p *placer) Preempt(x *agent, victims []placement.Running, waiting *storage.Job) {
	for _, victim := range victims {
		a := x.attempts[storage.TaskRef{Job: victim.Job.Index, Task: victim.Task}]
		a.stopRequested, a.stopSentAt, x.needsAttention = true, 0, true
		if a.job.CheckpointSeconds > 0 {
			a.graceSeconds = a.job.SaveSeconds
		}
		p.reconciler.Log.Info("preempt", "job", a.job.ID, "task", a.task, "machine", x.machine.Name, "for", waiting.ID)
	}
}
