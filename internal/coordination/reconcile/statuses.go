package reconcile

import (
	"rockrun/internal/protocol"
)

// MachineStatuses tells the leader about the machines held.
func (r *Reconciler) MachineStatuses() []protocol.MachineStatus {
	statuses := make([]protocol.MachineStatus, 0, len(r.agents.sorted))
	for _, agent := range r.agents.sorted {
		if r.Leases.Holds(agent.shard) && !agent.isDisplaced() {
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
		Silent:       r.now() - agent.contact.silentSince(),
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

// GrantsWithinQuota lists the grants under which this controller holds job shards of which
// nothing takes more than the quota split allows. It names the grants, not itself: a
// controller that has just been granted a shard may not know yet what is on the machines
// there, and what it said before says nothing of them.
func (r *Reconciler) GrantsWithinQuota() []uint64 {
	var tokens []uint64
	for shard := range r.writers {
		if r.usage.withinQuota(r.View, shard) {
			tokens = append(tokens, r.View.Grants[shard].FencingToken)
		}
	}
	return tokens
}
