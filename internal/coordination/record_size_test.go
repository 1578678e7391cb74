package coordination

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// TestPageSizeIsBounded: what a page of intents is taken to hold is never less than
// what its value takes, however attempts come and go: a value over the limit would be
// refused again and again, and none of its tasks could ever start.
func TestPageSizeIsBounded(t *testing.T) {
	for seed := range uint64(2) {
		b := newFleetController(t)
		random := rand.New(rand.NewPCG(seed, 3))
		for i := range 40 {
			id := fmt.Sprintf("run-%d", 700_000_000+random.IntN(1_000_000)*(i+1))
			b.apply(storage.JobKey(id), storage.JobRecord{Spec: protocol.JobSpec{
				ID: id, Team: "red", Kind: protocol.KindArray, Priority: "normal", Tasks: 2000, CPUs: 0.333333 * float64(1+i%3), MemoryGB: 0.1, Spot: true, EstimateSeconds: 15,
			}})
		}
		b.controller.recordsChanged(true)
		w := b.controller.reconciler.writers[0]
		for range 12 {
			b.now += 200_000_000
			b.refreshKnowledge()
			b.controller.reconciler.place()
			w.assign()
			for _, p := range w.intentPages {
				size := len(w.intentPageOperation(p).Value)
				if size > p.bytes+2 || size > w.pageCapacity() {
					t.Fatalf("seed %d: a page of %d bytes is taken for %d, at most %d", seed, size, p.bytes, w.pageCapacity())
				}
			}
			for _, x := range b.controller.reconciler.sortedAgents {
				for _, ref := range sortedTasks(x.attempts) {
					if random.IntN(4) == 0 {
						b.controller.reconciler.end(x.attempts[ref], "stopped")
					}
				}
			}
		}
	}
}

// TestDrainedMachineLosesItsNames: a task had ended before its machine began to drain,
// and its name was to be removed at leisure. That never came while all writes were
// needed for new tasks: sixty machines drained for minutes, and as no more may drain
// at a time the whole fleet stayed rented (repechage-next, simulated).
func TestDrainedMachineLosesItsNames(t *testing.T) {
	b := newFleetController(t)
	x := b.controller.reconciler.agents[fleetMachineName(17)]
	b.controller.reconciler.end(x.attempts[sortedTasks(x.attempts)[0]], "stopped")
	x.machine.Phase = storage.PhaseDraining
	for range 20 {
		b.now += time.Second
		b.refreshKnowledge()
		b.limitWrites(2.5) // never more than half of what there may be
		b.controller.reconciler.evictForDrains()
		b.controller.reconciler.writers[0].flush()
		b.applyTransactions()
	}
	if len(x.machine.Intents) > 0 {
		t.Error("the machine is still named")
	}
	if note := b.controller.reconciler.MachineStatuses()[17]; note.Name != x.machine.Name || note.Tasks > 0 {
		t.Errorf("%+v", note)
	}
}

// TestNewTasksAreWrittenFirst: where there are writes for one page only, it is the one
// that new tasks wait for, not one of the many that drained machines have left to be
// cleaned up.
func TestNewTasksAreWrittenFirst(t *testing.T) {
	b := newFleetController(t)
	w := b.controller.reconciler.writers[0]
	leave := func(machine int, phase storage.MachinePhase) {
		x := b.controller.reconciler.agents[fleetMachineName(machine)]
		x.machine.Phase = phase
		for _, ref := range sortedTasks(x.attempts) {
			b.controller.reconciler.end(x.attempts[ref], "stopped")
		}
	}
	for page := range 20 {
		leave(page*fleetTasksPerPage, storage.PhaseDraining)
	}
	for i := 1; i < fleetTasksPerPage; i++ {
		leave(19*fleetTasksPerPage+i, storage.PhaseDraining) // the emptiest of those pages, so new tasks are put there
		leave(30*fleetTasksPerPage+i, storage.PhaseActive)
	}
	dirty := 0
	for _, p := range w.intentPages {
		if p.dirty {
			dirty++
		}
	}
	if dirty < 10 {
		t.Fatalf("%d pages are to be written", dirty)
	}
	b.waitingJob()
	b.controller.reconciler.place()
	if len(w.unassigned) == 0 {
		t.Fatal("nothing new was placed")
	}
	b.transactions = nil
	b.limitWrites(1)
	b.now += flushPause
	w.flush()
	if len(b.transactions) != 1 || len(b.transactions[0].Operations) != 1 {
		t.Fatalf("transactions: %v", b.transactions)
	}
	if page := string(b.transactions[0].Operations[0].Value); !strings.Contains(page, "run-999999") {
		t.Errorf("written first: %s %s", b.transactions[0].Operations[0].Put, page)
	}
}
