package reconcile

import (
	"slices"

	"rockrun/internal/config"
	"rockrun/internal/storage"
)

// Reconciler reconciles the desired tasks of the shards that this controller holds with
// what their agents report. All its methods must be called on the controller's goroutine.
type Reconciler struct {
	Config
	agents         agentTable
	writers        map[int]*recordWriter // by job shard held
	jobs           map[*storage.Job]*jobProgress
	attemptsByTask map[storage.TaskRef]int // attempts that are not proven over
	activeJobs     activeJobs
	usage          usageLedger
	completions    completions
	seen           seenRevisions
	schedule       schedule

	attemptCounter uint64 // attempt numbers used
	placingPasses  int    // passes that placed something
}

// seenRevisions are the revisions of the view that the agents and jobs held match.
type seenRevisions struct{ fleet, jobsEnded uint64 }

// New makes a reconciler that holds nothing yet.
func New(parts Config) *Reconciler {
	if parts.MaxAttempts == 0 {
		parts.MaxAttempts = maxAttempts
	}
	return &Reconciler{
		Config:         parts,
		agents:         agentTable{byName: map[string]*agent{}},
		writers:        map[int]*recordWriter{},
		jobs:           map[*storage.Job]*jobProgress{},
		attemptsByTask: map[storage.TaskRef]int{},
		usage:          newUsageLedger(len(parts.View.Teams)),
	}
}

// SyncWithRecords makes what is held match the grants and the records. Changes come many
// times a second, and nearly all are of pages of intents and of jobs: the machines are
// gone through only for those that change what there is to hold.
func (r *Reconciler) SyncWithRecords() {
	now := seenRevisions{fleet: r.View.FleetRevision, jobsEnded: r.View.JobsEnded}
	if r.seen == now {
		return
	}
	fleetChanged := r.seen.fleet != now.fleet
	r.seen = now
	if fleetChanged {
		r.syncMachines()
	}
	r.StopInactive()
	for job, progress := range r.jobs {
		if job.Ended() && progress.attempts == 0 || r.writers[job.Shard] == nil {
			delete(r.jobs, job)
		}
	}
}

// syncMachines takes up the machines that are granted and lets go of the others.
func (r *Reconciler) syncMachines() {
	takenUp := r.syncWriters()
	for _, agent := range slices.Clone(r.agents.sorted) {
		r.syncAgent(agent)
	}
	now := r.now()
	r.View.Machines.All(func(_ int, machine *storage.Machine) {
		if !machine.Exists() || r.writers[machine.Shard] == nil {
			return
		}
		granted := max(r.View.Grants[machine.Shard].FencingToken, machine.FencingToken)
		if agent := r.agents.find(machine.Name); agent != nil {
			agent.fence.regrant(granted)
		} else {
			r.adopt(newAgent(machine, granted, now))
		}
	})
	for _, shard := range takenUp {
		r.adoptDisplaced(shard)
	}
}

// syncAgent keeps an agent whose machine is still of its shard, and lets go of another.
func (r *Reconciler) syncAgent(agent *agent) {
	machine := agent.machine
	_, recorded := r.View.Machines.Find(machine.Name)
	switch {
	case recorded != machine:
		r.release(agent) // neither a group nor an intent named it for a moment
	case machine.Deleted():
		r.endAll(agent, "machine is gone")
		r.release(agent)
	case r.writers[agent.shard] == nil:
		r.release(agent) // whoever holds the shard finds the intents in the records
	case machine.Exists() && machine.Shard == agent.shard:
		r.reinstate(agent)
	case machine.Exists() && r.writers[machine.Shard] != nil:
		r.release(agent) // and taken up again, with its intents
	default:
		r.keepOrRelease(agent)
	}
}

// syncWriters makes a record writer for each job shard that is newly held, and drops those
// of shards that are not held any more. It returns those that are newly held.
func (r *Reconciler) syncWriters() (takenUp []int) {
	for shard := range r.View.Grants {
		holds := r.Leases.Holds(shard)
		if writer := r.writers[shard]; writer != nil && !holds {
			writer.retired = true
			delete(r.writers, shard)
			r.logLetGo(shard)
		}
		if r.writers[shard] == nil && holds && shard < r.View.JobShards {
			r.addWriter(shard)
			r.logTakenUp(shard)
			takenUp = append(takenUp, shard)
		}
	}
	return takenUp
}

// addWriter makes the record writer of a shard and gives it what the records say.
func (r *Reconciler) addWriter(shard int) {
	writer := newRecordWriter(&r.Config, shard)
	writer.tracks = func(progress *jobProgress) bool { return r.jobs[progress.job] == progress }
	writer.schedulePass = r.SchedulePass
	r.View.Jobs.All(func(_ int, job *storage.Job) {
		if job.Shard == shard && !job.Ended() {
			r.progressOf(job)
		}
	})
	// Jobs known before the record writer was there are read again, with their pages.
	for job, progress := range r.jobs {
		if job.Shard == shard {
			writer.loadCompleted(progress)
		}
	}
	r.writers[shard] = writer
}

// StopInactive stops what a cancelled or completed job still has on machines, and what is
// on a machine that replicas of another job shard wait for.
func (r *Reconciler) StopInactive() {
	for _, agent := range r.agents.sorted {
		evict := agent.machine.Evict && agent.draining()
		changed := false
		for _, attempt := range agent.attempts {
			stop := &attempt.stop
			switch {
			case !attempt.live():
			case !attempt.job.Active() && (!stop.requested || stop.graceSeconds > 0):
				stop.request(0)
				changed = true
			case evict && !attempt.job.IsService() && !stop.requested:
				stop.request(attempt.saveGrace())
				changed = true
			}
		}
		if changed {
			agent.needsAttention = true
			r.sendCommands(agent)
		}
	}
}

// adopt takes up an agent. Every recorded intent counts as a task that may be on its
// machine, for quota as for duplicates, until a fenced heartbeat shows otherwise.
func (r *Reconciler) adopt(agent *agent) {
	r.agents.insert(agent)
	r.logMachineTakenUp(agent)
	for _, ref := range storage.SortedTasks(agent.machine.Intents) {
		r.inherit(agent, ref)
	}
	if len(agent.attempts) > 0 {
		agent.needsAttention = true
		r.sendCommands(agent)
	}
}

// inherit counts a recorded intent as an attempt that may be on its machine.
func (r *Reconciler) inherit(agent *agent, ref storage.TaskRef) {
	intent := agent.machine.Intents[ref]
	former := &attempt{
		job:       r.View.Jobs.Get(ref.Job),
		task:      ref.Task,
		number:    intent.Attempt,
		agent:     agent,
		start:     startCommand{token: agent.fence.highestStart},
		inherited: true,
		plannedAt: agent.contact.heldSince,
	}
	former.stop.requested = !former.job.Active()
	r.addAttempt(former)
	r.writers[agent.shard].intentPageAt(intent.Page).add(former)
}

// release drops an agent that is no longer held, without deciding anything about its
// tasks.
func (r *Reconciler) release(agent *agent) {
	r.logMachineLetGo(agent)
	for _, ref := range storage.SortedTasks(agent.attempts) {
		r.removeAttempt(agent.attempts[ref])
	}
	r.agents.remove(agent)
}

// addAttempt takes an attempt into the agent's list and all sums.
func (r *Reconciler) addAttempt(attempt *attempt) {
	attempt.progress = r.progressOf(attempt.job)
	attempt.progress.attempts++
	attempt.job.References++
	attempt.agent.attempts[attempt.ref()] = attempt
	attempt.agent.needsAttention = true
	r.attemptsByTask[attempt.ref()]++
	r.usage.charge(attempt, 1)
	if attempt.job.Image != "" {
		attempt.agent.imageWantedAt[attempt.job.ImageIndex] = r.now()
	}
}

// removeAttempt takes an attempt out of the agent's list and all sums.
func (r *Reconciler) removeAttempt(attempt *attempt) {
	if attempt.live() {
		r.usage.charge(attempt, -1)
		attempt.state = attemptEnded
	}
	ref := attempt.ref()
	if attempt.agent.attempts[ref] == attempt {
		delete(attempt.agent.attempts, ref)
	}
	if attempt.page != nil {
		attempt.page.drop(attempt, r.now())
	}
	if r.attemptsByTask[ref]--; r.attemptsByTask[ref] <= 0 {
		delete(r.attemptsByTask, ref)
	}
	attempt.job.References--
	attempt.progress.attempts--
	attempt.progress.nextTask = min(attempt.progress.nextTask, attempt.task)
	r.View.ForgetJob(attempt.job)
}

// Tick does what only the passing of time asks for.
func (r *Reconciler) Tick() {
	now := r.now()
	lease := r.AgentSettings.Lease()
	for _, agent := range r.agents.sorted {
		contact := &agent.contact
		if len(agent.attempts) > 0 && !agent.heldByAnother() {
			// The agent's lease has provably expired: neither this holder nor, until its
			// knowledge ran out, a former one can have renewed it since.
			expiry := contact.lastRenewedAt(r.MaxStaleness) + lease + lease/1000 + config.LeaseMargin
			if now > expiry && now > contact.lastHeartbeatAt+lease {
				r.endAll(agent, "agent's lease has expired")
			}
		}
		if !agent.fence.confirmed && now-contact.heldSince < lease && len(agent.machine.Intents) > 0 {
			r.sendCommands(agent)
		}
	}
	r.settleDisplacedAgents()
	for shard := range r.View.Grants {
		if writer := r.writers[shard]; writer != nil {
			writer.flushSoon()
		}
	}
	r.logSummaries(now)
	r.SchedulePass()
}

// HoldsJobShards reports whether this controller holds any job shard.
func (r *Reconciler) HoldsJobShards() bool { return len(r.writers) > 0 }

// JobShardsHeld is how many job shards this controller holds.
func (r *Reconciler) JobShardsHeld() int { return len(r.writers) }

// AttemptsExhausted reports whether the attempt numbers of the grants held are used up:
// the holder must start over under other grants.
func (r *Reconciler) AttemptsExhausted() bool { return r.attemptCounter >= r.MaxAttempts }

// OversizedValues counts the values of the shards held that are over the limit in force.
func (r *Reconciler) OversizedValues() int {
	count := 0
	for _, writer := range r.writers {
		count += writer.oversizedValues()
	}
	return count
}
