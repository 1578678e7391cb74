package placement

import (
	"testing"
	"time"

	"rockrun/internal/storage"
)

// TestMayPreempt: who may stop whom, each rule alone. The pending job of team 0 is within
// its guarantee, the victim of team 1 borrows.
func TestMayPreempt(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(pending *Candidate, victim *Running, cluster *testCluster)
		want   bool
	}{
		{"borrowed share gives way to a guarantee", func(*Candidate, *Running, *testCluster) {}, true},
		{"a higher priority needs no guarantee", func(pending *Candidate, _ *Running, cluster *testCluster) {
			pending.Job.Priority, pending.WithinGuarantee, cluster.teamsBorrow = urgent, false, false
		}, true},
		{"nor does it spare services", func(pending *Candidate, victim *Running, _ *testCluster) {
			pending.Job.Priority = urgent
			service(victim.Job)
		}, true},
		{"nor its own team", func(pending *Candidate, victim *Running, _ *testCluster) {
			pending.Job.Priority, victim.Job.TeamIndex = urgent, 0
		}, true},
		{"a higher priority that it has from a dependent stops nothing", func(pending *Candidate, _ *Running, _ *testCluster) {
			pending.Rank, pending.WithinGuarantee = 0, false
		}, false},
		{"the priority of a dependent protects", func(pending *Candidate, victim *Running, _ *testCluster) {
			pending.Job.Priority, victim.Rank = urgent, 1
			pending.Rank, pending.WithinGuarantee = 1, false
		}, false},
		{"an equal priority without a guarantee", func(pending *Candidate, _ *Running, _ *testCluster) { pending.WithinGuarantee = false }, false},
		{"the same team", func(_ *Candidate, victim *Running, _ *testCluster) { victim.Job.TeamIndex = 0 }, false},
		{"a service", func(_ *Candidate, victim *Running, _ *testCluster) { service(victim.Job) }, false},
		{"within its own guarantee", func(_ *Candidate, victim *Running, _ *testCluster) { victim.WithinGuarantee = true }, false},
		{"starved before", func(_ *Candidate, victim *Running, _ *testCluster) { victim.Starved = true }, false},
		{"goes before the pending job in order", func(_ *Candidate, victim *Running, _ *testCluster) { victim.Rank = 1 }, false},
		{"its team would fall below its guarantee", func(_ *Candidate, _ *Running, cluster *testCluster) { cluster.teamsBorrow = false }, false},
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

// TestPreemptionPossible: when machines are looked at at all.
func TestPreemptionPossible(t *testing.T) {
	for _, c := range []struct {
		name                     string
		lower, guaranteed, other bool
		want                     bool
	}{
		{"nothing runs", false, false, false, false},
		{"something of a lower priority runs", true, false, false, true},
		{"another team borrows from a guarantee", false, true, true, true},
		{"another team borrows, but not from a guarantee", false, false, true, false},
		{"nobody borrows", false, true, false, false},
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

// TestPreemptsNoMoreThan: when a look in vain for one job is one for another, too.
func TestPreemptsNoMoreThan(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(c, other *Candidate)
		want   bool
	}{
		{"equal", func(*Candidate, *Candidate) {}, true},
		{"it takes less", func(_, other *Candidate) { other.Job.CPUs = 2 }, false},
		{"its own priority is higher", func(c, _ *Candidate) { c.Job.Priority = urgent }, false},
		{"it goes first for a dependent", func(c, _ *Candidate) { c.Rank = 1 }, false},
		{"it is spread", func(c, _ *Candidate) { spread(c.Job) }, false},
		{"the other is spread", func(_, other *Candidate) { spread(other.Job) }, false},
		{"the other is bound to one zone", func(_, other *Candidate) { oneZone(other.Job) }, false},
		{"it is bound to one zone", func(c, _ *Candidate) { oneZone(c.Job) }, true},
		{"only it has a guarantee", func(c, _ *Candidate) { c.WithinGuarantee = true }, false},
		{"only the other has", func(_, other *Candidate) { other.WithinGuarantee = true }, true},
		{"both have, of one team", func(c, other *Candidate) { c.WithinGuarantee, other.WithinGuarantee = true, true }, true},
		{"both have, of two teams", func(c, other *Candidate) {
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

// TestPreempt: what is stopped, and where, for a task of an urgent job that takes 2 CPUs.
func TestPreempt(t *testing.T) {
	low := func(id string, cpus float64) *storage.Job {
		return testJob(id, 1, 1, priority(bestEffort), withCPUs(cpus))
	}
	stopping := func(r Running) Running {
		r.Stopping = true
		return r
	}
	for _, c := range []struct {
		name     string
		machines []*testMachine
		want     []string
	}{
		{"the latest first, and no more than it takes",
			[]*testMachine{machineWithFree("m-1", 0, 0, runningAttempt(low("old", 2), time.Minute), runningAttempt(low("new", 2), time.Second))},
			[]string{"on m-1 for run-1: new/0"}},
		{"the lowest priority first, however long it has run",
			[]*testMachine{machineWithFree("m-1", 0, 0, runningAttempt(testJob("new", 1, 1, withCPUs(2)), time.Second), runningAttempt(low("old", 2), time.Minute))},
			[]string{"on m-1 for run-1: old/0"}},
		{"several on a machine", []*testMachine{machineWithFree("m-1", 0, 0.5, runningAttempt(low("a", 1), 1), runningAttempt(low("b", 1), 2), runningAttempt(low("c", 1), 3))},
			[]string{"on m-1 for run-1: a/0 b/0"}},
		{"where the least work is lost",
			[]*testMachine{machineWithFree("m-1", 0, 0, runningAttempt(low("old", 2), time.Minute)), machineWithFree("m-2", 0, 0, runningAttempt(low("new", 2), time.Second))},
			[]string{"on m-2 for run-1: new/0"}},
		{"the first of equals",
			[]*testMachine{machineWithFree("m-1", 0, 0, runningAttempt(low("a", 2), time.Second)), machineWithFree("m-2", 0, 0, runningAttempt(low("b", 2), time.Second))},
			[]string{"on m-1 for run-1: a/0"}},
		{"nothing where a stop under way leaves the room",
			[]*testMachine{machineWithFree("m-1", 0, 0, runningAttempt(low("a", 2), time.Second)), machineWithFree("m-2", 0, 0, stopping(runningAttempt(low("b", 2), time.Minute)))},
			[]string{"on m-2 for run-1:"}},
		{"nothing where all is not enough", []*testMachine{machineWithFree("m-1", 0, 0, runningAttempt(low("a", 1), time.Second))}, nil},
		{"nothing that may not be stopped", []*testMachine{machineWithFree("m-1", 0, 0, runningAttempt(low("a", 0.5), 1), runningAttempt(testJob("b", 1, 1, priority(urgent), withCPUs(4)), 1))}, nil},
		{"nothing on a machine that takes no tasks", []*testMachine{
			{name: "m-1", free: Resources{MemoryGB: 100}, unschedulable: true, running: []Running{runningAttempt(low("a", 2), 1)}},
		}, nil},
		{"nothing on a machine of another shard", []*testMachine{
			{name: "m-1", free: Resources{MemoryGB: 100}, shard: 1, running: []Running{runningAttempt(low("a", 2), 1)}},
		}, nil},
	} {
		cluster := newTestCluster(t, c.machines...)
		if cluster.checkRound(c.name, candidates(testJob("run-1", 0, 1, priority(urgent), withCPUs(2))), c.want...) {
			t.Errorf("%s: it counts as placed", c.name)
		}
	}
}
