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

// TestPageSizeIsBounded: what a page of intents is taken to hold is never less than what
// its value takes, however attempts come and go: a value over the limit would be refused
// again and again, and none of its tasks could ever start.
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
			writer.assign()
			for _, page := range writer.intentPages {
				size := len(writer.intentPageOperation(page).Value)
				if size > page.bytes+2 || size > writer.pageCapacity() {
					t.Fatalf("seed %d: a page of %d bytes is taken for %d, at most %d", seed, size, page.bytes, writer.pageCapacity())
				}
			}
			f.endQuarter(random)
		}
	}
}

// addRandomJobs adds jobs of small tasks, with identifiers of different lengths.
func (f *fixture) addRandomJobs(random *rand.Rand, jobs int) {
	for i := range jobs {
		id := fmt.Sprintf("run-%d", 700_000_000+random.IntN(1_000_000)*(i+1))
		f.apply(storage.JobKey(id), storage.JobRecord{Spec: protocol.JobSpec{
			ID: id, Team: "red", Kind: protocol.KindArray, Priority: "normal", Tasks: 2000, CPUs: 0.333333 * float64(1+i%3), MemoryGB: 0.1, Spot: true, EstimateSeconds: 15,
		}})
	}
	f.recordsChanged()
}

// endQuarter ends one attempt in four.
func (f *fixture) endQuarter(random *rand.Rand) {
	for _, agent := range f.reconciler.agents.sorted {
		for _, ref := range storage.SortedTasks(agent.attempts) {
			if random.IntN(4) == 0 {
				f.reconciler.end(agent.attempts[ref], "stopped")
			}
		}
	}
}

// TestDrainedMachineLosesItsNames: a task had ended before its machine began to drain,
// and its name was to be removed at leisure. That never came while all writes were
// needed for new tasks: sixty machines drained for minutes, and as no more may drain
// at a time the whole fleet stayed rented (repechage-next, simulated).
func TestDrainedMachineLosesItsNames(t *testing.T) {
	f := newFleetFixture(t, mediumFleet)
	agent := f.reconciler.agents.find(fleetMachineName(17))
	f.reconciler.end(agent.attempts[storage.SortedTasks(agent.attempts)[0]], "stopped")
	agent.machine.Phase = storage.PhaseDraining
	for range 20 {
		f.now += time.Second
		f.refreshViewAndLeases()
		f.setWriteRate(2.5) // never more than half of what there may be
		f.reconciler.evictForDrains()
		f.reconciler.writers[0].flush()
		f.applyTransactions()
	}
	if len(agent.machine.Intents) > 0 {
		t.Error("the machine is still named")
	}
	if status := f.reconciler.MachineStatuses()[17]; status.Name != agent.machine.Name || status.Tasks > 0 {
		t.Errorf("%+v", status)
	}
}

// TestNewTasksAreWrittenFirst: where there are writes for one page only, it is the one
// that new tasks wait for, not one of the many that drained machines have left to be
// cleaned up.
func TestNewTasksAreWrittenFirst(t *testing.T) {
	f := newFleetFixture(t, mediumFleet)
	writer := f.reconciler.writers[0]
	endOn := func(machine int, phase storage.MachinePhase) {
		agent := f.reconciler.agents.find(fleetMachineName(machine))
		agent.machine.Phase = phase
		for _, ref := range storage.SortedTasks(agent.attempts) {
			f.reconciler.end(agent.attempts[ref], "stopped")
		}
	}
	for page := range 20 {
		endOn(page*fleetTasksPerPage, storage.PhaseDraining)
	}
	for i := 1; i < fleetTasksPerPage; i++ {
		endOn(19*fleetTasksPerPage+i, storage.PhaseDraining) // the emptiest of those pages, so new tasks are put there
		endOn(30*fleetTasksPerPage+i, storage.PhaseActive)
	}
	dirty := 0
	for _, page := range writer.intentPages {
		if page.dirty {
			dirty++
		}
	}
	if dirty < 10 {
		t.Fatalf("%d pages are to be written", dirty)
	}
	f.addUnplaceableJob()
	f.reconciler.place()
	if len(writer.unassigned) == 0 {
		t.Fatal("nothing new was placed")
	}
	f.transactions = nil
	f.setWriteRate(1)
	f.now += flushPause
	writer.flush()
	if len(f.transactions) != 1 || len(f.transactions[0].Operations) != 1 {
		t.Fatalf("transactions: %v", f.transactions)
	}
	if page := string(f.transactions[0].Operations[0].Value); !strings.Contains(page, "run-999999") {
		t.Errorf("written first: %s %s", f.transactions[0].Operations[0].Put, page)
	}
}

// TestWritesForManyTasks: two thousand tasks that start on a fleet of four thousand
// machines need a few tens of writes, not one each.
func TestWritesForManyTasks(t *testing.T) {
	const starting = 2000
	f := newFleetFixture(t, largeFleet)
	for i := range starting {
		agent := f.reconciler.agents.find(fleetMachineName(i))
		f.reconciler.end(agent.attempts[storage.SortedTasks(agent.attempts)[0]], "stopped")
	}
	f.apply(storage.JobKey("run-900000"), storage.JobRecord{Spec: protocol.JobSpec{
		ID: "run-900000", Team: "red", Kind: protocol.KindArray, Priority: "normal", Tasks: starting, CPUs: 4, MemoryGB: 29, Spot: true, EstimateSeconds: 15,
	}})
	f.recordsChanged()
	f.transactions = nil
	f.reconciler.place()
	writer := f.reconciler.writers[0]
	writer.assign()
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
