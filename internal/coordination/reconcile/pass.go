package reconcile

import "time"

const (
	// minPassDelay is the minimum time from the request of a pass to its start. The delay lets
	// one pass serve several requests.
	minPassDelay = 5 * time.Millisecond
	// minPassInterval is the minimum time from the end of a pass to the next pass. After
	// a long pass, it is passIntervalFactor times the duration of that pass, so that
	// heartbeats are answered first.
	minPassInterval    = 25 * time.Millisecond
	passIntervalFactor = 6
	// resolutionRequestInterval is the minimum time between two requests to an agent that
	// serve only to resolve unexpected tasks or unconfirmed stops.
	resolutionRequestInterval = 500 * time.Millisecond
)

// schedule holds the times of the reconciler's recurring work.
type schedule struct {
	passScheduled    bool
	nextPassAt       time.Duration // earliest time of the next pass
	nextDrainCheckAt time.Duration // earliest time of the next drain check
	nextSummaryAt    time.Duration
}

// SchedulePass schedules a pass over everything that this controller holds, unless one is
// scheduled already. A long pass delays the next one, so that heartbeats are answered first.
func (r *Reconciler) SchedulePass() {
	if r.schedule.passScheduled {
		return
	}
	r.schedule.passScheduled = true
	r.Generation.AfterIfActive(max(minPassDelay, r.schedule.nextPassAt-r.now()), func() {
		r.schedule.passScheduled = false
		r.pass()
	})
}

// pass places pending tasks, writes the records that are due and sends the resulting
// commands.
func (r *Reconciler) pass() {
	if !r.Replica.Ready() {
		return
	}
	began := r.now()
	r.evictForDrains()
	r.place()
	for shard := range r.View.Grants {
		if writer := r.writers[shard]; writer != nil && r.Leases.MayActFor(shard) {
			writer.flush()
		}
	}
	for _, agent := range r.agents.sorted {
		if agent.needsAttention {
			r.sendDueCommands(agent)
		}
	}
	r.writeFinalRecords()
	r.OnPassEnd()
	r.schedule.nextPassAt = r.now() + max(minPassInterval, passIntervalFactor*(r.now()-began))
}

// sendDueCommands sends an agent the commands that are due, or clears needsAttention when no
// work is left for the agent.
func (r *Reconciler) sendDueCommands(agent *agent) {
	now := r.now()
	if !r.Leases.MayActFor(agent.shard) || !agent.fence.confirmed {
		if agent.hasDueStops(now) {
			r.sendCommands(agent)
		}
		return
	}
	needsResolution := agent.needsResolution()
	switch {
	case agent.hasUnsentCommands(now), needsResolution && now-agent.commands.sentAt > resolutionRequestInterval:
		r.sendCommands(agent)
	case !needsResolution && !agent.unexpected.reapDue(now) && !agent.hasPendingChanges():
		agent.needsAttention = false
	}
}
