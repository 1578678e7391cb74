package reconcile

import (
	"slices"
	"time"

	"rockrun/internal/coordination/placement"
	"rockrun/internal/storage"
)

const (
	// drainCheckInterval is the time between two looks at what must leave its machine: what
	// they look for takes seconds, and passes come many times a second.
	drainCheckInterval = 200 * time.Millisecond
	// saveMarginSeconds is how long before it must a task begins to save its progress on a
	// machine that the cloud takes.
	saveMarginSeconds = 3
)

// evictForDrains decides which tasks must leave: those of a machine that the cloud takes
// and which can save in time, and services of machines that drain.
func (r *Reconciler) evictForDrains() {
	now := r.now()
	if now < r.schedule.nextDrainCheckAt {
		return
	}
	r.schedule.nextDrainCheckAt = now + drainCheckInterval
	for _, agent := range r.agents.sorted {
		if agent.draining() {
			r.writers[agent.shard].markPagesNaming(agent)
		}
	}
	anythingLeaves := slices.ContainsFunc(r.agents.sorted, func(a *agent) bool {
		return a.terminationAt > 0 || a.draining() && a.load.serviceCPUs > 0
	})
	if !anythingLeaves {
		return
	}
	r.saveBeforeTermination(now)
	if !r.anyReplicaChanges() {
		r.moveReplica(now)
	}
}

// saveBeforeTermination stops what can still save its progress on machines that the cloud
// takes, once it must.
func (r *Reconciler) saveBeforeTermination(now time.Duration) {
	for _, agent := range r.agents.sorted {
		left := (agent.terminationAt - now).Seconds()
		if left <= 0 {
			continue
		}
		for _, attempt := range agent.attempts {
			saveSeconds := attempt.job.SaveSeconds
			inTime := saveSeconds < left && left < saveSeconds+saveMarginSeconds
			if attempt.state == attemptRunning && !attempt.stop.requested && attempt.job.CheckpointSeconds > 0 && inTime {
				attempt.stop.request(saveSeconds)
				agent.needsAttention = true
			}
		}
	}
}

// anyReplicaChanges reports whether any replica is starting or stopping.
func (r *Reconciler) anyReplicaChanges() bool {
	for _, agent := range r.agents.sorted {
		for _, attempt := range agent.attempts {
			if attempt.live() && attempt.job.IsService() && (attempt.stop.requested || attempt.state != attemptRunning) {
				return true
			}
		}
	}
	return false
}

// moveReplica stops a replica on a machine that drains, to be started elsewhere. Replicas
// move one at a time, and only to room that is free now on a machine that has their image,
// so that a move costs no more than a stop and a start.
func (r *Reconciler) moveReplica(now time.Duration) {
	placer := &placer{reconciler: r, now: now}
	for _, agent := range r.agents.sorted {
		if !agent.draining() || !r.Leases.MayActFor(agent.shard) || !agent.fence.confirmed {
			continue
		}
		for _, ref := range storage.SortedTasks(agent.attempts) {
			attempt := agent.attempts[ref]
			if attempt.state != attemptRunning || attempt.stop.requested || !attempt.job.IsService() {
				continue
			}
			target, found := placer.chooseFor(attempt)
			if !found || !target.hasImage(attempt.job) {
				continue
			}
			r.Log.Info("move replica", "job", attempt.job.ID, "task", attempt.task, "machine", agent.machine.Name, "to", target.machine.Name)
			attempt.stop.request(attempt.job.SaveSeconds)
			agent.needsAttention = true
			return
		}
	}
}

// chooseFor is the machine to which an attempt would move now.
func (p *placer) chooseFor(a *attempt) (target *agent, found bool) {
	return placement.Choose(placement.Fleet[*agent](p), p.Machines(), a.job, a.task, a.progress.attemptsByZone)
}
