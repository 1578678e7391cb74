package storage

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"rockrun/internal/protocol"
)

// records is a cache that is told of jobs as the state service's changes would.
type records struct {
	t       *testing.T
	cache   *View
	version uint64
}

func newRecords(t *testing.T) *records {
	return &records{t: t, cache: NewView([]Team{{Name: "red"}}, 1)}
}

func (r *records) accept(id string, needs ...string) {
	r.t.Helper()
	r.version++
	rec := JobRecord{SubmittedAtMS: 1000, Spec: protocol.JobSpec{ID: id, Team: "red", Kind: protocol.KindArray, Priority: "normal", Tasks: 1, CPUs: 1, Dependencies: needs}}
	if err := r.cache.Apply(JobKey(id), Encode(rec), r.version); err != nil {
		r.t.Fatal(err)
	}
}

// over takes in that a job left the unfinished ones, without a word of how.
func (r *records) over(id string) {
	r.version++
	r.cache.Remove(JobKey(id), r.version)
}

func (r *records) final(id, stage string, atMS int64) (released, cancelled []string) {
	free, gone := r.cache.SetOutcome(id, FinalRecord{Stage: stage, EndedAtMS: atMS})
	return ids(free), ids(gone)
}

func ids(jobs []*Job) []string {
	var list []string
	for _, j := range jobs {
		list = append(list, j.ID)
	}
	slices.Sort(list)
	return list
}

// state is what is known of a job: over, cancelled with another, waiting or ready.
func (r *records) state(id string) string {
	_, j := r.cache.Jobs.Find(id)
	switch {
	case j == nil || j.Ended():
		return "over"
	case j.CancelledBy() != nil:
		return "cancelled with " + j.CancelledBy().ID
	case j.AwaitsDependencies():
		return "waits"
	case j.Runnable():
		return "ready"
	}
	return "cancelled"
}

// TestDependencies: what follows for a job from the records of those that it needs, for
// every state that they can be in.
func TestDependencies(t *testing.T) {
	const done, withdrawn = protocol.StageDone, protocol.StageCancelled
	for _, c := range []struct {
		name   string
		events func(r *records)
		want   string // of run-9
	}{
		{"no needs", func(r *records) { r.accept("run-9") }, "ready"},
		{"an unfinished need", func(r *records) { r.accept("run-1"); r.accept("run-9", "run-1") }, "waits"},
		{"a need that left, nobody knows how", func(r *records) { r.accept("run-1"); r.accept("run-9", "run-1"); r.over("run-1") }, "waits"},
		{"a need that left before", func(r *records) { r.accept("run-9", "run-1") }, "waits"},
		{"a need that is done", func(r *records) { r.accept("run-9", "run-1"); r.final("run-1", done, 0) }, "ready"},
		{"a need known to be done before it leaves", func(r *records) { r.accept("run-1"); r.accept("run-9", "run-1"); r.final("run-1", done, 0) }, "ready"},
		{"one of two needs done", func(r *records) {
			r.accept("run-9", "run-1", "run-2")
			r.final("run-1", done, 0)
		}, "waits"},
		{"both needs done", func(r *records) {
			r.accept("run-9", "run-1", "run-2")
			r.final("run-2", done, 0)
			r.final("run-1", done, 0)
		}, "ready"},
		{"a need named twice and done", func(r *records) { r.accept("run-9", "run-1", "run-1"); r.final("run-1", done, 0) }, "ready"},
		{"a cancelled need", func(r *records) { r.accept("run-1"); r.accept("run-9", "run-1"); r.final("run-1", withdrawn, 0) }, "cancelled with run-1"},
		{"a need cancelled by word of another controller", func(r *records) {
			r.accept("run-1")
			r.accept("run-9", "run-1")
			r.cache.MarkCancelled("run-1")
		}, "cancelled with run-1"},
		{"a need that was cancelled before", func(r *records) {
			r.accept("run-1")
			r.cache.MarkCancelled("run-1")
			r.accept("run-9", "run-1")
		}, "cancelled with run-1"},
		{"a cancelled need beside one that is done", func(r *records) {
			r.accept("run-9", "run-1", "run-2")
			r.final("run-1", done, 0)
			r.final("run-2", withdrawn, 0)
		}, "cancelled with run-2"},
		{"a chain cancelled at its root", func(r *records) {
			r.accept("run-1")
			r.accept("run-2", "run-1")
			r.accept("run-3", "run-2")
			r.accept("run-9", "run-3")
			r.final("run-1", withdrawn, 0)
		}, "cancelled with run-1"},
		{"a chain that was cancelled before its last job came", func(r *records) {
			r.accept("run-1")
			r.accept("run-2", "run-1")
			r.final("run-1", withdrawn, 0)
			r.accept("run-9", "run-2")
		}, "cancelled with run-1"},
		{"a chain in which the one between has its final record by now", func(r *records) {
			r.accept("run-1")
			r.accept("run-2", "run-1")
			r.final("run-1", withdrawn, 0)
			r.over("run-2")
			r.accept("run-9", "run-2")
		}, "waits"}, // nobody needed it, so what became of it is read anew
		{"records read in the order of their names", func(r *records) {
			r.accept("run-9", "run-95")
			r.accept("run-95", "run-96")
			r.accept("run-96")
			r.final("run-96", withdrawn, 0)
		}, "cancelled with run-96"},
		{"a diamond with one side done", func(r *records) {
			r.accept("run-2", "run-1")
			r.accept("run-3", "run-1")
			r.accept("run-9", "run-2", "run-3")
			r.final("run-1", done, 0)
			r.final("run-2", done, 0)
		}, "waits"},
		{"its own user cancels it", func(r *records) {
			r.accept("run-9", "run-1")
			r.cache.MarkCancelled("run-9")
		}, "waits"}, // and not wanted: its place in the order says so
	} {
		r := newRecords(t)
		c.events(r)
		if got := r.state("run-9"); got != c.want {
			t.Errorf("%s: it %s, not %s", c.name, got, c.want)
		}
	}
}

// TestFirstFinalRecordDecides: a need ends as done in the moment in which it is
// cancelled. There is one final record; what is said against it later changes nothing.
func TestFirstFinalRecordDecides(t *testing.T) {
	r := newRecords(t)
	r.accept("run-1")
	r.accept("run-2", "run-1")
	if released, _ := r.final("run-1", protocol.StageDone, 0); !slices.Equal(released, []string{"run-2"}) {
		t.Errorf("released: %v", released)
	}
	if _, cancelled := r.final("run-1", protocol.StageCancelled, 0); len(cancelled) > 0 || r.state("run-2") != "ready" {
		t.Errorf("cancelled: %v, it %s", cancelled, r.state("run-2"))
	}
}

// TestReadyTime: other times than the deadline count from the end of the last need.
// Versions before 0.2 wrote none into the final record.
func TestReadyTime(t *testing.T) {
	r := newRecords(t)
	r.accept("run-9", "run-1", "run-2", "run-3")
	r.final("run-1", protocol.StageDone, 5000)
	r.final("run-2", protocol.StageDone, 3000)
	r.final("run-3", protocol.StageDone, 0)
	_, j := r.cache.Jobs.Find("run-9")
	if j.ReadyAtMS() != 5000 {
		t.Errorf("ready at %d", j.ReadyAtMS())
	}
	r.accept("run-8", "run-3")
	if _, j := r.cache.Jobs.Find("run-8"); j.ReadyAtMS() != j.SubmittedAtMS {
		t.Errorf("ready at %d", j.ReadyAtMS())
	}
}

// TestUnreadOutcomes: the final records that are wanted are those of needed jobs that
// are over, each once; and those on which it depends whether a job is cancelled.
func TestUnreadOutcomes(t *testing.T) {
	r := newRecords(t)
	r.accept("run-1")
	r.accept("run-2", "run-1")
	r.accept("run-3", "run-2")
	r.accept("run-4", "run-2", "run-5")
	_, third := r.cache.Jobs.Find("run-3")
	if got := ids(r.cache.UnreadOutcomes()); !slices.Equal(got, []string{"run-5"}) {
		t.Errorf("wanted: %v", got)
	}
	if got := r.cache.UnreadOutcomesUpstream(third); len(got) > 0 {
		t.Errorf("wanted for run-3: %v", ids(got))
	}
	r.over("run-1")
	if got := ids(r.cache.UnreadOutcomesUpstream(third)); !slices.Equal(got, []string{"run-1"}) {
		t.Errorf("wanted for run-3: %v", got)
	}
	r.over("run-2")
	if got := ids(r.cache.UnreadOutcomes()); !slices.Equal(got, []string{"run-2", "run-5"}) {
		t.Errorf("wanted: %v", got) // nobody needs run-1 any more
	}
	r.over("run-3")
	r.over("run-4")
	if got := ids(r.cache.UnreadOutcomes()); len(got) > 0 {
		t.Errorf("wanted: %v", got)
	}
	r.cache.Jobs.All(func(_ int, j *Job) { t.Errorf("%s is still kept", j.ID) })
}

// TestCancelledLeaves: a job that was cancelled with another leaves the records. What
// that says of it is known without reading its final record.
func TestCancelledLeaves(t *testing.T) {
	r := newRecords(t)
	r.accept("run-1")
	r.accept("run-2", "run-1")
	r.accept("run-3", "run-2")
	r.final("run-1", protocol.StageCancelled, 0)
	if got := ids(r.cache.CancelledDependents()); !slices.Equal(got, []string{"run-2", "run-3"}) {
		t.Errorf("final records to write: %v", got)
	}
	r.over("run-2")
	if got := ids(r.cache.CancelledDependents()); !slices.Equal(got, []string{"run-3"}) {
		t.Errorf("final records to write: %v", got)
	}
	if got := r.cache.UnreadOutcomes(); len(got) > 0 {
		t.Errorf("wanted: %v", ids(got))
	}
	r.accept("run-4", "run-2")
	if got := r.state("run-4"); !strings.HasPrefix(got, "cancelled") {
		t.Errorf("run-4 %s", got)
	}
}

// TestDependenciesInAnyOrder: a controller that has seen everything happen and one that
// starts and reads what is left come to the same, for random graphs of jobs of which
// some are done and some cancelled.
func TestDependenciesInAnyOrder(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 11))
		live := newRecords(t)
		name := func(i int) string { return fmt.Sprintf("run-%d", (i*37)%100) }
		needs := map[string][]string{}
		finals := map[string]string{}
		const jobs = 30
		for i := range jobs {
			for range random.IntN(3) {
				if i > 0 {
					needs[name(i)] = append(needs[name(i)], name(random.IntN(i)))
				}
			}
			live.accept(name(i), needs[name(i)]...)
			end := name(random.IntN(i + 1))
			if _, j := live.cache.Jobs.Find(end); j == nil || j.Ended() {
				continue
			}
			switch state := live.state(end); {
			case strings.HasPrefix(state, "cancelled"):
				finals[end] = protocol.StageCancelled
			case state == "ready" && random.IntN(3) > 0:
				finals[end] = protocol.StageDone
			default:
				finals[end] = protocol.StageCancelled
			}
			if random.IntN(2) == 0 { // the final record is known before or after the job leaves
				live.final(end, finals[end], 0)
				live.over(end)
			} else {
				live.over(end)
				live.final(end, finals[end], 0)
			}
		}
		started := newRecords(t)
		for _, i := range random.Perm(jobs) {
			if finals[name(i)] == "" {
				started.accept(name(i), needs[name(i)]...)
			}
		}
		for _, r := range []*records{started, live} {
			for unread := r.cache.UnreadOutcomes(); len(unread) > 0; unread = r.cache.UnreadOutcomes() {
				for _, j := range unread {
					r.final(j.ID, finals[j.ID], 0)
				}
			}
		}
		for i := range jobs {
			a, _, _ := strings.Cut(live.state(name(i)), " with")
			b, _, _ := strings.Cut(started.state(name(i)), " with")
			if a != b {
				t.Fatalf("seed %d: %s %s for who saw it all, %s for who starts", seed, name(i), a, b)
			}
		}
	}
}
