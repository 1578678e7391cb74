package coordination

import (
	"cmp"
	"slices"
	"time"

	"rockrun/internal/coordination/placement"

	"rockrun/internal/storage"
)

// supplies lists the machines as the sizer counts them.
func (l *leadership) supplies() []*machineSupply {
	n := l.controller
	var out []*machineSupply
	n.view.Machines.All(func(_ int, m *storage.Machine) {
		if !m.Exists() || m.Phase == storage.PhaseDecommissioning {
			return
		}
		t := &n.view.MachineTypes[m.TypeIndex]
		x := &machineSupply{
			machine: m, machineType: m.TypeIndex, zone: m.ZoneIndex, spot: m.Spot, shard: m.Shard,
			free: placement.MachineCapacity(t), freeBesideServices: placement.MachineCapacity(t), schedulable: m.Phase == storage.PhaseActive,
		}
		for ref := range m.Intents {
			j := n.view.Jobs.Get(ref.Job)
			if j.Ended() || j.Completed.Has(ref.Task) {
				continue // about to leave
			}
			x.free.Subtract(j)
			if j.IsService() {
				x.freeBesideServices.Subtract(j)
			}
			x.hostsService = x.hostsService || j.IsService()
			x.reserve(t, j, 0.5)
		}
		note, known := l.members.MachineStatus(m)
		x.ready = known && note.Seen
		if !x.ready {
			x.bootSecondsLeft = max(0, t.BootSeconds-l.machineAge(m).Seconds())
		}
		patience := 3 * n.Settings.Cluster.Agents.HeartbeatInterval()
		if l.provisioner.partitionedZones[m.ZoneIndex] {
			patience = l.members.HeartbeatTolerance()
		}
		if known && (note.Faulty || note.Leaves || note.Unresponsive || (note.Seen || note.Tasks > 0) && note.Silent > patience) {
			x.schedulable = false
			x.suspect = true
		}
		// What no holder has spoken of may well be up: a leader that can't hear the
		// holder must not rent the whole fleet anew.
		if known && !x.ready && l.bootOverdue(m) {
			x.schedulable = false
		}
		out = append(out, x)
	})
	slices.SortFunc(out, func(a, b *machineSupply) int { return cmp.Compare(a.machine.Name, b.machine.Name) })
	return out
}

// age is the time since a machine was rented.
func (l *leadership) machineAge(m *storage.Machine) time.Duration {
	return time.Duration(l.controller.Clock.Wall().UnixMilli()-m.RentedAtMS) * time.Millisecond
}

// overdue reports whether a machine should have come up long ago.
func (l *leadership) bootOverdue(m *storage.Machine) bool {
	boot := l.controller.view.MachineTypes[m.TypeIndex].BootSeconds
	return l.machineAge(m).Seconds() > boot*l.controller.Options.BootPatience+5
}
