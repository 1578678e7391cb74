package coordination

import (
	"cmp"
	"slices"
	"time"

	"rockrun/internal/bookkeeping"
	"rockrun/internal/protocol"
)

// supplies lists the machines as the sizer counts them.
func (l *leadership) supplies() []*supply {
	n := l.n
	var out []*supply
	n.cache.Machines.All(func(_ int, m *bookkeeping.Machine) {
		if !m.There() || m.Phase == bookkeeping.PhaseReturning {
			return
		}
		t := &n.cache.Types[m.TypeIdx]
		x := &supply{
			m: m, typ: m.TypeIdx, zone: m.ZoneIdx, spot: m.Spot, shard: m.Shard,
			free: room{t.CPUs, t.GPUs, t.MemoryGB}, firm: room{t.CPUs, t.GPUs, t.MemoryGB}, taking: m.Phase == bookkeeping.PhaseActive,
		}
		for ref := range m.Intents {
			j := n.cache.Jobs.Get(ref.Job)
			if j.Over() || j.Done.Has(ref.Task) {
				continue // about to leave
			}
			x.free.take(j)
			if j.Standing() {
				x.firm.take(j)
			}
			x.service = x.service || j.Standing()
			x.reserve(t, j, 0.5)
		}
		note, known := l.note(m)
		x.ready = known && note.Seen
		if !x.ready {
			x.bootLeft = max(0, t.BootS-l.age(m).Seconds())
		}
		patience := 3 * n.Settings.Cluster.Workers.Report()
		if l.fleet.cutOff[m.ZoneIdx] {
			patience = l.quietLimit()
		}
		if known && (note.Faulty || note.Leaves || note.Unresponsive || (note.Seen || note.Tasks > 0) && note.Silent > patience) {
			x.taking = false
			x.doubtful = true
		}
		// What no holder has spoken of may well be up: a leader that can't hear the
		// holder must not rent the whole fleet anew.
		if known && !x.ready && l.overdue(m) {
			x.taking = false
		}
		out = append(out, x)
	})
	slices.SortFunc(out, func(a, b *supply) int { return cmp.Compare(a.m.Name, b.m.Name) })
	return out
}

// note is what the holder of a machine last said of it.
func (l *leadership) note(m *bookkeeping.Machine) (protocol.MachineNote, bool) {
	g := &l.n.cache.Grants[m.Shard]
	p := l.peers[g.Node]
	if p == nil || p.incarnation != g.Incarnation {
		return protocol.MachineNote{}, false
	}
	i, ok := p.notes[m.Name]
	return i, ok
}

// age is the time since a machine was rented.
func (l *leadership) age(m *bookkeeping.Machine) time.Duration {
	return time.Duration(l.n.Clock.Wall().UnixMilli()-m.AtMS) * time.Millisecond
}

// overdue reports whether a machine should have come up long ago.
func (l *leadership) overdue(m *bookkeeping.Machine) bool {
	boot := l.n.cache.Types[m.TypeIdx].BootS
	return l.age(m).Seconds() > boot*l.n.Options.BootPatience+5
}
