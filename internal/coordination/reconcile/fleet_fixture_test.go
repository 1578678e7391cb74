package reconcile

import (
	"fmt"
	"testing"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// The size of a fleet: machines held, those of a machine group, and tasks of arrays on them.
const (
	mediumFleet       = 1200
	largeFleet        = 4000 // the size that every fixed limit must allow
	fleetGroupSize    = 40
	fleetTasksPerJob  = 60
	fleetTasksPerPage = 30
)

func fleetMachineName(i int) string { return fmt.Sprintf("m-%06d", i) }

// fleetRecords hands the records of a fleet on which every machine runs one task
// to put, and returns how many tasks there are.
func fleetRecords(machines int, put func(key string, record any)) int {
	put(storage.KeyMachineTypes, protocol.MachineTypeCatalogue{Types: []protocol.MachineType{{Name: "small", CPUs: 4, MemoryGB: 32, HourlyPrice: 1, HourlySpotPrice: 0.3, BootSeconds: 30, Zones: []string{"z"}}}})
	put(storage.KeyJobShards, storage.JobShardsRecord{JobShards: 1})
	for i := 0; i < machines; i += fleetGroupSize {
		rec := storage.MachineGroupRecord{Type: "small", Zone: "z", Spot: true}
		for j := i; j < min(i+fleetGroupSize, machines); j++ {
			rec.Machines = append(rec.Machines, storage.MachineEntry{Name: fleetMachineName(j), Address: fmt.Sprintf("10.1.%d.%d:9000", j/250, j%250)})
		}
		put(storage.MachineGroupKey(fmt.Sprint(i)), rec)
	}
	job := func(task int) string { return fmt.Sprintf("run-%06d", task/fleetTasksPerJob) }
	for i := 0; i < machines; i += fleetTasksPerJob {
		put(storage.JobKey(job(i)), storage.JobRecord{Spec: protocol.JobSpec{
			ID: job(i), Class: "report", Team: "red", Kind: protocol.KindArray, Priority: "normal", Tasks: fleetTasksPerJob,
			CPUs: 4, MemoryGB: 29, Spot: true, EstimateSeconds: 15, DeadlineSeconds: 90, Image: "img-03", ImageGB: 0.8,
		}})
	}
	for i := 0; i < machines; i += fleetTasksPerPage {
		page := storage.IntentPage{}
		for j := i; j < min(i+fleetTasksPerPage, machines); j++ {
			page[job(j)] = append(page[job(j)], storage.IntentEntry(j%fleetTasksPerJob, fleetMachineName(j), fleetAttempt))
		}
		page[job(i)] = append(page[job(i)], storage.IntentHeader("red", 4, 0, 29))
		put(storage.IntentPageKey(storage.PageID{Page: i / fleetTasksPerPage}), page)
	}
	return machines
}

const fleetAttempt = 5<<24 | 7

// fleetHeartbeat is what the agent of a machine says while its task runs.
func fleetHeartbeat(i int, sequence uint64) *protocol.AgentHeartbeat {
	return &protocol.AgentHeartbeat{
		Machine: fleetMachineName(i), Address: "w", MachineType: "small", Zone: "z", Spot: true, Epoch: 1, Sequence: sequence, FencingToken: grantToken,
		Tasks: []protocol.TaskStatus{{Task: protocol.TaskName(fmt.Sprintf("run-%06d", i/fleetTasksPerJob), i%fleetTasksPerJob), Attempt: fleetAttempt, State: protocol.TaskRunning}},
	}
}

// newFleetFixture is a fixture that holds so many machines, every one of which has sent a
// heartbeat with its running task.
func newFleetFixture(tb testing.TB, machines int) *fixture {
	f := newUnheardFleetFixture(tb, machines)
	for i := range machines {
		if _, err := f.deliver(fleetHeartbeat(i, 1)); err != nil {
			tb.Fatal(err)
		}
	}
	f.reconciler.pass()
	if n := len(f.reconciler.attemptsByTask); n < machines {
		tb.Fatalf("%d tasks are placed", n)
	}
	return f
}

// newUnheardFleetFixture is a fixture that has just been granted so many machines, of none
// of which it has a heartbeat.
func newUnheardFleetFixture(tb testing.TB, machines int) *fixture {
	f := newFixture(tb)
	f.view.Teams[0].MaxCPUs = 0
	fleetRecords(machines, f.apply)
	f.recordsChanged()
	return f
}

// waitingJob adds a job for whose tasks there is no room.
func (f *fixture) waitingJob() {
	f.apply(storage.JobKey("run-999999"), storage.JobRecord{Spec: protocol.JobSpec{
		ID: "run-999999", Class: "report", Team: "red", Kind: protocol.KindArray, Priority: "normal", Tasks: 500, CPUs: 4, MemoryGB: 29, Spot: true, EstimateSeconds: 15,
	}})
	f.recordsChanged()
}
