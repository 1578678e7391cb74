package jobs

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"testing"

	"rockrun/internal/coordination/api"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// TestSubmissionsWithDependencies: what a submission is answered for everything that the
// jobs it depends on can be.
func TestSubmissionsWithDependencies(t *testing.T) {
	for _, c := range []struct {
		name         string
		before       func(f *fixture)
		dependencies []string
		status       int
		stage        string
	}{
		{"nobody", func(*fixture) {}, nil, http.StatusCreated, protocol.StageQueued},
		{"one that is unfinished", func(*fixture) {}, []string{"run-1"}, http.StatusCreated, protocol.StageQueued},
		{"one accepted elsewhere a moment ago", func(f *fixture) { f.acceptElsewhere("run-5", protocol.KindArray) }, []string{"run-5"}, http.StatusCreated, protocol.StageQueued},
		{"one that is done", func(f *fixture) { f.end("run-5", protocol.StageDone) }, []string{"run-5"}, http.StatusCreated, protocol.StageQueued},
		{"one that is cancelled", func(f *fixture) { f.end("run-5", protocol.StageCancelled) }, []string{"run-1", "run-5"}, http.StatusCreated, protocol.StageCancelled},
		{"one known to be cancelled", func(f *fixture) { f.view.MarkCancelled("run-1") }, []string{"run-1"}, http.StatusCreated, protocol.StageCancelled},
		{"one that was never accepted", func(*fixture) {}, []string{"run-1", "run-5"}, http.StatusUnprocessableEntity, ""},
		{"one never accepted beside one cancelled", func(f *fixture) { f.end("run-5", protocol.StageCancelled) }, []string{"run-5", "run-6"}, http.StatusUnprocessableEntity, ""},
		{"a service accepted elsewhere", func(f *fixture) { f.acceptElsewhere("run-5", protocol.KindService) }, []string{"run-5"}, http.StatusUnprocessableEntity, ""},
		{"itself", func(*fixture) {}, []string{"run-9"}, http.StatusUnprocessableEntity, ""},
		{"one of whom nothing can be read", func(f *fixture) { f.away = protocol.ErrNotExecuted }, []string{"run-5"}, http.StatusServiceUnavailable, ""},
		{"many accepted elsewhere", func(f *fixture) { f.acceptManyElsewhere(30) }, manyDependencies(30), http.StatusCreated, protocol.StageQueued},
		{"many of which one was never accepted", func(f *fixture) { f.acceptManyElsewhere(29) }, manyDependencies(30), http.StatusUnprocessableEntity, ""},
		{"more than a record holds", func(f *fixture) { f.acceptManyElsewhere(1000) }, manyDependencies(1000), http.StatusBadRequest, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			c.before(f)
			a := f.submit("run-9", c.dependencies...)
			f.expect("answer", a, c.status, c.stage)
			if a.Status == http.StatusServiceUnavailable && a.RetryAfter == 0 {
				t.Error("nothing says when to come back")
			}
			_, unfinished := f.values[storage.JobKey("run-9")]
			_, ended := f.values[storage.FinalKey("run-9")]
			if unfinished != (c.stage == protocol.StageQueued) || ended != (c.stage == protocol.StageCancelled) {
				t.Errorf("unfinished %t, ended %t in the records", unfinished, ended)
			}
			if c.status == http.StatusCreated {
				f.expect("repeated", f.submit("run-9", c.dependencies...), http.StatusOK, c.stage)
			}
		})
	}
}

func manyDependencies(n int) (list []string) {
	for i := range n {
		list = append(list, fmt.Sprintf("run-5%d", i))
	}
	return list
}

func (f *fixture) acceptManyElsewhere(n int) {
	for _, id := range manyDependencies(n) {
		f.acceptElsewhere(id, protocol.KindArray)
	}
}

// TestKnownLongJobIsNotRefused: a job whose record is longer than the limit by now was
// accepted under a higher one. Its submission repeated at a controller that does not know
// the job yet is answered with the job, not with 400.
func TestKnownLongJobIsNotRefused(t *testing.T) {
	f := newFixture(t)
	f.acceptManyElsewhere(60)
	f.limitStore(512, math.MaxInt)
	f.expect("one that does not fit", f.submit("run-9", manyDependencies(60)...), http.StatusBadRequest, "")
	f.end("run-9", protocol.StageDone)
	f.expect("one that was accepted", f.submit("run-9", manyDependencies(60)...), http.StatusOK, protocol.StageDone)
}

// TestRejectedSubmission: a job whose record the store rejects is refused as too long, and
// the next ones keep to a lower limit.
func TestRejectedSubmission(t *testing.T) {
	f := newFixture(t)
	before := f.committer.Limits().ValueBytes
	f.acceptManyElsewhere(200)
	f.rejects = protocol.ErrRejected
	f.expect("rejected", f.submit("run-9", manyDependencies(200)...), http.StatusBadRequest, "")
	if after := f.committer.Limits().ValueBytes; after >= before {
		t.Errorf("limit %d after %d", after, before)
	}
	f.end("run-9", protocol.StageDone)
	f.expect("accepted before", f.submit("run-9", manyDependencies(200)...), http.StatusOK, protocol.StageDone)
}

// TestUnsatisfiable: jobs that can never run, and the reasons that are given.
func TestUnsatisfiable(t *testing.T) {
	array := protocol.JobSpec{ID: "run-9", Team: "red", Kind: protocol.KindArray, Tasks: 100, CPUs: 4, MemoryGB: 8}
	for _, c := range []struct {
		name   string
		change func(*protocol.JobSpec)
		want   error
	}{
		{"an array of tasks that run one after the other", func(*protocol.JobSpec) {}, nil},
		{"an allowed type and zone", func(s *protocol.JobSpec) { s.Types, s.Zone = []string{"big", "small"}, "z" }, nil},
		{"itself", func(s *protocol.JobSpec) { s.Dependencies = []string{"run-9"} }, api.ErrDependsOnItself},
		{"no such team", func(s *protocol.JobSpec) { s.Team = "blue" }, api.ErrUnknownTeam},
		{"too many CPUs", func(s *protocol.JobSpec) { s.CPUs = 5 }, api.ErrNoFittingMachineType},
		{"GPUs", func(s *protocol.JobSpec) { s.GPUs = 1 }, api.ErrNoFittingMachineType},
		{"too much memory", func(s *protocol.JobSpec) { s.MemoryGB = 9 }, api.ErrNoFittingMachineType},
		{"no such type", func(s *protocol.JobSpec) { s.Types = []string{"big"} }, api.ErrNoFittingMachineType},
		{"no such zone", func(s *protocol.JobSpec) { s.Zone = "y" }, api.ErrNoFittingMachineType},
		{"a gang within the maximum", func(s *protocol.JobSpec) { s.Kind, s.Tasks = protocol.KindGang, 2 }, nil},
		{"a gang over the maximum", func(s *protocol.JobSpec) { s.Kind, s.Tasks = protocol.KindGang, 3 }, api.ErrMoreThanTeamsMaximums},
	} {
		t.Run(c.name, func(t *testing.T) {
			spec := array
			c.change(&spec)
			if err := newFixture(t).service.checkSatisfiable(&spec); !errors.Is(err, c.want) {
				t.Errorf("%v", err)
			}
		})
	}
}

// TestRequestsThatAreNotLookedUp: what is answered from the request alone.
func TestRequestsThatAreNotLookedUp(t *testing.T) {
	f := newFixture(t)
	f.expect("malformed submission", f.request(func(reply func(api.Answer)) { f.service.Submit([]byte("{}"), reply) }), http.StatusBadRequest, "")
	f.expect("status of no job", f.status("job-1"), http.StatusNotFound, "")
	f.expect("cancellation of no job", f.cancel("job-1"), http.StatusNotFound, "")
	if len(f.reads) != 0 {
		t.Errorf("read: %v", f.reads)
	}
}

// TestRecentSubmissionsAreForgotten: a submission is remembered for a while, and not for
// ever.
func TestRecentSubmissionsAreForgotten(t *testing.T) {
	var recent recentSubmissions
	recent.add("run-1", protocol.KindGang, 0)
	recent.add("run-2", protocol.KindArray, recentPeriod+1)
	if kind, found := recent.kind("run-1"); !found || kind != protocol.KindGang {
		t.Errorf("%q, %t after one period", kind, found)
	}
	recent.add("run-3", protocol.KindArray, 2*recentPeriod+2)
	if _, found := recent.kind("run-1"); found {
		t.Error("remembered after two periods")
	}
}

// TestFinalRecordsAreBounded: only so many final records are remembered.
func TestFinalRecordsAreBounded(t *testing.T) {
	var finals finalRecords
	for i := range maxFinalRecords + 10 {
		finals.add(fmt.Sprintf("run-%d", i), storage.FinalRecord{Stage: protocol.StageDone})
	}
	if len(finals.byJob) != maxFinalRecords {
		t.Errorf("%d are remembered", len(finals.byJob))
	}
}
