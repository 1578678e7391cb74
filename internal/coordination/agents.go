package coordination

import (
	"rockrun/internal/coordination/api"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// OnAgentHeartbeat answers an agent's heartbeat. The holder of the agent's shard processes the
// heartbeat and answers with commands. Other controllers redirect the agent to the holder, or
// tell it to retry later.
func (c *Controller) OnAgentHeartbeat(heartbeat *protocol.AgentHeartbeat, reply func(api.Answer)) {
	if !c.replica.Ready() {
		reply(rejectHeartbeat(heartbeat, api.ErrStarting))
		return
	}
	_, machine := c.replica.View.Machines.Find(heartbeat.Machine)
	if machine == nil || machine.Group == "" {
		c.reporter.AddUnrecorded(heartbeat)
		reply(rejectHeartbeat(heartbeat, api.ErrMachineUnknown))
		return
	}
	if !machine.Exists() || machine.Shard < 0 || machine.Shard >= len(c.controllers) {
		reply(rejectHeartbeat(heartbeat, api.ErrMachineGone))
		return
	}
	c.leases.RecordAgentContact(machine.Shard)
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

// rejectHeartbeat returns the answer that tells an agent to retry later.
func rejectHeartbeat(heartbeat *protocol.AgentHeartbeat, reason api.RetryReason) api.Answer {
	return api.FromError(&api.RetryLaterError{Reason: reason, Machine: heartbeat.Machine})
}

// redirectAgent returns the answer that redirects an agent to the holder of its machine's
// shard.
func (c *Controller) redirectAgent(heartbeat *protocol.AgentHeartbeat, machine *storage.Machine) api.Answer {
	grant := &c.replica.View.Grants[machine.Shard]
	if grant.Version == 0 || grant.Controller == c.Settings.Controller {
		return rejectHeartbeat(heartbeat, api.ErrNoHolder)
	}
	c.Log.Debug("agent redirected", "machine", heartbeat.Machine, "holder", grant.Controller)
	return api.FromError(&api.RedirectError{Machine: heartbeat.Machine, Controller: grant.Controller})
}
