package reconcile

import (
	"rockrun/internal/protocol"
)

// MachineStatuses returns the statuses of the machines held, as reported to the leader.
func (r *Reconciler) MachineStatuses() []protocol.MachineStatus {
	statuses := make([]protocol.MachineStatus, 0, len(r.agents.sorted))
	for _, agent := range r.agents.sorted {
		if r.Leases.Holds(agent.shard) && !agent.isDetached() {
			statuses = append(statuses, r.machineStatus(agent))
		}
	}
	return statuses
}

func (r *Reconciler) machineStatus(agent *agent) protocol.MachineStatus {
	machine := agent.machine
	status := protocol.MachineStatus{
		Name:         machine.Name,
		Seen:         agent.fence.confirmed,
		Silent:       r.now() - agent.contact.lastExchangeAt(),
		Tasks:        len(agent.attempts),
		Faulty:       agent.health.faulty(),
		Leaves:       agent.terminationAt > 0,
		Unresponsive: agent.reachability.unresponsive,
	}
	if machine.Address == "" {
		status.Addr = agent.address
	}
	empty := len(agent.attempts) == 0 && len(machine.Intents) == 0
	if agent.draining() && empty && !r.writers[agent.shard].unresolvedWriteMayName(agent) {
		status.Empty = machine.DrainStamp
	}
	return status
}

// GrantsWithinQuota returns the fencing tokens of the grants whose job shards use no more than
// the quota split allows. The result identifies grants rather than the controller: a controller
// that was just granted a shard may not know yet what runs on the shard's machines, and its
// earlier reports do not cover them.
func (r *Reconciler) GrantsWithinQuota() []uint64 {
	var tokens []uint64
	for shard := range r.writers {
		if r.usage.withinQuota(r.View, shard) {
			tokens = append(tokens, r.View.Grants[shard].FencingToken)
		}
	}
	return tokens
}
