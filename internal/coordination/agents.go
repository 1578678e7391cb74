package coordination

import (
	"rockrun/internal/coordination/api"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// OnAgentHeartbeat answers an agent's heartbeat. The holder of its shard takes it in and
// answers with commands; other controllers name the holder, or have the agent come back.
func (n *Controller) OnAgentHeartbeat(r *protocol.AgentHeartbeat, reply func(api.Answer)) {
	if !n.replica.Ready() {
		reply(refuseHeartbeat(r, api.ErrStarting))
		return
	}
	_, machine := n.view.Machines.Find(r.Machine)
	if machine == nil || machine.Group == "" {
		n.reporter.AddUnrecorded(r)
		reply(refuseHeartbeat(r, api.ErrMachineUnknown))
		return
	}
	if !machine.Exists() || machine.Shard < 0 || machine.Shard >= n.shardCount {
		reply(refuseHeartbeat(r, api.ErrMachineGone))
		return
	}
	n.leases.NoteAgentHeard(machine.Shard)
	if !n.leases.Holds(machine.Shard) {
		reply(n.redirectAgent(r, machine))
		return
	}
	err := n.reconciler.OnHeartbeat(machine, r, func(answer protocol.AgentHeartbeatAnswer) {
		reply(api.OK(answer))
	})
	if err != nil {
		reply(api.FromError(err))
	}
}

// refuseHeartbeat asks an agent to come back, for a reason.
func refuseHeartbeat(r *protocol.AgentHeartbeat, reason api.RetryReason) api.Answer {
	return api.FromError(&api.RetryLaterError{Reason: reason, Machine: r.Machine})
}

// redirectAgent names the holder of a machine's shard to its agent.
func (n *Controller) redirectAgent(r *protocol.AgentHeartbeat, machine *storage.Machine) api.Answer {
	grant := &n.view.Grants[machine.Shard]
	if grant.Version == 0 || grant.Controller == n.Settings.Controller {
		return refuseHeartbeat(r, api.ErrNoHolder)
	}
	n.Log.Debug("agent redirected", "machine", r.Machine, "holder", grant.Controller)
	return api.FromError(&api.ElsewhereError{Machine: r.Machine, Controller: grant.Controller})
}
