package coordination

import (
	"cmp"
	"slices"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// spareRoom is the room that homes have beyond what is kept for services.
type spareCapacity struct {
	input   *scalingInput
	spares  []demand
	surplus []int // by spare
}

func newSpareCapacity(s *scalingInput, spares []demand) *spareCapacity {
	r := &spareCapacity{input: s, spares: spares}
	for _, d := range spares {
		r.surplus = append(r.surplus, s.replicasThatFit(d)-d.count)
	}
	return r
}

// take takes a machine's room off if the spare room can do without it.
func (r *spareCapacity) take(x *machineSupply) bool {
	for i, d := range r.spares {
		if n := r.input.replicasThatFitOn(x, d); n > 0 && n > r.surplus[i] {
			return false
		}
	}
	for i, d := range r.spares {
		r.surplus[i] -= r.input.replicasThatFitOn(x, d)
	}
	return true
}

// mayMove reports whether everything on a machine could be moved, room aside.
func (l *leadership) onlyMovableTasks(m *storage.Machine) bool {
	for ref := range m.Intents {
		j := l.controller.view.Jobs.Get(ref.Job)
		if !j.Ended() && (!j.IsService() || j.OneZone || j.Spread && j.Tasks > 1) {
			return false
		}
	}
	return true
}

// movable reports whether everything on a machine that does not end by itself
// finds room on others, with the spare room that is kept still there.
func (s *scalingInput) canConsolidate(m *storage.Machine, jobs func(storage.TaskRef) *storage.Job, spares []demand) bool {
	var rest []*machineSupply
	for _, x := range s.supply {
		if x.schedulable && x.machine != nil && x.machine != m && x.ready && x.shard == m.Shard {
			c := *x
			rest = append(rest, &c)
		}
	}
	after := &scalingInput{types: s.types, fits: s.fits, supply: rest}
	for _, ref := range sortedTasks(m.Intents) {
		j := jobs(ref)
		if j.Ended() {
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
	return !slices.ContainsFunc(spares, func(d demand) bool { return d.shard == m.Shard && after.replicasThatFit(d) < d.count })
}

// sortForReturn puts idle machines into the order in which they drain: the least
// booked first, of equal ones the dearest, and those of a block together, whose
// changes then share their writes.
func sortForScaleIn(idle []*machineSupply, types []protocol.MachineType) {
	each := func(x *machineSupply) float64 {
		return hourlyPrice(&types[x.machineType], x.spot) / max(types[x.machineType].CPUs, 1e-9)
	}
	slices.SortFunc(idle, func(a, b *machineSupply) int {
		return cmp.Or(cmp.Compare(a.booked(types), b.booked(types)), cmp.Compare(each(b), each(a)),
			cmp.Compare(a.machine.Group, b.machine.Group), cmp.Compare(a.machine.Name, b.machine.Name))
	})
}

// bookedShare is the booked part of the fleet's CPUs.
func bookedShare(list []*machineSupply, types []protocol.MachineType) float64 {
	total, free := 0.0, 0.0
	for _, x := range list {
		if x.schedulable {
			total += types[x.machineType].CPUs
			free += max(x.free.CPUs, 0)
		}
	}
	if total == 0 {
		return 1
	}
	return 1 - free/total
}

// booked is the booked part of a machine's CPUs.
func (x *machineSupply) booked(types []protocol.MachineType) float64 {
	return 1 - x.free.CPUs/max(types[x.machineType].CPUs, 1e-9)
}
