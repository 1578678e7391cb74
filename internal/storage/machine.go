package storage

import "slices"

// Machine is a machine as the durable records tell of it.
type Machine struct {
	Name         string
	Index        int
	Group        string // block it is in; none once no block names it
	Address      string
	Type         string
	Zone         string
	Spot         bool
	Shard        int
	FencingToken uint64
	Phase        MachinePhase
	DrainStamp   uint64
	Evict        bool
	RentedAtMS   int64 // when it was rented
	DeletedAtMS  int64
	TypeIndex    int
	ZoneIndex    int
	Intents      map[TaskRef]Intent
}

// There reports whether a block names the machine and it is not deleted.
func (m *Machine) Exists() bool { return m.Group != "" && m.Phase != PhaseDeleted }

// Block is a block of machines.
type MachineGroup struct {
	MachineGroupRecord
	Version uint64
}

func (b *View) machine(name string) *Machine {
	if _, m := b.Machines.Find(name); m != nil {
		return m
	}
	m := &Machine{Name: name, Shard: -1, Phase: PhaseDeleted, Intents: map[TaskRef]Intent{}}
	m.Index = b.Machines.Add(name, m)
	return m
}

// dropMachine forgets a machine that no record names any more.
func (b *View) forgetMachine(m *Machine) {
	if m.Group == "" && len(m.Intents) == 0 {
		b.Machines.Drop(m.Name)
	}
}

// setBlock replaces a block. A machine that moves to another block is named by
// both for a moment, in either order; the later word counts.
func (b *View) setMachineGroup(id string, r MachineGroupRecord, version uint64) {
	b.FleetRevision++
	old := b.MachineGroups[id]
	b.MachineGroups[id] = &MachineGroup{r, version}
	for i := range r.Machines {
		e := &r.Machines[i]
		m := b.machine(e.Name)
		m.Group, m.Address, m.Type, m.Zone, m.Spot, m.Shard, m.FencingToken = id, e.Address, r.Type, r.Zone, r.Spot, r.Shard, r.FencingToken
		m.Phase, m.DrainStamp, m.Evict, m.RentedAtMS, m.DeletedAtMS = e.Phase, e.DrainStamp, e.Evict, r.RentedAtMS, e.DeletedAtMS
		if m.Phase == "" {
			m.Phase = PhaseActive
		}
		m.TypeIndex, m.ZoneIndex = b.MachineTypeID(r.Type), b.ZoneNames.ID(r.Zone)
	}
	if old == nil {
		return
	}
	for i := range old.Machines {
		name := old.Machines[i].Name
		if slices.ContainsFunc(r.Machines, func(e MachineEntry) bool { return e.Name == name }) {
			continue
		}
		if _, m := b.Machines.Find(name); m != nil && m.Group == id {
			m.Group, m.Phase = "", PhaseDeleted
			b.forgetMachine(m)
		}
	}
}

// Fits reports whether a machine of a type is large enough for a task of j.
func (b *View) FitsMachineType(j *Job, typ int) bool {
	t := &b.MachineTypes[typ]
	return t.CPUs > 0 && j.CPUs <= t.CPUs+epsilon && j.GPUs <= t.GPUs+epsilon && j.MemoryGB <= t.MemoryGB+epsilon &&
		(len(j.MachineTypeIndices) == 0 || slices.Contains(j.MachineTypeIndices, typ))
}

// Suits reports whether j's owner allows a machine for its tasks, and it is
// large enough for one.
func (b *View) Eligible(j *Job, m *Machine) bool {
	return (!m.Spot || j.Spot) && (j.ZoneIndex < 0 || j.ZoneIndex == m.ZoneIndex) && b.FitsMachineType(j, m.TypeIndex)
}

// eps absorbs rounding in sums of decimal amounts.
const epsilon = 1e-6
