package placement

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// TestRound: what a round does with lists of jobs.
func TestRound(t *testing.T) {
	low := func(id string, cpus float64) *storage.Job {
		return testJob(id, 1, 1, priority(bestEffort), withCPUs(cpus))
	}
	for _, c := range []struct {
		name     string
		machines []*testMachine
		jobs     []*storage.Job
		quota    map[string]int
		want     []string
		placed   bool
	}{
		{"nothing waits", []*testMachine{machineWithFree("m-1", 0, 4)}, nil, nil, nil, false},
		{"in the order of the list, while there is room", []*testMachine{machineWithFree("m-1", 0, 3)},
			[]*storage.Job{testJob("a", 0, 2), testJob("b", 0, 2)}, nil,
			[]string{"a/0 to m-1 as 1", "a/1 to m-1 as 2", "b/0 to m-1 as 3"}, true},
		{"the fullest machine until it is full", []*testMachine{machineWithFree("m-1", 0, 4), machineWithFree("m-2", 0, 2)},
			[]*storage.Job{testJob("a", 0, 3)}, nil,
			[]string{"a/0 to m-2 as 1", "a/1 to m-2 as 2", "a/2 to m-1 as 3"}, true},
		{"a small job behind one that finds no place", []*testMachine{machineWithFree("m-1", 0, 2)},
			[]*storage.Job{testJob("large", 0, 1, withCPUs(4)), testJob("small", 0, 1)}, nil,
			[]string{"small/0 to m-1 as 1"}, true},
		{"a larger one is not tried for where a smaller found no place", []*testMachine{machineWithFree("m-1", 0, 2)},
			[]*storage.Job{testJob("large", 0, 1, withCPUs(4)), testJob("larger", 0, 1, withCPUs(5)), testJob("small", 0, 1)}, nil,
			[]string{"small/0 to m-1 as 1"}, true},
		{"as many as the quota lets in", []*testMachine{machineWithFree("m-1", 0, 4)},
			[]*storage.Job{testJob("a", 0, 3), testJob("b", 1, 1)}, map[string]int{"a": 1},
			[]string{"a/0 to m-1 as 1", "b/0 to m-1 as 2"}, true},
		{"nothing is stopped for what the quota does not let in", []*testMachine{machineWithFree("m-1", 0, 0, runningAttempt(low("x", 4), time.Second))},
			[]*storage.Job{testJob("a", 0, 1)}, map[string]int{"a": 0}, nil, false},
		{"each task is promised room once", []*testMachine{machineWithFree("m-1", 0, 0, runningAttempt(low("x", 4), time.Second))},
			[]*storage.Job{testJob("a", 0, 2)}, nil,
			[]string{"on m-1 for a: x/0", "on m-1 for a:"}, false},
		{"what is bound to zones says nothing of what is not", []*testMachine{machineWithFree("m-1", 0, 4)},
			[]*storage.Job{testJob("a", 0, 2, spread), testJob("b", 0, 1)}, nil,
			[]string{"a/0 to m-1 as 1", "b/0 to m-1 as 2"}, true},
		{"room that is promised is no one else's", []*testMachine{machineWithFree("m-1", 0, 1, runningAttempt(low("x", 4), time.Second))},
			[]*storage.Job{testJob("a", 0, 1, withCPUs(4)), testJob("b", 0, 1)}, nil,
			[]string{"on m-1 for a: x/0", "on m-1 for b:"}, false},
		{"what is left of a promise is too little", []*testMachine{machineWithFree("m-1", 0, 0, runningAttempt(low("x", 4), time.Second))},
			[]*storage.Job{testJob("a", 0, 1, withCPUs(4)), testJob("b", 0, 1)}, nil,
			[]string{"on m-1 for a: x/0"}, false},
	} {
		cluster := newTestCluster(t, c.machines...)
		cluster.quota = c.quota
		if placed := cluster.checkRound(c.name, candidates(c.jobs...), c.want...); placed != c.placed {
			t.Errorf("%s: placed %t", c.name, placed)
		}
	}
}

// TestGang: all open tasks of a gang or none.
func TestGang(t *testing.T) {
	low := func(id string, cpus float64) *storage.Job {
		return testJob(id, 1, 1, priority(bestEffort), withCPUs(cpus))
	}
	for _, c := range []struct {
		name     string
		machines []*testMachine
		state    *JobState
		quota    map[string]int
		want     []string
	}{
		{"all, under one number", []*testMachine{machineWithFree("m-1", 0, 2), machineWithFree("m-2", 0, 1)}, nil, nil,
			[]string{"g/0 to m-2 as 1", "g/1 to m-1 as 1", "g/2 to m-1 as 1"}},
		{"none where one finds no place, and its room is there for others", []*testMachine{machineWithFree("m-1", 0, 2)}, nil, nil,
			[]string{"g/0 to m-1 as 1", "g/1 to m-1 as 1", "g/0 not to m-1", "g/1 not to m-1", "b/0 to m-1 as 2"}},
		{"none where the quota lets in fewer", []*testMachine{machineWithFree("m-1", 0, 3)}, nil, map[string]int{"g": 2},
			[]string{"g/0 to m-1 as 1", "g/1 to m-1 as 1", "g/0 not to m-1", "g/1 not to m-1", "b/0 to m-1 as 2"}},
		{"none while an earlier attempt is left", []*testMachine{machineWithFree("m-1", 0, 3)}, &JobState{Remaining: 3, AttemptsByZone: []int{0, 1}}, nil,
			[]string{"b/0 to m-1 as 1"}},
		{"room is made for all of it", []*testMachine{machineWithFree("m-1", 0, 0, runningAttempt(low("x", 2), 1)), machineWithFree("m-2", 0, 0, runningAttempt(low("y", 1), 2))}, nil, nil,
			[]string{"on m-1 for g: x/0", "on m-1 for g:", "on m-2 for g: y/0"}},
		{"room is made for no more than all of it", []*testMachine{machineWithFree("m-1", 0, 0, runningAttempt(low("x", 8), 1))}, nil, nil,
			[]string{"on m-1 for g: x/0", "on m-1 for g:", "on m-1 for g:"}},
		{"no room is made for what the quota does not let in", []*testMachine{machineWithFree("m-1", 0, 3, runningAttempt(low("x", 2), 1))}, nil, map[string]int{"g": 0},
			[]string{"b/0 to m-1 as 1"}},
	} {
		pending := testJob("g", 0, 3, gang)
		cluster := newTestCluster(t, c.machines...)
		cluster.quota = c.quota
		if c.state != nil {
			cluster.states[pending] = c.state
		}
		cluster.checkRound(c.name, candidates(pending, testJob("b", 0, 1, priority(bestEffort))), c.want...)
	}
}

// TestGangDoesNotCountAsPlaced: turns of what is late for long are counted without gangs.
func TestGangDoesNotCountAsPlaced(t *testing.T) {
	cluster := newTestCluster(t, machineWithFree("m-1", 0, 1))
	if cluster.checkRound("a gang", candidates(testJob("g", 0, 1, gang)), "g/0 to m-1 as 1") {
		t.Error("it counts as placed")
	}
}

// TestChooseZone: the zone to which the first tasks of a job go that must share one. Four
// tasks wait.
func TestChooseZone(t *testing.T) {
	booting := func(m *testMachine) *testMachine {
		m.booting = true
		return m
	}
	toZone := func(machine string, count int) (lines []string) {
		for i := range count {
			lines = append(lines, "run-1/"+string(rune('0'+i))+" to "+machine+" as "+string(rune('1'+i)))
		}
		return lines
	}
	for _, c := range []struct {
		name     string
		machines []*testMachine
		waited   time.Duration
		want     []string
	}{
		{"the zone with room for all now", []*testMachine{machineWithFree("m-1", 0, 3), machineWithFree("m-2", 1, 4)}, 0, toZone("m-2", 4)},
		{"room on several machines of a zone adds up", []*testMachine{machineWithFree("m-1", 0, 3), machineWithFree("m-2", 1, 2), machineWithFree("m-3", 1, 2)}, 0,
			[]string{"run-1/0 to m-2 as 1", "run-1/1 to m-2 as 2", "run-1/2 to m-3 as 3", "run-1/3 to m-3 as 4"}},
		{"the one with most room", []*testMachine{machineWithFree("m-1", 0, 1), machineWithFree("m-2", 1, 2)}, 0, toZone("m-2", 2)},
		{"of equal ones the first, if it comes last", []*testMachine{machineWithFree("m-1", 1, 2), machineWithFree("m-2", 0, 2)}, 0, toZone("m-2", 2)},
		{"of equal ones the first, if it comes first", []*testMachine{machineWithFree("m-1", 0, 2), machineWithFree("m-2", 1, 2)}, 0, toZone("m-1", 2)},
		{"machines that boot count, and are waited for", []*testMachine{machineWithFree("m-1", 0, 2), booting(machineWithFree("m-2", 1, 4))}, 0, nil},
		{"but not for ever", []*testMachine{machineWithFree("m-1", 0, 2), booting(machineWithFree("m-2", 1, 4))}, maxBootWait, toZone("m-1", 2)},
		{"room for all now is better than more that boots", []*testMachine{booting(machineWithFree("m-1", 0, 8)), machineWithFree("m-2", 1, 4)}, 0, toZone("m-2", 4)},
		{"machines that take no tasks do not count", []*testMachine{
			{name: "m-1", free: Resources{CPUs: 4, MemoryGB: 4}, unschedulable: true}, machineWithFree("m-2", 1, 1),
		}, 0, toZone("m-2", 1)},
		{"machines of other shards do not", []*testMachine{
			{name: "m-1", free: Resources{CPUs: 4, MemoryGB: 4}, shard: 1}, machineWithFree("m-2", 1, 1),
		}, 0, toZone("m-2", 1)},
		{"no machine has room", []*testMachine{machineWithFree("m-1", 0, 0.5)}, 0, nil},
		{"no machine has room, and something may be stopped", []*testMachine{
			machineWithFree("m-1", 0, 0, runningAttempt(testJob("x", 1, 1, priority(bestEffort), withCPUs(4)), 1)),
		}, 0, []string{"on m-1 for run-1: x/0", "on m-1 for run-1:", "on m-1 for run-1:", "on m-1 for run-1:"}},
	} {
		cluster := newTestCluster(t, c.machines...)
		cluster.waited = c.waited
		cluster.checkRound(c.name, candidates(testJob("run-1", 0, 4, oneZone)), c.want...)
	}
}

// TestOneZoneJobStaysInItsZone: once a task of a job is in a zone the others follow,
// however much room there is elsewhere.
func TestOneZoneJobStaysInItsZone(t *testing.T) {
	pending := testJob("run-1", 0, 4, oneZone)
	cluster := newTestCluster(t, machineWithFree("m-1", 0, 8), machineWithFree("m-2", 1, 1))
	cluster.states[pending] = &JobState{Remaining: 4, Attempts: 1, AttemptsByZone: []int{0, 1}}
	cluster.placedTasks["run-1/0"] = true
	cluster.checkRound("one is in zone 1", candidates(pending), "run-1/1 to m-2 as 1")
}

// TestRunningTasksNeedNoReservation: room is made for the tasks of a job that wait alone.
func TestRunningTasksNeedNoReservation(t *testing.T) {
	pending := testJob("run-1", 0, 2)
	cluster := newTestCluster(t, machineWithFree("m-1", 0, 0, runningAttempt(testJob("x", 1, 1, priority(bestEffort), withCPUs(4)), 1)))
	cluster.states[pending] = &JobState{Remaining: 2, Attempts: 1, AttemptsByZone: []int{1}}
	cluster.placedTasks["run-1/0"] = true
	cluster.checkRound("one of two runs", candidates(pending), "on m-1 for run-1: x/0")
}

// TestFailedPreemptionSearchIsNotRepeated: where nothing can be stopped for a job, what runs is not
// gone through again for another like it.
func TestFailedPreemptionSearchIsNotRepeated(t *testing.T) {
	for _, c := range []struct {
		name  string
		other *storage.Job
		want  int
	}{
		{"a like one", testJob("run-2", 0, 1, withCPUs(4)), 1},
		{"a larger one", testJob("run-2", 0, 1, withCPUs(5)), 1},
		{"a smaller one", testJob("run-2", 0, 1, withCPUs(3)), 2},
	} {
		cluster := newTestCluster(t, machineWithFree("m-1", 0, 0, runningAttempt(testJob("x", 1, 1, priority(bestEffort)), 1)))
		cluster.runRound(candidates(testJob("run-1", 0, 1, withCPUs(4)), c.other))
		if cluster.runningScans != c.want {
			t.Errorf("%s: %d looks", c.name, cluster.runningScans)
		}
	}
}

// TestRandomRounds: whatever waits and whatever there is, no machine gets more than it
// has, no job more than its quota lets in, and a gang all of its tasks or none.
func TestRandomRounds(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 7))
		cluster := newTestCluster(t)
		for i := range 1 + random.IntN(6) {
			m := machineWithFree("m-"+strconv.Itoa(i), random.IntN(3), float64(random.IntN(5)))
			m.unschedulable, m.booting = random.IntN(5) == 0, random.IntN(5) == 0
			for k := range random.IntN(3) {
				m.running = append(m.running, runningAttempt(testJob("x-"+strconv.Itoa(i)+strconv.Itoa(k), 1, 1, priority(bestEffort)), time.Duration(k)))
			}
			cluster.machines = append(cluster.machines, m)
		}
		var jobs []*storage.Job
		kinds := []func(*storage.Job){gang, service, oneZone, spread, func(*storage.Job) {}}
		for i := range 1 + random.IntN(8) {
			j := testJob("run-"+strconv.Itoa(i), 0, 1+random.IntN(5), withCPUs(float64(1+random.IntN(3))), kinds[random.IntN(len(kinds))])
			if random.IntN(3) == 0 {
				cluster.quota[j.ID] = random.IntN(4)
			}
			jobs = append(jobs, j)
		}
		cluster.runRound(candidates(jobs...))
		for _, m := range cluster.machines {
			if m.free.CPUs < 0 {
				t.Errorf("seed %d: %s is left with %v CPUs", seed, m.name, m.free.CPUs)
			}
		}
		for _, j := range jobs {
			cluster.checkJob(seed, j)
		}
	}
}

// checkJob checks where the tasks of a job are.
func (c *testCluster) checkJob(seed uint64, j *storage.Job) {
	c.t.Helper()
	state := c.State(j)
	if maximum, limited := c.quota[j.ID]; limited && state.Attempts > maximum {
		c.t.Errorf("seed %d: %d attempts of %s, of which the quota lets in %d", seed, state.Attempts, j.ID, maximum)
	}
	if j.Kind == protocol.KindGang && state.Attempts != 0 && state.Attempts != j.Tasks {
		c.t.Errorf("seed %d: %d tasks of gang %s of %d", seed, state.Attempts, j.ID, j.Tasks)
	}
	zones := 0
	for _, count := range state.AttemptsByZone {
		zones += min(count, 1)
		if j.Spread && count > (j.Tasks+1)/2 {
			c.t.Errorf("seed %d: %d tasks of %s, of %d, in a zone", seed, count, j.ID, j.Tasks)
		}
	}
	if j.OneZone && zones > 1 {
		c.t.Errorf("seed %d: tasks of %s in %d zones", seed, j.ID, zones)
	}
}

// TestRoundAllocations: a look for room and for something to stop that finds none
// allocates nothing that grows with the fleet.
func TestRoundAllocations(t *testing.T) {
	allocations := func(machines int) float64 {
		cluster := newTestCluster(t)
		victim := runningAttempt(testJob("x", 1, 1, priority(bestEffort)), time.Second)
		for i := range machines {
			cluster.machines = append(cluster.machines, machineWithFree("m-"+strconv.Itoa(i), 0, 1, victim, victim))
		}
		pending := candidates(testJob("run-1", 0, 4, withCPUs(4)), testJob("run-2", 1, 4, withCPUs(5)))
		return testing.AllocsPerRun(10, func() { cluster.runRound(pending) })
	}
	if few, many := allocations(10), allocations(1000); many > few {
		t.Errorf("%v allocations for 10 machines, %v for 1000", few, many)
	}
}
