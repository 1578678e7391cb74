package placement

import (
	"testing"
	"time"

	"rockrun/internal/storage"
)

// TestMayPreempt: who may stop whom, each rule alone. The waiting job of team 0 is within
// its guarantee, the victim of team 1 borrows.
func TestMayPreempt(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(waiting *Candidate, victim *Running, cluster *testCluster)
		want   bool
	}{
		{"borrowed share gives way to a guarantee", func(*Candidate, *Running, *testCluster) {}, true},
		{"a higher priority needs no guarantee", func(waiting *Candidate, _ *Running, cluster *testCluster) {
			waiting.Job.Priority, waiting.WithinGuarantee, cluster.borrows = urgent, false, false
		}, true},
		{"nor does it spare services", func(waiting *Candidate, victim *Running, _ *testCluster) {
			waiting.Job.Priority = urgent
			service(victim.Job)
		}, true},
		{"nor its own team", func(waiting *Candidate, victim *Running, _ *testCluster) {
			waiting.Job.Priority, victim.Job.TeamIndex = urgent, 0
		}, true},
		{"a higher priority that it has from a dependent stops nothing", func(waiting *Candidate, _ *Running, _ *testCluster) {
			waiting.Rank, waiting.WithinGuarantee = 0, false
		}, false},
		{"the priority of a dependent protects", func(waiting *Candidate, victim *Running, _ *testCluster) {
			waiting.Job.Priority, victim.Rank = urgent, 1
			waiting.Rank, waiting.WithinGuarantee = 1, false
		}, false},
		{"an equal priority without a guarantee", func(waiting *Candidate, _ *Running, _ *testCluster) { waiting.WithinGuarantee = false }, false},
		{"the same team", func(_ *Candidate, victim *Running, _ *testCluster) { victim.Job.TeamIndex = 0 }, false},
		{"a service", func(_ *Candidate, victim *Running, _ *testCluster) { service(victim.Job) }, false},
		{"within its own guarantee", func(_ *Candidate, victim *Running, _ *testCluster) { victim.WithinGuarantee = true }, false},
		{"starved before", func(_ *Candidate, victim *Running, _ *testCluster) { victim.Starved = true }, false},
		{"goes before the waiting job in order", func(_ *Candidate, victim *Running, _ *testCluster) { victim.Rank = 1 }, false},
		{"its team would fall below its guarantee", func(_ *Candidate, _ *Running, cluster *testCluster) { cluster.borrows = false }, false},
	} {
		cluster := newTestCluster(t)
		cluster.borrows = true
		waiting := &Candidate{Job: testJob("run-1", 0, 1), Rank: 2, WithinGuarantee: true}
		victim := onMachine(testJob("run-2", 1, 1), time.Minute)
		c.change(waiting, &victim, cluster)
		if got := mayPreempt(waiting, &victim, cluster); got != c.want {
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
		cluster.borrows = c.other
		if c.lower {
			cluster.machines = append(cluster.machines, withFree("m-1", 0, 0, onMachine(testJob("run-2", 1, 1, priority(lowest)), 0)))
		}
		waiting := &Candidate{Job: testJob("run-1", 0, 1), Rank: 2, WithinGuarantee: c.guaranteed}
		if got := preemptionPossible(waiting, cluster); got != c.want {
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
	low := func(id string, cpus float64) *storage.Job { return testJob(id, 1, 1, priority(lowest), takes(cpus)) }
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
			[]*testMachine{withFree("m-1", 0, 0, onMachine(low("old", 2), time.Minute), onMachine(low("new", 2), time.Second))},
			[]string{"on m-1 for run-1: new/0"}},
		{"the lowest priority first, however long it has run",
			[]*testMachine{withFree("m-1", 0, 0, onMachine(testJob("new", 1, 1, takes(2)), time.Second), onMachine(low("old", 2), time.Minute))},
			[]string{"on m-1 for run-1: old/0"}},
		{"several on a machine", []*testMachine{withFree("m-1", 0, 0.5, onMachine(low("a", 1), 1), onMachine(low("b", 1), 2), onMachine(low("c", 1), 3))},
			[]string{"on m-1 for run-1: a/0 b/0"}},
		{"where the least work is lost",
			[]*testMachine{withFree("m-1", 0, 0, onMachine(low("old", 2), time.Minute)), withFree("m-2", 0, 0, onMachine(low("new", 2), time.Second))},
			[]string{"on m-2 for run-1: new/0"}},
		{"the first of equals",
			[]*testMachine{withFree("m-1", 0, 0, onMachine(low("a", 2), time.Second)), withFree("m-2", 0, 0, onMachine(low("b", 2), time.Second))},
			[]string{"on m-1 for run-1: a/0"}},
		{"nothing where a stop under way leaves the room",
			[]*testMachine{withFree("m-1", 0, 0, onMachine(low("a", 2), time.Second)), withFree("m-2", 0, 0, stopping(onMachine(low("b", 2), time.Minute)))},
			[]string{"on m-2 for run-1:"}},
		{"nothing where all is not enough", []*testMachine{withFree("m-1", 0, 0, onMachine(low("a", 1), time.Second))}, nil},
		{"nothing that may not be stopped", []*testMachine{withFree("m-1", 0, 0, onMachine(low("a", 0.5), 1), onMachine(testJob("b", 1, 1, priority(urgent), takes(4)), 1))}, nil},
		{"nothing on a machine that takes no tasks", []*testMachine{
			{name: "m-1", free: Resources{MemoryGB: 100}, unschedulable: true, running: []Running{onMachine(low("a", 2), 1)}},
		}, nil},
		{"nothing on a machine of another shard", []*testMachine{
			{name: "m-1", free: Resources{MemoryGB: 100}, shard: 1, running: []Running{onMachine(low("a", 2), 1)}},
		}, nil},
	} {
		cluster := newTestCluster(t, c.machines...)
		if cluster.run(c.name, candidates(testJob("run-1", 0, 1, priority(urgent), takes(2))), c.want...) {
			t.Errorf("%s: it counts as placed", c.name)
		}
	}
}
