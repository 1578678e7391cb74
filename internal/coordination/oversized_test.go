package coordination

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// flushFor lets the writer of a home write for so long, as passes do.
func (b *testController) flushFor(seconds int, each func()) {
	b.t.Helper()
	w := b.controller.reconciler.writers[0]
	for range 5 * seconds {
		b.now += 200 * time.Millisecond
		b.refreshKnowledge()
		w.flush()
		b.applyTransactions()
		for _, p := range w.intentPages {
			p.writeInFlight = false
		}
		for _, p := range w.completionPages {
			p.writeInFlight = false
		}
		each()
	}
}

// TestOversizedPagesAreEmptied: pages of intents lie there from a time of higher
// limits. What must change on them goes to other pages first, no write is over the
// limits, and at no time is there a task that may be running without a page that names
// it. Before, such a page was written as it was and refused for ever, and a machine
// that drained kept its name on it for as long.
func TestOversizedPagesAreEmptied(t *testing.T) {
	b := newFleetController(t)
	b.limitStore(512, 4, math.MaxInt)
	w := b.controller.reconciler.writers[0]
	before := w.oversizedValues()
	if before < 30 {
		t.Fatalf("%d pages are over the limit", before)
	}
	lost := b.controller.reconciler.agents[fleetMachineName(17)]
	lost.machine.Phase = storage.PhaseDraining
	b.controller.reconciler.end(lost.attempts[sortedTasks(lost.attempts)[0]], "stopped")
	other := b.controller.reconciler.agents[fleetMachineName(200)] // goes on taking tasks, so there is no hurry
	b.controller.reconciler.end(other.attempts[sortedTasks(other.attempts)[0]], "stopped")
	b.flushFor(10, func() {
		t.Helper()
		for _, x := range b.controller.reconciler.sortedAgents {
			for ref, a := range x.attempts {
				if x.machine.Intents[ref].Attempt != a.number {
					t.Fatalf("no page names the task on %s", x.machine.Name)
				}
			}
		}
	})
	for _, x := range []*agent{lost, other} {
		if len(x.machine.Intents) > 0 {
			t.Errorf("%s is still named", x.machine.Name)
		}
	}
	if left := w.oversizedValues(); left != before-2 {
		t.Errorf("%d pages are over the limit, of %d before", left, before)
	}
}

// TestOversizedDonePageIsEmptied is the same for a page of completed tasks: what has
// completed is in the records all the time.
func TestOversizedDonePageIsEmptied(t *testing.T) {
	b := newTestController(t)
	const jobs = 60
	id := func(i int) string { return fmt.Sprintf("run-%06d", 100+i) }
	page := storage.CompletionPage{}
	for i := range jobs {
		page[storage.CompletionChunkName(id(i), 0)] = []byte{1}
		b.apply(storage.JobKey(id(i)), storage.JobRecord{Spec: protocol.JobSpec{
			ID: id(i), Team: "red", Kind: protocol.KindArray, Priority: "normal", Tasks: 80, CPUs: 1, MemoryGB: 1,
		}})
	}
	b.apply(storage.CompletionPageKey(firstPage), page)
	b.controller.recordsChanged(true)
	w := b.controller.reconciler.writers[0]
	for i := range jobs {
		_, j := b.controller.view.Jobs.Find(id(i))
		b.controller.reconciler.progress(j)
	}
	b.limitStore(1024, 4, math.MaxInt)
	if w.oversizedValues() != 1 {
		t.Fatalf("%d pages are over the limit", w.oversizedValues())
	}
	completed := func(i, task int) {
		_, j := b.controller.view.Jobs.Find(id(i))
		p := b.controller.reconciler.progress(j)
		p.completed.Set(task)
		p.completedCount++
		w.markCompleted(p, 0, b.now)
	}
	recorded := func(i, task int) bool {
		for key, value := range b.values {
			var rec storage.CompletionPage
			if strings.HasPrefix(key, "r/d/") && json.Unmarshal(value, &rec) == nil && storage.TaskSet(rec[storage.CompletionChunkName(id(i), 0)]).Has(task) {
				return true
			}
		}
		return false
	}
	for _, first := range []int{0, 1} {
		for i := first; i < jobs; i += 2 {
			completed(i, 5)
		}
		b.flushFor(10, func() {
			t.Helper()
			for i := range jobs {
				if !recorded(i, 0) {
					t.Fatalf("what had completed of %s is in no page", id(i))
				}
			}
		})
		for i := first; i < jobs; i += 2 {
			if !recorded(i, 5) {
				t.Errorf("what has completed of %s since is in no page", id(i))
			}
		}
	}
	if w.oversizedValues() > 0 {
		t.Errorf("%d pages are over the limit", w.oversizedValues())
	}
}

// becomeLeader makes the controller the leader.
func (b *testController) becomeLeader() {
	b.t.Helper()
	b.apply(storage.KeyTerm, storage.TermRecord{Term: 5})
	b.elected = true
	b.controller.elector.Tick()
	b.now += time.Second // more than candidates wait
	b.controller.elector.Tick()
	b.applyTransactions()
	b.controller.elector.ObserveRecord()
	if b.controller.leadership == nil {
		b.t.Fatal("it does not lead")
	}
}

// largeGroup is a machine group that was recorded under higher limits.
func largeGroup(machines int) storage.MachineGroupRecord {
	rec := storage.MachineGroupRecord{Type: "small", Zone: "z", FencingToken: grantToken}
	for i := range machines {
		rec.Machines = append(rec.Machines, storage.MachineEntry{Name: fleetMachineName(5000 + i), Address: fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250)})
	}
	return rec
}

// TestSplitGroupIsHeldAsBefore: the leader divides a group of machines among several that
// keep its fencing token. Every machine is held as before, under the same grant.
func TestSplitGroupIsHeldAsBefore(t *testing.T) {
	for _, machines := range []int{60, 69, 90} {
		b := newTestController(t)
		group := largeGroup(machines)
		b.apply(storage.MachineGroupKey("large"), group)
		b.controller.recordsChanged(true)
		held := map[string]*agent{}
		for name, x := range b.controller.reconciler.agents {
			held[name] = x
		}
		entries := group.Machines
		for i, part := range slices.Collect(slices.Chunk(entries, 25)) { // the first keeps the key, and comes last
			if group.Machines = part; i > 0 {
				b.apply(storage.MachineGroupKey(fmt.Sprint("part-", i)), group)
			}
		}
		group.Machines = entries[:25]
		b.apply(storage.MachineGroupKey("large"), group)
		b.controller.recordsChanged(true)
		for _, entry := range entries {
			if x := b.controller.reconciler.agents[entry.Name]; x == nil || x != held[entry.Name] || x.grantToken != grantToken {
				t.Errorf("%d machines: %s is held anew", machines, entry.Name)
			}
		}
	}
}

// TestGauges: pages and machine groups over the limit and jobs that wait for others are counted,
// and not counted any more once they are written smaller, or done.
func TestGauges(t *testing.T) {
	b := newTestController(t)
	b.becomeLeader()
	b.limitStore(2048, math.MaxInt, math.MaxInt)
	b.apply(storage.MachineGroupKey("large"), largeGroup(60))
	b.apply(storage.MachineGroupKey("small"), largeGroup(2))
	b.apply(storage.JobKey("run-2"), storage.JobRecord{Spec: protocol.JobSpec{ID: "run-2", Team: "red", Kind: protocol.KindArray, Priority: "normal", Tasks: 1, CPUs: 1, MemoryGB: 1, Dependencies: []string{"run-1"}}})
	b.controller.refreshGauges()
	if s := b.controller.Stats(); s.OversizedValues != 1 || s.JobsAwaitingDependencies != 1 {
		t.Errorf("%+v", s)
	}
	b.apply(storage.MachineGroupKey("large"), largeGroup(3))
	b.controller.view.SetOutcome("run-1", storage.FinalRecord{Stage: protocol.StageDone})
	b.controller.refreshGauges()
	if s := b.controller.Stats(); s.OversizedValues != 1 || s.JobsAwaitingDependencies != 1 {
		t.Errorf("counted again before it was time: %+v", s)
	}
	b.now += gaugeInterval
	b.controller.refreshGauges()
	if s := b.controller.Stats(); s.OversizedValues != 0 || s.JobsAwaitingDependencies != 0 {
		t.Errorf("%+v after they were mended", s)
	}
}
