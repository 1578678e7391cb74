package autoscaler

import (
	"fmt"
	"testing"
	"time"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// testRecords are records in a view, and a fleet made of them.
type testRecords struct {
	t        *testing.T
	revision uint64
	view     *storage.View
	statuses map[string]protocol.MachineStatus
}

func newTestRecords(t *testing.T) *testRecords {
	t.Helper()
	r := &testRecords{t: t, view: storage.NewView([]storage.Team{{Name: "red", MaxCPUs: 8}}, 1), statuses: map[string]protocol.MachineStatus{}}
	r.put(storage.KeyMachineTypes, protocol.MachineTypeCatalogue{Types: []protocol.MachineType{{Name: "small", CPUs: 4, MemoryGB: 8, Zones: []string{"z"}}}})
	r.put(storage.KeyJobShards, storage.JobShardsRecord{JobShards: 1})
	return r
}

// put lets a record be read.
func (r *testRecords) put(key string, record any) {
	r.t.Helper()
	r.revision++
	if err := r.view.Apply(key, storage.Encode(record), r.revision); err != nil {
		r.t.Fatal(err)
	}
}

// machine is the only machine of the records.
func (r *testRecords) machine() *storage.Machine {
	r.t.Helper()
	_, m := r.view.Machines.Find("m-1")
	if m == nil {
		r.put(storage.MachineGroupKey("b"), storage.MachineGroupRecord{Type: "small", Zone: "z", Machines: []storage.MachineEntry{{Name: "m-1", Address: "w"}}})
		_, m = r.view.Machines.Find("m-1")
	}
	return m
}

func (r *testRecords) fleet() *Fleet {
	return &Fleet{
		View: r.view, Now: time.Unix(1_800_000_000, 0), HeartbeatInterval: 3 * time.Second, HeartbeatTolerance: 6 * time.Second,
		BootPatience: 2.5, SpareReplicas: 4,
		MachineStatus: func(m *storage.Machine) (protocol.MachineStatus, bool) {
			status, known := r.statuses[m.Name]
			return status, known
		},
	}
}

// TestJobsThatWaitForOthersAreNoDemand: a job that waits for another is no demand, no
// reason to keep room, and makes no machine type the only one.
func TestJobsThatWaitForOthersAreNoDemand(t *testing.T) {
	r := newTestRecords(t)
	for id, kind := range map[string]string{"run-20": protocol.KindArray, "run-21": protocol.KindService} {
		r.put(storage.JobKey(id), storage.JobRecord{Spec: protocol.JobSpec{
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
		t.Errorf("while they wait: %d demanded, %d spare, %d sole types", demands, spares, sole)
	}
	r.view.SetOutcome("run-7", storage.FinalRecord{Stage: protocol.StageDone})
	if demands, spares, sole := count(); demands != 4 || spares == 0 || sole != 1 {
		t.Errorf("released: %d demanded, %d spare, %d sole types", demands, spares, sole)
	}
}

// TestDemandsWithinMaximum: no more tasks are demanded than the team's maximum lets start.
func TestDemandsWithinMaximum(t *testing.T) {
	r := newTestRecords(t)
	for i, tasks := range []int{3, 3, 3} {
		id := fmt.Sprintf("run-%d", i)
		r.put(storage.JobKey(id), storage.JobRecord{Spec: protocol.JobSpec{
			ID: id, Team: "red", Kind: protocol.KindArray, Priority: "normal", Tasks: tasks, CPUs: 2, MemoryGB: 1,
		}})
	}
	var counts []int
	for _, d := range r.fleet().Demands() {
		counts = append(counts, d.Count)
	}
	if fmt.Sprint(counts) != "[3 1]" { // eight CPUs
		t.Errorf("demands for %v tasks", counts)
	}
}

// TestTasksAllowedInZone: how many of four open tasks, of a job with five, may use room in
// a zone.
func TestTasksAllowedInZone(t *testing.T) {
	for _, c := range []struct {
		name  string
		spec  protocol.JobSpec
		there int
		want  int
	}{
		{"anywhere", protocol.JobSpec{}, 1, 4},
		{"half of them, rounded up, less those that are there", protocol.JobSpec{Spread: true}, 1, 2},
		{"none where there are more than half", protocol.JobSpec{Spread: true}, 4, 0},
		{"one zone, before any runs", protocol.JobSpec{OneZone: true}, 0, 4},
	} {
		c.spec.Tasks = 5
		if got := tasksAllowedInZone(&storage.Job{JobSpec: c.spec}, 4, c.there); got != c.want {
			t.Errorf("%s: %d, not %d", c.name, got, c.want)
		}
	}
}

// TestSupplyByStatus: what a holder's word makes of a machine.
func TestSupplyByStatus(t *testing.T) {
	for _, c := range []struct {
		name        string
		status      protocol.MachineStatus
		known       bool
		partitioned bool
		want        string // ready, schedulable, suspect, must leave
	}{
		{"nobody has spoken of it", protocol.MachineStatus{}, false, false, "false true false false"},
		{"up", protocol.MachineStatus{Seen: true}, true, false, "true true false false"},
		{"faulty", protocol.MachineStatus{Seen: true, Faulty: true}, true, false, "true false true true"},
		{"taken back", protocol.MachineStatus{Seen: true, Leaves: true}, true, false, "true false true true"},
		{"hears nothing", protocol.MachineStatus{Seen: true, Unresponsive: true}, true, false, "true false true false"},
		{"silent", protocol.MachineStatus{Seen: true, Silent: 10 * time.Second}, true, false, "true false true false"},
		{"silent for a while", protocol.MachineStatus{Seen: true, Silent: 8 * time.Second}, true, false, "true true false false"},
		{"and as most of its zone is", protocol.MachineStatus{Seen: true, Silent: 8 * time.Second}, true, true, "true false true false"},
		{"never up in its time", protocol.MachineStatus{Silent: time.Hour}, true, false, "false false false false"},
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
		x := fleet.Supplies()[0]
		if got := fmt.Sprint(x.Ready, x.Schedulable, x.Suspect, x.MustLeave); got != c.want {
			t.Errorf("%s: %s, not %s", c.name, got, c.want)
		}
	}
}
