package placement

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// TestRound checks the actions of a round for lists of jobs.
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
		{"no pending jobs", []*testMachine{machineWithFree("m-1", 0, 4)}, nil, nil, nil, false},
		{"list order, until the machine is full", []*testMachine{machineWithFree("m-1", 0, 3)},
			[]*storage.Job{testJob("a", 0, 2), testJob("b", 0, 2)}, nil,
			[]string{"place a/0 on m-1, attempt 1", "place a/1 on m-1, attempt 2", "place b/0 on m-1, attempt 3"}, true},
		{"fullest machine first", []*testMachine{machineWithFree("m-1", 0, 4), machineWithFree("m-2", 0, 2)},
			[]*storage.Job{testJob("a", 0, 3)}, nil,
			[]string{"place a/0 on m-2, attempt 1", "place a/1 on m-2, attempt 2", "place a/2 on m-1, attempt 3"}, true},
		{"small job placed after an unplaceable job", []*testMachine{machineWithFree("m-1", 0, 2)},
			[]*storage.Job{testJob("large", 0, 1, withCPUs(4)), testJob("small", 0, 1)}, nil,
			[]string{"place small/0 on m-1, attempt 1"}, true},
		{"larger job skipped after an unplaceable smaller job", []*testMachine{machineWithFree("m-1", 0, 2)},
			[]*storage.Job{testJob("large", 0, 1, withCPUs(4)), testJob("larger", 0, 1, withCPUs(5)), testJob("small", 0, 1)}, nil,
			[]string{"place small/0 on m-1, attempt 1"}, true},
		{"placed up to the quota", []*testMachine{machineWithFree("m-1", 0, 4)},
			[]*storage.Job{testJob("a", 0, 3), testJob("b", 1, 1)}, map[string]int{"a": 1},
			[]string{"place a/0 on m-1, attempt 1", "place b/0 on m-1, attempt 2"}, true},
		{"no preemption for a job beyond its quota", []*testMachine{machineWithFree("m-1", 0, 0, runningAttempt(low("x", 4), time.Second))},
			[]*storage.Job{testJob("a", 0, 1)}, map[string]int{"a": 0}, nil, false},
		{"one reservation for each task", []*testMachine{machineWithFree("m-1", 0, 0, runningAttempt(low("x", 4), time.Second))},
			[]*storage.Job{testJob("a", 0, 2)}, nil,
			[]string{"preempt on m-1 for a: x/0", "preempt on m-1 for a:"}, false},
		{"unplaceable spread job does not block other jobs", []*testMachine{machineWithFree("m-1", 0, 4)},
			[]*storage.Job{testJob("a", 0, 2, spread), testJob("b", 0, 1)}, nil,
			[]string{"place a/0 on m-1, attempt 1", "place b/0 on m-1, attempt 2"}, true},
		{"reserved resources not given to another job", []*testMachine{machineWithFree("m-1", 0, 1, runningAttempt(low("x", 4), time.Second))},
			[]*storage.Job{testJob("a", 0, 1, withCPUs(4)), testJob("b", 0, 1)}, nil,
			[]string{"preempt on m-1 for a: x/0", "preempt on m-1 for b:"}, false},
		{"unreserved remainder too small for another job", []*testMachine{machineWithFree("m-1", 0, 0, runningAttempt(low("x", 4), time.Second))},
			[]*storage.Job{testJob("a", 0, 1, withCPUs(4)), testJob("b", 0, 1)}, nil,
			[]string{"preempt on m-1 for a: x/0"}, false},
	} {
		cluster := newTestCluster(t, c.machines...)
		cluster.quota = c.quota
		if placed := cluster.checkRound(c.name, candidates(c.jobs...), c.want...); placed != c.placed {
			t.Errorf("%s: placed %t", c.name, placed)
		}
	}
}

// TestGang checks that a round places all pending tasks of a gang or none.
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
		{"all tasks with one attempt number", []*testMachine{machineWithFree("m-1", 0, 2), machineWithFree("m-2", 0, 1)}, nil, nil,
			[]string{"place g/0 on m-2, attempt 1", "place g/1 on m-1, attempt 1", "place g/2 on m-1, attempt 1"}},
		{"none if one task does not fit; the resources stay free for others", []*testMachine{machineWithFree("m-1", 0, 2)}, nil, nil,
			[]string{"place g/0 on m-1, attempt 1", "place g/1 on m-1, attempt 1", "unplace g/0 from m-1", "unplace g/1 from m-1", "place b/0 on m-1, attempt 2"}},
		{"none if the quota admits fewer tasks", []*testMachine{machineWithFree("m-1", 0, 3)}, nil, map[string]int{"g": 2},
			[]string{"place g/0 on m-1, attempt 1", "place g/1 on m-1, attempt 1", "unplace g/0 from m-1", "unplace g/1 from m-1", "place b/0 on m-1, attempt 2"}},
		{"none while an earlier attempt remains", []*testMachine{machineWithFree("m-1", 0, 3)}, &JobState{Remaining: 3, Attempts: 1, AttemptsByZone: []int{0, 1}}, nil,
			[]string{"place b/0 on m-1, attempt 1"}},
		{"preemptions for all tasks", []*testMachine{machineWithFree("m-1", 0, 0, runningAttempt(low("x", 2), 1)), machineWithFree("m-2", 0, 0, runningAttempt(low("y", 1), 2))}, nil, nil,
			[]string{"preempt on m-1 for g: x/0", "preempt on m-1 for g:", "preempt on m-2 for g: y/0"}},
		{"no more preemptions than tasks", []*testMachine{machineWithFree("m-1", 0, 0, runningAttempt(low("x", 8), 1))}, nil, nil,
			[]string{"preempt on m-1 for g: x/0", "preempt on m-1 for g:", "preempt on m-1 for g:"}},
		{"no preemption for a gang beyond its quota", []*testMachine{machineWithFree("m-1", 0, 3, runningAttempt(low("x", 2), 1))}, nil, map[string]int{"g": 0},
			[]string{"place b/0 on m-1, attempt 1"}},
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

// TestGangDoesNotCountAsPlaced checks that a round that places only a gang does not count
// towards the turns of long-overdue jobs.
func TestGangDoesNotCountAsPlaced(t *testing.T) {
	cluster := newTestCluster(t, machineWithFree("m-1", 0, 1))
	if cluster.checkRound("gang only", candidates(testJob("g", 0, 1, gang)), "place g/0 on m-1, attempt 1") {
		t.Error("the gang counted as a placement")
	}
}

// TestChooseZone checks the zone chosen for the first tasks of a one-zone job. The job has four
// pending tasks.
func TestChooseZone(t *testing.T) {
	booting := func(m *testMachine) *testMachine {
		m.booting = true
		return m
	}
	placementsOn := func(machine string, count int) (lines []string) {
		for i := range count {
			lines = append(lines, "place run-1/"+string(rune('0'+i))+" on "+machine+", attempt "+string(rune('1'+i)))
		}
		return lines
	}
	for _, c := range []struct {
		name     string
		machines []*testMachine
		waited   time.Duration
		want     []string
	}{
		{"zone that fits all tasks now", []*testMachine{machineWithFree("m-1", 0, 3), machineWithFree("m-2", 1, 4)}, 0, placementsOn("m-2", 4)},
		{"capacity of several machines of a zone adds up", []*testMachine{machineWithFree("m-1", 0, 3), machineWithFree("m-2", 1, 2), machineWithFree("m-3", 1, 2)}, 0,
			[]string{"place run-1/0 on m-2, attempt 1", "place run-1/1 on m-2, attempt 2", "place run-1/2 on m-3, attempt 3", "place run-1/3 on m-3, attempt 4"}},
		{"zone with the most capacity", []*testMachine{machineWithFree("m-1", 0, 1), machineWithFree("m-2", 1, 2)}, 0, placementsOn("m-2", 2)},
		{"first of equal zones, listed last", []*testMachine{machineWithFree("m-1", 1, 2), machineWithFree("m-2", 0, 2)}, 0, placementsOn("m-2", 2)},
		{"first of equal zones, listed first", []*testMachine{machineWithFree("m-1", 0, 2), machineWithFree("m-2", 1, 2)}, 0, placementsOn("m-1", 2)},
		{"booting machines count and the job waits for them", []*testMachine{machineWithFree("m-1", 0, 2), booting(machineWithFree("m-2", 1, 4))}, 0, nil},
		{"booting machines do not count after maxBootWait", []*testMachine{machineWithFree("m-1", 0, 2), booting(machineWithFree("m-2", 1, 4))}, maxBootWait, placementsOn("m-1", 2)},
		{"zone that fits all tasks now before larger booting capacity", []*testMachine{booting(machineWithFree("m-1", 0, 8)), machineWithFree("m-2", 1, 4)}, 0, placementsOn("m-2", 4)},
		{"machines that are not schedulable do not count", []*testMachine{
			{name: "m-1", free: Resources{CPUs: 4, MemoryGB: 4}, unschedulable: true}, machineWithFree("m-2", 1, 1),
		}, 0, placementsOn("m-2", 1)},
		{"machines of other shards do not count", []*testMachine{
			{name: "m-1", free: Resources{CPUs: 4, MemoryGB: 4}, shard: 1}, machineWithFree("m-2", 1, 1),
		}, 0, placementsOn("m-2", 1)},
		{"no free resources", []*testMachine{machineWithFree("m-1", 0, 0.5)}, 0, nil},
		{"no free resources, preemption possible", []*testMachine{
			machineWithFree("m-1", 0, 0, runningAttempt(testJob("x", 1, 1, priority(bestEffort), withCPUs(4)), 1)),
		}, 0, []string{"preempt on m-1 for run-1: x/0", "preempt on m-1 for run-1:", "preempt on m-1 for run-1:", "preempt on m-1 for run-1:"}},
	} {
		cluster := newTestCluster(t, c.machines...)
		cluster.waited = c.waited
		cluster.checkRound(c.name, candidates(testJob("run-1", 0, 4, oneZone)), c.want...)
	}
}

// TestOneZoneJobStaysInItsZone checks that all tasks of a one-zone job follow its first task,
// even if another zone has more free resources.
func TestOneZoneJobStaysInItsZone(t *testing.T) {
	pending := testJob("run-1", 0, 4, oneZone)
	cluster := newTestCluster(t, machineWithFree("m-1", 0, 8), machineWithFree("m-2", 1, 1))
	cluster.states[pending] = &JobState{Remaining: 4, Attempts: 1, AttemptsByZone: []int{0, 1}}
	cluster.placedTasks["run-1/0"] = true
	cluster.checkRound("one task in zone 1", candidates(pending), "place run-1/1 on m-2, attempt 1")
}

// TestRunningTasksNeedNoReservation checks that resources are reserved only for the pending
// tasks of a job.
func TestRunningTasksNeedNoReservation(t *testing.T) {
	pending := testJob("run-1", 0, 2)
	cluster := newTestCluster(t, machineWithFree("m-1", 0, 0, runningAttempt(testJob("x", 1, 1, priority(bestEffort), withCPUs(4)), 1)))
	cluster.states[pending] = &JobState{Remaining: 2, Attempts: 1, AttemptsByZone: []int{1}}
	cluster.placedTasks["run-1/0"] = true
	cluster.checkRound("one of two tasks running", candidates(pending), "preempt on m-1 for run-1: x/0")
}

// TestFailedPreemptionSearchIsNotRepeated checks that after a failed search for victims for
// one job, the running attempts are not scanned again for an equal or larger job.
func TestFailedPreemptionSearchIsNotRepeated(t *testing.T) {
	for _, c := range []struct {
		name  string
		other *storage.Job
		want  int
	}{
		{"equal job", testJob("run-2", 0, 1, withCPUs(4)), 1},
		{"larger job", testJob("run-2", 0, 1, withCPUs(5)), 1},
		{"smaller job", testJob("run-2", 0, 1, withCPUs(3)), 2},
	} {
		cluster := newTestCluster(t, machineWithFree("m-1", 0, 0, runningAttempt(testJob("x", 1, 1, priority(bestEffort)), 1)))
		cluster.runRound(candidates(testJob("run-1", 0, 1, withCPUs(4)), c.other))
		if cluster.runningScans != c.want {
			t.Errorf("%s: %d scans", c.name, cluster.runningScans)
		}
	}
}

// TestRandomRounds checks for random jobs and machines that no machine is overcommitted, that
// no job exceeds its quota or zone limits, and that a gang gets all of its tasks or none.
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
				t.Errorf("seed %d: machine %s has %v free CPUs", seed, m.name, m.free.CPUs)
			}
		}
		for _, j := range jobs {
			cluster.checkJob(seed, j)
		}
	}
}

// checkJob checks the quota, gang and zone constraints of a job.
func (c *testCluster) checkJob(seed uint64, j *storage.Job) {
	c.t.Helper()
	state := c.State(j)
	if maximum, limited := c.quota[j.ID]; limited && state.Attempts > maximum {
		c.t.Errorf("seed %d: %d attempts of %s exceed its quota of %d", seed, state.Attempts, j.ID, maximum)
	}
	if j.Kind == protocol.KindGang && state.Attempts != 0 && state.Attempts != j.Tasks {
		c.t.Errorf("seed %d: %d tasks of gang %s placed, want 0 or %d", seed, state.Attempts, j.ID, j.Tasks)
	}
	zones := 0
	for _, count := range state.AttemptsByZone {
		zones += min(count, 1)
		if j.Spread && count > (j.Tasks+1)/2 {
			c.t.Errorf("seed %d: %d tasks of spread job %s, out of %d, in one zone", seed, count, j.ID, j.Tasks)
		}
	}
	if j.OneZone && zones > 1 {
		c.t.Errorf("seed %d: tasks of one-zone job %s in %d zones", seed, j.ID, zones)
	}
}

// TestRoundAllocations checks that a failed search for free resources and victims makes no
// allocations that grow with the number of machines.
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
