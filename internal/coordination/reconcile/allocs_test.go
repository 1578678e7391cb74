package reconcile

import (
	"fmt"
	"testing"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// TestHeartbeatAllocations: a heartbeat without news is what a controller gets most of. It
// must cost next to nothing to take in, however many machines there are.
func TestHeartbeatAllocations(t *testing.T) {
	f := newFixture(t, inheritedIntent)
	f.heartbeat(1, grantToken, runningStatus)
	r := &protocol.AgentHeartbeat{Machine: "m-1", Address: "w", MachineType: "small", Zone: "z", Epoch: 1, Sequence: 1, FencingToken: grantToken, Tasks: []protocol.TaskStatus{runningStatus}}
	f.reconciler.pass() // what the first heartbeat asked for is sent
	f.boundHeartbeatAllocations(r)
}

// boundHeartbeatAllocations asserts what a heartbeat without news allocates.
func (f *fixture) boundHeartbeatAllocations(r *protocol.AgentHeartbeat) {
	f.t.Helper()
	_, machine := f.view.Machines.Find(r.Machine)
	reply := func(protocol.AgentHeartbeatAnswer) {}
	if n := testing.AllocsPerRun(200, func() {
		r.Sequence++
		if err := f.reconciler.OnHeartbeat(machine, r, reply); err != nil {
			f.t.Fatal(err)
		}
	}); n > maxHeartbeatAllocations {
		f.t.Errorf("%v allocations for a heartbeat without news", n)
	}
}

// maxHeartbeatAllocations leaves the controller one for the body of its answer.
const maxHeartbeatAllocations = 1

// TestMachinesAreGoneThroughOnNeed: changes of jobs and of pages of intents come many times
// a second; the machines held are gone through only where what there is to hold has
// changed.
func TestMachinesAreGoneThroughOnNeed(t *testing.T) {
	f := newFixture(t)
	goesThrough := func(key string, record any) bool {
		before := f.view.FleetRevision
		f.apply(key, record)
		f.recordsChanged()
		if f.reconciler.synced.fleet != f.view.FleetRevision {
			t.Fatal("the reconciler has not looked at the last change")
		}
		return f.view.FleetRevision != before
	}
	for i := range 5 {
		if goesThrough(storage.JobKey(fmt.Sprintf("run-%d", 50+i)), storage.JobRecord{Spec: protocol.JobSpec{
			ID: fmt.Sprintf("run-%d", 50+i), Team: "red", Kind: protocol.KindArray, Priority: "normal", Tasks: 1, CPUs: 4, MemoryGB: 1,
		}}) {
			t.Error("a job made it go through all machines")
		}
	}
	if goesThrough(storage.IntentPageKey(firstPage), storage.IntentPage{"run-1": {storage.IntentEntry(0, "m-1", 11)}}) {
		t.Error("a page of intents made it go through all machines")
	}
	if !goesThrough(storage.MachineGroupKey("c"), storage.MachineGroupRecord{Type: "small", Zone: "z", Machines: []storage.MachineEntry{{Name: "m-2", Address: "v"}}}) {
		t.Error("a new machine group did not")
	}
	if f.reconciler.agents.find("m-2") == nil {
		t.Error("the new machine is not held")
	}
	f.remove(storage.JobKey("run-50"))
	f.recordsChanged()
	if f.reconciler.synced.jobsEnded != f.view.JobsEnded {
		t.Error("the end of a job was not looked at")
	}
}

// TestPassAllocations: a pass that finds nothing to do allocates nothing that grows
// with the fleet, whether work waits or not.
func TestPassAllocations(t *testing.T) {
	for _, machines := range []int{mediumFleet, largeFleet} {
		f := newFleetFixture(t, machines)
		if n := testing.AllocsPerRun(20, f.reconciler.pass); n > 16 {
			t.Errorf("%d machines: %v allocations for a pass with nothing to place", machines, n)
		}
		f.addUnplaceableJob()
		if n := testing.AllocsPerRun(20, f.reconciler.pass); n > 64 {
			t.Errorf("%d machines: %v allocations for a pass with work that finds no room", machines, n)
		}
	}
}
