package storage

import (
	"testing"

	"rockrun/internal/protocol"
)

// TestMachineMovesBetweenGroups: while a machine moves, both groups name it for a moment.
// The group that was read last wins, and the removal of the machine's entry from the old
// group must not affect the machine.
func TestMachineMovesBetweenGroups(t *testing.T) {
	v := newTestView(t, 2)
	entry := MachineEntry{Name: "m-1", Address: "10.0.0.1:1", Phase: PhaseDraining, DrainStamp: 4, Evict: true}
	v.put(MachineGroupKey("old"), MachineGroupRecord{Type: "small", Zone: "z", Shard: 0, FencingToken: 3, CreatedAtMS: 9, Machines: []MachineEntry{entry, {Name: "m-2"}}})
	m := v.findMachine("m-1")
	if m.MachineEntry != entry || m.Group != "old" || m.Type != "small" || m.Zone != "z" || m.FencingToken != 3 || m.CreatedAtMS != 9 || !m.Exists() {
		t.Errorf("%+v", m)
	}
	if other := v.findMachine("m-2"); other.Phase != PhaseActive {
		t.Errorf("machine without a phase in its entry has phase %q", other.Phase)
	}
	v.put(MachineGroupKey("new"), MachineGroupRecord{Type: "small", Zone: "z", Shard: 1, Machines: []MachineEntry{entry}})
	v.put(MachineGroupKey("old"), MachineGroupRecord{Type: "small", Zone: "z", Machines: []MachineEntry{{Name: "m-2"}}})
	if m.Group != "new" || m.Shard != 1 || m.Phase != PhaseDraining {
		t.Errorf("after the move: %+v", m)
	}
	if v.FleetRevision != 3 {
		t.Errorf("fleet revision %d", v.FleetRevision)
	}
}

// TestMachineRetainedWhileIntentNamesIt: the row of a machine that no group names is
// retained, as deleted, while an intent names the machine.
func TestMachineRetainedWhileIntentNamesIt(t *testing.T) {
	v := newTestView(t, 1)
	v.put(MachineGroupKey("g"), MachineGroupRecord{Type: "small", Machines: []MachineEntry{{Name: "m-1"}, {Name: "m-2"}}})
	v.put(IntentPageKey(PageID{}), IntentPage{"run-1": {IntentEntry(0, "m-1", 1)}})
	v.remove(MachineGroupKey("g"))
	if m := v.findMachine("m-1"); m.Exists() || m.Phase != PhaseDeleted || m.Group != "" {
		t.Errorf("%+v", m)
	}
	if id, _ := v.Machines.Find("m-2"); id >= 0 {
		t.Error("row of a machine that no record names was not deleted")
	}
	v.remove(IntentPageKey(PageID{}))
	if id, _ := v.Machines.Find("m-1"); id >= 0 {
		t.Error("row was not deleted with the last intent")
	}
}

// TestEligible: a machine is eligible if the job's specification allows it and the
// machine is large enough for a task.
func TestEligible(t *testing.T) {
	v := newTestView(t, 1)
	v.put(KeyMachineTypes, protocol.MachineTypeCatalogue{Types: []protocol.MachineType{
		{Name: "small", CPUs: 4, MemoryGB: 16}, {Name: "large", CPUs: 16, GPUs: 2, MemoryGB: 64},
	}})
	for name, c := range map[string]struct {
		machine MachineGroupRecord
		job     func(s *protocol.JobSpec)
		want    bool
	}{
		"no constraints":       {MachineGroupRecord{Type: "small"}, func(*protocol.JobSpec) {}, true},
		"whole machine":        {MachineGroupRecord{Type: "small"}, func(s *protocol.JobSpec) { s.CPUs, s.MemoryGB = 4, 16 }, true},
		"too many CPUs":        {MachineGroupRecord{Type: "small"}, func(s *protocol.JobSpec) { s.CPUs = 4.01 }, false},
		"too much memory":      {MachineGroupRecord{Type: "small"}, func(s *protocol.JobSpec) { s.MemoryGB = 17 }, false},
		"no GPU":               {MachineGroupRecord{Type: "small"}, func(s *protocol.JobSpec) { s.GPUs = 1 }, false},
		"GPU":                  {MachineGroupRecord{Type: "large"}, func(s *protocol.JobSpec) { s.GPUs = 1 }, true},
		"allowed type":         {MachineGroupRecord{Type: "large"}, func(s *protocol.JobSpec) { s.Types = []string{"large"} }, true},
		"other type":           {MachineGroupRecord{Type: "small"}, func(s *protocol.JobSpec) { s.Types = []string{"large"} }, false},
		"type of unknown size": {MachineGroupRecord{Type: "unknown"}, func(*protocol.JobSpec) {}, false},
		"required zone":        {MachineGroupRecord{Type: "small", Zone: "z"}, func(s *protocol.JobSpec) { s.Zone = "z" }, true},
		"other zone":           {MachineGroupRecord{Type: "small", Zone: "z"}, func(s *protocol.JobSpec) { s.Zone = "y" }, false},
		"spot allowed":         {MachineGroupRecord{Type: "small", Spot: true}, func(s *protocol.JobSpec) { s.Spot = true }, true},
		"spot not allowed":     {MachineGroupRecord{Type: "small", Spot: true}, func(*protocol.JobSpec) {}, false},
	} {
		t.Run(name, func(t *testing.T) {
			c.machine.Machines = []MachineEntry{{Name: "m-1"}}
			v.put(MachineGroupKey("g"), c.machine)
			s := spec("run-1", 1)
			c.job(&s)
			v.put(JobKey("run-1"), JobRecord{Spec: s})
			if got := v.Eligible(v.findJob("run-1"), v.findMachine("m-1")); got != c.want {
				t.Errorf("eligible: %t", got)
			}
		})
	}
}
