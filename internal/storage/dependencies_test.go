package storage

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"rockrun/internal/protocol"
)

// TestJobStateFollowsDependencies checks the state of a job for every state of the records of
// its dependencies.
func TestJobStateFollowsDependencies(t *testing.T) {
	const done, cancelled = protocol.StageDone, protocol.StageCancelled
	for _, c := range []struct {
		name   string
		events func(v *testView)
		want   string // of run-9
	}{
		{"no dependencies", func(v *testView) { v.addJob("run-9") }, "runnable"},
		{"unfinished dependency", func(v *testView) { v.addJob("run-1"); v.addJob("run-9", "run-1") }, "awaits dependencies"},
		{"ended dependency with unread final record", func(v *testView) { v.addJob("run-1"); v.addJob("run-9", "run-1"); v.removeJobRecord("run-1") }, "awaits dependencies"},
		{"dependency ended before submission", func(v *testView) { v.addJob("run-9", "run-1") }, "awaits dependencies"},
		{"done dependency", func(v *testView) { v.addJob("run-9", "run-1"); v.applyFinal("run-1", done, 0) }, "runnable"},
		{"done dependency whose record is not removed yet", func(v *testView) { v.addJob("run-1"); v.addJob("run-9", "run-1"); v.applyFinal("run-1", done, 0) }, "runnable"},
		{"one of two dependencies done, the other unread", func(v *testView) { v.addJob("run-9", "run-1", "run-2"); v.applyFinal("run-1", done, 0) }, "awaits dependencies"},
		{"both dependencies done", func(v *testView) {
			v.addJob("run-9", "run-1", "run-2")
			v.applyFinal("run-2", done, 0)
			v.applyFinal("run-1", done, 0)
		}, "runnable"},
		{"done dependency listed twice", func(v *testView) { v.addJob("run-9", "run-1", "run-1"); v.applyFinal("run-1", done, 0) }, "runnable"},
		{"cancelled dependency", func(v *testView) { v.addJob("run-1"); v.addJob("run-9", "run-1"); v.applyFinal("run-1", cancelled, 0) }, "cancelled with run-1"},
		{"dependency cancelled according to another controller", func(v *testView) {
			v.addJob("run-1")
			v.addJob("run-9", "run-1")
			v.MarkCancelled("run-1")
		}, "cancelled with run-1"},
		{"dependency cancelled before submission", func(v *testView) {
			v.addJob("run-1")
			v.MarkCancelled("run-1")
			v.addJob("run-9", "run-1")
		}, "cancelled with run-1"},
		{"one dependency cancelled, another done", func(v *testView) {
			v.addJob("run-9", "run-1", "run-2")
			v.applyFinal("run-1", done, 0)
			v.applyFinal("run-2", cancelled, 0)
		}, "cancelled with run-2"},
		{"chain cancelled at its root", func(v *testView) {
			v.addJob("run-1")
			v.addJob("run-2", "run-1")
			v.addJob("run-3", "run-2")
			v.addJob("run-9", "run-3")
			v.applyFinal("run-1", cancelled, 0)
		}, "cancelled with run-1"},
		{"chain cancelled before its last job was submitted", func(v *testView) {
			v.addJob("run-1")
			v.addJob("run-2", "run-1")
			v.applyFinal("run-1", cancelled, 0)
			v.addJob("run-9", "run-2")
		}, "cancelled with run-1"},
		{"chain whose middle job ended as cancelled before the last was submitted", func(v *testView) {
			v.addJob("run-1")
			v.addJob("run-2", "run-1")
			v.applyFinal("run-1", cancelled, 0)
			v.removeJobRecord("run-2")
			v.addJob("run-9", "run-2")
		}, "awaits dependencies"}, // the row of run-2, which had no dependents, was deleted, so its final record must be read
		{"records read in key order", func(v *testView) {
			v.addJob("run-9", "run-95")
			v.addJob("run-95", "run-96")
			v.addJob("run-96")
			v.applyFinal("run-96", cancelled, 0)
		}, "cancelled with run-96"},
		{"diamond with one side done", func(v *testView) {
			v.addJob("run-2", "run-1")
			v.addJob("run-3", "run-1")
			v.addJob("run-9", "run-2", "run-3")
			v.applyFinal("run-1", done, 0)
			v.applyFinal("run-2", done, 0)
		}, "awaits dependencies"},
		{"cancelled by its own user", func(v *testView) { v.addJob("run-9", "run-1"); v.MarkCancelled("run-9") }, "awaits dependencies"}, // but not active, so not Runnable either
	} {
		t.Run(c.name, func(t *testing.T) {
			v := newTestView(t, 1)
			c.events(v)
			if got := v.state("run-9"); got != c.want {
				t.Errorf("run-9: %s; want %s", got, c.want)
			}
		})
	}
}

// TestFirstFinalRecordWins: a dependency is done at the moment when it is cancelled. Only one
// final record exists; a later contradicting outcome has no effect.
func TestFirstFinalRecordWins(t *testing.T) {
	v := newTestView(t, 1)
	v.addJob("run-1")
	v.addJob("run-2", "run-1")
	if released, _ := v.applyFinal("run-1", protocol.StageDone, 0); !slices.Equal(released, []string{"run-2"}) {
		t.Errorf("released %v", released)
	}
	if _, cancelled := v.applyFinal("run-1", protocol.StageCancelled, 0); len(cancelled) > 0 || v.state("run-2") != "runnable" {
		t.Errorf("cancelled %v; run-2: %s", cancelled, v.state("run-2"))
	}
}

// TestReadyTime: all times except the deadline are measured from the end of the last
// dependency. Versions before 0.2 wrote no end time to the final record.
func TestReadyTime(t *testing.T) {
	v := newTestView(t, 1)
	v.addJob("run-9", "run-1", "run-2", "run-3")
	v.applyFinal("run-1", protocol.StageDone, 5000)
	v.applyFinal("run-2", protocol.StageDone, 3000)
	v.applyFinal("run-3", protocol.StageDone, 0)
	_, j := v.Jobs.Find("run-9")
	if j.ReadyAtMS() != 5000 {
		t.Errorf("run-9 ready at %d", j.ReadyAtMS())
	}
	v.addJob("run-8", "run-3")
	if _, j := v.Jobs.Find("run-8"); j.ReadyAtMS() != j.SubmittedAtMS {
		t.Errorf("run-8 ready at %d", j.ReadyAtMS())
	}
}

// TestUnreadOutcomes: the view lists the unread final records of ended jobs with dependents,
// each once, and the part of them that can decide whether a given job is cancelled.
func TestUnreadOutcomes(t *testing.T) {
	v := newTestView(t, 1)
	v.addJob("run-1")
	v.addJob("run-2", "run-1")
	v.addJob("run-3", "run-2")
	v.addJob("run-4", "run-2", "run-5")
	_, third := v.Jobs.Find("run-3")
	if got := jobIDs(v.UnreadOutcomes()); !slices.Equal(got, []string{"run-5"}) {
		t.Errorf("unread before any job ended: %v", got)
	}
	if got := v.UnreadOutcomesUpstream(third); len(got) > 0 {
		t.Errorf("unread upstream of run-3 before any job ended: %v", jobIDs(got))
	}
	v.removeJobRecord("run-1")
	if got := jobIDs(v.UnreadOutcomesUpstream(third)); !slices.Equal(got, []string{"run-1"}) {
		t.Errorf("unread upstream of run-3 after the end of run-1: %v", got)
	}
	v.removeJobRecord("run-2")
	if got := jobIDs(v.UnreadOutcomes()); !slices.Equal(got, []string{"run-2", "run-5"}) {
		t.Errorf("unread after the end of run-2: %v", got) // run-1 has no unfinished dependents any more
	}
	v.removeJobRecord("run-3")
	v.removeJobRecord("run-4")
	if got := jobIDs(v.UnreadOutcomes()); len(got) > 0 {
		t.Errorf("unread after the end of all dependents: %v", got)
	}
	v.Jobs.All(func(_ int, j *Job) { t.Errorf("row of %s not deleted", j.ID) })
}

// TestCancelledDependentEnds: the record of a job that was cancelled with a dependency is
// removed. The job's outcome is known without reading its final record.
func TestCancelledDependentEnds(t *testing.T) {
	v := newTestView(t, 1)
	v.addJob("run-1")
	v.addJob("run-2", "run-1")
	v.addJob("run-3", "run-2")
	v.applyFinal("run-1", protocol.StageCancelled, 0)
	if got := jobIDs(v.CancelledDependents()); !slices.Equal(got, []string{"run-2", "run-3"}) {
		t.Errorf("cancelled dependents: %v", got)
	}
	v.removeJobRecord("run-2")
	if got := jobIDs(v.CancelledDependents()); !slices.Equal(got, []string{"run-3"}) {
		t.Errorf("cancelled dependents after the end of run-2: %v", got)
	}
	if got := v.UnreadOutcomes(); len(got) > 0 {
		t.Errorf("unread outcomes: %v", jobIDs(got))
	}
	v.addJob("run-4", "run-2")
	if got := v.state("run-4"); !strings.HasPrefix(got, "cancelled") {
		t.Errorf("run-4: %s", got)
	}
}

// randomJobGraph is a set of jobs with random dependencies on earlier jobs. Some of the jobs
// end.
type randomJobGraph struct {
	random       *rand.Rand
	incremental  *testView // receives every change when it happens
	dependencies map[string][]string
	finalStages  map[string]string // by ID of an ended job: the stage in its final record
}

const graphJobs = 30

// graphJobID returns the ID of the job that is added as number i. The order of the IDs differs
// from the order of the additions.
func graphJobID(i int) string { return fmt.Sprintf("run-%d", (i*37)%100) }

// addJob adds a job that depends on up to two earlier jobs.
func (graph *randomJobGraph) addJob(i int) {
	id := graphJobID(i)
	for range graph.random.IntN(3) {
		if i > 0 {
			graph.dependencies[id] = append(graph.dependencies[id], graphJobID(graph.random.IntN(i)))
		}
	}
	graph.incremental.addJob(id, graph.dependencies[id]...)
}

// endJob ends an unfinished job with a random outcome that its state permits.
func (graph *randomJobGraph) endJob(id string) {
	if _, j := graph.incremental.Jobs.Find(id); j == nil || j.Ended() {
		return
	}
	stage := protocol.StageCancelled
	if graph.incremental.state(id) == "runnable" && graph.random.IntN(3) > 0 {
		stage = protocol.StageDone
	}
	graph.finalStages[id] = stage
	if graph.random.IntN(2) == 0 { // the view reads the final record before or after the removal of the job's record
		graph.incremental.applyFinal(id, stage, 0)
		graph.incremental.removeJobRecord(id)
	} else {
		graph.incremental.removeJobRecord(id)
		graph.incremental.applyFinal(id, stage, 0)
	}
}

// readOutcomes applies to a view all final records that it reports as unread.
func (graph *randomJobGraph) readOutcomes(v *testView) {
	for unread := v.UnreadOutcomes(); len(unread) > 0; unread = v.UnreadOutcomes() {
		for _, j := range unread {
			v.applyFinal(j.ID, graph.finalStages[j.ID], 0)
		}
	}
}

// TestDependenciesInAnyReadOrder: a controller that has received every change and a controller
// that starts later and reads the remaining records in any order compute the same job states.
// The job graphs are random, with some jobs done and some cancelled.
func TestDependenciesInAnyReadOrder(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 11))
		graph := randomJobGraph{random: random, incremental: newTestView(t, 1), dependencies: map[string][]string{}, finalStages: map[string]string{}}
		for i := range graphJobs {
			graph.addJob(i)
			graph.endJob(graphJobID(random.IntN(i + 1)))
		}
		rebuilt := newTestView(t, 1)
		for _, i := range random.Perm(graphJobs) {
			if id := graphJobID(i); graph.finalStages[id] == "" {
				rebuilt.addJob(id, graph.dependencies[id]...)
			}
		}
		graph.readOutcomes(rebuilt)
		graph.readOutcomes(graph.incremental)
		for i := range graphJobs {
			id := graphJobID(i)
			incrementalState, _, _ := strings.Cut(graph.incremental.state(id), " with")
			rebuiltState, _, _ := strings.Cut(rebuilt.state(id), " with")
			if incrementalState != rebuiltState {
				t.Fatalf("seed %d: %s is %s in the incremental view, %s in the rebuilt view", seed, id, incrementalState, rebuiltState)
			}
		}
	}
}
