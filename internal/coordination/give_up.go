package coordination

import (
	"time"

	"rockrun/internal/coordination/membership"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// giveUp returns a machine that has stopped, is silent, unresponsive or has never
// come up.
func (f *provisioner) decommissionLost(m *storage.Machine, note protocol.MachineStatus, known bool, counts *machineCounts) bool {
	if why := f.lossReason(m, note, known, counts); why != "" {
		f.setPhase(m, storage.PhaseDecommissioning, why)
		return true
	}
	return known && f.awaitsZone(m, note)
}

// neverUpAfter is the age at which a machine that was never seen is given up,
// whether work waits or not.
const bootTimeout = 10 * time.Minute

func (f *provisioner) lossReason(m *storage.Machine, note protocol.MachineStatus, known bool, counts *machineCounts) string {
	n := f.leadership.controller
	workers := n.Settings.Cluster.Agents
	silent := known && note.Silent > n.Options.SilenceTimeout(workers)
	switch {
	case f.unlisted[m.Name] && known && note.Silent > workers.HeartbeatInterval():
		// Taken without a notice. The deletion costs nothing and settles it.
		return "no longer listed"
	case f.failed[m.Name]:
		return "failed"
	case known && f.awaitsZone(m, note):
		return ""
	case silent && note.Seen:
		// Lost or hanging: the deletion's answer settles its tasks.
		return "silent"
	case silent && note.Tasks > 0:
		// It was up under an earlier holder and is not heard of any more. The
		// note itself must say that it has tasks: the records are newer, and a
		// machine that has just come up and got its first is not silent.
		return "silent since its holder changed"
	case known && note.Unresponsive && counts.unresponsive[m.Shard] <= max(2, counts.held[m.Shard]/2):
		// Were most of them unresponsive, it would be their holder that can't be heard.
		return "hears nothing"
	case known && !note.Seen && len(m.Intents) == 0 && note.Tasks == 0 && f.blockedSince != 0 && f.leadership.bootOverdue(m) && note.Silent > 3*workers.HeartbeatInterval():
		// A holder that has just been granted the machine has not seen it
		// yet either, so its own silence counts, not only the age.
		return "never came up"
	case silent && !note.Seen && f.leadership.machineAge(m) > bootTimeout:
		return "never came up"
	}
	return ""
}

// waitsForZone reports whether a silent machine is kept since most of its zone is
// silent: the zone is cut off, and its machines are of use again as soon as it is
// back, sooner than any rented there instead. Replicas there run until their lease
// is nearly out, and room elsewhere is made for them meanwhile; then they must be
// free to start there at once.
func (f *provisioner) awaitsZone(m *storage.Machine, note protocol.MachineStatus) bool {
	lease := f.leadership.controller.Settings.Cluster.Agents.Lease()
	return f.partitionedZones[m.ZoneIndex] && (note.Seen || note.Tasks > 0) && note.Silent < 4*lease &&
		(!f.leadership.hostsReplicas(m) || note.Silent < lease-membership.AgentAnswerTimeout/2)
}

// serves reports whether replicas may be on a machine.
func (l *leadership) hostsReplicas(m *storage.Machine) bool {
	for ref := range m.Intents {
		if j := l.controller.view.Jobs.Get(ref.Job); j.IsService() && !j.Ended() {
			return true
		}
	}
	return false
}
