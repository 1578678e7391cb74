package placement

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"rockrun/internal/config"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// testCandidate returns a job with the given identifier and submission time. All its other
// properties are the same for every job.
func testCandidate(id string, submittedAtMS int64) Candidate {
	return Candidate{Job: &storage.Job{JobSpec: protocol.JobSpec{ID: id}, SubmittedAtMS: submittedAtMS}, Rank: 2, Weight: 1}
}

// TestCompare checks each rule of the order on its own. The rule puts "first" before
// "second", and every later rule would put "second" before "first".
func TestCompare(t *testing.T) {
	for _, c := range []struct {
		name             string
		longOverdueFirst bool
		change           func(first, second *Candidate)
	}{
		{"priority", false, func(first, second *Candidate) {
			first.Rank, second.Starved, second.WithinGuarantee = 1, true, true
		}},
		{"starved", false, func(first, second *Candidate) { first.Starved, second.WithinGuarantee = true, true }},
		{"within the guarantee", false, func(first, _ *Candidate) { first.WithinGuarantee, first.LongOverdue = true, true }},
		{"long-overdue job last", false, func(_, second *Candidate) { second.LongOverdue, second.Weight = true, 0 }},
		{"long-overdue job first in its turn", true, func(first, _ *Candidate) { first.LongOverdue, first.Late = true, true }},
		{"on time before late", false, func(first, second *Candidate) { second.Late, first.Weight = true, 9 }},
		{"less remaining work for the waiting time", false, func(first, _ *Candidate) { first.Weight, first.Job.SubmittedAtMS = 0.5, 900 }},
		{"arrival", false, func(first, _ *Candidate) { first.Job.SubmittedAtMS, first.Job.ID = 100, "z" }},
		{"identifier", false, func(*Candidate, *Candidate) {}},
	} {
		first, second := testCandidate("a", 500), testCandidate("b", 500)
		c.change(&first, &second)
		if Compare(&first, &second, c.longOverdueFirst) != -1 || Compare(&second, &first, c.longOverdueFirst) != 1 {
			t.Errorf("%s: Compare returned %d, and %d with the arguments swapped", c.name, Compare(&first, &second, c.longOverdueFirst), Compare(&second, &first, c.longOverdueFirst))
		}
		list := []Candidate{second, first}
		if Sort(list, c.longOverdueFirst); list[0].Job != first.Job {
			t.Errorf("%s: Sort put the second job first", c.name)
		}
	}
}

// TestSortIsTotal checks that the sorted order does not depend on the initial order.
func TestSortIsTotal(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var list []Candidate
	for i := range 200 {
		c := testCandidate(string(rune('A'+i)), int64(random.IntN(3)))
		c.Rank, c.Starved, c.WithinGuarantee = random.IntN(2), random.IntN(2) == 0, random.IntN(2) == 0
		c.Late, c.LongOverdue, c.Weight = random.IntN(2) == 0, random.IntN(2) == 0, float64(random.IntN(2))
		list = append(list, c)
	}
	Sort(list, false)
	shuffled := slices.Clone(list)
	random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	Sort(shuffled, false)
	if !slices.Equal(list, shuffled) {
		t.Error("sorted order depends on the initial order")
	}
}

// TestNewCandidate checks weight, lateness and starvation of a job by its age. The job was
// submitted at 0 s, and each task is expected to run for 20 s.
func TestNewCandidate(t *testing.T) {
	objectives := []config.Objective{
		{Kind: "finished", Class: "report", WithinSeconds: 60},
		{Kind: "deadline", Class: "report", DeadlineFactor: 2},
		{Kind: "finished", Class: "other", WithinSeconds: 1},
		{Kind: "deadline", Class: "tight", DeadlineFactor: 0.5},
	}
	for _, c := range []struct {
		name       string
		ageSeconds float64
		progress   Progress
		change     func(*storage.Job)
		want       Candidate
	}{
		{"new job", 0, Progress{Remaining: 10}, nil, Candidate{Weight: 20}},
		{"less work remaining", 0, Progress{Remaining: 5, Begun: true}, nil, Candidate{Weight: 10}},
		{"half the weight after waiting for one run time", 20, Progress{Remaining: 10}, nil, Candidate{Weight: 10}},
		{"almost no CPU", 0, Progress{Remaining: 10}, func(j *storage.Job) { j.CPUs = 0 }, Candidate{Weight: 1}},
		{"just in time for the objective", 40, Progress{Remaining: 3}, nil, Candidate{Weight: 2}},
		{"too late for the objective", 60, Progress{Remaining: 4}, nil, Candidate{Weight: 2, Late: true}},
		{"deadline objective instead of the finish objective", 60, Progress{Remaining: 4}, func(j *storage.Job) { j.DeadlineSeconds = 40 }, Candidate{Weight: 2}},
		{"short deadline despite a longer finish objective", 40, Progress{Remaining: 3}, func(j *storage.Job) { j.DeadlineSeconds = 20 }, Candidate{Weight: 2, Late: true}},
		{"own deadline where the objective allows less than the deadline", 20, Progress{Remaining: 4}, func(j *storage.Job) { j.Class, j.DeadlineSeconds = "tight", 40 }, Candidate{Weight: 4}},
		{"too late for twice the deadline", 80, Progress{Remaining: 5}, func(j *storage.Job) { j.DeadlineSeconds = 40 }, Candidate{Weight: 2, Late: true}},
		{"class without objectives", 80, Progress{Remaining: 5}, func(j *storage.Job) { j.Class = "none" }, Candidate{Weight: 2}},
		{"starved", 101, Progress{Remaining: 10}, func(j *storage.Job) { j.Class = "none" }, Candidate{Weight: 400.0 / 121, Starved: true}},
		{"not starved: a task has started", 101, Progress{Remaining: 10, Begun: true}, func(j *storage.Job) { j.Class = "none" }, Candidate{Weight: 400.0 / 121}},
		{"long overdue: zero weight", 161, Progress{Remaining: 10, Begun: true}, nil, Candidate{Late: true, LongOverdue: true}},
		{"service: no weight and no time limit", 161, Progress{Remaining: 10}, func(j *storage.Job) { j.Kind = protocol.KindService }, Candidate{Starved: true}},
	} {
		j := &storage.Job{JobSpec: protocol.JobSpec{ID: "run-1", Class: "report", Kind: protocol.KindArray, Tasks: 10, CPUs: 2, EstimateSeconds: 20}}
		if c.change != nil {
			c.change(j)
		}
		c.want.Job, c.want.Rank = j, 3
		got := NewCandidate(j, 3, c.progress, objectives, time.UnixMilli(int64(c.ageSeconds*1000)))
		if difference := got.Weight - c.want.Weight; difference > 1e-9 || difference < -1e-9 {
			t.Errorf("%s: weight %v, want %v", c.name, got.Weight, c.want.Weight)
		}
		got.Weight = c.want.Weight
		if got != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
}
