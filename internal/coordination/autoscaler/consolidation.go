package autoscaler

import (
	"cmp"
	"slices"

	"rockrun/internal/storage"
)

// consolidate returns the machine to drain whose services have fitted on other machines for
// the whole window. Of several machines it is the one that saves the most per replica that
// has to move; nil if there is none.
func (s *ScaleIn) consolidate(input *ScaleInInput) *storage.Machine {
	candidates := consolidationCandidates(input)
	var best *storage.Machine
	bestSaving := 0.0
	for _, supply := range candidates {
		fits := input.Planner.canConsolidate(supply.Machine, input.View, input.Spares)
		if !s.consolidatable.Observe(supply.Machine.Name, fits, input.Now, s.Window) {
			continue
		}
		saving := input.View.MachineTypes[supply.MachineType].HourlyPrice / float64(len(supply.Machine.Intents))
		if best == nil || saving > bestSaving {
			best, bestSaving = supply.Machine, saving
		}
	}
	for name := range s.consolidatable {
		if !slices.ContainsFunc(candidates, func(supply *Supply) bool { return supply.Machine.Name == name }) {
			delete(s.consolidatable, name)
		}
	}
	if best != nil {
		clear(s.consolidatable)
	}
	return best
}

// consolidationCandidates lists machines whose tasks are all movable services. Examining one
// machine means a pass over all machines, so only the machines with the fewest replicas are
// returned, at most maxConsolidationCandidates.
func consolidationCandidates(in *ScaleInInput) []*Supply {
	var candidates []*Supply
	for _, supply := range in.Supplies {
		if !in.isBlocked(supply) && supply.Ready && supply.Schedulable && supply.HostsService && onlyMovableTasks(supply.Machine, in.View) {
			candidates = append(candidates, supply)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *Supply) int {
		return cmp.Compare(len(a.Machine.Intents), len(b.Machine.Intents))
	})
	return candidates[:min(len(candidates), maxConsolidationCandidates)]
}

// onlyMovableTasks reports whether all tasks on a machine may be moved, regardless of free
// resources elsewhere.
func onlyMovableTasks(m *storage.Machine, view *storage.View) bool {
	for ref := range m.Intents {
		j := view.Jobs.Get(ref.Job)
		if !j.Ended() && (!j.IsService() || j.OneZone || isSpread(j)) {
			return false
		}
	}
	return true
}

// canConsolidate reports whether all tasks on a machine whose jobs have not ended fit on
// other machines of its shard while the spare capacity for services is preserved.
func (p *Planner) canConsolidate(machine *storage.Machine, view *storage.View, spares []Demand) bool {
	after := &Planner{Catalogue: p.Catalogue, Supplies: p.otherSupplies(machine)}
	for _, ref := range storage.SortedTasks(machine.Intents) {
		j := view.Jobs.Get(ref.Job)
		if j.Ended() {
			continue
		}
		d := Demand{Job: j, Shard: machine.Shard, Count: 1}
		for _, supply := range after.Supplies {
			after.Fill(supply, &d)
		}
		if d.Count > 0 {
			return false
		}
	}
	return !slices.ContainsFunc(spares, func(d Demand) bool {
		return d.Shard == machine.Shard && after.replicasThatFit(&d) < d.Count
	})
}

// otherSupplies returns copies of the supplies of the other machines in the shard of a
// machine that are ready and schedulable.
func (p *Planner) otherSupplies(m *storage.Machine) []*Supply {
	var others []*Supply
	for _, supply := range p.Supplies {
		if supply.Schedulable && supply.Machine != nil && supply.Machine != m && supply.Ready && supply.Shard == m.Shard {
			other := *supply
			others = append(others, &other)
		}
	}
	return others
}
