package coordination

import (
	"cmp"
	"maps"
	"slices"

	"rockrun/internal/bookkeeping"
)

// claim drains machines of one home for work of a higher rank that waits in
// another and for which no machine is to be had: those it suits, without
// services, the least booked first. Within a home such work stops other work;
// among homes the other work is let end, and nothing new begins there.
func (f *fleet) claim(list []*supply) {
	c := f.newClaimRound(list)
	for _, d := range f.left {
		if d.job.Standing() && !f.asking(d) {
			c.serve(d)
		}
	}
	c.write()
}

// claimRound is one look at the work for which machines of other homes are claimed.
type claimRound struct {
	f      *fleet
	sizing *sizing
	list   []*supply
	sorted bool                          // the list, by what is booked
	rooms  []*supply                     // what claimed machines will offer, filled as the demands are gone through
	begin  []*bookkeeping.Machine        // drains to be written
	urgent map[*bookkeeping.Machine]bool // replicas wait for these now; others are for those to come
}

// newClaimRound begins with the machines that are claimed already.
func (f *fleet) newClaimRound(list []*supply) *claimRound {
	n := f.l.n
	c := &claimRound{f: f, sizing: &sizing{types: n.cache.Types, fits: n.cache.Fits}, list: list, urgent: map[*bookkeeping.Machine]bool{}}
	for _, name := range slices.Sorted(maps.Keys(f.claims)) {
		_, m := n.cache.Machines.Find(name)
		if m == nil || m.Phase == bookkeeping.PhaseReturning || !m.There() || m.Shard == f.claims[name] {
			delete(f.claims, name)
			continue
		}
		c.addRoom(m, f.claims[name])
		if m.Phase == bookkeeping.PhaseActive && !f.pending(m) {
			c.begin = append(c.begin, m) // not written yet
		}
	}
	return c
}

// addRoom takes in what a claimed machine will offer to a home.
func (c *claimRound) addRoom(m *bookkeeping.Machine, shard int) *supply {
	x := newSupply(&c.f.l.n.cache.Types[m.TypeIdx], pool{m.TypeIdx, m.ZoneIdx, m.Spot}, shard)
	x.m = m
	c.rooms = append(c.rooms, x)
	return x
}

// fill gives room to a demand. What replicas wait for is taken now, what is kept for
// those to come may end.
func (c *claimRound) fill(x *supply, d *demand) {
	before := d.count
	c.sizing.fill(x, d)
	if d.count < before && (!d.spare || d.lost > 0) {
		c.urgent[x.m] = true
	}
}

// serve claims machines for a demand, beyond those that are claimed already.
func (c *claimRound) serve(d demand) {
	f := c.f
	d.zones = slices.Clone(d.zones)
	for _, x := range c.rooms {
		c.fill(x, &d)
	}
	if d.count > 0 && !c.sorted {
		types := f.l.n.cache.Types
		c.list = slices.SortedStableFunc(slices.Values(c.list), func(a, b *supply) int {
			return cmp.Compare(a.booked(types), b.booked(types))
		})
		c.sorted = true
	}
	for _, x := range c.list {
		if d.count <= 0 {
			return
		}
		if !c.claimable(x, &d) {
			continue
		}
		f.claims[x.m.Name] = d.shard
		f.l.n.Log.Info("machine claimed", "name", x.m.Name, "from", x.shard, "for", d.shard, "term", f.l.term)
		c.begin = append(c.begin, x.m)
		c.fill(c.addRoom(x.m, d.shard), &d)
	}
}

// claimable reports whether a machine may be claimed for a demand of another home.
func (c *claimRound) claimable(x *supply, d *demand) bool {
	f := c.f
	if _, claimed := f.claims[x.m.Name]; claimed || x.shard == d.shard || x.service || !x.ready || !x.taking || d.zone(x.zone) < 1 {
		return false
	}
	return f.l.n.cache.Suits(d.job, x.m) && !f.pending(x.m) && !f.l.outranks(x.m, d.job)
}

// write drains what was claimed, and hurries what replicas have begun to wait for.
func (c *claimRound) write() {
	for _, x := range c.rooms {
		if slices.Contains(c.begin, x.m) {
			c.f.change(change{m: x.m, phase: bookkeeping.PhaseDrain, why: "claimed by work of a higher rank", yield: c.urgent[x.m]})
		} else if c.urgent[x.m] && x.m.Phase == bookkeeping.PhaseDrain && !x.m.Yield && !c.f.pending(x.m) {
			c.f.change(change{m: x.m, phase: bookkeeping.PhaseDrain, why: "replicas wait for it", stamp: x.m.Drain, yield: true})
		}
	}
}

// asking reports whether machines that suit a demand can still be rented.
func (f *fleet) asking(d demand) bool {
	s := &sizing{types: f.l.n.cache.Types, zones: f.l.n.cache.ZoneNames.ID, fits: f.l.n.cache.Fits,
		refused: f.refused(f.l.n.now())}
	_, _, ok := s.cheapest(d, nil)
	return ok
}

// outranks reports whether anything on a machine is of the job's rank or above.
func (l *leadership) outranks(m *bookkeeping.Machine, j *bookkeeping.Job) bool {
	for ref := range m.Intents {
		if o := l.n.cache.Jobs.Get(ref.Job); !o.Over() && o.Rank() <= j.Rank() {
			return true
		}
	}
	return false
}
