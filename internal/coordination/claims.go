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
	n := f.l.n
	s := &sizing{types: n.cache.Types, fits: n.cache.Fits}
	var rooms []*supply // what claimed machines will offer, filled as the demands are gone through
	room := func(m *bookkeeping.Machine, shard int) *supply {
		x := newSupply(&n.cache.Types[m.TypeIdx], pool{m.TypeIdx, m.ZoneIdx, m.Spot}, shard)
		x.m = m
		return x
	}
	// What replicas wait for is taken now, what is kept for those to come may end.
	urgent := map[*bookkeeping.Machine]bool{}
	fill := func(x *supply, d *demand) {
		before := d.count
		s.fill(x, d)
		if d.count < before && (!d.spare || d.lost > 0) {
			urgent[x.m] = true
		}
	}
	var begin []*bookkeeping.Machine // drains to be written
	defer func() {
		for _, x := range rooms {
			if slices.Contains(begin, x.m) {
				f.change(change{m: x.m, phase: bookkeeping.PhaseDrain, why: "claimed by work of a higher rank", yield: urgent[x.m]})
			} else if urgent[x.m] && x.m.Phase == bookkeeping.PhaseDrain && !x.m.Yield && !f.pending(x.m) {
				f.change(change{m: x.m, phase: bookkeeping.PhaseDrain, why: "replicas wait for it", stamp: x.m.Drain, yield: true})
			}
		}
	}()
	for _, name := range slices.Sorted(maps.Keys(f.claims)) {
		_, m := n.cache.Machines.Find(name)
		if m == nil || m.Phase == bookkeeping.PhaseReturning || !m.There() || m.Shard == f.claims[name] {
			delete(f.claims, name)
			continue
		}
		rooms = append(rooms, room(m, f.claims[name]))
		if m.Phase == bookkeeping.PhaseActive && !f.pending(m) {
			begin = append(begin, m) // not written yet
		}
	}
	var sorted []*supply
	for i := range f.left {
		d := f.left[i]
		if !d.job.Standing() || f.asking(d) {
			continue
		}
		d.zones = slices.Clone(d.zones)
		for _, x := range rooms {
			fill(x, &d)
		}
		if d.count > 0 && sorted == nil {
			sorted = slices.SortedStableFunc(slices.Values(list), func(a, b *supply) int {
				return cmp.Compare(a.booked(n.cache.Types), b.booked(n.cache.Types))
			})
		}
		for _, x := range sorted {
			if d.count <= 0 {
				break
			}
			if _, claimed := f.claims[x.m.Name]; claimed || x.shard == d.shard || x.service || !x.ready || !x.taking || d.zone(x.zone) < 1 ||
				!n.cache.Suits(d.job, x.m) || f.pending(x.m) || f.l.outranks(x.m, d.job) {
				continue
			}
			f.claims[x.m.Name] = d.shard
			n.Log.Info("machine claimed", "name", x.m.Name, "from", x.shard, "for", d.shard, "term", f.l.term)
			begin = append(begin, x.m)
			rooms = append(rooms, room(x.m, d.shard))
			fill(rooms[len(rooms)-1], &d)
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
