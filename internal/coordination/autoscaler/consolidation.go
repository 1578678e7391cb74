package autoscaler

import (
	"cmp"
	"slices"

	"rockrun/internal/storage"
)

// consolidate is the machine whose services fit beside others and have done so for the
// whole window, and which saves most for each replica that has to move; nil for none.
func (s *ScaleIn) consolidate(input *ScaleInInput) *storage.Machine {
	candidates := consolidationCandidates(input)
	var best *storage.Machine
	bestSaving := 0.0
	for _, x := range candidates {
		fits := input.Planner.canConsolidate(x.Machine, input.View, input.Spares)
		if !s.consolidatable.Observe(x.Machine.Name, fits, input.Now, s.Window) {
			continue
		}
		saving := input.View.MachineTypes[x.MachineType].HourlyPrice / float64(len(x.Machine.Intents))
		if best == nil || saving > bestSaving {
			best, bestSaving = x.Machine, saving
		}
	}
	for name := range s.consolidatable {
		if !slices.ContainsFunc(candidates, func(x *Supply) bool { return x.Machine.Name == name }) {
			delete(s.consolidatable, name)
		}
	}
	if best != nil {
		clear(s.consolidatable)
	}
	return best
}

// consolidationCandidates lists the machines with services that could all be moved. Looking
// at one costs a look at all, so only the few with the fewest replicas are looked at.
func consolidationCandidates(in *ScaleInInput) []*Supply {
	var candidates []*Supply
	for _, x := range in.Supplies {
		if !in.isBlocked(x) && x.Ready && x.Schedulable && x.HostsService && onlyMovableTasks(x.Machine, in.View) {
			candidates = append(candidates, x)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *Supply) int {
		return cmp.Compare(len(a.Machine.Intents), len(b.Machine.Intents))
	})
	return candidates[:min(len(candidates), maxConsolidationCandidates)]
}

// onlyMovableTasks reports whether everything on a machine could be moved, room aside.
func onlyMovableTasks(m *storage.Machine, view *storage.View) bool {
	for ref := range m.Intents {
		j := view.Jobs.Get(ref.Job)
		if !j.Ended() && (!j.IsService() || j.OneZone || isSpread(j)) {
			return false
		}
	}
	return true
}

// canConsolidate reports whether everything on a machine that does not end by itself finds
// room on others, with the spare capacity that is kept still there.
func (p *Planner) canConsolidate(machine *storage.Machine, view *storage.View, spares []Demand) bool {
	after := &Planner{Catalogue: p.Catalogue, Supplies: p.suppliesBeside(machine)}
	for _, ref := range storage.SortedTasks(machine.Intents) {
		j := view.Jobs.Get(ref.Job)
		if j.Ended() {
			continue
		}
		d := Demand{Job: j, Shard: machine.Shard, Count: 1}
		for _, x := range after.Supplies {
			after.Fill(x, &d)
		}
		if d.Count > 0 {
			return false
		}
	}
	return !slices.ContainsFunc(spares, func(d Demand) bool {
		return d.Shard == machine.Shard && after.replicasThatFit(&d) < d.Count
	})
}

// suppliesBeside are copies of what the other machines of a machine's shard that are up
// have to offer.
func (p *Planner) suppliesBeside(m *storage.Machine) []*Supply {
	var others []*Supply
	for _, x := range p.Supplies {
		if x.Schedulable && x.Machine != nil && x.Machine != m && x.Ready && x.Shard == m.Shard {
			other := *x
			others = append(others, &other)
		}
	}
	return others
}
