package coordination

import (
	"rockrun/internal/coordination/api"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// OnAgentHeartbeat answers an agent's heartbeat. The holder of its shard takes it in and
// answers with commands; other controllers name the holder, or have the agent come back.
func (c *Controller) OnAgentHeartbeat(heartbeat *protocol.AgentHeartbeat, reply func(api.Answer)) {
	if !c.replica.Ready() {
		reply(refuseHeartbeat(heartbeat, api.ErrStarting))
		return
	}
	_, machine := c.replica.View.Machines.Find(heartbeat.Machine)
	if machine == nil || machine.Group == "" {
		c.reporter.AddUnrecorded(heartbeat)
		reply(refuseHeartbeat(heartbeat, api.ErrMachineUnknown))
		return
	}
	if !machine.Exists() || machine.Shard < 0 || machine.Shard >= len(c.controllers) {
		reply(refuseHeartbeat(heartbeat, api.ErrMachineGone))
		return
	}
	c.leases.NoteAgentHeard(machine.Shard)
	if !c.leases.Holds(machine.Shard) {
		reply(c.redirectAgent(heartbeat, machine))
		return
	}
	err := c.reconciler.OnHeartbeat(machine, heartbeat, func(answer protocol.AgentHeartbeatAnswer) {
		reply(api.OK(answer))
	})
	if err != nil {
		reply(api.FromError(err))
	}
}

// refuseHeartbeat asks an agent to come back, for a reason.
func refuseHeartbeat(heartbeat *protocol.AgentHeartbeat, reason api.RetryReason) api.Answer {
	return api.FromError(&api.RetryLaterError{Reason: reason, Machine: heartbeat.Machine})
}

// redirectAgent names the holder of a machine's shard to its agent.
func (c *Controller) redirectAgent(heartbeat *protocol.AgentHeartbeat, machine *storage.Machine) api.Answer {
	grant := &c.replica.View.Grants[machine.Shard]
	if grant.Version == 0 || grant.Controller == c.Settings.Controller {
		return refuseHeartbeat(heartbeat, api.ErrNoHolder)
	}
	c.Log.Debug("agent redirected", "machine", heartbeat.Machine, "holder", grant.Controller)
	return api.FromError(&api.ElsewhereError{Machine: heartbeat.Machine, Controller: grant.Controller})
}
