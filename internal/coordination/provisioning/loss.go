package provisioning

import (
	"time"

	"rockrun/internal/coordination/autoscaler"
	"rockrun/internal/coordination/membership"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// maxUnseenAge is the age at which a machine that was never seen is decommissioned, even if no
// tasks are blocked.
const maxUnseenAge = 10 * time.Minute

// lossDetector determines which machines are lost: machines that have stopped, are silent or
// unresponsive, or never came up. Each pass over all machines uses a new one.
type lossDetector struct {
	*Config
	list        *cloudList
	fleet       *autoscaler.Fleet
	counts      *machineCounts
	workBlocked bool // tasks are blocked for lack of machines
}

// reason returns why a machine is lost, or "" if it is not.
func (l *lossDetector) reason(machine *storage.Machine, status protocol.MachineStatus, known bool) string {
	heartbeatInterval := l.Cluster.Agents.HeartbeatInterval()
	silent := known && status.Silent > l.Options.SilenceTimeout(l.Cluster.Agents)
	switch {
	case l.list.unlisted[machine.Name] && known && status.Silent > heartbeatInterval:
		// The cloud has terminated the machine without notice. Deleting the machine is
		// harmless and confirms that its attempts are terminated.
		return "no longer listed"
	case l.list.failed[machine.Name]:
		return "failed"
	case known && l.retainedDuringPartition(machine, status):
		return ""
	case silent && status.Seen:
		// The machine is gone or hangs. The answer to its deletion confirms that its
		// attempts are terminated.
		return "silent"
	case silent && status.Tasks > 0:
		// The machine was up under an earlier holder, and the current holder has not heard
		// from its agent. The condition uses the task count of the status, not that of the
		// records: the records are newer and may show the first task of a machine that has
		// just come up and is not silent.
		return "silent since its holder changed"
	case known && status.Unresponsive && !l.counts.holderUnreachable(machine.Shard):
		return "hears nothing"
	case known && l.failedToBoot(machine, status):
		// A holder that has just acquired the machine has not seen it yet either, so the
		// time since the grant counts too, not only the machine's age.
		return "never came up"
	case silent && !status.Seen && autoscaler.MachineAge(machine, l.fleet.Now) > maxUnseenAge:
		return "never came up"
	}
	return ""
}

// failedToBoot reports whether a machine's boot is overdue while tasks are blocked, and
// neither its status nor the records show that it was ever up.
func (l *lossDetector) failedToBoot(m *storage.Machine, status protocol.MachineStatus) bool {
	neverSeen := !status.Seen && len(m.Intents) == 0 && status.Tasks == 0
	return neverSeen && l.workBlocked && l.fleet.BootOverdue(m) && status.Silent > 3*l.Cluster.Agents.HeartbeatInterval()
}

// retainedDuringPartition reports whether a silent machine is retained because its zone is
// partitioned. Once the partition heals, the machines of the zone are usable sooner than new
// machines would be. Replicas in the zone keep running until their agents' leases have nearly
// expired, and capacity elsewhere is provided in the meantime. Retention of machines with
// replicas ends shortly before the lease expires, so that the replicas can start elsewhere at
// once.
func (l *lossDetector) retainedDuringPartition(m *storage.Machine, status protocol.MachineStatus) bool {
	const maxLeases = 4
	lease := l.Cluster.Agents.Lease()
	wasUp := status.Seen || status.Tasks > 0
	if !l.fleet.PartitionedZones[m.ZoneIndex] || !wasUp || status.Silent >= maxLeases*lease {
		return false
	}
	return !hostsReplicas(m, l.view()) || status.Silent < lease-membership.AgentAnswerTimeout/2
}
