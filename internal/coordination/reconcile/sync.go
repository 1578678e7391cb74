package reconcile

import (
	"slices"

	"rockrun/internal/storage"
)

// What is held follows the records: shards by their grants, machines by their groups, and the
// attempts of former holders by the intents.

// SyncWithRecords makes what is held match the grants and the records. Changes come many
// times a second, and nearly all are of pages of intents and of jobs: the machines are
// gone through only for those that change what there is to hold.
func (r *Reconciler) SyncWithRecords() {
	now := syncedRevisions{fleet: r.View.FleetRevision, jobsEnded: r.View.JobsEnded}
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
		r.endAllAttempts(agent, "machine is gone")
		r.release(agent)
	case machine.Exists() && machine.Shard == agent.shard:
		r.reinstate(agent)
	case machine.Exists() && r.writers[machine.Shard] != nil:
		r.release(agent) // and taken up again, with its intents
	default:
		r.keepOrRelease(agent)
	}
}

// syncWriters makes a record writer for each job shard that is newly held, and drops those
// of shards that are not held any more, or that another held since they were taken up. It
// returns those that are newly held.
func (r *Reconciler) syncWriters() (takenUp []int) {
	for shard := range r.View.Grants {
		holds := r.Leases.Holds(shard)
		if writer := r.writers[shard]; writer != nil && (!holds || writer.heldSince != r.View.HeldSince(shard)) {
			writer.retired = true
			delete(r.writers, shard)
			r.logLetGo(shard)
			r.forgetShard(shard)
		}
		if r.writers[shard] == nil && holds && shard < r.View.JobShards {
			r.addWriter(shard)
			r.logTakenUp(shard)
			takenUp = append(takenUp, shard)
		}
	}
	return takenUp
}

// forgetShard drops all that is known of a shard. It may be held again by now: what another
// holder did in between is in the records alone.
func (r *Reconciler) forgetShard(shard int) {
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
