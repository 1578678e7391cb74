package coordination

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"rockrun/internal/bookkeeping"
	"rockrun/internal/protocol"
)

// TestPageSizeIsBounded: what a page of intents is taken to hold is never less than
// what its value takes, however attempts come and go: a value over the limit would be
// refused again and again, and none of its tasks could ever start.
func TestPageSizeIsBounded(t *testing.T) {
	for seed := range uint64(2) {
		b := grownBench(t)
		random := rand.New(rand.NewPCG(seed, 3))
		for i := range 40 {
			id := fmt.Sprintf("run-%d", 700_000_000+random.IntN(1_000_000)*(i+1))
			b.apply(bookkeeping.JobKey(id), bookkeeping.JobRecord{Spec: protocol.Spec{
				ID: id, Team: "red", Kind: protocol.KindArray, Priority: "normal", Tasks: 2000, CPUs: 0.333333 * float64(1+i%3), MemoryGB: 0.1, Spot: true, EstimateS: 15,
			}})
		}
		b.n.changed(true)
		w := b.n.hold.writers[0]
		for range 12 {
			b.now += 200_000_000
			b.fresh()
			b.n.hold.place()
			w.assign()
			for _, p := range w.pages {
				size := len(w.intents(p).Value)
				if size > p.bytes+2 || size > w.pageCapacity() {
					t.Fatalf("seed %d: a page of %d bytes is taken for %d, at most %d", seed, size, p.bytes, w.pageCapacity())
				}
			}
			for _, x := range b.n.hold.list {
				for _, ref := range refs(x.attempts) {
					if random.IntN(4) == 0 {
						b.n.hold.end(x.attempts[ref], "stopped")
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
	b := grownBench(t)
	x := b.n.hold.machines[grownMachine(17)]
	b.n.hold.end(x.attempts[refs(x.attempts)[0]], "stopped")
	x.m.Phase = bookkeeping.PhaseDrain
	for range 20 {
		b.now += time.Second
		b.fresh()
		b.n.budget.rate, b.n.budget.level, b.n.budget.at = 2.5, 1, b.now // never more than half of what there may be
		b.n.hold.stopForDrains()
		b.n.hold.writers[0].flush()
		b.carryOut()
	}
	if len(x.m.Intents) > 0 {
		t.Error("the machine is still named")
	}
	if note := b.n.hold.notes()[17]; note.Name != x.m.Name || note.Tasks > 0 {
		t.Errorf("%+v", note)
	}
}

// TestNewTasksAreWrittenFirst: where there are writes for one page only, it is the one
// that new tasks wait for, not one of the many that drained machines have left to be
// cleaned up.
func TestNewTasksAreWrittenFirst(t *testing.T) {
	b := grownBench(t)
	w := b.n.hold.writers[0]
	leave := func(machine int, phase string) {
		x := b.n.hold.machines[grownMachine(machine)]
		x.m.Phase = phase
		for _, ref := range refs(x.attempts) {
			b.n.hold.end(x.attempts[ref], "stopped")
		}
	}
	for page := range 20 {
		leave(page*grownPerPage, bookkeeping.PhaseDrain)
	}
	for i := 1; i < grownPerPage; i++ {
		leave(19*grownPerPage+i, bookkeeping.PhaseDrain) // the emptiest of those pages, so new tasks are put there
		leave(30*grownPerPage+i, bookkeeping.PhaseActive)
	}
	dirty := 0
	for _, p := range w.pages {
		if p.dirty {
			dirty++
		}
	}
	if dirty < 10 {
		t.Fatalf("%d pages are to be written", dirty)
	}
	b.waitingJob()
	b.n.hold.place()
	if len(w.unassigned) == 0 {
		t.Fatal("nothing new was placed")
	}
	b.txns = nil
	b.n.budget.rate, b.n.budget.level, b.n.budget.at = 1, 1, b.now
	b.now += flushPause
	w.flush()
	if len(b.txns) != 1 || len(b.txns[0].Then) != 1 {
		t.Fatalf("transactions: %v", b.txns)
	}
	if page := string(b.txns[0].Then[0].Value); !strings.Contains(page, "run-999999") {
		t.Errorf("written first: %s %s", b.txns[0].Then[0].Put, page)
	}
}
