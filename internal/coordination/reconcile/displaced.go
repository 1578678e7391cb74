package reconcile

import (
	"time"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// A machine leaves its shard after its holder has said that nothing is on it, and the records
// never say otherwise while every leader keeps to that. Where they do, the machine is
// displaced: its attempts stay counted here, so that no other is started in their stead, until
// each is proven over. The machine itself is asked, under a token that it refuses or that
// fences nobody: whoever the records name acts for it.

// displacement is since when the records have a machine elsewhere that was not let go.
type displacement struct {
	sinceRevision uint64 // of the view; 0: they have it here
	nextInquiryAt time.Duration
}

const (
	// inquiryPause is the least time between two inquiries to a displaced machine.
	inquiryPause = time.Second
	// inquiryToken is below every fencing token that is granted.
	inquiryToken = 1
)

// isDisplaced reports whether the records have the machine elsewhere.
func (a *agent) isDisplaced() bool { return a.displaced.sinceRevision > 0 }

// heldByAnother reports whether another holder may renew the agent's lease.
func (a *agent) heldByAnother() bool { return a.isDisplaced() && a.machine.Exists() }

// keepOrRelease lets go of a machine that has left its shard, unless attempts on it are not
// proven over. That it was let go by a record proves nothing.
func (r *Reconciler) keepOrRelease(agent *agent) {
	for _, ref := range storage.SortedTasks(agent.attempts) {
		if attempt := agent.attempts[ref]; attempt.live() && !attempt.start.sent() {
			r.endAttempt(attempt, "not started")
		}
	}
	if !agent.anyLive() {
		r.release(agent)
		return
	}
	if !agent.isDisplaced() {
		r.displace(agent)
	}
	if agent.heldByAnother() {
		agent.contact.heldSince = r.now() // whoever has it now may have renewed its lease
	}
}

// anyLive reports whether any attempt may still be on the machine.
func (a *agent) anyLive() bool {
	for _, attempt := range a.attempts {
		if attempt.live() {
			return true
		}
	}
	return false
}

// displace keeps a machine whose attempts are not proven over.
func (r *Reconciler) displace(agent *agent) {
	agent.displaced.sinceRevision = max(r.Replica.Revision(), 1)
	agent.fence.confirmed = false
	agent.contact.heldSince = r.now()
	r.Log.Warn("machine left its shard with tasks", "machine", agent.machine.Name, "group", agent.machine.Group, "to", agent.machine.Shard,
		"attempts", len(agent.attempts), "reason", "no proof that they are over", r.shardFacts(agent.shard))
}

// reinstate takes a displaced machine back that the records have in its shard again.
func (r *Reconciler) reinstate(agent *agent) {
	if agent.isDisplaced() {
		agent.displaced = displacement{}
		agent.contact.heldSince = r.now()
		agent.needsAttention = true
	}
}

// adoptDisplaced takes up the machines of other shards of which the pages of a shard that is
// newly held name attempts at its jobs: its former holder had them displaced.
func (r *Reconciler) adoptDisplaced(shard int) {
	granted := r.View.Grants[shard].FencingToken
	r.View.Machines.All(func(_ int, machine *storage.Machine) {
		if !machine.Exists() || r.agents.find(machine.Name) != nil {
			return
		}
		displaced := newAgent(machine, granted, r.now())
		displaced.shard = shard
		for _, ref := range storage.SortedTasks(machine.Intents) {
			if job := r.View.Jobs.Get(ref.Job); job.Shard == shard && !job.Ended() {
				r.inherit(displaced, ref)
			}
		}
		if len(displaced.attempts) > 0 {
			r.agents.insert(displaced)
			r.displace(displaced)
		}
	})
}

// settleDisplacedAgents settles what it can on all displaced machines, of which it lets go
// those that run nothing more.
func (r *Reconciler) settleDisplacedAgents() {
	var displaced []*agent
	for _, agent := range r.agents.sorted {
		if agent.isDisplaced() {
			displaced = append(displaced, agent)
		}
	}
	for _, agent := range displaced {
		r.settleDisplaced(agent)
	}
}

// settleDisplaced ends what is proven over on a displaced machine, and asks it for the rest.
func (r *Reconciler) settleDisplaced(agent *agent) {
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
	if now < agent.displaced.nextInquiryAt || channel.InFlight() || agent.address == "" {
		return
	}
	agent.displaced.nextInquiryAt = now + inquiryPause
	channel.begin(now)
	request := protocol.CommandRequest{FencingToken: inquiryToken, Epoch: agent.contact.epoch, Commands: []protocol.Command{}}
	r.Agents.Execute(agent.address, request, func(heartbeat *protocol.AgentHeartbeat, _ bool, err error) {
		channel.Finish()
		if err == nil && !r.Generation.Ended() && r.agents.contains(agent) && agent.isDisplaced() {
			r.observeDisplaced(agent, heartbeat)
		}
	})
}

// observeDisplaced takes in what a displaced machine says of its tasks.
func (r *Reconciler) observeDisplaced(agent *agent, heartbeat *protocol.AgentHeartbeat) {
	if heartbeat.Machine != agent.machine.Name || !heartbeat.NewerThan(agent.contact.epoch, agent.contact.sequence) {
		return
	}
	agent.contact.observe(heartbeat, r.now())
	r.applyTaskStatuses(agent, heartbeat)
	r.endMissingAttempts(agent, heartbeat)
}
