package coordination

import (
	"testing"

	"rockrun/internal/coordination/quota"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// TestWaitingCountsForNothing: a job that waits for another has no part of a limit and is
// not to be placed. That it is no demand for machines either is tested in the autoscaler.
func TestWaitingCountsForNothing(t *testing.T) {
	b := newTestController(t)
	b.apply(storage.MachineGroupKey("b"), storage.MachineGroupRecord{})
	_, first := b.controller.view.Jobs.Find("run-1")
	b.controller.view.Remove(storage.JobKey(first.ID), b.revision+1)
	b.revision++
	for id, kind := range map[string]string{"run-20": protocol.KindArray, "run-21": protocol.KindService} {
		b.apply(storage.JobKey(id), storage.JobRecord{Spec: protocol.JobSpec{
			ID: id, Team: "red", Kind: kind, Priority: "normal", Tasks: 2, CPUs: 2, MemoryGB: 1, Dependencies: []string{"run-7"},
		}})
	}
	needs := func() (waiting int) {
		for _, n := range quota.Demands(b.controller.view)[0] {
			waiting += n.Waiting
		}
		return waiting
	}
	if waiting := needs(); waiting > 0 {
		t.Errorf("while they wait: %d of the limit", waiting)
	}
	b.controller.jobs.Remember("run-7", storage.FinalRecord{Stage: protocol.StageDone})
	if needs() == 0 {
		t.Error("released: nothing of the limit")
	}
}
