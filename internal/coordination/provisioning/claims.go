package provisioning

import (
	"cmp"
	"maps"
	"slices"

	"rockrun/internal/coordination/autoscaler"
	"rockrun/internal/storage"
)

// claims are machines of one job shard that drain for the work of another, for which no
// machine is to be had: services of a higher rank. Within a job shard such work preempts
// other work; among job shards the other work is let end, and nothing new begins there.
type claims struct {
	*Config
	writer    *groupWriter
	byMachine map[string]int // the job shard for which a machine drains
}

func newClaims(c *Config, w *groupWriter) *claims {
	return &claims{Config: c, writer: w, byMachine: map[string]int{}}
}

// claimed reports whether a machine drains for another job shard.
func (c *claims) claimed(m *storage.Machine) bool {
	_, ok := c.byMachine[m.Name]
	return ok
}

// update claims machines for the unmet demand of services, of those it suits without
// services the least booked first.
func (c *claims) update(supplies []*autoscaler.Supply, unmet autoscaler.Unmet, unavailable func(autoscaler.Pool) bool) {
	round := c.newRound(supplies)
	for i := range unmet {
		if d := &unmet[i]; d.Job.IsService() && !round.planner.ScaleOutPossible(d, unavailable) {
			round.serve(d.Clone())
		}
	}
	round.write()
}

// claimRound is one look at the work for which machines of other job shards are claimed.
type claimRound struct {
	*claims
	planner  *autoscaler.Planner
	supplies []*autoscaler.Supply
	sorted   bool                      // the supplies, by what is booked
	offered  []*autoscaler.Supply      // what claimed machines will offer, filled as the demands are gone through
	toDrain  []*storage.Machine        // drains to be written
	urgent   map[*storage.Machine]bool // replicas wait for these now; others are for those to come
}

// newRound begins with the machines that are claimed already.
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
		round.offer(m, shard)
		if m.Phase == storage.PhaseActive && !c.writer.pending(m) {
			round.toDrain = append(round.toDrain, m) // not written yet
		}
	}
	return round
}

// offer takes in what a claimed machine will offer to a job shard.
func (r *claimRound) offer(m *storage.Machine, shard int) *autoscaler.Supply {
	pool := autoscaler.Pool{MachineType: m.TypeIndex, Zone: m.ZoneIndex, Spot: m.Spot}
	x := autoscaler.NewSupply(&r.view().MachineTypes[m.TypeIndex], pool, shard)
	x.Machine = m
	r.offered = append(r.offered, x)
	return x
}

// fill gives room to a demand. What replicas wait for is taken now, what is kept for those
// to come may end.
func (r *claimRound) fill(x *autoscaler.Supply, d *autoscaler.Demand) {
	before := d.Count
	r.planner.Fill(x, d)
	if d.Count < before && (!d.Spare || d.InPartitionedZone > 0) {
		r.urgent[x.Machine] = true
	}
}

// serve claims machines for a demand, beyond those that are claimed already.
func (r *claimRound) serve(demand autoscaler.Demand) {
	for _, x := range r.offered {
		r.fill(x, &demand)
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
		r.fill(r.offer(supply.Machine, demand.Shard), &demand)
	}
}

// sortSupplies puts the least booked machines first.
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
func (r *claimRound) claimable(x *autoscaler.Supply, d *autoscaler.Demand) bool {
	if r.claimed(x.Machine) || x.Shard == d.Shard || x.HostsService || !x.Ready || !x.Schedulable || d.AllowedIn(x.Zone) < 1 {
		return false
	}
	return r.view().Eligible(d.Job, x.Machine) && !r.writer.pending(x.Machine) && !hostsEqualOrHigherRank(x.Machine, d.Job, r.view())
}

// write drains what was claimed, and hurries what replicas have begun to wait for.
func (r *claimRound) write() {
	for _, x := range r.offered {
		m := x.Machine
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
