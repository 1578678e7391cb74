package reconcile

import (
	"fmt"
	"testing"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// TestHeartbeatAllocations guards against a high cost per heartbeat. Most requests to a
// controller are heartbeats without changes, whose processing must allocate next to nothing,
// regardless of the number of machines.
func TestHeartbeatAllocations(t *testing.T) {
	f := newFixture(t, inheritedIntent)
	f.heartbeat(1, grantToken, runningStatus)
	heartbeat := &protocol.AgentHeartbeat{Machine: "m-1", Address: "w", MachineType: "small", Zone: "z", Epoch: 1, Sequence: 1, FencingToken: grantToken, Tasks: []protocol.TaskStatus{runningStatus}}
	f.reconciler.pass() // sends the commands that follow from the first heartbeat
	f.checkHeartbeatAllocations(heartbeat)
}

// checkHeartbeatAllocations checks the allocations of a heartbeat without changes.
func (f *fixture) checkHeartbeatAllocations(heartbeat *protocol.AgentHeartbeat) {
	f.t.Helper()
	_, machine := f.view.Machines.Find(heartbeat.Machine)
	reply := func(protocol.AgentHeartbeatAnswer) {}
	if n := testing.AllocsPerRun(200, func() {
		heartbeat.Sequence++
		if err := f.reconciler.OnHeartbeat(machine, heartbeat, reply); err != nil {
			f.t.Fatal(err)
		}
	}); n > maxHeartbeatAllocations {
		f.t.Errorf("%v allocations for a heartbeat without changes", n)
	}
}

// maxHeartbeatAllocations leaves the controller one allocation for the body of its answer.
const maxHeartbeatAllocations = 1

// TestFleetSyncedOnlyAfterFleetChanges guards against an iteration over all machines for every
// change of the records. Jobs and intent pages change many times a second; only a change of the
// machines to hold may cause an iteration.
func TestFleetSyncedOnlyAfterFleetChanges(t *testing.T) {
	f := newFixture(t)
	changesFleet := func(key string, record any) bool {
		before := f.view.FleetRevision
		f.apply(key, record)
		f.recordsChanged()
		if f.reconciler.synced.fleet != f.view.FleetRevision {
			t.Fatal("the reconciler has not synced with the last change")
		}
		return f.view.FleetRevision != before
	}
	for i := range 5 {
		if changesFleet(storage.JobKey(fmt.Sprintf("run-%d", 50+i)), storage.JobRecord{Spec: protocol.JobSpec{
			ID: fmt.Sprintf("run-%d", 50+i), Team: "red", Kind: protocol.KindArray, Priority: "normal", Tasks: 1, CPUs: 4, MemoryGB: 1,
		}}) {
			t.Error("a job caused an iteration over all machines")
		}
	}
	if changesFleet(storage.IntentPageKey(firstPage), storage.IntentPage{"run-1": {storage.IntentEntry(0, "m-1", 11)}}) {
		t.Error("an intent page caused an iteration over all machines")
	}
	if !changesFleet(storage.MachineGroupKey("c"), storage.MachineGroupRecord{Type: "small", Zone: "z", Machines: []storage.MachineEntry{{Name: "m-2", Address: "v"}}}) {
		t.Error("a new machine group caused no iteration over the machines")
	}
	if f.reconciler.agents.find("m-2") == nil {
		t.Error("the new machine has no agent")
	}
	f.remove(storage.JobKey("run-50"))
	f.recordsChanged()
	if f.reconciler.synced.inactiveJobs != f.view.InactiveJobsRevision {
		t.Error("the end of a job was not processed")
	}
}

// TestPassAllocations checks that the allocations of a pass that places nothing do not grow
// with the fleet, with or without pending tasks.
func TestPassAllocations(t *testing.T) {
	for _, machines := range []int{mediumFleet, largeFleet} {
		f := newFleetFixture(t, machines)
		if n := testing.AllocsPerRun(20, f.reconciler.pass); n > 16 {
			t.Errorf("%d machines: %v allocations for a pass with nothing to place", machines, n)
		}
		f.addUnplaceableJob()
		if n := testing.AllocsPerRun(20, f.reconciler.pass); n > 64 {
			t.Errorf("%d machines: %v allocations for a pass with pending tasks that fit nowhere", machines, n)
		}
	}
}
