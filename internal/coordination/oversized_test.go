package coordination

import (
	"encoding/json"
	"fmt"
	"math"
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

// leading makes the node the leader, whose fleet knows the machine types.
func (b *testController) becomeLeader() *provisioner {
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
	b.controller.leadership.provisioner.hasMachineTypes = true
	return b.controller.leadership.provisioner
}

// largeBlock is a block that was recorded under higher limits.
func largeBlock(machines int) storage.MachineGroupRecord {
	rec := storage.MachineGroupRecord{Type: "small", Zone: "z", FencingToken: grantToken}
	for i := range machines {
		rec.Machines = append(rec.Machines, storage.MachineEntry{Name: fleetMachineName(5000 + i), Address: fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250)})
	}
	return rec
}

// TestOversizedBlockIsSplit: a machine of a block that is too large by now goes back.
// The very write that records it splits the block; every machine stays in just one,
// and is held as before.
func TestOversizedBlockIsSplit(t *testing.T) {
	for _, machines := range []int{60, 69, 90} {
		b := newTestController(t)
		f := b.becomeLeader()
		b.apply(storage.MachineGroupKey("large"), largeBlock(machines))
		b.controller.recordsChanged(true)
		held := map[string]*agent{}
		for name, x := range b.controller.reconciler.agents {
			held[name] = x
		}
		b.limitStore(2048, 3, 12)
		_, leaving := b.controller.view.Machines.Find(fleetMachineName(5020))
		clear(f.changes)
		f.setPhase(leaving, storage.PhaseDraining, "idle")
		b.transactions = nil
		f.flushChanges(b.now)
		if len(b.transactions) != 1 {
			t.Fatalf("%d transactions", len(b.transactions))
		}
		b.applyTransactions()
		b.controller.recordsChanged(true)
		blocks := map[string]int{}
		for i := range machines {
			_, m := b.controller.view.Machines.Find(fleetMachineName(5000 + i))
			blocks[m.Group]++
			if (m.Phase == storage.PhaseDraining) != (m == leaving) {
				t.Errorf("%s is in phase %s", m.Name, m.Phase)
			}
			if x := b.controller.reconciler.agents[m.Name]; x != held[m.Name] || x.grantToken != grantToken {
				t.Errorf("%s is held anew", m.Name)
			}
		}
		if len(blocks) < 3 || blocks[""] > 0 {
			t.Errorf("machines by block: %v", blocks)
		}
	}
}

// TestOversizedBlockHandsOver: machines leave a block that is too large for another
// home; where that is more than a transaction takes, the block is split first.
func TestOversizedBlockHandsOver(t *testing.T) {
	b := newTestController(t)
	f := b.becomeLeader()
	b.apply(storage.MachineGroupKey("large"), largeBlock(60))
	b.controller.recordsChanged(true)
	b.limitStore(2048, 3, 12)
	moved := 0
	for range 10 {
		b.now += time.Second
		b.refreshKnowledge()
		b.transactions = nil
		clear(f.changes)
		clear(f.moves)
		for i := range 30 {
			_, m := b.controller.view.Machines.Find(fleetMachineName(5000 + i))
			if m.Shard == 0 {
				k := groupMove{m.Group, 1}
				f.moves[k] = append(f.moves[k], m)
			}
		}
		f.moveMachines()
		b.applyTransactions()
		clear(f.groupWritesInFlight) // as the answers would
		b.controller.recordsChanged(true)
	}
	for i := range 60 {
		if _, m := b.controller.view.Machines.Find(fleetMachineName(5000 + i)); m.Shard == 1 && m.Group != "" {
			moved++
		}
	}
	if moved != 30 {
		t.Errorf("%d machines have moved", moved)
	}
}

// TestGauges: pages and blocks over the limit and jobs that wait for others are counted,
// and not counted any more once they are written smaller, or done.
func TestGauges(t *testing.T) {
	b := newTestController(t)
	b.becomeLeader()
	b.limitStore(2048, math.MaxInt, math.MaxInt)
	b.apply(storage.MachineGroupKey("large"), largeBlock(60))
	b.apply(storage.MachineGroupKey("small"), largeBlock(2))
	b.apply(storage.JobKey("run-2"), storage.JobRecord{Spec: protocol.JobSpec{ID: "run-2", Team: "red", Kind: protocol.KindArray, Priority: "normal", Tasks: 1, CPUs: 1, MemoryGB: 1, Dependencies: []string{"run-1"}}})
	b.controller.refreshGauges()
	if s := b.controller.Stats(); s.OversizedValues != 1 || s.JobsAwaitingDependencies != 1 {
		t.Errorf("%+v", s)
	}
	b.apply(storage.MachineGroupKey("large"), largeBlock(3))
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
