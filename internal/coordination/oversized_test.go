package coordination

import (
	"fmt"
	"math"
	"testing"
	"time"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

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
		rec.Machines = append(rec.Machines, storage.MachineEntry{Name: fmt.Sprintf("m-%06d", 5000+i), Address: fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250)})
	}
	return rec
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
