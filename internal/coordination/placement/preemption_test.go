package placement

import (
	"testing"
	"time"

	"rockrun/internal/storage"
)

// TestMayPreempt checks each preemption rule on its own. By default, the pending job of team
// 0 is within its guarantee, and the victim's team 1 borrows.
func TestMayPreempt(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(pending *Candidate, victim *RunningAttempt, cluster *testCluster)
		want   bool
	}{
		{"guarantee reclaims borrowed quota", func(*Candidate, *RunningAttempt, *testCluster) {}, true},
		{"higher priority without a guarantee", func(pending *Candidate, _ *RunningAttempt, cluster *testCluster) {
			pending.Job.Priority, pending.WithinGuarantee, cluster.teamsBorrow = urgent, false, false
		}, true},
		{"higher priority preempts a service", func(pending *Candidate, victim *RunningAttempt, _ *testCluster) {
			pending.Job.Priority = urgent
			service(victim.Job)
		}, true},
		{"higher priority preempts its own team", func(pending *Candidate, victim *RunningAttempt, _ *testCluster) {
			pending.Job.Priority, victim.Job.TeamIndex = urgent, 0
		}, true},
		{"higher priority of a dependent does not preempt", func(pending *Candidate, _ *RunningAttempt, _ *testCluster) {
			pending.Rank, pending.WithinGuarantee = 0, false
		}, false},
		{"priority of a dependent protects the victim", func(pending *Candidate, victim *RunningAttempt, _ *testCluster) {
			pending.Job.Priority, victim.Rank = urgent, 1
			pending.Rank, pending.WithinGuarantee = 1, false
		}, false},
		{"equal priority without a guarantee", func(pending *Candidate, _ *RunningAttempt, _ *testCluster) { pending.WithinGuarantee = false }, false},
		{"victim of the same team", func(_ *Candidate, victim *RunningAttempt, _ *testCluster) { victim.Job.TeamIndex = 0 }, false},
		{"victim is a service", func(_ *Candidate, victim *RunningAttempt, _ *testCluster) { service(victim.Job) }, false},
		{"victim within its own guarantee", func(_ *Candidate, victim *RunningAttempt, _ *testCluster) { victim.WithinGuarantee = true }, false},
		{"victim was starved", func(_ *Candidate, victim *RunningAttempt, _ *testCluster) { victim.Starved = true }, false},
		{"victim has a higher effective priority", func(_ *Candidate, victim *RunningAttempt, _ *testCluster) { victim.Rank = 1 }, false},
		{"victim's team would fall below its guarantee", func(_ *Candidate, _ *RunningAttempt, cluster *testCluster) { cluster.teamsBorrow = false }, false},
	} {
		cluster := newTestCluster(t)
		cluster.teamsBorrow = true
		pending := &Candidate{Job: testJob("run-1", 0, 1), Rank: 2, WithinGuarantee: true}
		victim := runningAttempt(testJob("run-2", 1, 1), time.Minute)
		c.change(pending, &victim, cluster)
		if got := mayPreempt(pending, &victim, cluster); got != c.want {
			t.Errorf("%s: %t", c.name, got)
		}
	}
}

// TestPreemptionPossible checks when machines are searched for victims.
func TestPreemptionPossible(t *testing.T) {
	for _, c := range []struct {
		name                     string
		lower, guaranteed, other bool
		want                     bool
	}{
		{"nothing running", false, false, false, false},
		{"attempt of a lower priority running", true, false, false, true},
		{"another team borrows, job within its guarantee", false, true, true, true},
		{"another team borrows, job beyond its guarantee", false, false, true, false},
		{"no team borrows", false, true, false, false},
	} {
		cluster := newTestCluster(t)
		cluster.teamsBorrow = c.other
		if c.lower {
			cluster.machines = append(cluster.machines, machineWithFree("m-1", 0, 0, runningAttempt(testJob("run-2", 1, 1, priority(bestEffort)), 0)))
		}
		pending := &Candidate{Job: testJob("run-1", 0, 1), Rank: 2, WithinGuarantee: c.guaranteed}
		if got := preemptionPossible(pending, cluster); got != c.want {
			t.Errorf("%s: %t", c.name, got)
		}
	}
}

// TestPreemptsNoMoreThan checks when a failed search for victims for the other job rules out
// the search for the first job.
func TestPreemptsNoMoreThan(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(c, other *Candidate)
		want   bool
	}{
		{"equal jobs", func(*Candidate, *Candidate) {}, true},
		{"first uses less CPU", func(_, other *Candidate) { other.Job.CPUs = 2 }, false},
		{"own priority of the first is higher", func(c, _ *Candidate) { c.Job.Priority = urgent }, false},
		{"first has a dependent with a higher priority", func(c, _ *Candidate) { c.Rank = 1 }, false},
		{"first is spread", func(c, _ *Candidate) { spread(c.Job) }, false},
		{"other is spread", func(_, other *Candidate) { spread(other.Job) }, false},
		{"other is a one-zone job", func(_, other *Candidate) { oneZone(other.Job) }, false},
		{"first is a one-zone job", func(c, _ *Candidate) { oneZone(c.Job) }, true},
		{"only the first is within its guarantee", func(c, _ *Candidate) { c.WithinGuarantee = true }, false},
		{"only the other is within its guarantee", func(_, other *Candidate) { other.WithinGuarantee = true }, true},
		{"both within the guarantee of one team", func(c, other *Candidate) { c.WithinGuarantee, other.WithinGuarantee = true, true }, true},
		{"both within the guarantees of two teams", func(c, other *Candidate) {
			c.WithinGuarantee, other.WithinGuarantee, other.Job.TeamIndex = true, true, 1
		}, false},
	} {
		list := candidates(testJob("run-1", 0, 1), testJob("run-2", 0, 1))
		c.change(&list[0], &list[1])
		if got := list[0].preemptsNoMoreThan(&list[1]); got != c.want {
			t.Errorf("%s: %t", c.name, got)
		}
	}
}

// TestPreempt checks which attempts are stopped for a task of an urgent job that uses 2 CPUs.
func TestPreempt(t *testing.T) {
	low := func(id string, cpus float64) *storage.Job {
		return testJob(id, 1, 1, priority(bestEffort), withCPUs(cpus))
	}
	stopping := func(r RunningAttempt) RunningAttempt {
		r.Stopping = true
		return r
	}
	for _, c := range []struct {
		name     string
		machines []*testMachine
		want     []string
	}{
		{"latest start first, and only as many as needed",
			[]*testMachine{machineWithFree("m-1", 0, 0, runningAttempt(low("old", 2), time.Minute), runningAttempt(low("new", 2), time.Second))},
			[]string{"preempt on m-1 for run-1: new/0"}},
		{"lowest priority first, regardless of run time",
			[]*testMachine{machineWithFree("m-1", 0, 0, runningAttempt(testJob("new", 1, 1, withCPUs(2)), time.Second), runningAttempt(low("old", 2), time.Minute))},
			[]string{"preempt on m-1 for run-1: old/0"}},
		{"several victims on a machine", []*testMachine{machineWithFree("m-1", 0, 0.5, runningAttempt(low("a", 1), 1), runningAttempt(low("b", 1), 2), runningAttempt(low("c", 1), 3))},
			[]string{"preempt on m-1 for run-1: a/0 b/0"}},
		{"machine with the least lost work",
			[]*testMachine{machineWithFree("m-1", 0, 0, runningAttempt(low("old", 2), time.Minute)), machineWithFree("m-2", 0, 0, runningAttempt(low("new", 2), time.Second))},
			[]string{"preempt on m-2 for run-1: new/0"}},
		{"first machine among equal costs",
			[]*testMachine{machineWithFree("m-1", 0, 0, runningAttempt(low("a", 2), time.Second)), machineWithFree("m-2", 0, 0, runningAttempt(low("b", 2), time.Second))},
			[]string{"preempt on m-1 for run-1: a/0"}},
		{"no victim where a stopping attempt frees enough",
			[]*testMachine{machineWithFree("m-1", 0, 0, runningAttempt(low("a", 2), time.Second)), machineWithFree("m-2", 0, 0, stopping(runningAttempt(low("b", 2), time.Minute)))},
			[]string{"preempt on m-2 for run-1:"}},
		{"none where all victims together free too little", []*testMachine{machineWithFree("m-1", 0, 0, runningAttempt(low("a", 1), time.Second))}, nil},
		{"none where the priority forbids it", []*testMachine{machineWithFree("m-1", 0, 0, runningAttempt(low("a", 0.5), 1), runningAttempt(testJob("b", 1, 1, priority(urgent), withCPUs(4)), 1))}, nil},
		{"none on a machine that is not schedulable", []*testMachine{
			{name: "m-1", free: Resources{MemoryGB: 100}, unschedulable: true, running: []RunningAttempt{runningAttempt(low("a", 2), 1)}},
		}, nil},
		{"none on a machine of another shard", []*testMachine{
			{name: "m-1", free: Resources{MemoryGB: 100}, shard: 1, running: []RunningAttempt{runningAttempt(low("a", 2), 1)}},
		}, nil},
	} {
		cluster := newTestCluster(t, c.machines...)
		if cluster.checkRound(c.name, candidates(testJob("run-1", 0, 1, priority(urgent), withCPUs(2))), c.want...) {
			t.Errorf("%s: preemption counted as a placement", c.name)
		}
	}
}
