package reconcile

import (
	"time"

	"rockrun/internal/coordination/election"
	"rockrun/internal/coordination/placement"
	"rockrun/internal/coordination/quota"
	"rockrun/internal/storage"
)

// place gives waiting tasks to machines, and makes room for those that may
// preempt others.
func (r *Reconciler) place() {
	now := r.now()
	list := r.pendingJobs(now)
	if len(list) == 0 {
		return
	}
	p := &placer{reconciler: r, now: now}
	config := placement.RoundConfig[*agent]{Fleet: p, Jobs: p, Teams: p, Actions: p, Wall: r.Generation.Wall()}
	if placement.NewRound(config).Run(list) {
		r.placingPasses++
	}
}

// nextAttemptNumber returns an attempt number above every earlier one: the grant's token
// in the high bits, a counter of this holder's in the low ones.
func (r *Reconciler) nextAttemptNumber(agent *agent) uint64 {
	r.attemptCounter++
	return election.DerivedNumber(r.View.Grants[agent.shard].FencingToken, r.attemptCounter)
}

// silenceMargin is how much longer than two heartbeat intervals an agent may be silent that
// takes new tasks.
const silenceMargin = time.Second

// schedulable reports whether a machine takes new tasks now. One that only answers
// commands, while its own heartbeats reach nobody, does not: its lease runs out.
func (r *Reconciler) schedulable(agent *agent, now time.Duration) bool {
	silence := now - agent.contact.silentSince()
	return r.Leases.MayActFor(agent.shard) && !agent.isDisplaced() && agent.fence.confirmed && !agent.reachability.suspect &&
		agent.machine.Phase == storage.PhaseActive && agent.terminationAt == 0 && !agent.health.quarantined(now) &&
		silence < 2*r.AgentSettings.HeartbeatInterval()+silenceMargin
}

// freeCapacity is what is left on a machine.
func (r *Reconciler) freeCapacity(agent *agent) placement.Resources {
	t := &r.View.MachineTypes[agent.machine.TypeIndex]
	return placement.Resources{CPUs: t.CPUs - agent.load.cpus, GPUs: t.GPUs - agent.load.gpus, MemoryGB: t.MemoryGB - agent.load.memoryGB}
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
func (p *placer) Machines() []*agent { return p.reconciler.agents.sorted }

// Free is what a machine has left.
func (p *placer) Free(agent *agent) placement.Resources { return p.reconciler.freeCapacity(agent) }

// Zone is the index of a machine's zone.
func (p *placer) Zone(agent *agent) int { return agent.machine.ZoneIndex }

// Eligible reports whether a job's task may ever be on a machine.
func (p *placer) Eligible(agent *agent, job *storage.Job) bool {
	return agent.shard == job.Shard && p.reconciler.View.Eligible(job, agent.machine)
}

// Schedulable reports whether a machine takes new tasks now.
func (p *placer) Schedulable(agent *agent) bool { return p.reconciler.schedulable(agent, p.now) }

// Booting reports whether a machine is new and has not been heard of yet.
func (p *placer) Booting(agent *agent) bool {
	return agent.machine.Phase == storage.PhaseActive && agent.contact.sequence == 0 && len(agent.machine.Intents) == 0
}

// ListsTask reports whether a machine still lists an earlier attempt at a task that is
// not reaped; a start of another attempt would be refused.
func (p *placer) ListsTask(agent *agent, job *storage.Job, task int) bool {
	return agent.unexpected.lists(job, task)
}

// Describe says what weighs in the choice of a machine.
func (p *placer) Describe(agent *agent, job *storage.Job) placement.Machine {
	return placement.Machine{
		Type:        &p.reconciler.View.MachineTypes[agent.machine.TypeIndex],
		Spot:        agent.machine.Spot,
		Slow:        agent.health.slow(),
		ImageCached: agent.hasImage(job),
		UsedCPUs:    agent.load.cpus,
		ServiceCPUs: agent.load.serviceCPUs,
	}
}

// ServiceCPUs is what all replicas on all machines take.
func (p *placer) ServiceCPUs() float64 { return p.reconciler.usage.serviceCPUs }

// AppendRunning appends the attempts that may be on a machine to a list.
func (p *placer) AppendRunning(list []placement.Running, agent *agent) []placement.Running {
	for _, attempt := range agent.attempts {
		if !attempt.live() {
			continue
		}
		list = append(list, placement.Running{
			Job:             attempt.job,
			Task:            attempt.task,
			Number:          attempt.number,
			Rank:            p.reconciler.View.EffectiveRank(attempt.job),
			Age:             p.now - attempt.plannedAt,
			Stopping:        attempt.stop.requested,
			WithinGuarantee: attempt.progress.withinGuarantee,
			Starved:         attempt.progress.starved,
		})
	}
	return list
}

// State is how far the tasks of a job have come.
func (p *placer) State(job *storage.Job) placement.JobState {
	progress := p.reconciler.progressOf(job)
	return placement.JobState{
		Remaining:      job.Tasks - progress.completedCount,
		Attempts:       progress.attempts,
		AttemptsByZone: progress.attemptsByZone,
	}
}

// NextTask is the first task of a job that waits to be placed, or -1.
func (p *placer) NextTask(job *storage.Job) int {
	return p.reconciler.nextOpenTask(job, p.reconciler.progressOf(job))
}

// WithinQuota reports whether one more task of a job keeps its shard's share of the
// team's maximum. Everything that may be on a machine counts.
func (p *placer) WithinQuota(job *storage.Job) bool {
	view := p.reconciler.View
	used := p.reconciler.usage.ofShard(job.Shard)[job.TeamIndex]
	used.Add(job, 1)
	return quota.ShardWithin(view, &view.Teams[job.TeamIndex], job.Shard, used)
}

// RunsBelow reports whether any attempt is of a lower priority than rank.
func (p *placer) RunsBelow(rank int) bool { return p.reconciler.usage.anyBelow(rank) }

// BorrowsBeyond reports whether a job's team would use no less than its guarantee with
// one task of the job less.
func (p *placer) BorrowsBeyond(job *storage.Job) bool {
	return p.reconciler.usage.ofShard(job.Shard)[job.TeamIndex].CPUs-job.CPUs >= p.guaranteedCPUs(job.TeamIndex, job.Shard)
}

// OthersBorrow reports whether any team but the job's uses more than its guarantee in the
// job's shard.
func (p *placer) OthersBorrow(job *storage.Job) bool {
	for team, used := range p.reconciler.usage.ofShard(job.Shard) {
		if team != job.TeamIndex && used.CPUs > p.guaranteedCPUs(team, job.Shard) {
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
func (p *placer) NextAttemptNumber(agent *agent) uint64 { return p.reconciler.nextAttemptNumber(agent) }

// Place makes a new attempt at a task.
func (p *placer) Place(job *storage.Job, task int, agent *agent, number uint64) {
	r := p.reconciler
	cached := agent.hasImage(job)
	a := &attempt{job: job, task: task, agent: agent, plannedAt: p.now, number: number}
	r.addAttempt(a)
	writer := r.writers[agent.shard]
	writer.unassigned = append(writer.unassigned, a)
	if r.debugs() {
		r.Log.Debug("place", "machine", agent.machine.Name, "job", job.ID, "task", task, "attempt", number, "cached", cached,
			"image", job.Image, "waited_ms", r.Generation.Wall().UnixMilli()-job.ReadyAtMS())
	}
}

// Unplace drops an attempt that has just been placed.
func (p *placer) Unplace(job *storage.Job, task int, agent *agent) {
	p.reconciler.removeAttempt(agent.attempts[storage.TaskRef{Job: job.Index, Task: task}])
}

// Preempt asks for the stop of attempts on a machine; those that can save their progress
// get the time for it.
func (p *placer) Preempt(agent *agent, victims []placement.Running, waiting *storage.Job) {
	for _, victim := range victims {
		agent.needsAttention = true
		a := agent.attempts[storage.TaskRef{Job: victim.Job.Index, Task: victim.Task}]
		a.stop.request(a.saveGrace())
		p.reconciler.Log.Info("preempt", "machine", agent.machine.Name, "job", a.job.ID, "task", a.task, "attempt", a.number, "for", waiting.ID)
	}
}
