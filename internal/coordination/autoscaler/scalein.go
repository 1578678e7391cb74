package autoscaler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rockrun/internal/coordination/loop"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

const (
	// machinesPerDrain is for how many machines of the fleet one may drain at a time.
	machinesPerDrain = 32
	// drainStuckAfter is how long replicas may stay on a draining machine: then they find
	// no place elsewhere after all.
	drainStuckAfter = 30 * time.Second
	// maxConsolidationCandidates is how many machines with services are examined in a cycle.
	maxConsolidationCandidates = 32
)

// ScaleIn chooses machines to drain. It remembers since when each has been idle, or its
// services have fitted elsewhere. Make it with NewScaleIn.
type ScaleIn struct {
	ScaleInConfig
	idle           loop.Windows
	consolidatable loop.Windows
	draining       loop.Windows // with replicas still on them
}

// ScaleInConfig is when machines drain.
type ScaleInConfig struct {
	// Window is how long the cheapest kind of machine is idle before it drains.
	Window time.Duration
	// Below is the booked share of its CPUs below which a machine is idle.
	Below float64
	// MinMachines never drain.
	MinMachines int
}

// NewScaleIn makes a ScaleIn that has seen no machine idle.
func NewScaleIn(c ScaleInConfig) *ScaleIn {
	return &ScaleIn{ScaleInConfig: c, idle: loop.Windows{}, consolidatable: loop.Windows{}, draining: loop.Windows{}}
}

// ScaleInInput is all that one decision on scale-in depends on, beside what is remembered.
type ScaleInInput struct {
	Now      time.Duration
	View     *storage.View
	Supplies []*Supply // recorded machines as they are, by name
	Spares   []Demand
	// Planner holds what the machines offer once the demand was served.
	Planner *Planner
	// Blocked are the job shards whose work waits for machines.
	Blocked map[int]bool
	// Claimed reports whether a machine drains for the work of another job shard.
	Claimed func(*storage.Machine) bool
	// Changing reports whether a machine's record is being changed already.
	Changing func(*storage.Machine) bool
	// TakeShardFor is the job shard whose work waits for the like of a machine, or -1; what
	// the machine would serve is taken off that work.
	TakeShardFor func(*storage.Machine) int
}

// isBlocked reports whether work of a machine's shard waits for machines.
func (in *ScaleInInput) isBlocked(x *Supply) bool { return in.Blocked[x.Shard] }

// ScaleInDecision is what is to become of machines.
type ScaleInDecision struct {
	Reactivate  []*storage.Machine // draining ones that are needed after all
	Idle        []*storage.Machine // to be drained, since they are idle
	Consolidate *storage.Machine   // to be drained, since its services fit elsewhere; nil for none
}

// Decide gives back slowly: after a machine has been idle enough for the whole window, one
// machine at a time for every thirty-two of the fleet, and work that is blocked in a job
// shard ends its drains. Idle machines of one job shard drain at once when another waits
// for their like; they go there once empty.
func (s *ScaleIn) Decide(input *ScaleInInput) ScaleInDecision {
	var decision ScaleInDecision
	var draining int
	decision.Reactivate, draining = s.endDrains(input)
	var idle []*Supply
	for _, x := range input.Supplies {
		if s.idleLongEnough(input, x) {
			idle = append(idle, x)
		}
	}
	sortForScaleIn(idle, input.Planner.Catalogue)
	maxDraining := 1 + len(input.Supplies)/machinesPerDrain
	capacity := newSpareCapacity(input.Planner, input.Spares)
	machines := len(input.Supplies)
	for _, supply := range idle {
		if draining >= maxDraining || machines <= s.MinMachines {
			break
		}
		if input.Changing(supply.Machine) || !capacity.take(supply) {
			continue
		}
		draining++
		machines--
		decision.Idle = append(decision.Idle, supply.Machine)
	}
	if draining == 0 && machines > s.MinMachines {
		decision.Consolidate = s.consolidate(input)
	}
	return decision
}

// endDrains lists draining machines that are needed after all, and counts those that go on
// draining.
func (s *ScaleIn) endDrains(input *ScaleInInput) (reactivate []*storage.Machine, draining int) {
	for _, supply := range input.Supplies {
		if supply.Machine.Phase != storage.PhaseDraining {
			continue
		}
		stuck := s.draining.Observe(supply.Machine.Name, supply.HostsService, input.Now, drainStuckAfter)
		if input.Claimed(supply.Machine) {
			continue
		}
		if (input.isBlocked(supply) || stuck) && !supply.MustLeave && !input.Changing(supply.Machine) {
			delete(s.draining, supply.Machine.Name)
			reactivate = append(reactivate, supply.Machine)
			continue
		}
		draining++
	}
	return reactivate, draining
}

// idleLongEnough reports whether a machine has been idle for its whole window, by its own
// booked share: services keep the fleet's share up while whole machines beside them stand
// empty. An empty one that another job shard waits for need not have been.
func (s *ScaleIn) idleLongEnough(in *ScaleInInput, x *Supply) bool {
	idle := !in.isBlocked(x) && x.Ready && x.Schedulable && !x.HostsService && x.BookedShare(in.View.MachineTypes) < s.Below
	if s.idle.Observe(x.Machine.Name, idle, in.Now, s.idleWindow(x, in.View.MachineTypes)) {
		return true
	}
	return idle && len(x.Machine.Intents) == 0 && in.TakeShardFor(x.Machine) >= 0
}

// idleWindow is how long a machine must be idle before it drains: the window for the
// cheapest CPUs there are, less for dearer ones, so that waiting for work costs the same
// whatever waits.
func (s *ScaleIn) idleWindow(x *Supply, types []protocol.MachineType) time.Duration {
	cheapest := math.Inf(1) // a CPU and hour
	for i := range types {
		if t := &types[i]; t.CPUs > 0 {
			cheapest = min(cheapest, t.HourlyPrice/t.CPUs, t.HourlySpotPrice/t.CPUs)
		}
	}
	t := &types[x.MachineType]
	hourly := hourlyPrice(t, x.Spot)
	if hourly <= 0 || t.CPUs <= 0 {
		return s.Window
	}
	return time.Duration(float64(s.Window) * min(1, cheapest*t.CPUs/hourly))
}

// sortForScaleIn puts idle machines into the order in which they drain: the least booked
// first, of equal ones the dearest, and those of a machine group together, whose changes
// then share their writes.
func sortForScaleIn(idle []*Supply, catalogue Catalogue) {
	slices.SortFunc(idle, func(a, b *Supply) int {
		return cmp.Or(
			cmp.Compare(a.BookedShare(catalogue.MachineTypes), b.BookedShare(catalogue.MachineTypes)),
			cmp.Compare(catalogue.priceOfCPU(b.Pool), catalogue.priceOfCPU(a.Pool)),
			cmp.Compare(a.Machine.Group, b.Machine.Group),
			cmp.Compare(a.Machine.Name, b.Machine.Name),
		)
	})
}
