package bookkeeping

import "slices"

// Machine is a machine as the durable records tell of it.
type Machine struct {
	Name    string
	Index   int
	Block   string // block it is in; none once no block names it
	Addr    string
	Type    string
	Zone    string
	Spot    bool
	Shard   int
	Token   uint64
	Phase   string
	Drain   uint64
	Yield   bool
	AtMS    int64 // when it was rented
	GoneMS  int64
	TypeIdx int
	ZoneIdx int
	Intents map[TaskRef]Intent
}

// There reports whether a block names the machine and it is not deleted.
func (m *Machine) There() bool { return m.Block != "" && m.Phase != PhaseGone }

// Block is a block of machines.
type Block struct {
	BlockRecord
	Version uint64
}

func (b *Cache) machine(name string) *Machine {
	if _, m := b.Machines.Find(name); m != nil {
		return m
	}
	m := &Machine{Name: name, Shard: -1, Phase: PhaseGone, Intents: map[TaskRef]Intent{}}
	m.Index = b.Machines.Add(name, m)
	return m
}

// dropMachine forgets a machine that no record names any more.
func (b *Cache) dropMachine(m *Machine) {
	if m.Block == "" && len(m.Intents) == 0 {
		b.Machines.Drop(m.Name)
	}
}

// setBlock replaces a block. A machine that moves to another block is named by
// both for a moment, in either order; the later word counts.
func (b *Cache) setBlock(id string, r BlockRecord, version uint64) {
	b.FleetSeen++
	old := b.Blocks[id]
	b.Blocks[id] = &Block{r, version}
	for i := range r.Machines {
		e := &r.Machines[i]
		m := b.machine(e.Name)
		m.Block, m.Addr, m.Type, m.Zone, m.Spot, m.Shard, m.Token = id, e.Addr, r.Type, r.Zone, r.Spot, r.Shard, r.Token
		m.Phase, m.Drain, m.Yield, m.AtMS, m.GoneMS = e.Phase, e.Drain, e.Yield, r.AtMS, e.GoneMS
		if m.Phase == "" {
			m.Phase = PhaseActive
		}
		m.TypeIdx, m.ZoneIdx = b.TypeID(r.Type), b.ZoneNames.ID(r.Zone)
	}
	if old == nil {
		return
	}
	for i := range old.Machines {
		name := old.Machines[i].Name
		if slices.ContainsFunc(r.Machines, func(e BlockMachine) bool { return e.Name == name }) {
			continue
		}
		if _, m := b.Machines.Find(name); m != nil && m.Block == id {
			m.Block, m.Phase = "", PhaseGone
			b.dropMachine(m)
		}
	}
}

// Fits reports whether a machine of a type is large enough for a task of j.
func (b *Cache) Fits(j *Job, typ int) bool {
	t := &b.Types[typ]
	return t.CPUs > 0 && j.CPUs <= t.CPUs+eps && j.GPUs <= t.GPUs+eps && j.MemoryGB <= t.MemoryGB+eps &&
		(len(j.TypeIdx) == 0 || slices.Contains(j.TypeIdx, typ))
}

// Suits reports whether j's owner allows a machine for its tasks, and it is
// large enough for one.
func (b *Cache) Suits(j *Job, m *Machine) bool {
	return (!m.Spot || j.Spot) && (j.ZoneIdx < 0 || j.ZoneIdx == m.ZoneIdx) && b.Fits(j, m.TypeIdx)
}

// eps absorbs rounding in sums of decimal amounts.
const eps = 1e-6
