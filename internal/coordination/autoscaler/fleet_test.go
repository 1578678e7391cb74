package autoscaler

import (
	"fmt"
	"testing"
	"time"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// testRecords holds a view built from records, and the machine statuses of a fleet.
type testRecords struct {
	t        *testing.T
	revision uint64
	view     *storage.View
	statuses map[string]protocol.MachineStatus
}

func newTestRecords(t *testing.T) *testRecords {
	t.Helper()
	r := &testRecords{t: t, view: storage.NewView([]storage.Team{{Name: "red", MaxCPUs: 8}}, 1), statuses: map[string]protocol.MachineStatus{}}
	r.apply(storage.KeyMachineTypes, protocol.MachineTypeCatalogue{Types: []protocol.MachineType{{Name: "small", CPUs: 4, MemoryGB: 8, Zones: []string{"z"}}}})
	r.apply(storage.KeyJobShards, storage.JobShardsRecord{JobShards: 1})
	return r
}

// apply applies a record to the view at the next revision.
func (r *testRecords) apply(key string, record any) {
	r.t.Helper()
	r.revision++
	if err := r.view.Apply(key, storage.Encode(record), r.revision); err != nil {
		r.t.Fatal(err)
	}
}

// machine returns the only machine in the view, adding its record on the first call.
func (r *testRecords) machine() *storage.Machine {
	r.t.Helper()
	_, m := r.view.Machines.Find("m-1")
	if m == nil {
		r.apply(storage.MachineGroupKey("b"), storage.MachineGroupRecord{Type: "small", Zone: "z", Machines: []storage.MachineEntry{{Name: "m-1", Address: "w"}}})
		_, m = r.view.Machines.Find("m-1")
	}
	return m
}

func (r *testRecords) fleet() *Fleet {
	return &Fleet{
		View: r.view, Now: time.Unix(1_800_000_000, 0), HeartbeatInterval: 3 * time.Second, HeartbeatTolerance: 6 * time.Second,
		BootTimeoutFactor: 2.5, SpareReplicas: 4,
		MachineStatus: func(m *storage.Machine) (protocol.MachineStatus, bool) {
			status, known := r.statuses[m.Name]
			return status, known
		},
	}
}

// TestJobsAwaitingDependenciesCreateNoDemand checks that a job with an unfinished dependency
// creates no demand and no spare demand, and makes no machine type a sole type.
func TestJobsAwaitingDependenciesCreateNoDemand(t *testing.T) {
	r := newTestRecords(t)
	for id, kind := range map[string]string{"run-20": protocol.KindArray, "run-21": protocol.KindService} {
		r.apply(storage.JobKey(id), storage.JobRecord{Spec: protocol.JobSpec{
			ID: id, Team: "red", Kind: kind, Priority: "normal", Tasks: 2, CPUs: 2, MemoryGB: 1, Dependencies: []string{"run-7"},
		}})
	}
	count := func() (demands, spares, sole int) {
		for _, d := range r.fleet().Demands() {
			demands += d.Count
		}
		for _, d := range r.fleet().SpareDemands(nil) {
			spares += d.Count
		}
		return demands, spares, len(r.fleet().SoleMachineTypes())
	}
	if demands, spares, sole := count(); demands+spares+sole > 0 {
		t.Errorf("dependency unfinished: %d tasks demanded, %d spare replicas, %d sole types; want none", demands, spares, sole)
	}
	r.view.SetOutcome("run-7", storage.FinalRecord{Stage: protocol.StageDone})
	if demands, spares, sole := count(); demands != 4 || spares == 0 || sole != 1 {
		t.Errorf("dependency done: %d tasks demanded, %d spare replicas, %d sole types; want 4, at least 1, 1", demands, spares, sole)
	}
}

// TestDemandsWithinMaximum checks that demand is limited to the tasks that the team's maximum
// allows to start.
func TestDemandsWithinMaximum(t *testing.T) {
	r := newTestRecords(t)
	for i, tasks := range []int{3, 3, 3} {
		id := fmt.Sprintf("run-%d", i)
		r.apply(storage.JobKey(id), storage.JobRecord{Spec: protocol.JobSpec{
			ID: id, Team: "red", Kind: protocol.KindArray, Priority: "normal", Tasks: tasks, CPUs: 2, MemoryGB: 1,
		}})
	}
	var counts []int
	for _, d := range r.fleet().Demands() {
		counts = append(counts, d.Count)
	}
	if fmt.Sprint(counts) != "[3 1]" { // the maximum of 8 CPUs allows four tasks of 2 CPUs
		t.Errorf("demands for %v tasks, want [3 1]", counts)
	}
}

// TestTasksAllowedInZone checks how many of four unplaced tasks, of a job with five, may
// be placed in a zone.
func TestTasksAllowedInZone(t *testing.T) {
	for _, c := range []struct {
		name   string
		spec   protocol.JobSpec
		placed int
		want   int
	}{
		{"no zone constraint", protocol.JobSpec{}, 1, 4},
		{"spread: half of the tasks, rounded up, less the placed ones", protocol.JobSpec{Spread: true}, 1, 2},
		{"spread: none if more than half are placed", protocol.JobSpec{Spread: true}, 4, 0},
		{"one zone, none running yet", protocol.JobSpec{OneZone: true}, 0, 4},
	} {
		c.spec.Tasks = 5
		if got := tasksAllowedInZone(&storage.Job{JobSpec: c.spec}, 4, c.placed); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
}

// TestSupplyByStatus checks how the status reported by the holder determines the state of a
// machine's supply.
func TestSupplyByStatus(t *testing.T) {
	for _, c := range []struct {
		name        string
		status      protocol.MachineStatus
		known       bool
		partitioned bool
		want        string // Ready, Schedulable, Suspect, MustDrain
	}{
		{"no status", protocol.MachineStatus{}, false, false, "false true false false"},
		{"up", protocol.MachineStatus{Seen: true}, true, false, "true true false false"},
		{"faulty", protocol.MachineStatus{Seen: true, Faulty: true}, true, false, "true false true true"},
		{"termination announced", protocol.MachineStatus{Seen: true, Leaves: true}, true, false, "true false true true"},
		{"unresponsive", protocol.MachineStatus{Seen: true, Unresponsive: true}, true, false, "true false true false"},
		{"silent longer than three heartbeat intervals", protocol.MachineStatus{Seen: true, Silent: 10 * time.Second}, true, false, "true false true false"},
		{"silent shorter than three heartbeat intervals", protocol.MachineStatus{Seen: true, Silent: 8 * time.Second}, true, false, "true true false false"},
		{"silent longer than the heartbeat tolerance in a partitioned zone", protocol.MachineStatus{Seen: true, Silent: 8 * time.Second}, true, true, "true false true false"},
		{"boot overdue", protocol.MachineStatus{Silent: time.Hour}, true, false, "false false false false"},
	} {
		r := newTestRecords(t)
		m := r.machine()
		if c.known {
			r.statuses[m.Name] = c.status
		}
		fleet := r.fleet()
		if c.partitioned {
			fleet.PartitionedZones = map[int]bool{m.ZoneIndex: true}
		}
		supply := fleet.Supplies()[0]
		if got := fmt.Sprint(supply.Ready, supply.Schedulable, supply.Suspect, supply.MustDrain); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}
