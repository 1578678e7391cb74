package coordination

import (
	"cmp"
	"slices"

	"rockrun/internal/bookkeeping"
	"rockrun/internal/protocol"
)

// spareRoom is the room that homes have beyond what is kept for services.
type spareRoom struct {
	s      *sizing
	spares []demand
	over   []int // by spare
}

func newSpareRoom(s *sizing, spares []demand) *spareRoom {
	r := &spareRoom{s: s, spares: spares}
	for _, d := range spares {
		r.over = append(r.over, s.spareFor(d)-d.count)
	}
	return r
}

// take takes a machine's room off if the spare room can do without it.
func (r *spareRoom) take(x *supply) bool {
	for i, d := range r.spares {
		if n := r.s.roomOn(x, d); n > 0 && n > r.over[i] {
			return false
		}
	}
	for i, d := range r.spares {
		r.over[i] -= r.s.roomOn(x, d)
	}
	return true
}

// mayMove reports whether everything on a machine could be moved, room aside.
func (l *leadership) mayMove(m *bookkeeping.Machine) bool {
	for ref := range m.Intents {
		j := l.n.cache.Jobs.Get(ref.Job)
		if !j.Over() && (!j.Standing() || j.OneZone || j.Spread && j.Tasks > 1) {
			return false
		}
	}
	return true
}

// movable reports whether everything on a machine that does not end by itself
// finds room on others, with the spare room that is kept still there.
func (s *sizing) movable(m *bookkeeping.Machine, jobs func(bookkeeping.TaskRef) *bookkeeping.Job, spares []demand) bool {
	var rest []*supply
	for _, x := range s.supply {
		if x.taking && x.m != nil && x.m != m && x.ready && x.shard == m.Shard {
			c := *x
			rest = append(rest, &c)
		}
	}
	after := &sizing{types: s.types, fits: s.fits, supply: rest}
	for _, ref := range refs(m.Intents) {
		j := jobs(ref)
		if j.Over() {
			continue
		}
		d := demand{job: j, shard: m.Shard, count: 1}
		for _, x := range rest {
			after.fill(x, &d)
		}
		if d.count > 0 {
			return false
		}
	}
	return !slices.ContainsFunc(spares, func(d demand) bool { return d.shard == m.Shard && after.spareFor(d) < d.count })
}

// sortForReturn puts idle machines into the order in which they drain: the least
// booked first, of equal ones the dearest, and those of a block together, whose
// changes then share their writes.
func sortForReturn(idle []*supply, types []protocol.MachineType) {
	each := func(x *supply) float64 { return price(&types[x.typ], x.spot) / max(types[x.typ].CPUs, 1e-9) }
	slices.SortFunc(idle, func(a, b *supply) int {
		return cmp.Or(cmp.Compare(a.booked(types), b.booked(types)), cmp.Compare(each(b), each(a)),
			cmp.Compare(a.m.Block, b.m.Block), cmp.Compare(a.m.Name, b.m.Name))
	})
}

// bookedShare is the booked part of the fleet's CPUs.
func bookedShare(list []*supply, types []protocol.MachineType) float64 {
	total, free := 0.0, 0.0
	for _, x := range list {
		if x.taking {
			total += types[x.typ].CPUs
			free += max(x.free.cpus, 0)
		}
	}
	if total == 0 {
		return 1
	}
	return 1 - free/total
}

// booked is the booked part of a machine's CPUs.
func (x *supply) booked(types []protocol.MachineType) float64 {
	return 1 - x.free.cpus/max(types[x.typ].CPUs, 1e-9)
}
