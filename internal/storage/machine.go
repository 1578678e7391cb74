package storage

import "slices"

// Machine is a machine as the durable records tell of it. A row remains while a machine
// group or an intent names it.
type Machine struct {
	MachineEntry        // as last read; Phase is never empty
	Index        int    // in View.Machines
	Group        string // ID of the machine group it is in; empty once no group names it

	// What follows is its group's, as last read.
	Type         string
	Zone         string
	Spot         bool
	Shard        int // -1 where no group has named it
	FencingToken uint64
	RentedAtMS   int64
	TypeIndex    int
	ZoneIndex    int

	Intents map[TaskRef]Intent // attempts that may be on it
}

// Exists reports whether a group names the machine and it is not deleted.
func (m *Machine) Exists() bool { return m.Group != "" && m.Phase != PhaseDeleted }

// Deleted reports whether a record says that the cloud has deleted the machine. That no group
// names it does not say so: it may be in another that was not read yet.
func (m *Machine) Deleted() bool { return m.Group != "" && m.Phase == PhaseDeleted }

// MachineGroup is a MachineGroupRecord with its version.
type MachineGroup struct {
	MachineGroupRecord
	Version uint64
}

// names reports whether the group has an entry of a machine.
func (g *MachineGroup) names(machine string) bool {
	return slices.ContainsFunc(g.Machines, func(entry MachineEntry) bool { return entry.Name == machine })
}

// machine returns the row of a machine, making one for a new name.
func (v *View) machine(name string) *Machine {
	if _, m := v.Machines.Find(name); m != nil {
		return m
	}
	m := &Machine{MachineEntry: MachineEntry{Name: name, Phase: PhaseDeleted}, Shard: -1, Intents: map[TaskRef]Intent{}}
	m.Index = v.Machines.Add(name, m)
	return m
}

// forgetMachine drops the row of a machine that no record names any more.
func (v *View) forgetMachine(m *Machine) {
	if m.Group == "" && len(m.Intents) == 0 {
		v.Machines.Drop(m.Name)
	}
}

func (v *View) applyMachineGroup(stored storedRecord) error {
	known := uint64(0)
	if group := v.MachineGroups[stored.name]; group != nil {
		known = group.Version
	}
	record, newer, err := decodeNewer[MachineGroupRecord](stored, known)
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

// setMachineGroup replaces a group. A machine that moves to another group is named by
// both for a moment, in either order; what was read last counts.
func (v *View) setMachineGroup(id string, group *MachineGroup) {
	v.FleetRevision++
	old := v.MachineGroups[id]
	v.MachineGroups[id] = group
	for i := range group.Machines {
		v.setMachine(id, group, &group.Machines[i])
	}
	if old != nil {
		v.removeLeftOut(id, old, group)
	}
}

// setMachine fills the row of a machine from its group and its entry there.
func (v *View) setMachine(groupID string, group *MachineGroup, entry *MachineEntry) {
	row := v.machine(entry.Name)
	row.MachineEntry = *entry
	if row.Phase == "" {
		row.Phase = PhaseActive
	}
	row.Group = groupID
	row.Type, row.Zone, row.Spot = group.Type, group.Zone, group.Spot
	row.Shard, row.FencingToken = group.Shard, group.FencingToken
	row.RentedAtMS = group.RentedAtMS
	row.TypeIndex, row.ZoneIndex = v.MachineTypeID(group.Type), v.ZoneNames.ID(group.Zone)
}

// removeLeftOut takes those machines out of a group that only its old record names.
func (v *View) removeLeftOut(groupID string, old, group *MachineGroup) {
	for i := range old.Machines {
		name := old.Machines[i].Name
		if group.names(name) {
			continue
		}
		if _, m := v.Machines.Find(name); m != nil && m.Group == groupID {
			m.Group, m.Phase = "", PhaseDeleted
			v.forgetMachine(m)
		}
	}
}
