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
	// machinesPerDrain is the number of machines in the fleet per additional machine that may
	// drain at the same time.
	machinesPerDrain = 32
	// drainStuckAfter is the time after which replicas still on a draining machine show that
	// they cannot be placed elsewhere.
	drainStuckAfter = 30 * time.Second
	// maxConsolidationCandidates is the maximum number of machines with services that are
	// examined per cycle.
	maxConsolidationCandidates = 32
)

// ScaleIn selects machines to drain. It tracks how long each machine has been idle, how long
// its services have fitted elsewhere, and how long it has been draining with replicas on it.
// Create it with NewScaleIn.
type ScaleIn struct {
	ScaleInConfig
	idle               loop.Windows
	consolidatable     loop.Windows
	drainsWithReplicas loop.Windows // draining machines that still run replicas
}

// ScaleInConfig holds the settings of scale-in.
type ScaleInConfig struct {
	// Window is how long a machine with the cheapest CPUs must be idle before it drains, and
	// how long the services of a machine must have fitted elsewhere.
	Window time.Duration
	// IdleBelow is the booked share of a machine's CPUs below which the machine is idle.
	IdleBelow float64
	// MinMachines is the minimum size of the fleet; scale-in does not go below it.
	MinMachines int
}

// NewScaleIn returns a ScaleIn that has not observed any machine yet.
func NewScaleIn(c ScaleInConfig) *ScaleIn {
	return &ScaleIn{ScaleInConfig: c, idle: loop.Windows{}, consolidatable: loop.Windows{}, drainsWithReplicas: loop.Windows{}}
}

// ScaleInInput holds the input of one scale-in decision, apart from the state in ScaleIn.
type ScaleInInput struct {
	Now      time.Duration
	View     *storage.View
	Supplies []*Supply // recorded machines, not reduced by the planner, sorted by name
	Spares   []Demand
	// Planner holds the supplies that remain after the demand has been served.
	Planner *Planner
	// Blocked holds the job shards that have unmet demand.
	Blocked map[int]bool
	// Claimed reports whether a machine drains to serve another job shard.
	Claimed func(*storage.Machine) bool
	// Changing reports whether a change of a machine's record is in progress.
	Changing func(*storage.Machine) bool
	// AssignShardFor returns another job shard with unmet demand that a machine could serve, or
	// -1, and subtracts from that demand the tasks that fit on the machine.
	AssignShardFor func(*storage.Machine) int
}

// isBlocked reports whether a machine's shard has unmet demand.
func (in *ScaleInInput) isBlocked(supply *Supply) bool { return in.Blocked[supply.Shard] }

// ScaleInDecision lists the machines whose phase is to change.
type ScaleInDecision struct {
	Reactivate  []*storage.Machine // draining machines that are needed again
	Idle        []*storage.Machine // machines to drain because they are idle
	Consolidate *storage.Machine   // machine to drain because its services fit elsewhere; nil for none
}

// Decide selects the machines to drain and to reactivate. Scale-in is slow on purpose: a
// machine must be idle for its whole window, and only one machine plus one for every
// machinesPerDrain machines of the fleet may drain at the same time. Unmet demand in a job
// shard ends the drains of the shard. An empty idle machine drains without waiting for its
// window if another job shard has unmet demand that the machine could serve; it moves to
// that shard once drained.
func (s *ScaleIn) Decide(input *ScaleInInput) ScaleInDecision {
	var decision ScaleInDecision
	var draining int
	decision.Reactivate, draining = s.endDrains(input)
	var idle []*Supply
	for _, supply := range input.Supplies {
		if s.idleLongEnough(input, supply) {
			idle = append(idle, supply)
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
		if input.Changing(supply.Machine) || !capacity.tryRemove(supply) {
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

// endDrains lists the draining machines that are needed again, and counts the machines that
// continue to drain, except claimed ones.
func (s *ScaleIn) endDrains(input *ScaleInInput) (reactivate []*storage.Machine, draining int) {
	for _, supply := range input.Supplies {
		if supply.Machine.Phase != storage.PhaseDraining {
			continue
		}
		stuck := s.drainsWithReplicas.Observe(supply.Machine.Name, supply.HostsService, input.Now, drainStuckAfter)
		if input.Claimed(supply.Machine) {
			continue
		}
		if (input.isBlocked(supply) || stuck) && !supply.MustDrain && !input.Changing(supply.Machine) {
			delete(s.drainsWithReplicas, supply.Machine.Name)
			reactivate = append(reactivate, supply.Machine)
			continue
		}
		draining++
	}
	return reactivate, draining
}

// idleLongEnough reports whether a machine has been idle for its whole window. It uses the
// booked share of the machine rather than of the fleet, because services keep the fleet's
// share high while other machines are empty. An empty idle machine qualifies at once if
// another job shard has unmet demand that the machine could serve.
func (s *ScaleIn) idleLongEnough(in *ScaleInInput, supply *Supply) bool {
	idle := !in.isBlocked(supply) && supply.Ready && supply.Schedulable && !supply.HostsService && supply.BookedShare(in.View.MachineTypes) < s.IdleBelow
	if s.idle.Observe(supply.Machine.Name, idle, in.Now, s.idleWindow(supply, in.View.MachineTypes)) {
		return true
	}
	return idle && len(supply.Machine.Intents) == 0 && in.AssignShardFor(supply.Machine) >= 0
}

// idleWindow returns how long a machine must be idle before it drains: the configured window
// for the cheapest CPUs in the catalogue, and proportionally less for more expensive CPUs,
// so that an idle CPU costs the same on every machine before it drains.
func (s *ScaleIn) idleWindow(supply *Supply, types []protocol.MachineType) time.Duration {
	cheapest := math.Inf(1) // price of a CPU per hour
	for i := range types {
		if t := &types[i]; t.CPUs > 0 {
			cheapest = min(cheapest, t.HourlyPrice/t.CPUs, t.HourlySpotPrice/t.CPUs)
		}
	}
	t := &types[supply.MachineType]
	hourly := hourlyPrice(t, supply.Spot)
	if hourly <= 0 || t.CPUs <= 0 {
		return s.Window
	}
	return time.Duration(float64(s.Window) * min(1, cheapest*t.CPUs/hourly))
}

// sortForScaleIn sorts idle machines into the order in which they drain: by ascending booked
// share, then by descending price of a CPU, then by machine group, because changes to the
// machines of one group share a write.
func sortForScaleIn(idle []*Supply, catalogue Catalogue) {
	slices.SortFunc(idle, func(a, b *Supply) int {
		return cmp.Or(
			cmp.Compare(a.BookedShare(catalogue.MachineTypes), b.BookedShare(catalogue.MachineTypes)),
			cmp.Compare(catalogue.hourlyPricePerCPU(b.Pool), catalogue.hourlyPricePerCPU(a.Pool)),
			cmp.Compare(a.Machine.Group, b.Machine.Group),
			cmp.Compare(a.Machine.Name, b.Machine.Name),
		)
	})
}
