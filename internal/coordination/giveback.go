package coordination

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"rockrun/internal/bookkeeping"
)

// tidy moves machines along: drained ones that are empty go back or to a home
// that waits, silent, deaf, faulty and overdue ones are given up.
func (f *fleet) tidy(now time.Duration) {
	n := f.l.n
	waits := f.blockedSince != 0
	silence := n.Options.Silence(n.Settings.Cluster.Workers)
	lease := n.Settings.Cluster.Workers.Lease()
	report := n.Settings.Cluster.Workers.Report()
	deaf, held := map[int]int{}, map[int]int{}
	quiet, up := map[int]int{}, map[int]int{}
	n.book.Machines.All(func(_ int, m *bookkeeping.Machine) {
		if m.There() {
			note, known := f.l.note(m)
			held[m.Shard]++
			if known && note.Deaf {
				deaf[m.Shard]++
			}
			// What its holder has only just taken over and not heard yet tells
			// nothing either way.
			switch {
			case !known || !note.Seen && note.Tasks == 0:
			case note.Silent > f.l.quiet():
				up[m.ZoneIdx]++
				quiet[m.ZoneIdx]++
			case note.Seen:
				up[m.ZoneIdx]++
			}
		}
	})
	for id, b := range n.book.Blocks {
		if len(b.Machines) == 0 && b.Token>>termShift < f.l.term {
			f.changes[id] = nil // it can go now
		}
	}
	addresses := 1
	clear(f.cutOff)
	for zone, count := range up {
		if count >= 4 && quiet[zone]*2 > count {
			f.cutOff[zone] = true
		}
	}
	n.book.Machines.All(func(_ int, m *bookkeeping.Machine) {
		if m.Phase == bookkeeping.PhaseGone {
			delete(f.l.lastSeen, m.Name)
		}
		if m.Block != "" && m.Phase == bookkeeping.PhaseGone && f.old[m.Name] {
			f.change(change{m: m, forget: true})
			return
		}
		if !m.There() || m.Phase == bookkeeping.PhaseReturning {
			return
		}
		note, known := f.l.note(m)
		empty := len(m.Intents) == 0
		switch {
		case m.Phase == bookkeeping.PhaseDrain && known && note.Empty != 0 && note.Empty == m.Drain:
			if to := f.takeFor(m); to >= 0 && !note.Faulty && !note.Leaves {
				k := moveKey{m.Block, to}
				f.moves[k] = append(f.moves[k], m)
				return
			}
			f.change(change{m: m, phase: bookkeeping.PhaseReturning, why: "empty", empty: true})
		case f.unlisted[m.Name] && known && note.Silent > report:
			// Taken without a notice. The deletion costs nothing and settles it.
			f.phase(m, bookkeeping.PhaseReturning, "no longer listed")
		case f.failed[m.Name]:
			f.phase(m, bookkeeping.PhaseReturning, "failed")
		case known && f.cutOff[m.ZoneIdx] && (note.Seen || note.Tasks > 0) && note.Silent < 4*lease && (!f.l.serves(m) || note.Silent < lease-workerPatience/2):
			// Most of the zone is silent: it is cut off, and its machines are of
			// use again as soon as it is back, sooner than any rented there
			// instead. Replicas there run until their lease is nearly out, and
			// room elsewhere is made for them meanwhile; then they must be free to
			// start there at once.
		case known && note.Seen && note.Silent > silence:
			// Lost or hanging: the deletion's answer settles its tasks.
			f.phase(m, bookkeeping.PhaseReturning, "silent")
		case known && !note.Seen && note.Tasks > 0 && note.Silent > silence:
			// It was up under an earlier holder and is not heard of any more. The
			// note itself must say that it has tasks: the records are newer, and a
			// machine that has just come up and got its first is not silent.
			f.phase(m, bookkeeping.PhaseReturning, "silent since its holder changed")
		case known && note.Deaf && deaf[m.Shard] <= max(2, held[m.Shard]/2):
			// Were most of them deaf, it would be their holder that is mute.
			f.phase(m, bookkeeping.PhaseReturning, "hears nothing")
		case known && !note.Seen && empty && note.Tasks == 0 && waits && f.l.overdue(m) && note.Silent > 3*report:
			// A holder that has just been granted the machine has not seen it
			// yet either, so its own silence counts, not only the age.
			f.phase(m, bookkeeping.PhaseReturning, "never came up")
		case known && !note.Seen && f.l.age(m) > 10*time.Minute && note.Silent > silence:
			f.phase(m, bookkeeping.PhaseReturning, "never came up")
		case known && note.Faulty && m.Phase == bookkeeping.PhaseActive:
			f.phase(m, bookkeeping.PhaseDrain, "faulty")
		case m.Addr == "" && addresses > 0 && n.budget.level > n.budget.rate*0.9:
			// For whoever holds it next; nothing waits for it.
			if addr := cmp.Or(note.Addr, f.addrs[m.Name]); addr != "" {
				if !f.pending(m) && len(f.changes[m.Block]) == 0 {
					addresses-- // one block a tick; the others of the block come with it
				}
				f.change(change{m: m, addr: addr})
			}
		}
	})
}

// quiet is how long a machine that is well and can be heard says nothing at most,
// and a little more. One that does may have had a report lost; most of a zone's
// have not.
func (l *leadership) quiet() time.Duration {
	return l.n.Settings.Cluster.Workers.Report()*5/4 + 2*time.Second
}

// serves reports whether replicas may be on a machine.
func (l *leadership) serves(m *bookkeeping.Machine) bool {
	for ref := range m.Intents {
		if j := l.n.book.Jobs.Get(ref.Job); j.Standing() && !j.Over() {
			return true
		}
	}
	return false
}

// takeFor is the home whose waiting work a machine of another suits, or -1. What
// it would serve is taken off that work.
func (f *fleet) takeFor(m *bookkeeping.Machine) int {
	if to, claimed := f.claims[m.Name]; claimed {
		return to
	}
	for i := range f.left {
		d := &f.left[i]
		if d.shard != m.Shard && d.count > 0 && !d.job.Over() && f.l.n.book.Suits(d.job, m) {
			d.count -= holds(&f.l.n.book.Types[m.TypeIdx], d.job)
			return d.shard
		}
	}
	return -1
}

// goneAfter is how long the record that a machine is gone waits for company
// where nobody waits for it.
const goneAfter = 4 * time.Second

// delete gives machines back whose return is recorded.
func (f *fleet) delete(now time.Duration) {
	n := f.l.n
	// What the cloud has deleted is recorded as gone, however often that takes.
	for name := range f.deleted {
		if _, m := n.book.Machines.Find(name); m == nil || m.Phase != bookkeeping.PhaseReturning {
			delete(f.deleted, name)
		} else if len(m.Intents) > 0 || now-f.deleted[name] > goneAfter {
			f.phase(m, bookkeeping.PhaseGone, "deleted")
		}
	}
	var list []*bookkeeping.Machine
	n.book.Machines.All(func(_ int, m *bookkeeping.Machine) {
		if m.Block != "" && m.Phase == bookkeeping.PhaseReturning && f.deleted[m.Name] == 0 && len(list) < 100 {
			list = append(list, m)
		}
	})
	if len(list) == 0 || f.deleting || now < f.deleteAt {
		return
	}
	names := make([]string, len(list))
	for i, m := range list {
		names[i] = m.Name
	}
	f.deleting = true
	n.Cloud.Delete(names, func(err error) {
		f.deleting = false
		f.deleteAt = n.now() + retryPause
		if !f.alive() {
			return
		}
		if err != nil {
			n.Log.Debug("machines not deleted", "err", err)
			f.deleteAt = n.now() + n.jitter(500*time.Millisecond)
			return
		}
		for _, m := range list {
			f.deleted[m.Name] = n.now()
		}
	})
}

// drain gives back slowly: after the fleet has been idle enough for the whole
// window, one machine at a time for every thirty-two of the fleet, and work that
// is blocked in a home ends its drains. Idle machines of one home drain at once
// when another waits for their like; they go there once empty.
func (f *fleet) drain(now time.Duration, s *sizing, spares []demand, share float64) {
	n := f.l.n
	list := f.l.supplies()
	blocked := map[int]bool{}
	for _, d := range f.left {
		blocked[d.shard] = true
	}
	f.claim(list)
	draining := 0
	for _, x := range list {
		if x.m.Phase != bookkeeping.PhaseDrain {
			continue
		}
		note, known := f.l.note(x.m)
		stuck := f.drainSince.held(x.m.Name, x.service, now, 30*time.Second) // its replicas find no place after all
		if _, claimed := f.claims[x.m.Name]; claimed {
			continue
		}
		if (blocked[x.shard] || stuck) && !(known && (note.Faulty || note.Leaves)) && !f.pending(x.m) {
			delete(f.drainSince, x.m.Name)
			f.phase(x.m, bookkeeping.PhaseActive, "needed after all")
			continue
		}
		draining++
	}
	// A machine is idle enough by its own booked share: services keep the
	// fleet's share up while whole machines beside them stand empty.
	var idle []*supply
	for _, x := range list {
		low := !blocked[x.shard] && x.ready && x.taking && !x.service && x.booked(n.book.Types) < n.Options.GiveBelow
		if f.idleSince.held(x.m.Name, low, now, f.window(x)) || low && len(x.m.Intents) == 0 && f.takeFor(x.m) >= 0 {
			idle = append(idle, x)
		}
	}
	most := 1 + len(list)/32
	rest := newSpareRoom(s, spares)
	fleet := len(list)
	giveBack(idle, n.book.Types)
	for _, x := range idle {
		if draining >= most || fleet <= n.Options.FleetMin {
			return
		}
		if f.pending(x.m) || !rest.take(x) {
			continue
		}
		draining++
		fleet--
		f.phase(x.m, bookkeeping.PhaseDrain, "idle")
		f.note(Decision{Action: "drain", Reason: "booked share is low", Booked: share, Fleet: len(list), Count: 1})
	}
	if draining > 0 || fleet <= n.Options.FleetMin {
		return
	}
	// Then machines whose services fit beside others: the one that saves most
	// for each replica that has to move. Looking at one costs a look at all, so
	// only the few with the fewest replicas are looked at.
	var few []*supply
	for _, x := range list {
		if !blocked[x.shard] && x.ready && x.taking && x.service && f.l.mayMove(x.m) {
			few = append(few, x)
		}
	}
	slices.SortStableFunc(few, func(a, b *supply) int { return cmp.Compare(len(a.m.Intents), len(b.m.Intents)) })
	few = few[:min(len(few), maxMovable)]
	var best *supply
	save := 0.0
	for _, x := range few {
		ok := s.movable(x.m, func(r bookkeeping.TaskRef) *bookkeeping.Job { return n.book.Jobs.Get(r.Job) }, spares)
		if f.movableSince.held(x.m.Name, ok, now, f.give) {
			if v := n.book.Types[x.typ].Price / float64(len(x.m.Intents)); best == nil || v > save {
				best, save = x, v
			}
		}
	}
	for name := range f.movableSince {
		if !slices.ContainsFunc(few, func(x *supply) bool { return x.m.Name == name }) {
			delete(f.movableSince, name)
		}
	}
	if best != nil {
		clear(f.movableSince)
		f.phase(best.m, bookkeeping.PhaseDrain, "services fit elsewhere")
		f.note(Decision{Action: "drain", Reason: "services fit elsewhere", Booked: share, Fleet: len(list), Count: 1})
	}
}

// maxMovable bounds how many machines are examined in a cycle.
const maxMovable = 32

// claim drains machines of one home for work of a higher rank that waits in
// another and for which no machine is to be had: those it suits, without
// services, the least booked first. Within a home such work stops other work;
// among homes the other work is let end, and nothing new begins there.
func (f *fleet) claim(list []*supply) {
	n := f.l.n
	s := &sizing{types: n.book.Types, fits: n.book.Fits}
	var rooms []*supply // what claimed machines will offer, filled as the demands are gone through
	room := func(m *bookkeeping.Machine, shard int) *supply {
		x := newSupply(&n.book.Types[m.TypeIdx], pool{m.TypeIdx, m.ZoneIdx, m.Spot}, shard)
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
		_, m := n.book.Machines.Find(name)
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
				return cmp.Compare(a.booked(n.book.Types), b.booked(n.book.Types))
			})
		}
		for _, x := range sorted {
			if d.count <= 0 {
				break
			}
			if _, claimed := f.claims[x.m.Name]; claimed || x.shard == d.shard || x.service || !x.ready || !x.taking || d.zone(x.zone) < 1 ||
				!n.book.Suits(d.job, x.m) || f.pending(x.m) || f.l.outranks(x.m, d.job) {
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
	s := &sizing{types: f.l.n.book.Types, zones: f.l.n.book.ZoneNames.ID, fits: f.l.n.book.Fits,
		refused: f.refused(f.l.n.now())}
	_, _, ok := s.cheapest(d, nil)
	return ok
}

// outranks reports whether anything on a machine is of the job's rank or above.
func (l *leadership) outranks(m *bookkeeping.Machine, j *bookkeeping.Job) bool {
	for ref := range m.Intents {
		if o := l.n.book.Jobs.Get(ref.Job); !o.Over() && o.Rank() <= j.Rank() {
			return true
		}
	}
	return false
}

// window is how long a machine must be idle before it goes: the give-back
// window for the cheapest CPUs there are, less for dearer ones, so that waiting
// for work costs the same whatever waits.
func (f *fleet) window(x *supply) time.Duration {
	n := f.l.n
	cheapest := math.Inf(1)
	for i := range n.book.Types {
		if t := &n.book.Types[i]; t.CPUs > 0 {
			cheapest = min(cheapest, t.Price/t.CPUs, t.SpotPrice/t.CPUs)
		}
	}
	t := &n.book.Types[x.typ]
	hourly := price(t, x.spot)
	if hourly <= 0 || t.CPUs <= 0 {
		return f.give
	}
	return time.Duration(float64(f.give) * min(1, cheapest*t.CPUs/hourly))
}
