package reconcile

import (
	"fmt"
	"testing"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// Sizes of the test fleets, in machines, and of their machine groups, array jobs and intent
// pages.
const (
	mediumFleet       = 1200
	largeFleet        = 4000 // every fixed limit must allow this size
	fleetGroupSize    = 40
	fleetTasksPerJob  = 60
	fleetTasksPerPage = 30
)

func fleetMachineName(i int) string { return fmt.Sprintf("m-%06d", i) }

// putFleetRecords calls put with each record of a fleet in which every machine runs one
// task. It returns the number of tasks.
func putFleetRecords(machines int, put func(key string, record any)) int {
	put(storage.KeyMachineTypes, protocol.MachineTypeCatalogue{Types: []protocol.MachineType{{Name: "small", CPUs: 4, MemoryGB: 32, HourlyPrice: 1, HourlySpotPrice: 0.3, BootSeconds: 30, Zones: []string{"z"}}}})
	put(storage.KeyJobShards, storage.JobShardsRecord{JobShards: 1})
	for i := 0; i < machines; i += fleetGroupSize {
		record := storage.MachineGroupRecord{Type: "small", Zone: "z", Spot: true}
		for j := i; j < min(i+fleetGroupSize, machines); j++ {
			record.Machines = append(record.Machines, storage.MachineEntry{Name: fleetMachineName(j), Address: fmt.Sprintf("10.1.%d.%d:9000", j/250, j%250)})
		}
		put(storage.MachineGroupKey(fmt.Sprint(i)), record)
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

// fleetHeartbeat returns a heartbeat of machine i, whose task runs.
func fleetHeartbeat(i int, sequence uint64) *protocol.AgentHeartbeat {
	return &protocol.AgentHeartbeat{
		Machine: fleetMachineName(i), Address: "w", MachineType: "small", Zone: "z", Spot: true, Epoch: 1, Sequence: sequence, FencingToken: grantToken,
		Tasks: []protocol.TaskStatus{{Task: protocol.TaskName(fmt.Sprintf("run-%06d", i/fleetTasksPerJob), i%fleetTasksPerJob), Attempt: fleetAttempt, State: protocol.TaskRunning}},
	}
}

// newFleetFixture creates a fixture that holds a fleet. Every machine has sent a heartbeat
// with its running task.
func newFleetFixture(tb testing.TB, machines int) *fixture {
	f := newFleetFixtureWithoutHeartbeats(tb, machines)
	for i := range machines {
		if _, err := f.deliver(fleetHeartbeat(i, 1)); err != nil {
			tb.Fatal(err)
		}
	}
	f.reconciler.pass()
	if n := len(f.reconciler.attemptsByTask); n < machines {
		tb.Fatalf("only %d tasks have attempts", n)
	}
	return f
}

// newFleetFixtureWithoutHeartbeats creates a fixture that has just been granted a fleet and
// has received no heartbeat.
func newFleetFixtureWithoutHeartbeats(tb testing.TB, machines int) *fixture {
	f := newFixture(tb)
	f.view.Teams[0].MaxCPUs = 0
	putFleetRecords(machines, f.apply)
	f.recordsChanged()
	return f
}

// addUnplaceableJob adds a job whose tasks fit on no machine of a fleet, because all are full.
func (f *fixture) addUnplaceableJob() {
	f.apply(storage.JobKey("run-999999"), storage.JobRecord{Spec: protocol.JobSpec{
		ID: "run-999999", Class: "report", Team: "red", Kind: protocol.KindArray, Priority: "normal", Tasks: 500, CPUs: 4, MemoryGB: 29, Spot: true, EstimateSeconds: 15,
	}})
	f.recordsChanged()
}
