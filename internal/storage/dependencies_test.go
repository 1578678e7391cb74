package storage

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"rockrun/internal/protocol"
)

// TestJobStateFollowsDependencies: what follows for a job from the records of its dependencies, for
// every state that they can be in.
func TestJobStateFollowsDependencies(t *testing.T) {
	const done, cancelled = protocol.StageDone, protocol.StageCancelled
	for _, c := range []struct {
		name   string
		events func(v *testView)
		want   string // of run-9
	}{
		{"no dependencies", func(v *testView) { v.accept("run-9") }, "runnable"},
		{"an unfinished dependency", func(v *testView) { v.accept("run-1"); v.accept("run-9", "run-1") }, "awaits dependencies"},
		{"a dependency that ended, not known how", func(v *testView) { v.accept("run-1"); v.accept("run-9", "run-1"); v.end("run-1") }, "awaits dependencies"},
		{"a dependency that ended before", func(v *testView) { v.accept("run-9", "run-1") }, "awaits dependencies"},
		{"a dependency that is done", func(v *testView) { v.accept("run-9", "run-1"); v.final("run-1", done, 0) }, "runnable"},
		{"a dependency known to be done before its record is removed", func(v *testView) { v.accept("run-1"); v.accept("run-9", "run-1"); v.final("run-1", done, 0) }, "runnable"},
		{"one of two dependencies done", func(v *testView) { v.accept("run-9", "run-1", "run-2"); v.final("run-1", done, 0) }, "awaits dependencies"},
		{"both dependencies done", func(v *testView) {
			v.accept("run-9", "run-1", "run-2")
			v.final("run-2", done, 0)
			v.final("run-1", done, 0)
		}, "runnable"},
		{"a dependency named twice and done", func(v *testView) { v.accept("run-9", "run-1", "run-1"); v.final("run-1", done, 0) }, "runnable"},
		{"a cancelled dependency", func(v *testView) { v.accept("run-1"); v.accept("run-9", "run-1"); v.final("run-1", cancelled, 0) }, "cancelled with run-1"},
		{"a dependency that another controller says it cancelled", func(v *testView) {
			v.accept("run-1")
			v.accept("run-9", "run-1")
			v.MarkCancelled("run-1")
		}, "cancelled with run-1"},
		{"a dependency that was cancelled before", func(v *testView) {
			v.accept("run-1")
			v.MarkCancelled("run-1")
			v.accept("run-9", "run-1")
		}, "cancelled with run-1"},
		{"a cancelled dependency beside one that is done", func(v *testView) {
			v.accept("run-9", "run-1", "run-2")
			v.final("run-1", done, 0)
			v.final("run-2", cancelled, 0)
		}, "cancelled with run-2"},
		{"a chain cancelled at its root", func(v *testView) {
			v.accept("run-1")
			v.accept("run-2", "run-1")
			v.accept("run-3", "run-2")
			v.accept("run-9", "run-3")
			v.final("run-1", cancelled, 0)
		}, "cancelled with run-1"},
		{"a chain that was cancelled before its last job came", func(v *testView) {
			v.accept("run-1")
			v.accept("run-2", "run-1")
			v.final("run-1", cancelled, 0)
			v.accept("run-9", "run-2")
		}, "cancelled with run-1"},
		{"a chain in which the one between has its final record by now", func(v *testView) {
			v.accept("run-1")
			v.accept("run-2", "run-1")
			v.final("run-1", cancelled, 0)
			v.end("run-2")
			v.accept("run-9", "run-2")
		}, "awaits dependencies"}, // nothing depended on it, so how it ended is read anew
		{"records read in the order of their names", func(v *testView) {
			v.accept("run-9", "run-95")
			v.accept("run-95", "run-96")
			v.accept("run-96")
			v.final("run-96", cancelled, 0)
		}, "cancelled with run-96"},
		{"a diamond with one side done", func(v *testView) {
			v.accept("run-2", "run-1")
			v.accept("run-3", "run-1")
			v.accept("run-9", "run-2", "run-3")
			v.final("run-1", done, 0)
			v.final("run-2", done, 0)
		}, "awaits dependencies"},
		{"its own user cancels it", func(v *testView) { v.accept("run-9", "run-1"); v.MarkCancelled("run-9") }, "awaits dependencies"}, // and it is not active: Runnable says so
	} {
		t.Run(c.name, func(t *testing.T) {
			v := newTestView(t, 1)
			c.events(v)
			if got := v.state("run-9"); got != c.want {
				t.Errorf("%s, not %s", got, c.want)
			}
		})
	}
}

// TestFirstFinalRecordWins: a dependency ends as done in the moment in which it is
// cancelled. There is one final record; what is said against it later changes nothing.
func TestFirstFinalRecordWins(t *testing.T) {
	v := newTestView(t, 1)
	v.accept("run-1")
	v.accept("run-2", "run-1")
	if released, _ := v.final("run-1", protocol.StageDone, 0); !slices.Equal(released, []string{"run-2"}) {
		t.Errorf("released: %v", released)
	}
	if _, cancelled := v.final("run-1", protocol.StageCancelled, 0); len(cancelled) > 0 || v.state("run-2") != "runnable" {
		t.Errorf("cancelled: %v, it %s", cancelled, v.state("run-2"))
	}
}

// TestReadyTime: other times than the deadline count from the end of the last dependency.
// Versions before 0.2 wrote none into the final record.
func TestReadyTime(t *testing.T) {
	v := newTestView(t, 1)
	v.accept("run-9", "run-1", "run-2", "run-3")
	v.final("run-1", protocol.StageDone, 5000)
	v.final("run-2", protocol.StageDone, 3000)
	v.final("run-3", protocol.StageDone, 0)
	_, j := v.Jobs.Find("run-9")
	if j.ReadyAtMS() != 5000 {
		t.Errorf("ready at %d", j.ReadyAtMS())
	}
	v.accept("run-8", "run-3")
	if _, j := v.Jobs.Find("run-8"); j.ReadyAtMS() != j.SubmittedAtMS {
		t.Errorf("ready at %d", j.ReadyAtMS())
	}
}

// TestUnreadOutcomes: the final records that are wanted are those of ended jobs that
// others depend on, each once; and those on which it depends whether a job is cancelled.
func TestUnreadOutcomes(t *testing.T) {
	v := newTestView(t, 1)
	v.accept("run-1")
	v.accept("run-2", "run-1")
	v.accept("run-3", "run-2")
	v.accept("run-4", "run-2", "run-5")
	_, third := v.Jobs.Find("run-3")
	if got := ids(v.UnreadOutcomes()); !slices.Equal(got, []string{"run-5"}) {
		t.Errorf("wanted: %v", got)
	}
	if got := v.UnreadOutcomesUpstream(third); len(got) > 0 {
		t.Errorf("wanted for run-3: %v", ids(got))
	}
	v.end("run-1")
	if got := ids(v.UnreadOutcomesUpstream(third)); !slices.Equal(got, []string{"run-1"}) {
		t.Errorf("wanted for run-3: %v", got)
	}
	v.end("run-2")
	if got := ids(v.UnreadOutcomes()); !slices.Equal(got, []string{"run-2", "run-5"}) {
		t.Errorf("wanted: %v", got) // nothing depends on run-1 any more
	}
	v.end("run-3")
	v.end("run-4")
	if got := ids(v.UnreadOutcomes()); len(got) > 0 {
		t.Errorf("wanted: %v", got)
	}
	v.Jobs.All(func(_ int, j *Job) { t.Errorf("%s is not forgotten", j.ID) })
}

// TestCancelledDependentEnds: the record of a job that was cancelled with another is removed. What
// that says of it is known without reading its final record.
func TestCancelledDependentEnds(t *testing.T) {
	v := newTestView(t, 1)
	v.accept("run-1")
	v.accept("run-2", "run-1")
	v.accept("run-3", "run-2")
	v.final("run-1", protocol.StageCancelled, 0)
	if got := ids(v.CancelledDependents()); !slices.Equal(got, []string{"run-2", "run-3"}) {
		t.Errorf("final records to write: %v", got)
	}
	v.end("run-2")
	if got := ids(v.CancelledDependents()); !slices.Equal(got, []string{"run-3"}) {
		t.Errorf("final records to write: %v", got)
	}
	if got := v.UnreadOutcomes(); len(got) > 0 {
		t.Errorf("wanted: %v", ids(got))
	}
	v.accept("run-4", "run-2")
	if got := v.state("run-4"); !strings.HasPrefix(got, "cancelled") {
		t.Errorf("run-4 %s", got)
	}
}

// randomJobGraph are jobs with random dependencies on earlier ones, of which some end.
type randomJobGraph struct {
	random       *rand.Rand
	incremental  *testView // has seen everything happen
	dependencies map[string][]string
	finalStages  map[string]string // by ended job: the stage of its final record
}

const graphJobs = 30

// graphJobID is the ID of the job that came as the i-th; IDs are not in this order.
func graphJobID(i int) string { return fmt.Sprintf("run-%d", (i*37)%100) }

// addJob accepts a job that depends on up to two earlier ones.
func (graph *randomJobGraph) addJob(i int) {
	id := graphJobID(i)
	for range graph.random.IntN(3) {
		if i > 0 {
			graph.dependencies[id] = append(graph.dependencies[id], graphJobID(graph.random.IntN(i)))
		}
	}
	graph.incremental.accept(id, graph.dependencies[id]...)
}

// endJob ends a job, if it is unfinished, in one of the ways in which it can end.
func (graph *randomJobGraph) endJob(id string) {
	if _, j := graph.incremental.Jobs.Find(id); j == nil || j.Ended() {
		return
	}
	stage := protocol.StageCancelled
	if graph.incremental.state(id) == "runnable" && graph.random.IntN(3) > 0 {
		stage = protocol.StageDone
	}
	graph.finalStages[id] = stage
	if graph.random.IntN(2) == 0 { // the final record is known before or after the job's record is removed
		graph.incremental.final(id, stage, 0)
		graph.incremental.end(id)
	} else {
		graph.incremental.end(id)
		graph.incremental.final(id, stage, 0)
	}
}

// readOutcomes gives a view all the final records that it wants.
func (graph *randomJobGraph) readOutcomes(v *testView) {
	for unread := v.UnreadOutcomes(); len(unread) > 0; unread = v.UnreadOutcomes() {
		for _, j := range unread {
			v.final(j.ID, graph.finalStages[j.ID], 0)
		}
	}
}

// TestDependenciesInAnyReadOrder: a controller that has seen everything happen and one that
// starts and reads what is left come to the same, for random graphs of jobs of which
// some are done and some cancelled.
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
				rebuilt.accept(id, graph.dependencies[id]...)
			}
		}
		graph.readOutcomes(rebuilt)
		graph.readOutcomes(graph.incremental)
		for i := range graphJobs {
			id := graphJobID(i)
			incrementalState, _, _ := strings.Cut(graph.incremental.state(id), " with")
			rebuiltState, _, _ := strings.Cut(rebuilt.state(id), " with")
			if incrementalState != rebuiltState {
				t.Fatalf("seed %d: %s is %s for who saw it all, %s for who starts", seed, id, incrementalState, rebuiltState)
			}
		}
	}
}
