package coordination

import (
	"cmp"
	"maps"
	"slices"

	"rockrun/internal/storage"
)

// claim drains machines of one home for work of a higher rank that waits in
// another and for which no machine is to be had: those it suits, without
// services, the least booked first. Within a home such work stops other work;
// among homes the other work is let end, and nothing new begins there.
func (f *provisioner) claimMachines(list []*machineSupply) {
	c := f.newClaimRound(list)
	for _, d := range f.unmetDemand {
		if d.job.IsService() && !f.scaleOutPossible(d) {
			c.serve(d)
		}
	}
	c.write()
}

// claimRound is one look at the work for which machines of other homes are claimed.
type claimRound struct {
	provisioner *provisioner
	sizing      *scalingInput
	supplies    []*machineSupply
	sorted      bool                      // the list, by what is booked
	claimed     []*machineSupply          // what claimed machines will offer, filled as the demands are gone through
	toDrain     []*storage.Machine        // drains to be written
	urgent      map[*storage.Machine]bool // replicas wait for these now; others are for those to come
}

// newClaimRound begins with the machines that are claimed already.
func (f *provisioner) newClaimRound(list []*machineSupply) *claimRound {
	n := f.leadership.controller
	c := &claimRound{provisioner: f, sizing: &scalingInput{types: n.view.MachineTypes, fits: n.view.FitsMachineType}, supplies: list, urgent: map[*storage.Machine]bool{}}
	for _, name := range slices.Sorted(maps.Keys(f.claims)) {
		_, m := n.view.Machines.Find(name)
		if m == nil || m.Phase == storage.PhaseDecommissioning || !m.Exists() || m.Shard == f.claims[name] {
			delete(f.claims, name)
			continue
		}
		c.addClaimed(m, f.claims[name])
		if m.Phase == storage.PhaseActive && !f.changePending(m) {
			c.toDrain = append(c.toDrain, m) // not written yet
		}
	}
	return c
}

// addRoom takes in what a claimed machine will offer to a home.
func (c *claimRound) addClaimed(m *storage.Machine, shard int) *machineSupply {
	x := newMachineSupply(&c.provisioner.leadership.controller.view.MachineTypes[m.TypeIndex], machinePool{m.TypeIndex, m.ZoneIndex, m.Spot}, shard)
	x.machine = m
	c.claimed = append(c.claimed, x)
	return x
}

// fill gives room to a demand. What replicas wait for is taken now, what is kept for
// those to come may end.
func (c *claimRound) fill(x *machineSupply, d *demand) {
	before := d.count
	c.sizing.fill(x, d)
	if d.count < before && (!d.spare || d.inPartitionedZone > 0) {
		c.urgent[x.machine] = true
	}
}

// serve claims machines for a demand, beyond those that are claimed already.
func (c *claimRound) serve(d demand) {
	f := c.provisioner
	d.zoneCapacity = slices.Clone(d.zoneCapacity)
	for _, x := range c.claimed {
		c.fill(x, &d)
	}
	if d.count > 0 && !c.sorted {
		types := f.leadership.controller.view.MachineTypes
		c.supplies = slices.SortedStableFunc(slices.Values(c.supplies), func(a, b *machineSupply) int {
			return cmp.Compare(a.booked(types), b.booked(types))
		})
		c.sorted = true
	}
	for _, x := range c.supplies {
		if d.count <= 0 {
			return
		}
		if !c.claimable(x, &d) {
			continue
		}
		f.claims[x.machine.Name] = d.shard
		f.leadership.controller.Log.Info("machine claimed", "name", x.machine.Name, "from", x.shard, "for", d.shard, "term", f.leadership.Term())
		c.toDrain = append(c.toDrain, x.machine)
		c.fill(c.addClaimed(x.machine, d.shard), &d)
	}
}

// claimable reports whether a machine may be claimed for a demand of another home.
func (c *claimRound) claimable(x *machineSupply, d *demand) bool {
	f := c.provisioner
	if _, claimed := f.claims[x.machine.Name]; claimed || x.shard == d.shard || x.hostsService || !x.ready || !x.schedulable || d.allowedIn(x.zone) < 1 {
		return false
	}
	return f.leadership.controller.view.Eligible(d.job, x.machine) && !f.changePending(x.machine) && !f.leadership.hostsEqualOrHigherRank(x.machine, d.job)
}

// write drains what was claimed, and hurries what replicas have begun to wait for.
func (c *claimRound) write() {
	for _, x := range c.claimed {
		if slices.Contains(c.toDrain, x.machine) {
			c.provisioner.addChange(machineChange{machine: x.machine, phase: storage.PhaseDraining, reason: "claimed by work of a higher rank", evict: c.urgent[x.machine]})
		} else if c.urgent[x.machine] && x.machine.Phase == storage.PhaseDraining && !x.machine.Evict && !c.provisioner.changePending(x.machine) {
			c.provisioner.addChange(machineChange{machine: x.machine, phase: storage.PhaseDraining, reason: "replicas wait for it", drainStamp: x.machine.DrainStamp, evict: true})
		}
	}
}

// asking reports whether machines that suit a demand can still be rented.
func (f *provisioner) scaleOutPossible(d demand) bool {
	s := &scalingInput{types: f.leadership.controller.view.MachineTypes, zoneIndex: f.leadership.controller.view.ZoneNames.ID, fits: f.leadership.controller.view.FitsMachineType,
		unavailable: f.poolUnavailable(f.leadership.controller.now())}
	_, _, ok := s.cheapestPool(d, nil)
	return ok
}

// outranks reports whether anything on a machine is of the job's rank or above.
func (l *leadership) hostsEqualOrHigherRank(m *storage.Machine, j *storage.Job) bool {
	for ref := range m.Intents {
		if o := l.controller.view.Jobs.Get(ref.Job); !o.Ended() && o.Rank() <= j.Rank() {
			return true
		}
	}
	return false
}
