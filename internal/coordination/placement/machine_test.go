package placement

import (
	"testing"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// TestScore: each score alone. What a rule favours is worse by every later rule.
func TestScore(t *testing.T) {
	const allServiceCPUs = 16
	arrayJob := &storage.Job{JobSpec: protocol.JobSpec{Kind: protocol.KindArray, CPUs: 1, ImageGB: 2}}
	serviceJob := &storage.Job{JobSpec: protocol.JobSpec{Kind: protocol.KindService, CPUs: 1, ImageGB: 2}}
	quick := &protocol.MachineType{CPUs: 8, FetchGBPS: 1}
	for _, c := range []struct {
		name          string
		job           *storage.Job
		better, worse Machine
	}{
		{"any other before a slow one", arrayJob, Machine{}, Machine{Slow: true, Spot: true, ImageCached: true, UsedCPUs: 7}},
		{"spot before ordinary", arrayJob, Machine{Spot: true}, Machine{ImageCached: true, UsedCPUs: 7}},
		{"one with the image before a fuller one", arrayJob, Machine{ImageCached: true}, Machine{UsedCPUs: 7}},
		{"the fuller one", arrayJob, Machine{UsedCPUs: 5}, Machine{UsedCPUs: 4}},
		{"an unknown fetch rate counts as none to fetch", arrayJob, Machine{}, Machine{Type: quick}},
		{"a shorter fetch", arrayJob, Machine{Type: &protocol.MachineType{CPUs: 8, FetchGBPS: 2}}, Machine{Type: quick}},
		{"a much fuller one before a shorter fetch", arrayJob, Machine{Type: quick, UsedCPUs: 7}, Machine{}},
		{"an endless fetch weighs no more than the longest counted", arrayJob,
			Machine{Type: &protocol.MachineType{CPUs: 8, FetchGBPS: 1e-6}, UsedCPUs: 1}, Machine{Type: &protocol.MachineType{CPUs: 8, FetchGBPS: 0.25}}},
		{"a replica beside other services", serviceJob, Machine{ServiceCPUs: 2}, Machine{UsedCPUs: 7}},
		{"a replica where more services are", serviceJob, Machine{ServiceCPUs: 3}, Machine{ServiceCPUs: 2, UsedCPUs: 7}},
		{"a replica not where a quarter of all would be exceeded", serviceJob, Machine{}, Machine{ServiceCPUs: 4}},
		{"a replica even there if the image is, rather than on an empty one", serviceJob, Machine{ServiceCPUs: 4, ImageCached: true}, Machine{}},
	} {
		for _, machine := range []*Machine{&c.better, &c.worse} {
			if machine.Type == nil {
				machine.Type = &protocol.MachineType{CPUs: 8}
			}
		}
		if better, worse := c.better.Score(c.job, allServiceCPUs), c.worse.Score(c.job, allServiceCPUs); better <= worse {
			t.Errorf("%s: %v is not above %v", c.name, better, worse)
		}
	}
}

// TestFirstReplicaIsNotCrowded: a machine without services is never crowded, however
// few replicas there are.
func TestFirstReplicaIsNotCrowded(t *testing.T) {
	empty := Machine{Type: &protocol.MachineType{CPUs: 8}}
	if score := empty.Score(&storage.Job{JobSpec: protocol.JobSpec{Kind: protocol.KindService, CPUs: 1}}, 0); score != 0 {
		t.Errorf("%v", score)
	}
}

// TestChoose: each reason for which a machine is passed over, alone. The first machine
// would be chosen otherwise.
func TestChoose(t *testing.T) {
	for _, c := range []struct {
		name   string
		job    *storage.Job
		zones  []int // attempts by zone
		change func(first, second *testMachine)
		want   string // machine, or none
	}{
		{"the first of equals", testJob("run-1", 0, 4), nil, func(*testMachine, *testMachine) {}, "m-1"},
		{"a better score", testJob("run-1", 0, 4), nil, func(_, second *testMachine) { second.traits.ImageCached = true }, "m-2"},
		{"no room", testJob("run-1", 0, 4), nil, func(first, _ *testMachine) { first.free.CPUs = 0.5 }, "m-2"},
		{"a machine of another shard", testJob("run-1", 0, 4), nil, func(first, _ *testMachine) { first.shard = 1 }, "m-2"},
		{"a spot machine, which the job does not allow", testJob("run-1", 0, 4), nil, func(first, _ *testMachine) { first.traits.Spot = true }, "m-2"},
		{"it lists the task", testJob("run-1", 0, 4), nil, func(first, _ *testMachine) { first.listedTask = "run-1/0" }, "m-2"},
		{"it lists another task", testJob("run-1", 0, 4), nil, func(first, _ *testMachine) { first.listedTask = "run-1/1" }, "m-1"},
		{"it takes no tasks", testJob("run-1", 0, 4), nil, func(first, _ *testMachine) { first.unschedulable = true }, "m-2"},
		{"none takes any", testJob("run-1", 0, 4), nil, func(first, second *testMachine) { first.unschedulable, second.unschedulable = true, true }, ""},
		{"one zone: there are tasks in another", testJob("run-1", 0, 4, oneZone), []int{0, 1}, func(*testMachine, *testMachine) {}, "m-2"},
		{"one zone: there are none yet", testJob("run-1", 0, 4, oneZone), []int{0, 0}, func(*testMachine, *testMachine) {}, "m-1"},
		{"one zone: tasks are in both", testJob("run-1", 0, 4, oneZone), []int{1, 1}, func(*testMachine, *testMachine) {}, ""},
		{"spread: half of the tasks are there", testJob("run-1", 0, 4, spread), []int{2, 0}, func(*testMachine, *testMachine) {}, "m-2"},
		{"spread: less than half are", testJob("run-1", 0, 4, spread), []int{1, 0}, func(*testMachine, *testMachine) {}, "m-1"},
		{"spread: of an odd number the larger half", testJob("run-1", 0, 3, spread), []int{1, 0}, func(*testMachine, *testMachine) {}, "m-1"},
		{"neither: zones do not matter", testJob("run-1", 0, 4), []int{4, 1}, func(*testMachine, *testMachine) {}, "m-1"},
	} {
		first, second := machineWithFree("m-1", 0, 4), machineWithFree("m-2", 1, 4)
		c.change(first, second)
		cluster := newTestCluster(t, first, second)
		chosen, found := Choose[*testMachine](cluster, cluster.machines, c.job, 0, c.zones)
		if got := c.want; !found && got != "" || found && chosen.name != got {
			t.Errorf("%s: found %t, %v", c.name, found, chosen)
		}
	}
}
