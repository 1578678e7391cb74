package provisioning

import (
	"cmp"
	"maps"
	"slices"

	"rockrun/internal/coordination/autoscaler"
	"rockrun/internal/storage"
)

// claims tracks machines of one job shard that drain for services of a higher rank in another
// job shard, for which no pool has machines. Within a job shard, services of a higher rank
// preempt other tasks. Across job shards the claimed machine drains: its tasks may finish, and
// no new task starts on it.
type claims struct {
	*Config
	writer    *groupWriter
	byMachine map[string]int // claiming job shard by machine name
}

func newClaims(c *Config, w *groupWriter) *claims {
	return &claims{Config: c, writer: w, byMachine: map[string]int{}}
}

// claimed reports whether a machine drains for another job shard.
func (c *claims) claimed(m *storage.Machine) bool {
	_, ok := c.byMachine[m.Name]
	return ok
}

// update claims machines for the unmet demand of services that scaling out cannot meet. Of the
// suitable machines without services, the least booked are claimed first.
func (c *claims) update(supplies []*autoscaler.Supply, unmet autoscaler.Unmet, unavailable func(autoscaler.Pool) bool) {
	round := c.newRound(supplies)
	for i := range unmet {
		if d := &unmet[i]; d.Job.IsService() && !round.planner.ScaleOutPossible(d, unavailable) {
			round.claimFor(d.Clone())
		}
	}
	round.writeDrains()
}

// claimRound is one pass over the demand for which machines of other job shards are claimed.
type claimRound struct {
	*claims
	planner  *autoscaler.Planner
	supplies []*autoscaler.Supply
	sorted   bool                      // whether supplies are sorted by booked share
	offers   []*autoscaler.Supply      // claimed machines; demands use up their capacity in order
	toDrain  []*storage.Machine        // machines whose drains must be written
	urgent   map[*storage.Machine]bool // machines that pending replicas need now; the others are for expected replicas
}

// newRound starts a round with the machines that are already claimed. It removes the claims
// of machines that have moved, are being deleted or no longer exist.
func (c *claims) newRound(supplies []*autoscaler.Supply) *claimRound {
	round := &claimRound{
		claims: c, planner: &autoscaler.Planner{Catalogue: autoscaler.CatalogueOf(c.view())},
		supplies: supplies, urgent: map[*storage.Machine]bool{},
	}
	for _, name := range slices.Sorted(maps.Keys(c.byMachine)) {
		shard := c.byMachine[name]
		_, m := c.view().Machines.Find(name)
		if m == nil || m.Phase == storage.PhaseDecommissioning || !m.Exists() || m.Shard == shard {
			delete(c.byMachine, name)
			continue
		}
		round.addOffer(m, shard)
		if m.Phase == storage.PhaseActive && !c.writer.pending(m) {
			round.toDrain = append(round.toDrain, m) // its drain is not written yet
		}
	}
	return round
}

// addOffer adds the full capacity of a claimed machine as supply of the claiming job shard.
func (r *claimRound) addOffer(m *storage.Machine, shard int) *autoscaler.Supply {
	pool := autoscaler.Pool{MachineType: m.TypeIndex, Zone: m.ZoneIndex, Spot: m.Spot}
	supply := autoscaler.NewSupply(&r.view().MachineTypes[m.TypeIndex], pool, shard)
	supply.Machine = m
	r.offers = append(r.offers, supply)
	return supply
}

// fill assigns a demand to a claimed machine. A machine that pending replicas need becomes
// urgent; on a machine that is reserved for expected replicas, running tasks may finish.
func (r *claimRound) fill(supply *autoscaler.Supply, demand *autoscaler.Demand) {
	before := demand.Count
	r.planner.Fill(supply, demand)
	if demand.Count < before && (!demand.Spare || demand.InPartitionedZone > 0) {
		r.urgent[supply.Machine] = true
	}
}

// claimFor claims machines for the part of a demand that claimed machines don't cover yet.
func (r *claimRound) claimFor(demand autoscaler.Demand) {
	for _, supply := range r.offers {
		r.fill(supply, &demand)
	}
	if demand.Count > 0 {
		r.sortSupplies()
	}
	for _, supply := range r.supplies {
		if demand.Count <= 0 {
			return
		}
		if !r.claimable(supply, &demand) {
			continue
		}
		r.byMachine[supply.Machine.Name] = demand.Shard
		r.Log.Info("machine claimed", "machine", supply.Machine.Name, "from", supply.Shard, "to", demand.Shard, "term", r.Leadership.Term())
		r.toDrain = append(r.toDrain, supply.Machine)
		r.fill(r.addOffer(supply.Machine, demand.Shard), &demand)
	}
}

// sortSupplies sorts the supplies by booked share, the least booked first.
func (r *claimRound) sortSupplies() {
	if r.sorted {
		return
	}
	types := r.view().MachineTypes
	r.supplies = slices.SortedStableFunc(slices.Values(r.supplies), func(a, b *autoscaler.Supply) int {
		return cmp.Compare(a.BookedShare(types), b.BookedShare(types))
	})
	r.sorted = true
}

// claimable reports whether a machine may be claimed for a demand of another job shard.
func (r *claimRound) claimable(supply *autoscaler.Supply, demand *autoscaler.Demand) bool {
	if r.claimed(supply.Machine) || supply.Shard == demand.Shard || supply.HostsService || !supply.Ready || !supply.Schedulable || demand.AllowedIn(supply.Zone) < 1 {
		return false
	}
	return r.view().Eligible(demand.Job, supply.Machine) && !r.writer.pending(supply.Machine) && !hostsEqualOrHigherRank(supply.Machine, demand.Job, r.view())
}

// writeDrains starts the drains of newly claimed machines, and evicts the tasks of draining
// machines that pending replicas need by now.
func (r *claimRound) writeDrains() {
	for _, supply := range r.offers {
		m := supply.Machine
		switch {
		case slices.Contains(r.toDrain, m):
			r.writer.add(machineChange{
				machine: m, phase: storage.PhaseDraining, reason: "claimed by work of a higher rank", evict: r.urgent[m],
			})
		case r.urgent[m] && m.Phase == storage.PhaseDraining && !m.Evict && !r.writer.pending(m):
			r.writer.add(machineChange{
				machine: m, phase: storage.PhaseDraining, reason: "replicas wait for it", drainStamp: m.DrainStamp, evict: true,
			})
		}
	}
}
