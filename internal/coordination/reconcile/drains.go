package reconcile

import (
	"slices"
	"time"

	"rockrun/internal/coordination/placement"
	"rockrun/internal/storage"
)

const (
	// drainCheckInterval is the time between two drain checks. Drains and terminations take
	// seconds, so a check in each of the many passes a second is not needed.
	drainCheckInterval = 200 * time.Millisecond
	// saveMarginSeconds is how long before the last possible moment a task begins to save
	// its progress on a machine that the cloud is about to terminate.
	saveMarginSeconds = 3
)

// evictForDrains requests stops of tasks that can save their progress before the cloud
// terminates their machine, and of replicas on draining machines. It also marks as urgent the
// intent pages that still name a draining machine.
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
	evictionNeeded := slices.ContainsFunc(r.agents.sorted, func(a *agent) bool {
		return a.terminationAt > 0 || a.draining() && a.load.serviceCPUs > 0
	})
	if !evictionNeeded {
		return
	}
	r.saveBeforeTermination(now)
	if !r.anyReplicaStartingOrStopping() {
		r.moveReplica(now)
	}
}

// saveBeforeTermination requests stops of the tasks that can still save their progress on
// machines that the cloud is about to terminate, as late as possible.
func (r *Reconciler) saveBeforeTermination(now time.Duration) {
	for _, agent := range r.agents.sorted {
		secondsLeft := (agent.terminationAt - now).Seconds()
		if secondsLeft <= 0 {
			continue
		}
		for _, attempt := range agent.attempts {
			saveSeconds := attempt.job.SaveSeconds
			saveDue := saveSeconds < secondsLeft && secondsLeft < saveSeconds+saveMarginSeconds
			if attempt.state == attemptRunning && !attempt.stop.requested && attempt.job.CheckpointSeconds > 0 && saveDue {
				attempt.stop.request(saveSeconds)
				agent.needsAttention = true
			}
		}
	}
}

func (r *Reconciler) anyReplicaStartingOrStopping() bool {
	for _, agent := range r.agents.sorted {
		for _, attempt := range agent.attempts {
			if attempt.live() && attempt.job.IsService() && (attempt.stop.requested || attempt.state != attemptRunning) {
				return true
			}
		}
	}
	return false
}

// moveReplica requests the stop of one replica on a draining machine, so that it starts
// elsewhere. Replicas move one at a time, and only if a machine that has their image has
// free capacity now, so that a move costs no more than a stop and a start.
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
			target, found := placer.chooseTarget(attempt)
			if !found || !target.hasImage(attempt.job) {
				continue
			}
			r.Log.Info("replica move started", "job", attempt.job.ID, "task", attempt.task, "machine", agent.machine.Name, "to", target.machine.Name)
			attempt.stop.request(attempt.job.SaveSeconds)
			agent.needsAttention = true
			return
		}
	}
}

// chooseTarget returns the machine on which an attempt at the same task would be placed now.
func (p *placer) chooseTarget(a *attempt) (target *agent, found bool) {
	return placement.Choose(placement.Fleet[*agent](p), p.Machines(), a.job, a.task, a.progress.attemptsByZone)
}
