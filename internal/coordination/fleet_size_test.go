package coordination

import (
	"testing"
	"time"

	"rockrun/internal/bookkeeping"
	"rockrun/internal/protocol"
)

// fleetMachines is the size of fleet that every fixed limit must allow.
const fleetMachines = 4000

// TestTakeoverOfFourThousand: a controller that takes over every machine says one thing
// to each and writes nothing: the records are those of the holder before.
func TestTakeoverOfFourThousand(t *testing.T) {
	b := unheardBench(t, fleetMachines)
	for range 3 {
		b.fresh()
		b.n.hold.tick()
		b.n.hold.pass()
	}
	if held := len(b.n.hold.machines); held < fleetMachines {
		t.Fatalf("%d machines are held", held)
	}
	if n := len(b.sent); n < fleetMachines || n > fleetMachines+1 {
		t.Errorf("%d commands before any machine has answered", n)
	}
	if n := len(b.txns); n > 0 {
		t.Errorf("%d transactions", n)
	}
}

// TestReportsOfFourThousand: every machine reports to a new holder. A report without
// news costs no more than on a small fleet, and what runs needs no write.
func TestReportsOfFourThousand(t *testing.T) {
	b := benchOf(t, fleetMachines)
	if n := len(b.txns); n > 0 {
		t.Errorf("%d transactions", n)
	}
	b.boundReportAllocations(grownReport(7, 2))
}

// TestReturnOfHundreds: hundreds of machines leave at once. Their blocks share writes,
// and a transaction stays within what the state service allows.
func TestReturnOfHundreds(t *testing.T) {
	const leaving = 400
	b := benchOf(t, fleetMachines)
	f := b.leading()
	clear(f.changes)
	b.txns = nil
	for i := range leaving {
		_, m := b.n.cache.Machines.Find(grownMachine(i))
		f.phase(m, bookkeeping.PhaseDrain, "idle")
	}
	changes := 0
	for range leaving {
		b.now += b.n.budget.until(mostBlockChanges)
		f.flush(b.now)
	}
	for _, txn := range b.txns {
		b.withinLimits(txn)
		changes += len(txn.Then)
	}
	if blocks := leaving / grownBlock; changes != blocks || len(b.txns) > (blocks+mostBlockChanges-1)/mostBlockChanges {
		t.Errorf("%d changes in %d transactions for %d blocks", changes, len(b.txns), blocks)
	}
}

// TestSizerOfFourThousand: what a cycle of the sizer allocates grows no faster than the
// fleet.
func TestSizerOfFourThousand(t *testing.T) {
	perMachine := func(machines int) float64 {
		b := benchOf(t, machines)
		b.waitingJob()
		f := b.leading()
		return testing.AllocsPerRun(5, func() { f.size(b.now) }) / float64(machines)
	}
	small, large := perMachine(grownMachines), perMachine(fleetMachines)
	t.Logf("%.2f and %.2f allocations for each machine", small, large)
	if large > 1.1*small || large > 4 {
		t.Errorf("%v allocations for each of %d machines, %v for each of %d", small, grownMachines, large, fleetMachines)
	}
}

// TestWritesForManyTasks: two thousand tasks that start on a fleet of four thousand
// machines need a few tens of writes, not one each.
func TestWritesForManyTasks(t *testing.T) {
	const starting = 2000
	b := benchOf(t, fleetMachines)
	for i := range starting {
		x := b.n.hold.machines[grownMachine(i)]
		b.n.hold.end(x.attempts[refs(x.attempts)[0]], "stopped")
	}
	b.apply(bookkeeping.JobKey("run-900000"), bookkeeping.JobRecord{Spec: protocol.Spec{
		ID: "run-900000", Team: "red", Kind: protocol.KindArray, Priority: "normal", Tasks: starting, CPUs: 4, MemoryGB: 29, Spot: true, EstimateS: 15,
	}})
	b.n.changed(true)
	b.txns = nil
	b.n.hold.place()
	w := b.n.hold.writers[0]
	w.assign()
	placed := 0
	for ref := range b.n.hold.placed {
		if b.n.cache.Jobs.Get(ref.Job).ID == "run-900000" {
			placed++
		}
	}
	pages := 0
	for _, p := range w.pages {
		for a := range p.attempts {
			if !a.durable() {
				pages++
				break
			}
		}
	}
	t.Logf("%d pages to write for %d tasks", pages, placed)
	if placed < starting || pages == 0 || pages > starting/20 {
		t.Errorf("%d pages to write for %d tasks", pages, placed)
	}
}

// TestListPause: lists of thousands of machines leave half of the cloud's calls to
// rentals and returns; those of small fleets come as often as before.
func TestListPause(t *testing.T) {
	for _, c := range []struct {
		machines       int
		callsPerSecond float64
		want           time.Duration
	}{
		{0, 4, listEvery}, {1450, 4, listEvery}, {2050, 10, listEvery},
		{fleetMachines, 4, 4500 * time.Millisecond}, {fleetMachines, 1, 18 * time.Second},
	} {
		if got := listPause(c.machines, c.callsPerSecond); got != c.want {
			t.Errorf("%d machines, %g calls a second: %s, not %s", c.machines, c.callsPerSecond, got, c.want)
		}
	}
}
