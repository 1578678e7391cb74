package coordination

import (
	"testing"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// fleetMachines is the size of fleet that every fixed limit must allow.
const largeFleet = 4000

// TestTakeoverOfFourThousand: a controller that takes over every machine says one thing
// to each and writes nothing: the records are those of the holder before.
func TestTakeoverOfFourThousand(t *testing.T) {
	b := newUnreportedFleetController(t, largeFleet)
	for range 3 {
		b.refreshKnowledge()
		b.controller.reconciler.tick()
		b.controller.reconciler.pass()
	}
	if held := len(b.controller.reconciler.agents); held < largeFleet {
		t.Fatalf("%d machines are held", held)
	}
	if n := len(b.commandRequests); n < largeFleet || n > largeFleet+1 {
		t.Errorf("%d commands before any machine has answered", n)
	}
	if n := len(b.transactions); n > 0 {
		t.Errorf("%d transactions", n)
	}
}

// TestReportsOfFourThousand: every machine reports to a new holder. A report without
// news costs no more than on a small fleet, and what runs needs no write.
func TestReportsOfFourThousand(t *testing.T) {
	b := newFleetControllerOf(t, largeFleet)
	if n := len(b.transactions); n > 0 {
		t.Errorf("%d transactions", n)
	}
	b.boundReportAllocations(fleetHeartbeat(7, 2))
}

// TestWritesForManyTasks: two thousand tasks that start on a fleet of four thousand
// machines need a few tens of writes, not one each.
func TestWritesForManyTasks(t *testing.T) {
	const starting = 2000
	b := newFleetControllerOf(t, largeFleet)
	for i := range starting {
		x := b.controller.reconciler.agents[fleetMachineName(i)]
		b.controller.reconciler.end(x.attempts[sortedTasks(x.attempts)[0]], "stopped")
	}
	b.apply(storage.JobKey("run-900000"), storage.JobRecord{Spec: protocol.JobSpec{
		ID: "run-900000", Team: "red", Kind: protocol.KindArray, Priority: "normal", Tasks: starting, CPUs: 4, MemoryGB: 29, Spot: true, EstimateSeconds: 15,
	}})
	b.controller.recordsChanged(true)
	b.transactions = nil
	b.controller.reconciler.place()
	w := b.controller.reconciler.writers[0]
	w.assign()
	placed := 0
	for ref := range b.controller.reconciler.attemptsByTask {
		if b.controller.view.Jobs.Get(ref.Job).ID == "run-900000" {
			placed++
		}
	}
	pages := 0
	for _, p := range w.intentPages {
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
