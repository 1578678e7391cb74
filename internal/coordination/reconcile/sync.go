package reconcile

import (
	"slices"

	"rockrun/internal/storage"
)

// The records determine what this controller holds. Grants name its shards, machine groups
// name the machines of the shards, and intents name the attempts inherited from earlier
// holders.

// SyncWithRecords acquires and releases shards and machines to match the records. Records
// change many times a second, but most changes are to intent pages and jobs. The machines are
// therefore scanned only after a change to the fleet.
func (r *Reconciler) SyncWithRecords() {
	now := syncedRevisions{fleet: r.View.FleetRevision, inactiveJobs: r.View.InactiveJobsRevision}
	if r.synced == now {
		return
	}
	fleetChanged := r.synced.fleet != now.fleet
	r.synced = now
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

// syncMachines acquires the machines of the shards held and releases or detaches the others.
func (r *Reconciler) syncMachines() {
	acquired := r.syncWriters()
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
			r.acquire(newAgent(machine, granted, now))
		}
	})
	for _, shard := range acquired {
		r.acquireDetached(shard)
	}
}

// syncAgent retains an agent whose machine is still in its shard, and releases or detaches any
// other.
func (r *Reconciler) syncAgent(agent *agent) {
	machine := agent.machine
	_, recorded := r.View.Machines.Find(machine.Name)
	switch {
	case recorded != machine:
		r.release(agent) // the view deleted this row when no group or intent named the machine
	case machine.Deleted():
		r.endAllAttempts(agent, "machine is gone")
		r.release(agent)
	case machine.Exists() && machine.Shard == agent.shard:
		r.reattach(agent)
	case machine.Exists() && r.writers[machine.Shard] != nil:
		r.release(agent) // syncMachines acquires it again, with its intents
	default:
		r.detachOrRelease(agent)
	}
}

// syncWriters creates a record writer for each newly acquired job shard. It releases the shards
// that are no longer held, or that another controller has held since they were acquired. It
// returns the shards newly acquired.
func (r *Reconciler) syncWriters() (acquired []int) {
	for shard := range r.View.Grants {
		holds := r.Leases.Holds(shard)
		if writer := r.writers[shard]; writer != nil && (!holds || writer.grantVersion != r.View.HeldSince(shard)) {
			writer.retired = true
			delete(r.writers, shard)
			r.logShardReleased(shard)
			r.releaseShard(shard)
		}
		if r.writers[shard] == nil && holds && shard < r.View.JobShards {
			r.addWriter(shard)
			r.logShardAcquired(shard)
			acquired = append(acquired, shard)
		}
	}
	return acquired
}

// releaseShard discards the in-memory state of a shard, even if this controller already holds
// the shard again: only the records show what another holder did in between.
func (r *Reconciler) releaseShard(shard int) {
	for _, agent := range slices.Clone(r.agents.sorted) {
		if agent.shard == shard {
			r.release(agent)
		}
	}
	for job, progress := range r.jobs {
		if job.Shard == shard && progress.attempts == 0 {
			delete(r.jobs, job)
		}
	}
}

// addWriter creates the record writer of a shard and loads the shard's records into it.
func (r *Reconciler) addWriter(shard int) {
	writer := newRecordWriter(&r.Config, shard)
	writer.tracks = func(progress *jobProgress) bool { return r.jobs[progress.job] == progress }
	writer.schedulePass = r.SchedulePass
	r.View.Jobs.All(func(_ int, job *storage.Job) {
		if job.Shard == shard && !job.Ended() {
			r.progressOf(job)
		}
	})
	// Reload the completions of jobs that were tracked before the record writer existed.
	for job, progress := range r.jobs {
		if job.Shard == shard {
			writer.loadCompleted(progress)
		}
	}
	r.writers[shard] = writer
}

// acquire starts to manage an agent. Each recorded intent counts as an attempt that may be on
// the machine, both for quota and to prevent duplicates, until a heartbeat with a confirmed
// fencing token shows otherwise.
func (r *Reconciler) acquire(agent *agent) {
	r.agents.insert(agent)
	r.logMachineAcquired(agent)
	for _, ref := range storage.SortedTasks(agent.machine.Intents) {
		r.inherit(agent, ref)
	}
	if len(agent.attempts) > 0 {
		agent.needsAttention = true
		r.sendCommands(agent)
	}
}

// inherit adds an attempt for a recorded intent of an earlier holder; the attempt may be on
// the machine.
func (r *Reconciler) inherit(agent *agent, ref storage.TaskRef) {
	intent := agent.machine.Intents[ref]
	inherited := &attempt{
		job:       r.View.Jobs.Get(ref.Job),
		task:      ref.Task,
		number:    intent.Attempt,
		agent:     agent,
		start:     startCommand{token: agent.fence.highestStartToken},
		inherited: true,
		plannedAt: agent.contact.heldSince,
	}
	inherited.stop.requested = !inherited.job.Active()
	r.addAttempt(inherited)
	r.writers[agent.shard].intentPageAt(intent.Page).add(inherited)
}

// release removes an agent and its attempts from this controller's state, without deciding
// whether the attempts have ended.
func (r *Reconciler) release(agent *agent) {
	r.logMachineReleased(agent)
	for _, ref := range storage.SortedTasks(agent.attempts) {
		r.removeAttempt(agent.attempts[ref])
	}
	r.agents.remove(agent)
}
