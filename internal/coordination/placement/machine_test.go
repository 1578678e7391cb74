package placement

import (
	"testing"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// TestScore checks each score component on its own. The machine that a component favors is
// worse by every later component.
func TestScore(t *testing.T) {
	const allServiceCPUs = 16
	arrayJob := &storage.Job{JobSpec: protocol.JobSpec{Kind: protocol.KindArray, CPUs: 1, ImageGB: 2}}
	serviceJob := &storage.Job{JobSpec: protocol.JobSpec{Kind: protocol.KindService, CPUs: 1, ImageGB: 2}}
	quick := &protocol.MachineType{CPUs: 8, FetchGBPS: 1}
	for _, c := range []struct {
		name          string
		job           *storage.Job
		better, worse MachineTraits
	}{
		{"slow machine is the last resort", arrayJob, MachineTraits{}, MachineTraits{Slow: true, Spot: true, ImageCached: true, UsedCPUs: 7}},
		{"spot before on-demand", arrayJob, MachineTraits{Spot: true}, MachineTraits{ImageCached: true, UsedCPUs: 7}},
		{"cached image before fuller machine", arrayJob, MachineTraits{ImageCached: true}, MachineTraits{UsedCPUs: 7}},
		{"fuller machine", arrayJob, MachineTraits{UsedCPUs: 5}, MachineTraits{UsedCPUs: 4}},
		{"unknown fetch rate has no penalty", arrayJob, MachineTraits{}, MachineTraits{Type: quick}},
		{"shorter image fetch", arrayJob, MachineTraits{Type: &protocol.MachineType{CPUs: 8, FetchGBPS: 2}}, MachineTraits{Type: quick}},
		{"much fuller machine before shorter image fetch", arrayJob, MachineTraits{Type: quick, UsedCPUs: 7}, MachineTraits{}},
		{"fetch penalty is capped", arrayJob,
			MachineTraits{Type: &protocol.MachineType{CPUs: 8, FetchGBPS: 1e-6}, UsedCPUs: 1}, MachineTraits{Type: &protocol.MachineType{CPUs: 8, FetchGBPS: 0.25}}},
		{"replica next to other replicas", serviceJob, MachineTraits{ServiceCPUs: 2}, MachineTraits{UsedCPUs: 7}},
		{"replica on the machine with more replicas", serviceJob, MachineTraits{ServiceCPUs: 3}, MachineTraits{ServiceCPUs: 2, UsedCPUs: 7}},
		{"replica not where a quarter of all service CPUs would be exceeded", serviceJob, MachineTraits{}, MachineTraits{ServiceCPUs: 4}},
		{"replica on a crowded machine with the image before an empty machine", serviceJob, MachineTraits{ServiceCPUs: 4, ImageCached: true}, MachineTraits{}},
	} {
		for _, machine := range []*MachineTraits{&c.better, &c.worse} {
			if machine.Type == nil {
				machine.Type = &protocol.MachineType{CPUs: 8}
			}
		}
		if better, worse := c.better.Score(c.job, allServiceCPUs), c.worse.Score(c.job, allServiceCPUs); better <= worse {
			t.Errorf("%s: score %v is not above %v", c.name, better, worse)
		}
	}
}

// TestFirstReplicaIsNotCrowded checks that a machine without replicas has no crowding
// penalty, even if there are no other replicas.
func TestFirstReplicaIsNotCrowded(t *testing.T) {
	empty := MachineTraits{Type: &protocol.MachineType{CPUs: 8}}
	if score := empty.Score(&storage.Job{JobSpec: protocol.JobSpec{Kind: protocol.KindService, CPUs: 1}}, 0); score != 0 {
		t.Errorf("score %v, want 0", score)
	}
}

// TestChoose checks each reason to skip a machine on its own. Without the reason, the first
// machine is chosen.
func TestChoose(t *testing.T) {
	for _, c := range []struct {
		name   string
		job    *storage.Job
		zones  []int // attempts by zone
		change func(first, second *testMachine)
		want   string // name of the machine, or empty if none is found
	}{
		{"first machine among equal scores", testJob("run-1", 0, 4), nil, func(*testMachine, *testMachine) {}, "m-1"},
		{"higher score", testJob("run-1", 0, 4), nil, func(_, second *testMachine) { second.traits.ImageCached = true }, "m-2"},
		{"not enough free resources", testJob("run-1", 0, 4), nil, func(first, _ *testMachine) { first.free.CPUs = 0.5 }, "m-2"},
		{"machine of another shard", testJob("run-1", 0, 4), nil, func(first, _ *testMachine) { first.shard = 1 }, "m-2"},
		{"spot machine not allowed by the job", testJob("run-1", 0, 4), nil, func(first, _ *testMachine) { first.traits.Spot = true }, "m-2"},
		{"agent lists the task", testJob("run-1", 0, 4), nil, func(first, _ *testMachine) { first.listedTask = "run-1/0" }, "m-2"},
		{"agent lists another task", testJob("run-1", 0, 4), nil, func(first, _ *testMachine) { first.listedTask = "run-1/1" }, "m-1"},
		{"machine not schedulable", testJob("run-1", 0, 4), nil, func(first, _ *testMachine) { first.unschedulable = true }, "m-2"},
		{"no machine schedulable", testJob("run-1", 0, 4), nil, func(first, second *testMachine) { first.unschedulable, second.unschedulable = true, true }, ""},
		{"one zone: tasks in another zone", testJob("run-1", 0, 4, oneZone), []int{0, 1}, func(*testMachine, *testMachine) {}, "m-2"},
		{"one zone: no tasks yet", testJob("run-1", 0, 4, oneZone), []int{0, 0}, func(*testMachine, *testMachine) {}, "m-1"},
		{"one zone: tasks in both zones", testJob("run-1", 0, 4, oneZone), []int{1, 1}, func(*testMachine, *testMachine) {}, ""},
		{"spread: half of the tasks in the zone", testJob("run-1", 0, 4, spread), []int{2, 0}, func(*testMachine, *testMachine) {}, "m-2"},
		{"spread: less than half of the tasks in the zone", testJob("run-1", 0, 4, spread), []int{1, 0}, func(*testMachine, *testMachine) {}, "m-1"},
		{"spread: larger half of an odd number of tasks", testJob("run-1", 0, 3, spread), []int{1, 0}, func(*testMachine, *testMachine) {}, "m-1"},
		{"neither one zone nor spread", testJob("run-1", 0, 4), []int{4, 1}, func(*testMachine, *testMachine) {}, "m-1"},
	} {
		first, second := machineWithFree("m-1", 0, 4), machineWithFree("m-2", 1, 4)
		c.change(first, second)
		cluster := newTestCluster(t, first, second)
		chosen, found := Choose[*testMachine](cluster, cluster.machines, c.job, 0, c.zones)
		if got := c.want; !found && got != "" || found && chosen.name != got {
			t.Errorf("%s: found %t, machine %v", c.name, found, chosen)
		}
	}
}
