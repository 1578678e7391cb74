package reconcile

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// TestPageSizeIsBounded guards against an estimated size of an intent page that is smaller
// than the encoded page, however attempts are added and removed. The store would reject a
// value over its limit on every retry, and none of the page's tasks could ever start.
func TestPageSizeIsBounded(t *testing.T) {
	for seed := range uint64(2) {
		f := newFleetFixture(t, mediumFleet)
		random := rand.New(rand.NewPCG(seed, 3))
		f.addRandomJobs(random, 40)
		writer := f.reconciler.writers[0]
		for range 12 {
			f.now += 200 * time.Millisecond
			f.refreshViewAndLeases()
			f.reconciler.place()
			writer.assignPages()
			for _, page := range writer.intentPages {
				size := len(writer.intentPageOperation(page).Value)
				if size > page.bytes+2 || size > writer.pageCapacity() {
					t.Fatalf("seed %d: page has %d bytes, estimated %d, capacity %d", seed, size, page.bytes, writer.pageCapacity())
				}
			}
			f.endRandomAttempts(random)
		}
	}
}

// addRandomJobs adds jobs with small tasks and with IDs of different lengths.
func (f *fixture) addRandomJobs(random *rand.Rand, jobs int) {
	for i := range jobs {
		id := fmt.Sprintf("run-%d", 700_000_000+random.IntN(1_000_000)*(i+1))
		f.apply(storage.JobKey(id), storage.JobRecord{Spec: protocol.JobSpec{
			ID: id, Team: "red", Kind: protocol.KindArray, Priority: "normal", Tasks: 2000, CPUs: 0.333333 * float64(1+i%3), MemoryGB: 0.1, Spot: true, EstimateSeconds: 15,
		}})
	}
	f.recordsChanged()
}

// endRandomAttempts ends a random quarter of the attempts.
func (f *fixture) endRandomAttempts(random *rand.Rand) {
	for _, agent := range f.reconciler.agents.sorted {
		for _, ref := range storage.SortedTasks(agent.attempts) {
			if random.IntN(4) == 0 {
				f.reconciler.endAttempt(agent.attempts[ref], "stopped")
			}
		}
	}
}

// TestDrainingMachineRemovedFromIntentPages guards against drains that never complete. If a
// task ends before its machine begins to drain, the removal from the intent page is not
// urgent, and was never written while new tasks needed all writes. In the simulated scenario
// repechage-next, 60 machines, the maximum that may drain at a time, drained for minutes, so
// the cluster could not scale in.
func TestDrainingMachineRemovedFromIntentPages(t *testing.T) {
	f := newFleetFixture(t, mediumFleet)
	agent := f.reconciler.agents.find(fleetMachineName(17))
	f.reconciler.endAttempt(agent.attempts[storage.SortedTasks(agent.attempts)[0]], "stopped")
	agent.machine.Phase = storage.PhaseDraining
	for range 20 {
		f.now += time.Second
		f.refreshViewAndLeases()
		f.setWriteRate(2.5) // the budget stays below half of its rate: there are no spare writes
		f.reconciler.evictForDrains()
		f.reconciler.writers[0].flush()
		f.applyTransactions()
	}
	if len(agent.machine.Intents) > 0 {
		t.Error("an intent page still names the machine")
	}
	if status := f.reconciler.MachineStatuses()[17]; status.Name != agent.machine.Name || status.Tasks > 0 {
		t.Errorf("status of the drained machine: %+v", status)
	}
}

// TestPagesWithNewTasksAreWrittenFirst guards against new tasks that wait for the cleanup of
// drained machines: if the budget allows one page only, the page with new tasks is written
// before the many pages that still name drained machines.
func TestPagesWithNewTasksAreWrittenFirst(t *testing.T) {
	f := newFleetFixture(t, mediumFleet)
	writer := f.reconciler.writers[0]
	endOn := func(machine int, phase storage.MachinePhase) {
		agent := f.reconciler.agents.find(fleetMachineName(machine))
		agent.machine.Phase = phase
		for _, ref := range storage.SortedTasks(agent.attempts) {
			f.reconciler.endAttempt(agent.attempts[ref], "stopped")
		}
	}
	for page := range 20 {
		endOn(page*fleetTasksPerPage, storage.PhaseDraining)
	}
	for i := 1; i < fleetTasksPerPage; i++ {
		endOn(19*fleetTasksPerPage+i, storage.PhaseDraining) // empties the page, so that new tasks are assigned to it
		endOn(30*fleetTasksPerPage+i, storage.PhaseActive)
	}
	urgent := 0
	for _, page := range writer.intentPages {
		if page.urgent {
			urgent++
		}
	}
	if urgent < 10 {
		t.Fatalf("%d pages are urgent", urgent)
	}
	f.addUnplaceableJob()
	f.reconciler.place()
	if len(writer.unassigned) == 0 {
		t.Fatal("no new task was placed")
	}
	f.transactions = nil
	f.setWriteRate(1)
	f.now += flushInterval
	writer.flush()
	if len(f.transactions) != 1 || len(f.transactions[0].Operations) != 1 {
		t.Fatalf("transactions: %v", f.transactions)
	}
	if page := string(f.transactions[0].Operations[0].Value); !strings.Contains(page, "run-999999") {
		t.Errorf("the first write has no new task: %s %s", f.transactions[0].Operations[0].Put, page)
	}
}

// TestWritesForManyTasks guards against one write per task: the start of 2000 tasks on 4000
// machines must need only a few dozen page writes.
func TestWritesForManyTasks(t *testing.T) {
	const starting = 2000
	f := newFleetFixture(t, largeFleet)
	for i := range starting {
		agent := f.reconciler.agents.find(fleetMachineName(i))
		f.reconciler.endAttempt(agent.attempts[storage.SortedTasks(agent.attempts)[0]], "stopped")
	}
	f.apply(storage.JobKey("run-900000"), storage.JobRecord{Spec: protocol.JobSpec{
		ID: "run-900000", Team: "red", Kind: protocol.KindArray, Priority: "normal", Tasks: starting, CPUs: 4, MemoryGB: 29, Spot: true, EstimateSeconds: 15,
	}})
	f.recordsChanged()
	f.transactions = nil
	f.reconciler.place()
	writer := f.reconciler.writers[0]
	writer.assignPages()
	placed := 0
	for ref := range f.reconciler.attemptsByTask {
		if f.view.Jobs.Get(ref.Job).ID == "run-900000" {
			placed++
		}
	}
	pages := 0
	for _, page := range writer.intentPages {
		for a := range page.attempts {
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
