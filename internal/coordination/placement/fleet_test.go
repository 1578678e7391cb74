package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// testMachine describes a machine to placement. Fields left at their zero value describe an
// idle machine that accepts tasks.
type testMachine struct {
	name          string
	free          Resources
	zone          int
	shard         int
	unschedulable bool
	booting       bool
	listedTask    string // name of a task that the agent lists, as returned by protocol.TaskName
	traits        MachineTraits
	running       []RunningAttempt
}

// testCluster implements Fleet, Jobs, Teams and Actions. As with the reconciler, placements
// and preemptions change its later results.
type testCluster struct {
	t                 *testing.T
	machines          []*testMachine
	states            map[*storage.Job]*JobState
	placedTasks       map[string]bool // names of the tasks with an attempt
	quota             map[string]int  // maximum number of attempts by job identifier
	teamsBorrow       bool
	serviceCPUs       float64
	waited            time.Duration // waiting time of every job
	lastAttemptNumber uint64
	runningScans      int      // calls of AppendRunning
	actions           []string // actions of the round, in order
}

func newTestCluster(t *testing.T, machines ...*testMachine) *testCluster {
	return &testCluster{t: t, machines: machines, states: map[*storage.Job]*JobState{}, placedTasks: map[string]bool{}, quota: map[string]int{}}
}

func (c *testCluster) Machines() []*testMachine        { return c.machines }
func (c *testCluster) Free(m *testMachine) Resources   { return m.free }
func (c *testCluster) Zone(m *testMachine) int         { return m.zone }
func (c *testCluster) Schedulable(m *testMachine) bool { return !m.unschedulable && !m.booting }
func (c *testCluster) Booting(m *testMachine) bool     { return m.booting }
func (c *testCluster) ServiceCPUs() float64            { return c.serviceCPUs }
func (c *testCluster) NextAttemptNumber(*testMachine) uint64 {
	c.lastAttemptNumber++
	return c.lastAttemptNumber
}

func (c *testCluster) Eligible(m *testMachine, j *storage.Job) bool {
	return m.shard == j.Shard && (j.Spot || !m.traits.Spot)
}

func (c *testCluster) ListsTask(m *testMachine, j *storage.Job, task int) bool {
	return m.listedTask == protocol.TaskName(j.ID, task)
}

func (c *testCluster) Traits(m *testMachine, _ *storage.Job) MachineTraits {
	traits := m.traits
	traits.Type = &protocol.MachineType{CPUs: 8}
	traits.UsedCPUs = 8 - m.free.CPUs
	return traits
}

func (c *testCluster) AppendRunning(list []RunningAttempt, m *testMachine) []RunningAttempt {
	c.runningScans++
	return append(list, m.running...)
}

// State returns the state of a job without attempts, unless the test has set another.
func (c *testCluster) State(j *storage.Job) JobState {
	if c.states[j] == nil {
		c.states[j] = &JobState{Remaining: j.Tasks, AttemptsByZone: make([]int, 4)}
	}
	state := *c.states[j]
	state.AttemptsByZone = slices.Clone(state.AttemptsByZone)
	return state
}

func (c *testCluster) NextTask(j *storage.Job) int {
	for task := range j.Tasks {
		if !c.placedTasks[protocol.TaskName(j.ID, task)] {
			return task
		}
	}
	return -1
}

func (c *testCluster) WithinQuota(j *storage.Job) bool {
	maximum, limited := c.quota[j.ID]
	return !limited || c.State(j).Attempts < maximum
}

func (c *testCluster) RetainsGuaranteeWithout(*storage.Job) bool { return c.teamsBorrow }
func (c *testCluster) OthersBorrow(*storage.Job) bool            { return c.teamsBorrow }

func (c *testCluster) AnyLowerPriority(rank int) bool {
	for _, m := range c.machines {
		if slices.ContainsFunc(m.running, func(r RunningAttempt) bool { return r.Job.Rank() > rank }) {
			return true
		}
	}
	return false
}

func (c *testCluster) Place(j *storage.Job, task int, m *testMachine, number uint64) {
	c.updateCounts(j, task, m, 1)
	m.free.Subtract(j)
	c.actions = append(c.actions, fmt.Sprintf("place %s on %s, attempt %d", protocol.TaskName(j.ID, task), m.name, number))
}

func (c *testCluster) Unplace(j *storage.Job, task int, m *testMachine) {
	c.updateCounts(j, task, m, -1)
	m.free.Add(j)
	c.actions = append(c.actions, fmt.Sprintf("unplace %s from %s", protocol.TaskName(j.ID, task), m.name))
}

// updateCounts updates the counters of a job when an attempt is placed or unplaced.
func (c *testCluster) updateCounts(j *storage.Job, task int, m *testMachine, change int) {
	c.State(j)
	state := c.states[j]
	state.Attempts += change
	state.AttemptsByZone[m.zone] += change
	c.placedTasks[protocol.TaskName(j.ID, task)] = change > 0
}

func (c *testCluster) Preempt(m *testMachine, victims []RunningAttempt, pending *storage.Job) {
	action := "preempt on " + m.name + " for " + pending.ID + ":"
	for _, victim := range victims {
		action += " " + protocol.TaskName(victim.Job.ID, victim.Task)
		for i := range m.running {
			if m.running[i].Job == victim.Job && m.running[i].Task == victim.Task {
				m.running[i].Stopping = true
			}
		}
	}
	c.actions = append(c.actions, action)
}

// runRound runs a round for the jobs and returns its result.
func (c *testCluster) runRound(jobs []Candidate) (placed bool) {
	wall := time.UnixMilli(c.waited.Milliseconds())
	return NewRound(RoundConfig[*testMachine]{Fleet: c, Jobs: c, Teams: c, Actions: c, Wall: wall}).Run(jobs)
}

// checkRound runs a round for the jobs and compares its actions with want.
func (c *testCluster) checkRound(name string, jobs []Candidate, want ...string) (placed bool) {
	c.t.Helper()
	placed = c.runRound(jobs)
	if !slices.Equal(c.actions, want) {
		c.t.Errorf("%s: actions\n%q, want\n%q", name, c.actions, want)
	}
	return placed
}

// Priorities of test jobs, highest first.
const (
	urgent     = "urgent" // rank 1
	normal     = "normal" // rank 2
	bestEffort = "best_effort"
)

// testJob returns an array of a team whose tasks use 1 CPU and 1 GB of memory each.
func testJob(id string, team, tasks int, change ...func(*storage.Job)) *storage.Job {
	j := &storage.Job{
		JobSpec:   protocol.JobSpec{ID: id, Kind: protocol.KindArray, Priority: normal, Tasks: tasks, CPUs: 1, MemoryGB: 1},
		TeamIndex: team,
		ZoneIndex: -1,
	}
	for _, apply := range change {
		apply(j)
	}
	return j
}

// gang, service, oneZone and spread modify a test job.
func gang(j *storage.Job)    { j.Kind = protocol.KindGang }
func service(j *storage.Job) { j.Kind = protocol.KindService }
func oneZone(j *storage.Job) { j.OneZone = true }
func spread(j *storage.Job)  { j.Spread = true }

func priority(name string) func(*storage.Job) {
	return func(j *storage.Job) { j.Priority = name }
}

func withCPUs(cpus float64) func(*storage.Job) {
	return func(j *storage.Job) { j.CPUs = cpus }
}

// candidates returns jobs as candidates in the given order, each with its own rank.
func candidates(jobs ...*storage.Job) (list []Candidate) {
	for _, j := range jobs {
		list = append(list, Candidate{Job: j, Rank: j.Rank()})
	}
	return list
}

// runningAttempt returns an attempt of the given age at the first task of a job.
func runningAttempt(j *storage.Job, age time.Duration) RunningAttempt {
	return RunningAttempt{Job: j, Number: 1, Rank: j.Rank(), Age: age}
}

// machineWithFree returns a machine with the given free CPUs and enough memory for any task.
func machineWithFree(name string, zone int, cpus float64, running ...RunningAttempt) *testMachine {
	return &testMachine{name: name, zone: zone, free: Resources{CPUs: cpus, MemoryGB: 100, TaskSlots: 100}, running: running}
}
