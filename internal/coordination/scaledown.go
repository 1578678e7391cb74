package coordination

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rockrun/internal/coordination/election"
	"rockrun/internal/coordination/kv"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// machineCounts are counts of machines that single ones are judged by.
type machineCounts struct {
	held         map[int]int // by shard
	unresponsive map[int]int // of those, by shard
	up, silent   map[int]int // heard under their grant or silent, and silent, by zone
}

// countMachines counts machines by shard and by zone.
func (f *provisioner) countMachines() *machineCounts {
	c := &machineCounts{held: map[int]int{}, unresponsive: map[int]int{}, up: map[int]int{}, silent: map[int]int{}}
	f.leadership.controller.view.Machines.All(func(_ int, m *storage.Machine) {
		if !m.Exists() {
			return
		}
		note, known := f.leadership.members.MachineStatus(m)
		c.held[m.Shard]++
		if known && note.Unresponsive {
			c.unresponsive[m.Shard]++
		}
		// What its holder has only just taken over and not heard yet tells
		// nothing either way.
		switch {
		case !known || !note.Seen && note.Tasks == 0:
		case note.Silent > f.leadership.members.HeartbeatTolerance():
			c.up[m.ZoneIndex]++
			c.silent[m.ZoneIndex]++
		case note.Seen:
			c.up[m.ZoneIndex]++
		}
	})
	return c
}

// cutOffAtLeast is how many machines of a zone must be known before it can count
// as cut off.
const minPartitionedMachines = 4

// advanceMachines moves machines along: drained ones that are empty go back or to a
// home that waits, silent, unresponsive, faulty and overdue ones are given up.
func (f *provisioner) advanceMachines(now time.Duration) {
	n := f.leadership.controller
	counts := f.countMachines()
	for id, b := range n.view.MachineGroups {
		if len(b.Machines) == 0 && election.TermOfToken(b.FencingToken) < f.leadership.Term() {
			f.changes[id] = nil // it can go now
		}
	}
	clear(f.partitionedZones)
	for zone, count := range counts.up {
		if count >= minPartitionedMachines && counts.silent[zone]*2 > count {
			f.partitionedZones[zone] = true
		}
	}
	addressWritten := false
	n.view.Machines.All(func(_ int, m *storage.Machine) {
		if m.Phase == storage.PhaseDeleted {
			f.leadership.members.ForgetMachine(m.Name)
		}
		if m.Group != "" && m.Phase == storage.PhaseDeleted && f.forgettable[m.Name] {
			f.addChange(machineChange{machine: m, forget: true})
			return
		}
		if !m.Exists() || m.Phase == storage.PhaseDecommissioning {
			return
		}
		note, known := f.leadership.members.MachineStatus(m)
		if f.advanceDrained(m, note) || f.decommissionLost(m, note, known, counts) {
			return
		}
		if known && note.Faulty && m.Phase == storage.PhaseActive {
			f.setPhase(m, storage.PhaseDraining, "faulty")
			return
		}
		// For whoever holds it next; nothing waits for it, so it is one block a
		// tick, and the others of the block come with it.
		if m.Address == "" && !addressWritten && n.committer.Budget.Level() > n.committer.Budget.Rate()*0.9 {
			if addr := cmp.Or(note.Addr, f.addresses[m.Name]); addr != "" {
				addressWritten = !f.changePending(m) && len(f.changes[m.Group]) == 0
				f.addChange(machineChange{machine: m, address: addr})
			}
		}
	})
}

// advanceEmpty lets a drained machine that its holder calls empty go to a home that
// waits for its like, or back.
func (f *provisioner) advanceDrained(m *storage.Machine, note protocol.MachineStatus) bool {
	if m.Phase != storage.PhaseDraining || note.Empty == 0 || note.Empty != m.DrainStamp {
		return false
	}
	if to := f.shardWaitingFor(m); to >= 0 && !note.Faulty && !note.Leaves {
		k := groupMove{m.Group, to}
		f.moves[k] = append(f.moves[k], m)
		return true
	}
	f.addChange(machineChange{machine: m, phase: storage.PhaseDecommissioning, reason: "empty", holderSaysEmpty: true})
	return true
}

// homeWaitingFor is the home whose waiting work a machine of another suits, or -1. What
// it would serve is taken off that work.
func (f *provisioner) shardWaitingFor(m *storage.Machine) int {
	if to, claimed := f.claims[m.Name]; claimed {
		return to
	}
	for i := range f.unmetDemand {
		d := &f.unmetDemand[i]
		if d.shard != m.Shard && d.count > 0 && !d.job.Ended() && f.leadership.controller.view.Eligible(d.job, m) {
			d.count -= tasksPerMachine(&f.leadership.controller.view.MachineTypes[m.TypeIndex], d.job)
			return d.shard
		}
	}
	return -1
}

// goneAfter is how long the record that a machine is gone waits for company
// where nobody waits for it.
const deletedRecordDelay = 4 * time.Second

// deleteReturning gives machines back whose return is recorded.
func (f *provisioner) deleteDecommissioned(now time.Duration) {
	n := f.leadership.controller
	// What the cloud has deleted is recorded as gone, however often that takes.
	for name := range f.deletedAt {
		if _, m := n.view.Machines.Find(name); m == nil || m.Phase != storage.PhaseDecommissioning {
			delete(f.deletedAt, name)
		} else if len(m.Intents) > 0 || now-f.deletedAt[name] > deletedRecordDelay {
			f.setPhase(m, storage.PhaseDeleted, "deleted")
		}
	}
	var list []*storage.Machine
	n.view.Machines.All(func(_ int, m *storage.Machine) {
		if m.Group != "" && m.Phase == storage.PhaseDecommissioning && f.deletedAt[m.Name] == 0 && len(list) < 100 {
			list = append(list, m)
		}
	})
	if len(list) == 0 || f.deleteInFlight || now < f.nextDeleteAt {
		return
	}
	names := make([]string, len(list))
	for i, m := range list {
		names[i] = m.Name
	}
	f.deleteInFlight = true
	n.Cloud.DeleteMachines(names, func(err error) {
		f.deleteInFlight = false
		f.nextDeleteAt = n.now() + kv.RetryPause
		if !f.current() {
			return
		}
		if err != nil {
			n.Log.Debug("machines not deleted", "err", err)
			f.nextDeleteAt = n.now() + n.generation.Jitter(500*time.Millisecond)
			return
		}
		for _, m := range list {
			f.deletedAt[m.Name] = n.now()
		}
	})
}

// drain gives back slowly: after the fleet has been idle enough for the whole
// window, one machine at a time for every thirty-two of the fleet, and work that
// is blocked in a home ends its drains. Idle machines of one home drain at once
// when another waits for their like; they go there once empty.
func (f *provisioner) scaleIn(now time.Duration, s *scalingInput, spares []demand, share float64) {
	n := f.leadership.controller
	list := f.leadership.supplies()
	blocked := map[int]bool{}
	for _, d := range f.unmetDemand {
		blocked[d.shard] = true
	}
	f.claimMachines(list)
	draining := f.endDrains(now, list, blocked)
	var idle []*machineSupply
	for _, x := range list {
		if f.idleLongEnough(now, x, blocked[x.shard]) {
			idle = append(idle, x)
		}
	}
	most := 1 + len(list)/machinesPerDrain
	rest := newSpareCapacity(s, spares)
	fleet := len(list)
	sortForScaleIn(idle, n.view.MachineTypes)
	for _, x := range idle {
		if draining >= most || fleet <= n.Options.FleetMin {
			return
		}
		if f.changePending(x.machine) || !rest.take(x) {
			continue
		}
		draining++
		fleet--
		f.setPhase(x.machine, storage.PhaseDraining, "idle")
		f.recordDecision(Decision{Action: "drain", Reason: "booked share is low", Booked: share, Fleet: len(list), Count: 1})
	}
	if draining > 0 || fleet <= n.Options.FleetMin {
		return
	}
	if best := f.bestConsolidation(now, s, spares, list, blocked); best != nil {
		f.setPhase(best.machine, storage.PhaseDraining, "services fit elsewhere")
		f.recordDecision(Decision{Action: "drain", Reason: "services fit elsewhere", Booked: share, Fleet: len(list), Count: 1})
	}
}

const (
	// fleetPerDrain is for how many machines of the fleet one may drain at a time.
	machinesPerDrain = 32
	// drainStuckAfter is how long replicas may stay on a draining machine: then they
	// find no place elsewhere after all.
	drainStuckAfter = 30 * time.Second
)

// endDrains takes machines back that are needed after all, and counts those that
// go on draining.
func (f *provisioner) endDrains(now time.Duration, list []*machineSupply, blocked map[int]bool) (draining int) {
	for _, x := range list {
		if x.machine.Phase != storage.PhaseDraining {
			continue
		}
		note, known := f.leadership.members.MachineStatus(x.machine)
		stuck := f.drainSince.heldFor(x.machine.Name, x.hostsService, now, drainStuckAfter)
		if _, claimed := f.claims[x.machine.Name]; claimed {
			continue
		}
		if (blocked[x.shard] || stuck) && !(known && (note.Faulty || note.Leaves)) && !f.changePending(x.machine) {
			delete(f.drainSince, x.machine.Name)
			f.setPhase(x.machine, storage.PhaseActive, "needed after all")
			continue
		}
		draining++
	}
	return draining
}

// idleEnough reports whether a machine has been idle for its whole window, by its
// own booked share: services keep the fleet's share up while whole machines beside
// them stand empty. An empty one that another home waits for need not have been.
func (f *provisioner) idleLongEnough(now time.Duration, x *machineSupply, blocked bool) bool {
	n := f.leadership.controller
	low := !blocked && x.ready && x.schedulable && !x.hostsService && x.booked(n.view.MachineTypes) < n.Options.ScaleInBelow
	return f.idleSince.heldFor(x.machine.Name, low, now, f.idleWindow(x)) || low && len(x.machine.Intents) == 0 && f.shardWaitingFor(x.machine) >= 0
}

// bestMovable is the machine whose services fit beside others and have done so for
// the whole window, and which saves most for each replica that has to move. Looking
// at one costs a look at all, so only the few with the fewest replicas are looked at.
func (f *provisioner) bestConsolidation(now time.Duration, s *scalingInput, spares []demand, list []*machineSupply, blocked map[int]bool) *machineSupply {
	n := f.leadership.controller
	var few []*machineSupply
	for _, x := range list {
		if !blocked[x.shard] && x.ready && x.schedulable && x.hostsService && f.leadership.onlyMovableTasks(x.machine) {
			few = append(few, x)
		}
	}
	slices.SortStableFunc(few, func(a, b *machineSupply) int { return cmp.Compare(len(a.machine.Intents), len(b.machine.Intents)) })
	few = few[:min(len(few), maxConsolidationCandidates)]
	var best *machineSupply
	save := 0.0
	for _, x := range few {
		ok := s.canConsolidate(x.machine, func(r storage.TaskRef) *storage.Job { return n.view.Jobs.Get(r.Job) }, spares)
		if f.movableSince.heldFor(x.machine.Name, ok, now, f.scaleInWindow) {
			if v := n.view.MachineTypes[x.machineType].HourlyPrice / float64(len(x.machine.Intents)); best == nil || v > save {
				best, save = x, v
			}
		}
	}
	for name := range f.movableSince {
		if !slices.ContainsFunc(few, func(x *machineSupply) bool { return x.machine.Name == name }) {
			delete(f.movableSince, name)
		}
	}
	if best != nil {
		clear(f.movableSince)
	}
	return best
}

// maxMovable bounds how many machines are examined in a cycle.
const maxConsolidationCandidates = 32

// window is how long a machine must be idle before it goes: the scale-down
// window for the cheapest CPUs there are, less for dearer ones, so that waiting
// for work costs the same whatever waits.
func (f *provisioner) idleWindow(x *machineSupply) time.Duration {
	n := f.leadership.controller
	cheapest := math.Inf(1)
	for i := range n.view.MachineTypes {
		if t := &n.view.MachineTypes[i]; t.CPUs > 0 {
			cheapest = min(cheapest, t.HourlyPrice/t.CPUs, t.HourlySpotPrice/t.CPUs)
		}
	}
	t := &n.view.MachineTypes[x.machineType]
	hourly := hourlyPrice(t, x.spot)
	if hourly <= 0 || t.CPUs <= 0 {
		return f.scaleInWindow
	}
	return time.Duration(float64(f.scaleInWindow) * min(1, cheapest*t.CPUs/hourly))
}
