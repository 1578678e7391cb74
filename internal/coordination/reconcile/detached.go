package reconcile

import (
	"time"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// A leader moves a machine to another shard only after the holder has reported the machine as
// empty. If the records move a machine while attempts on it are not confirmed terminated, the
// machine is detached: its attempts still count here, so that no replacement is started, until
// each attempt is confirmed terminated. Another holder, which the records name, acts for the
// machine. Probes of a detached machine therefore carry a fencing token below that of every
// grant: the agent rejects the token or accepts it, but in neither case does the probe fence the
// other holder.

// detachment is the state of a detached machine; it is zero for all others.
type detachment struct {
	sinceRevision uint64 // view revision at which the machine was detached; 0: not detached
	nextProbeAt   time.Duration
}

const (
	// probeInterval is the minimum time between two probes of a detached machine.
	probeInterval = time.Second
	// probeToken is the fencing token of probes, below that of every grant.
	probeToken = 1
)

// isDetached reports whether the machine is detached.
func (a *agent) isDetached() bool { return a.detachment.sinceRevision > 0 }

// heldByAnother reports whether another controller may hold the machine and renew its agent's
// lease.
func (a *agent) heldByAnother() bool { return a.isDetached() && a.machine.Exists() }

// detachOrRelease releases a machine that has left its shard. If attempts on it are not
// confirmed terminated, it detaches the machine instead: a record that moves the machine does
// not prove that they have terminated.
func (r *Reconciler) detachOrRelease(agent *agent) {
	for _, ref := range storage.SortedTasks(agent.attempts) {
		if attempt := agent.attempts[ref]; attempt.live() && !attempt.start.sent() {
			r.endAttempt(attempt, "not started")
		}
	}
	if !agent.anyLive() {
		r.release(agent)
		return
	}
	if !agent.isDetached() {
		r.detach(agent)
	}
	if agent.heldByAnother() {
		agent.contact.heldSince = r.now() // the other holder may have renewed the lease until now
	}
}

// anyLive reports whether any attempt may still run on the machine, or be started there again.
func (a *agent) anyLive() bool {
	for _, attempt := range a.attempts {
		if attempt.blocksTask() {
			return true
		}
	}
	return false
}

// detach marks a machine as detached. Its attempts count until they are confirmed terminated.
func (r *Reconciler) detach(agent *agent) {
	agent.detachment.sinceRevision = max(r.Replica.Revision(), 1)
	agent.fence.confirmed = false
	agent.contact.heldSince = r.now()
	r.Log.Warn("machine detached", "machine", agent.machine.Name, "group", agent.machine.Group, "to", agent.machine.Shard,
		"attempts", len(agent.attempts), "reason", "no proof that they are over", r.shardAttrs(agent.shard))
}

// reattach ends the detachment of a machine that the records place in its shard again.
func (r *Reconciler) reattach(agent *agent) {
	if agent.isDetached() {
		agent.detachment = detachment{}
		agent.contact.heldSince = r.now()
		agent.needsAttention = true
	}
}

// acquireDetached acquires, as detached, the machines of other shards for which the intent
// pages of a newly acquired shard name attempts of its jobs. These machines were detached
// under an earlier holder of the shard.
func (r *Reconciler) acquireDetached(shard int) {
	granted := r.View.Grants[shard].FencingToken
	r.View.Machines.All(func(_ int, machine *storage.Machine) {
		if !machine.Exists() || r.agents.find(machine.Name) != nil {
			return
		}
		detached := newAgent(machine, granted, r.now())
		detached.shard = shard
		for _, ref := range storage.SortedTasks(machine.Intents) {
			if job := r.View.Jobs.Get(ref.Job); job.Shard == shard && !job.Ended() {
				r.inherit(detached, ref)
			}
		}
		if len(detached.attempts) > 0 {
			r.agents.insert(detached)
			r.detach(detached)
		}
	})
}

// resolveDetachedAgents resolves the attempts on all detached machines as far as possible and
// releases the machines on which no attempt can still run.
func (r *Reconciler) resolveDetachedAgents() {
	var detached []*agent
	for _, agent := range r.agents.sorted {
		if agent.isDetached() {
			detached = append(detached, agent)
		}
	}
	for _, agent := range detached {
		r.resolveDetached(agent)
	}
}

// resolveDetached ends those attempts on a detached machine whose completions are durable. It
// then releases the machine if no other attempt can still run there, and otherwise probes the
// machine.
func (r *Reconciler) resolveDetached(agent *agent) {
	for _, ref := range storage.SortedTasks(agent.attempts) {
		if attempt := agent.attempts[ref]; attempt.job.Completed.Has(ref.Task) {
			r.endAttempt(attempt, protocol.CauseDone)
		}
	}
	if !agent.anyLive() {
		r.release(agent)
		r.SchedulePass()
		return
	}
	now := r.now()
	channel := &agent.commands
	if now < agent.detachment.nextProbeAt || channel.InFlight() || agent.address == "" {
		return
	}
	agent.detachment.nextProbeAt = now + probeInterval
	channel.begin(now)
	request := protocol.CommandRequest{FencingToken: probeToken, Epoch: agent.contact.epoch, Commands: []protocol.Command{}}
	r.Agents.Execute(agent.address, request, func(heartbeat *protocol.AgentHeartbeat, _ bool, err error) {
		channel.Finish()
		if err == nil && !r.Generation.Ended() && r.agents.contains(agent) && agent.isDetached() {
			r.observeDetached(agent, heartbeat)
		}
	})
}

// observeDetached applies a detached machine's heartbeat that answers a probe.
func (r *Reconciler) observeDetached(agent *agent, heartbeat *protocol.AgentHeartbeat) {
	if heartbeat.Machine != agent.machine.Name || !heartbeat.NewerThan(agent.contact.epoch, agent.contact.sequence) {
		return
	}
	agent.contact.observe(heartbeat, r.now())
	r.applyTaskStatuses(agent, heartbeat)
	r.endMissingAttempts(agent, heartbeat)
}
