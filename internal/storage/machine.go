package storage

import "slices"

// Machine is the state of a machine according to the durable records. Its row is retained
// while a machine group or an intent names the machine.
type Machine struct {
	MachineEntry        // as last read; Phase is never empty
	Index        int    // in View.Machines
	Group        string // ID of the machine group that names it; empty if none does

	// The following fields are copied from the machine group, as last read.
	Type         string
	Zone         string
	Spot         bool
	Shard        int // -1 if no group has named the machine
	FencingToken uint64
	CreatedAtMS  int64
	TypeIndex    int
	ZoneIndex    int

	Intents map[TaskRef]Intent // attempts that may be on the machine
}

// Exists reports whether a group names the machine and the machine is not deleted.
func (m *Machine) Exists() bool { return m.Group != "" && m.Phase != PhaseDeleted }

// Deleted reports whether a record says that the cloud has deleted the machine. A machine
// that no group names is not reported as deleted: its record may be in a group that has not
// been read yet.
func (m *Machine) Deleted() bool { return m.Group != "" && m.Phase == PhaseDeleted }

// MachineGroup is a MachineGroupRecord and its version.
type MachineGroup struct {
	MachineGroupRecord
	Version uint64
}

// contains reports whether the group has an entry for a machine.
func (g *MachineGroup) contains(machine string) bool {
	return slices.ContainsFunc(g.Machines, func(entry MachineEntry) bool { return entry.Name == machine })
}

// findOrAddMachine returns the row of a machine, and adds one if the name is new.
func (v *View) findOrAddMachine(name string) *Machine {
	if _, m := v.Machines.Find(name); m != nil {
		return m
	}
	m := &Machine{MachineEntry: MachineEntry{Name: name, Phase: PhaseDeleted}, Shard: -1, Intents: map[TaskRef]Intent{}}
	m.Index = v.Machines.Add(name, m)
	return m
}

// deleteMachineIfUnreferenced deletes the row of a machine if no group or intent names the
// machine.
func (v *View) deleteMachineIfUnreferenced(m *Machine) {
	if m.Group == "" && len(m.Intents) == 0 {
		v.Machines.Delete(m.Name)
	}
}

func (v *View) applyMachineGroup(stored storedRecord) error {
	knownVersion := uint64(0)
	if group := v.MachineGroups[stored.name]; group != nil {
		knownVersion = group.Version
	}
	record, newer, err := decodeNewer[MachineGroupRecord](stored, knownVersion)
	if newer {
		v.setMachineGroup(stored.name, &MachineGroup{record, stored.version})
	}
	return err
}

func (v *View) removeMachineGroup(removal storedRecord) {
	if group := v.MachineGroups[removal.name]; group != nil && removal.version > group.Version {
		v.setMachineGroup(removal.name, &MachineGroup{})
		delete(v.MachineGroups, removal.name)
	}
}

// setMachineGroup replaces a group. While a machine moves, both its old and its new group
// may name it, and their records may be read in either order; the last one read wins.
func (v *View) setMachineGroup(id string, group *MachineGroup) {
	v.FleetRevision++
	old := v.MachineGroups[id]
	v.MachineGroups[id] = group
	for i := range group.Machines {
		v.setMachine(id, group, &group.Machines[i])
	}
	if old != nil {
		v.removeMissingMachines(id, old, group)
	}
}

// setMachine updates the row of a machine from its group and its entry in the group.
func (v *View) setMachine(groupID string, group *MachineGroup, entry *MachineEntry) {
	row := v.findOrAddMachine(entry.Name)
	row.MachineEntry = *entry
	if row.Phase == "" {
		row.Phase = PhaseActive
	}
	row.Group = groupID
	row.Type, row.Zone, row.Spot = group.Type, group.Zone, group.Spot
	row.Shard, row.FencingToken = group.Shard, group.FencingToken
	row.CreatedAtMS = group.CreatedAtMS
	row.TypeIndex, row.ZoneIndex = v.MachineTypeIndex(group.Type), v.ZoneNames.Index(group.Zone)
}

// removeMissingMachines removes from a group the machines that its old record names and its
// new record does not, and marks them as deleted. It skips machines that another group has
// named since.
func (v *View) removeMissingMachines(groupID string, old, group *MachineGroup) {
	for i := range old.Machines {
		name := old.Machines[i].Name
		if group.contains(name) {
			continue
		}
		if _, m := v.Machines.Find(name); m != nil && m.Group == groupID {
			m.Group, m.Phase = "", PhaseDeleted
			v.deleteMachineIfUnreferenced(m)
		}
	}
}
