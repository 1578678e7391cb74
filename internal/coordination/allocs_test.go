package coordination

import (
	"fmt"
	"testing"

	"rockrun/internal/coordination/api"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// A report that says nothing new is what a controller gets most of: it must cost
// next to nothing to take in, however many machines there are.
func TestReportAllocations(t *testing.T) {
	b := newTestController(t, inherited)
	b.report(1, grantToken, running)
	r := &protocol.AgentHeartbeat{Machine: "m-1", Address: "w", MachineType: "small", Zone: "z", Epoch: 1, Sequence: 1, FencingToken: grantToken, Tasks: []protocol.TaskStatus{running}}
	b.controller.reconciler.pass() // what the first report asked for is sent
	b.boundReportAllocations(r)
}

// boundReportAllocations asserts what a report without news allocates.
func (b *testController) boundReportAllocations(r *protocol.AgentHeartbeat) {
	b.t.Helper()
	reply := func(a api.Answer) {
		if a.Status != 200 {
			b.t.Fatalf("status %d", a.Status)
		}
	}
	if n := testing.AllocsPerRun(200, func() {
		r.Sequence++
		b.controller.OnAgentHeartbeat(r, reply)
	}); n > 2 {
		b.t.Errorf("%v allocations for a report without news", n)
	}
}

// Changes of jobs and of pages of intents come many times a second; the machines
// held are gone through only where what there is to hold has changed.
func TestMachinesAreGoneThroughOnNeed(t *testing.T) {
	b := newTestController(t)
	looks := func(key string, record any) bool {
		before := b.controller.view.FleetRevision
		b.apply(key, record)
		b.controller.recordsChanged(true)
		if b.controller.reconciler.seenFleetRevision != b.controller.view.FleetRevision {
			t.Fatal("the holder has not looked at the last change")
		}
		return b.controller.view.FleetRevision != before
	}
	for i := range 5 {
		if looks(storage.JobKey(fmt.Sprintf("run-%d", 50+i)), storage.JobRecord{Spec: protocol.JobSpec{
			ID: fmt.Sprintf("run-%d", 50+i), Team: "red", Kind: protocol.KindArray, Priority: "normal", Tasks: 1, CPUs: 4, MemoryGB: 1,
		}}) {
			t.Error("a job made it go through all machines")
		}
	}
	if looks(storage.IntentPageKey(firstPage), storage.IntentPage{"run-1": {storage.IntentEntry(0, "m-1", 11)}}) {
		t.Error("a page of intents made it go through all machines")
	}
	if !looks(storage.MachineGroupKey("c"), storage.MachineGroupRecord{Type: "small", Zone: "z", Machines: []storage.MachineEntry{{Name: "m-2", Address: "v"}}}) {
		t.Error("a new block did not")
	}
	if b.controller.reconciler.agents["m-2"] == nil {
		t.Error("the new machine is not held")
	}
	b.revision++
	b.controller.view.Remove(storage.JobKey("run-50"), b.revision)
	b.controller.recordsChanged(true)
	if b.controller.reconciler.seenJobsEnded != b.controller.view.JobsEnded {
		t.Error("the end of a job was not looked at")
	}
}
