package reconcile

import "time"

const (
	// minPassDelay is the least time from the wish for a pass to the pass, in which other
	// wishes join it.
	minPassDelay = 5 * time.Millisecond
	// minPassPause is the least time between two passes, and passPauseFactor how many times
	// its own length follows a pass: heartbeats are answered first.
	minPassPause    = 25 * time.Millisecond
	passPauseFactor = 6
	// resolutionPause is the least time between two requests to an agent that ask only for
	// what has not been resolved.
	resolutionPause = 500 * time.Millisecond
)

// schedule is when the reconciler does what it does again and again.
type schedule struct {
	passScheduled    bool
	nextPassAt       time.Duration // no pass before
	nextDrainCheckAt time.Duration // no look before at what must leave its machine
	nextSummaryAt    time.Duration
}

// SchedulePass asks for a pass over all that this controller holds, soon but once. A pass
// that took long is followed by a longer pause, so that heartbeats are answered first.
func (r *Reconciler) SchedulePass() {
	if r.schedule.passScheduled {
		return
	}
	r.schedule.passScheduled = true
	r.Generation.Later(max(minPassDelay, r.schedule.nextPassAt-r.now()), func() {
		r.schedule.passScheduled = false
		r.pass()
	})
}

// pass places what waits, writes what must be durable and sends what follows.
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
			r.attend(agent)
		}
	}
	r.writeJobEnds()
	r.EndOfPass()
	r.schedule.nextPassAt = r.now() + max(minPassPause, passPauseFactor*(r.now()-began))
}

// attend sends an agent what it needs now, or notes that it needs nothing any more.
func (r *Reconciler) attend(agent *agent) {
	now := r.now()
	if !r.Leases.MayActFor(agent.shard) || !agent.fence.confirmed {
		if agent.hasDueStops(now) {
			r.sendCommands(agent)
		}
		return
	}
	needsResolution := agent.needsResolution()
	switch {
	case agent.hasUnsentCommands(now), needsResolution && now-agent.commands.sentAt > resolutionPause:
		r.sendCommands(agent)
	case !needsResolution && !agent.unexpected.reapDue(now) && !agent.hasPendingChanges():
		agent.needsAttention = false
	}
}
