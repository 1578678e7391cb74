package reconcile

import (
	"time"

	"rockrun/internal/coordination/election"
	"rockrun/internal/coordination/placement"
	"rockrun/internal/coordination/quota"
	"rockrun/internal/storage"
)

// place runs a placement round: it places pending tasks on machines, and preempts other
// attempts for pending tasks where the rules allow it.
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

// nextAttemptNumber returns an attempt number above every earlier one. Its high bits come
// from the grant's token, its low bits from a counter of this holder.
func (r *Reconciler) nextAttemptNumber(agent *agent) uint64 {
	r.attemptCounter++
	return election.DerivedNumber(r.View.Grants[agent.shard].FencingToken, r.attemptCounter)
}

// heartbeatMargin is added to two heartbeat intervals. An agent without contact for longer
// gets no new tasks.
const heartbeatMargin = time.Second

// schedulable reports whether a machine may get new tasks now. An agent that answers
// commands but whose own heartbeats reach no controller gets no new tasks, because its lease
// is not renewed and will expire.
func (r *Reconciler) schedulable(agent *agent, now time.Duration) bool {
	sinceContact := now - agent.contact.lastExchangeAt()
	return r.Leases.MayActFor(agent.shard) && !agent.isDetached() && agent.fence.confirmed && !agent.reachability.suspect &&
		agent.machine.Phase == storage.PhaseActive && agent.terminationAt == 0 && !agent.health.quarantined(now) &&
		sinceContact < 2*r.AgentSettings.HeartbeatInterval()+heartbeatMargin
}

// freeCapacity returns the resources of a machine that no live attempt uses, and the slots that
// no task occupies.
func (r *Reconciler) freeCapacity(agent *agent) placement.Resources {
	machineType := &r.View.MachineTypes[agent.machine.TypeIndex]
	return placement.Resources{
		CPUs:      machineType.CPUs - agent.load.cpus,
		GPUs:      machineType.GPUs - agent.load.gpus,
		MemoryGB:  machineType.MemoryGB - agent.load.memoryGB,
		TaskSlots: agent.contact.listing.freeSlots(),
	}
}

// placer connects a placement round to the reconciler: it provides the state of machines,
// jobs and teams at one time, and executes the decisions of the round.
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

// Machines returns all agents, sorted by the names of their machines.
func (p *placer) Machines() []*agent { return p.reconciler.agents.sorted }

// Free returns the free resources of a machine.
func (p *placer) Free(agent *agent) placement.Resources { return p.reconciler.freeCapacity(agent) }

// Zone returns the index of a machine's zone.
func (p *placer) Zone(agent *agent) int { return agent.machine.ZoneIndex }

// Eligible reports whether tasks of a job may ever run on a machine.
func (p *placer) Eligible(agent *agent, job *storage.Job) bool {
	return agent.shard == job.Shard && p.reconciler.View.Eligible(job, agent.machine)
}

// Schedulable reports whether a machine may get new tasks now.
func (p *placer) Schedulable(agent *agent) bool { return p.reconciler.schedulable(agent, p.now) }

// Booting reports whether a machine is new and its agent has sent no heartbeat yet.
func (p *placer) Booting(agent *agent) bool {
	return agent.machine.Phase == storage.PhaseActive && agent.contact.sequence == 0 && len(agent.machine.Intents) == 0
}

// ListsTask reports whether a machine still lists an earlier attempt at a task. The agent
// rejects the start of another attempt until the earlier one is reaped.
func (p *placer) ListsTask(agent *agent, job *storage.Job, task int) bool {
	return agent.unexpected.lists(job, task)
}

// Traits returns the properties of a machine that determine its score for a job.
func (p *placer) Traits(agent *agent, job *storage.Job) placement.MachineTraits {
	return placement.MachineTraits{
		Type:        &p.reconciler.View.MachineTypes[agent.machine.TypeIndex],
		Spot:        agent.machine.Spot,
		Slow:        agent.health.slow(),
		ImageCached: agent.hasImage(job),
		UsedCPUs:    agent.load.cpus,
		ServiceCPUs: agent.load.serviceCPUs,
	}
}

// ServiceCPUs returns the CPUs that all replicas on all machines use.
func (p *placer) ServiceCPUs() float64 { return p.reconciler.usage.serviceCPUs }

// AppendRunning appends the attempts that may still run on a machine to a list.
func (p *placer) AppendRunning(list []placement.RunningAttempt, agent *agent) []placement.RunningAttempt {
	for _, attempt := range agent.attempts {
		if !attempt.live() {
			continue
		}
		list = append(list, placement.RunningAttempt{
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

// State returns the progress of the tasks of a job.
func (p *placer) State(job *storage.Job) placement.JobState {
	progress := p.reconciler.progressOf(job)
	return placement.JobState{
		Remaining:      job.Tasks - progress.completedCount,
		Attempts:       progress.attempts,
		AttemptsByZone: progress.attemptsByZone,
	}
}

// NextTask returns the first unplaced task of a job, or -1.
func (p *placer) NextTask(job *storage.Job) int {
	return p.reconciler.nextUnplacedTask(job, p.reconciler.progressOf(job))
}

// WithinQuota reports whether the job's shard stays within its part of the team's maximum
// with one more task of the job. Every attempt that may still run counts.
func (p *placer) WithinQuota(job *storage.Job) bool {
	view := p.reconciler.View
	used := p.reconciler.usage.ofShard(job.Shard)[job.TeamIndex]
	used.Add(job, 1)
	return quota.WithinShardQuota(view, &view.Teams[job.TeamIndex], job.Shard, used)
}

// AnyLowerPriority reports whether any live attempt has a lower priority than rank.
func (p *placer) AnyLowerPriority(rank int) bool { return p.reconciler.usage.anyLowerPriority(rank) }

// RetainsGuaranteeWithout reports whether a job's team would still use at least its guarantee in
// the job's shard if one task of the job stopped.
func (p *placer) RetainsGuaranteeWithout(job *storage.Job) bool {
	return p.reconciler.usage.ofShard(job.Shard)[job.TeamIndex].CPUs-job.CPUs >= p.guaranteedCPUs(job.TeamIndex, job.Shard)
}

// OthersBorrow reports whether another team uses more CPUs than its guarantee in the job's
// shard.
func (p *placer) OthersBorrow(job *storage.Job) bool {
	for team, used := range p.reconciler.usage.ofShard(job.Shard) {
		if team != job.TeamIndex && used.CPUs > p.guaranteedCPUs(team, job.Shard) {
			return true
		}
	}
	return false
}

// guaranteedCPUs returns a shard's part of the CPUs that a team is guaranteed.
func (p *placer) guaranteedCPUs(team, shard int) float64 {
	view := p.reconciler.View
	return view.ShardQuota(&view.Teams[team], shard, view.Teams[team].GuaranteedCPUs)
}

// NextAttemptNumber returns a number above that of every earlier attempt.
func (p *placer) NextAttemptNumber(agent *agent) uint64 { return p.reconciler.nextAttemptNumber(agent) }

// Place creates an attempt at a task on a machine.
func (p *placer) Place(job *storage.Job, task int, agent *agent, number uint64) {
	r := p.reconciler
	cached := agent.hasImage(job)
	a := &attempt{job: job, task: task, agent: agent, plannedAt: p.now, number: number}
	r.addAttempt(a)
	writer := r.writers[agent.shard]
	writer.unassigned = append(writer.unassigned, a)
	if r.debugEnabled() {
		r.Log.Debug("task placed", "machine", agent.machine.Name, "job", job.ID, "task", task, "attempt", number, "cached", cached,
			"image", job.Image, "waited_ms", r.Generation.Wall().UnixMilli()-job.ReadyAtMS())
	}
}

// Unplace removes an attempt that Place created in the same round.
func (p *placer) Unplace(job *storage.Job, task int, agent *agent) {
	p.reconciler.removeAttempt(agent.attempts[storage.TaskRef{Job: job.Index, Task: task}])
}

// Preempt requests stops of attempts on a machine for a pending job. Victims that can save
// their progress get the time to do so.
func (p *placer) Preempt(agent *agent, victims []placement.RunningAttempt, pending *storage.Job) {
	for _, victim := range victims {
		agent.needsAttention = true
		a := agent.attempts[storage.TaskRef{Job: victim.Job.Index, Task: victim.Task}]
		a.stop.request(a.saveGrace())
		p.reconciler.Log.Info("preemption requested", "machine", agent.machine.Name, "job", a.job.ID, "task", a.task, "attempt", a.number, "for", pending.ID)
	}
}
