package coordination

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rockrun/internal/bookkeeping"
	"rockrun/internal/protocol"
)

// machineCounts are counts of machines that single ones are judged by.
type machineCounts struct {
	held         map[int]int // by shard
	unresponsive map[int]int // of those, by shard
	up, quiet    map[int]int // heard under their grant or silent, and silent, by zone
}

// countMachines counts machines by shard and by zone.
func (f *fleet) countMachines() *machineCounts {
	c := &machineCounts{held: map[int]int{}, unresponsive: map[int]int{}, up: map[int]int{}, quiet: map[int]int{}}
	f.l.n.cache.Machines.All(func(_ int, m *bookkeeping.Machine) {
		if !m.There() {
			return
		}
		note, known := f.l.note(m)
		c.held[m.Shard]++
		if known && note.Unresponsive {
			c.unresponsive[m.Shard]++
		}
		// What its holder has only just taken over and not heard yet tells
		// nothing either way.
		switch {
		case !known || !note.Seen && note.Tasks == 0:
		case note.Silent > f.l.quietLimit():
			c.up[m.ZoneIdx]++
			c.quiet[m.ZoneIdx]++
		case note.Seen:
			c.up[m.ZoneIdx]++
		}
	})
	return c
}

// cutOffAtLeast is how many machines of a zone must be known before it can count
// as cut off.
const cutOffAtLeast = 4

// advanceMachines moves machines along: drained ones that are empty go back or to a
// home that waits, silent, unresponsive, faulty and overdue ones are given up.
func (f *fleet) advanceMachines(now time.Duration) {
	n := f.l.n
	counts := f.countMachines()
	for id, b := range n.cache.Blocks {
		if len(b.Machines) == 0 && b.Token>>termShift < f.l.term {
			f.changes[id] = nil // it can go now
		}
	}
	clear(f.cutOff)
	for zone, count := range counts.up {
		if count >= cutOffAtLeast && counts.quiet[zone]*2 > count {
			f.cutOff[zone] = true
		}
	}
	addressWritten := false
	n.cache.Machines.All(func(_ int, m *bookkeeping.Machine) {
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
		if f.advanceEmpty(m, note) || f.giveUp(m, note, known, counts) {
			return
		}
		if known && note.Faulty && m.Phase == bookkeeping.PhaseActive {
			f.phase(m, bookkeeping.PhaseDrain, "faulty")
			return
		}
		// For whoever holds it next; nothing waits for it, so it is one block a
		// tick, and the others of the block come with it.
		if m.Addr == "" && !addressWritten && n.budget.level > n.budget.rate*0.9 {
			if addr := cmp.Or(note.Addr, f.addrs[m.Name]); addr != "" {
				addressWritten = !f.pending(m) && len(f.changes[m.Block]) == 0
				f.change(change{m: m, addr: addr})
			}
		}
	})
}

// advanceEmpty lets a drained machine that its holder calls empty go to a home that
// waits for its like, or back.
func (f *fleet) advanceEmpty(m *bookkeeping.Machine, note protocol.MachineNote) bool {
	if m.Phase != bookkeeping.PhaseDrain || note.Empty == 0 || note.Empty != m.Drain {
		return false
	}
	if to := f.homeWaitingFor(m); to >= 0 && !note.Faulty && !note.Leaves {
		k := moveKey{m.Block, to}
		f.moves[k] = append(f.moves[k], m)
		return true
	}
	f.change(change{m: m, phase: bookkeeping.PhaseReturning, why: "empty", empty: true})
	return true
}

// homeWaitingFor is the home whose waiting work a machine of another suits, or -1. What
// it would serve is taken off that work.
func (f *fleet) homeWaitingFor(m *bookkeeping.Machine) int {
	if to, claimed := f.claims[m.Name]; claimed {
		return to
	}
	for i := range f.left {
		d := &f.left[i]
		if d.shard != m.Shard && d.count > 0 && !d.job.Over() && f.l.n.cache.Suits(d.job, m) {
			d.count -= holds(&f.l.n.cache.Types[m.TypeIdx], d.job)
			return d.shard
		}
	}
	return -1
}

// goneAfter is how long the record that a machine is gone waits for company
// where nobody waits for it.
const goneAfter = 4 * time.Second

// deleteReturning gives machines back whose return is recorded.
func (f *fleet) deleteReturning(now time.Duration) {
	n := f.l.n
	// What the cloud has deleted is recorded as gone, however often that takes.
	for name := range f.deleted {
		if _, m := n.cache.Machines.Find(name); m == nil || m.Phase != bookkeeping.PhaseReturning {
			delete(f.deleted, name)
		} else if len(m.Intents) > 0 || now-f.deleted[name] > goneAfter {
			f.phase(m, bookkeeping.PhaseGone, "deleted")
		}
	}
	var list []*bookkeeping.Machine
	n.cache.Machines.All(func(_ int, m *bookkeeping.Machine) {
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
	draining := f.endDrains(now, list, blocked)
	var idle []*supply
	for _, x := range list {
		if f.idleEnough(now, x, blocked[x.shard]) {
			idle = append(idle, x)
		}
	}
	most := 1 + len(list)/fleetPerDrain
	rest := newSpareRoom(s, spares)
	fleet := len(list)
	sortForReturn(idle, n.cache.Types)
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
	if best := f.bestMovable(now, s, spares, list, blocked); best != nil {
		f.phase(best.m, bookkeeping.PhaseDrain, "services fit elsewhere")
		f.note(Decision{Action: "drain", Reason: "services fit elsewhere", Booked: share, Fleet: len(list), Count: 1})
	}
}

const (
	// fleetPerDrain is for how many machines of the fleet one may drain at a time.
	fleetPerDrain = 32
	// drainStuckAfter is how long replicas may stay on a draining machine: then they
	// find no place elsewhere after all.
	drainStuckAfter = 30 * time.Second
)

// endDrains takes machines back that are needed after all, and counts those that
// go on draining.
func (f *fleet) endDrains(now time.Duration, list []*supply, blocked map[int]bool) (draining int) {
	for _, x := range list {
		if x.m.Phase != bookkeeping.PhaseDrain {
			continue
		}
		note, known := f.l.note(x.m)
		stuck := f.drainSince.held(x.m.Name, x.service, now, drainStuckAfter)
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
	return draining
}

// idleEnough reports whether a machine has been idle for its whole window, by its
// own booked share: services keep the fleet's share up while whole machines beside
// them stand empty. An empty one that another home waits for need not have been.
func (f *fleet) idleEnough(now time.Duration, x *supply, blocked bool) bool {
	n := f.l.n
	low := !blocked && x.ready && x.taking && !x.service && x.booked(n.cache.Types) < n.Options.GiveBelow
	return f.idleSince.held(x.m.Name, low, now, f.window(x)) || low && len(x.m.Intents) == 0 && f.homeWaitingFor(x.m) >= 0
}

// bestMovable is the machine whose services fit beside others and have done so for
// the whole window, and which saves most for each replica that has to move. Looking
// at one costs a look at all, so only the few with the fewest replicas are looked at.
func (f *fleet) bestMovable(now time.Duration, s *sizing, spares []demand, list []*supply, blocked map[int]bool) *supply {
	n := f.l.n
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
		ok := s.movable(x.m, func(r bookkeeping.TaskRef) *bookkeeping.Job { return n.cache.Jobs.Get(r.Job) }, spares)
		if f.movableSince.held(x.m.Name, ok, now, f.give) {
			if v := n.cache.Types[x.typ].Price / float64(len(x.m.Intents)); best == nil || v > save {
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
	}
	return best
}

// maxMovable bounds how many machines are examined in a cycle.
const maxMovable = 32

// window is how long a machine must be idle before it goes: the scale-down
// window for the cheapest CPUs there are, less for dearer ones, so that waiting
// for work costs the same whatever waits.
func (f *fleet) window(x *supply) time.Duration {
	n := f.l.n
	cheapest := math.Inf(1)
	for i := range n.cache.Types {
		if t := &n.cache.Types[i]; t.CPUs > 0 {
			cheapest = min(cheapest, t.Price/t.CPUs, t.SpotPrice/t.CPUs)
		}
	}
	t := &n.cache.Types[x.typ]
	hourly := price(t, x.spot)
	if hourly <= 0 || t.CPUs <= 0 {
		return f.give
	}
	return time.Duration(float64(f.give) * min(1, cheapest*t.CPUs/hourly))
}
