package provisioning

import (
	"time"

	"rockrun/internal/coordination/autoscaler"
	"rockrun/internal/coordination/membership"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// bootTimeout is the age at which a machine that was never seen is decommissioned, whether
// work waits or not.
const bootTimeout = 10 * time.Minute

// lossDetector tells which machines are lost: those that have stopped, are silent,
// unresponsive or have never come up. It is made anew for every look at all machines.
type lossDetector struct {
	*Config
	list        *cloudList
	fleet       *autoscaler.Fleet
	counts      *machineCounts
	workBlocked bool // work waits for machines
}

// reason is why a machine is lost, or "" where it is not.
func (l *lossDetector) reason(machine *storage.Machine, status protocol.MachineStatus, known bool) string {
	heartbeat := l.Cluster.Agents.HeartbeatInterval()
	silent := known && status.Silent > l.Options.SilenceTimeout(l.Cluster.Agents)
	switch {
	case l.list.unlisted[machine.Name] && known && status.Silent > heartbeat:
		// Taken without a notice. The deletion costs nothing and settles it.
		return "no longer listed"
	case l.list.failed[machine.Name]:
		return "failed"
	case known && l.awaitsZone(machine, status):
		return ""
	case silent && status.Seen:
		// Lost or hanging: the deletion's answer settles its tasks.
		return "silent"
	case silent && status.Tasks > 0:
		// It was up under an earlier holder and is not heard of any more. The status itself
		// must say that it has tasks: the records are newer, and a machine that has just
		// come up and got its first is not silent.
		return "silent since its holder changed"
	case known && status.Unresponsive && !l.counts.holderUnheard(machine.Shard):
		return "hears nothing"
	case known && l.neverCameUp(machine, status):
		// A holder that has just been granted the machine has not seen it yet either, so
		// its own silence counts, not only the age.
		return "never came up"
	case silent && !status.Seen && autoscaler.MachineAge(machine, l.fleet.Now) > bootTimeout:
		return "never came up"
	}
	return ""
}

// neverCameUp reports whether a machine for which work waits is overdue, and nothing says
// that it has ever been up.
func (l *lossDetector) neverCameUp(m *storage.Machine, status protocol.MachineStatus) bool {
	untouched := !status.Seen && len(m.Intents) == 0 && status.Tasks == 0
	return untouched && l.workBlocked && l.fleet.BootOverdue(m) && status.Silent > 3*l.Cluster.Agents.HeartbeatInterval()
}

// awaitsZone reports whether a silent machine is kept since most of its zone is silent: the
// zone is partitioned, and its machines are of use again as soon as it is back, sooner than
// any rented there instead. Replicas there run until their lease is nearly out, and room
// elsewhere is made for them meanwhile; then they must be free to start there at once.
func (l *lossDetector) awaitsZone(m *storage.Machine, status protocol.MachineStatus) bool {
	const patienceLeases = 4
	lease := l.Cluster.Agents.Lease()
	wasUp := status.Seen || status.Tasks > 0
	if !l.fleet.PartitionedZones[m.ZoneIndex] || !wasUp || status.Silent >= patienceLeases*lease {
		return false
	}
	return !hostsReplicas(m, l.view()) || status.Silent < lease-membership.AgentAnswerTimeout/2
}
