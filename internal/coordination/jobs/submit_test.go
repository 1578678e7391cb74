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

// TestSubmitWithDependencies checks the answer to a submission, and the records written, for
// every state of its dependencies.
func TestSubmitWithDependencies(t *testing.T) {
	for _, c := range []struct {
		name         string
		before       func(f *fixture)
		dependencies []string
		status       int
		stage        string
	}{
		{"none", func(*fixture) {}, nil, http.StatusCreated, protocol.StageQueued},
		{"unfinished", func(*fixture) {}, []string{"run-1"}, http.StatusCreated, protocol.StageQueued},
		{"accepted by another controller, not in the view", func(f *fixture) { f.storeUnseenJob("run-5", protocol.KindArray) }, []string{"run-5"}, http.StatusCreated, protocol.StageQueued},
		{"done, in the store only", func(f *fixture) { f.storeFinalRecord("run-5", protocol.StageDone) }, []string{"run-5"}, http.StatusCreated, protocol.StageQueued},
		{"unfinished and cancelled", func(f *fixture) { f.storeFinalRecord("run-5", protocol.StageCancelled) }, []string{"run-1", "run-5"}, http.StatusCreated, protocol.StageCancelled},
		{"cancelled in the view", func(f *fixture) { f.view.MarkCancelled("run-1") }, []string{"run-1"}, http.StatusCreated, protocol.StageCancelled},
		{"unfinished and never accepted", func(*fixture) {}, []string{"run-1", "run-5"}, http.StatusUnprocessableEntity, ""},
		{"cancelled and never accepted", func(f *fixture) { f.storeFinalRecord("run-5", protocol.StageCancelled) }, []string{"run-5", "run-6"}, http.StatusUnprocessableEntity, ""},
		{"service, not in the view", func(f *fixture) { f.storeUnseenJob("run-5", protocol.KindService) }, []string{"run-5"}, http.StatusUnprocessableEntity, ""},
		{"the job itself", func(*fixture) {}, []string{"run-9"}, http.StatusUnprocessableEntity, ""},
		{"store unavailable", func(f *fixture) { f.storeErr = protocol.ErrNotExecuted }, []string{"run-5"}, http.StatusServiceUnavailable, ""},
		{"many, not in the view", func(f *fixture) { f.storeUnseenArrays(30) }, dependencyIDs(30), http.StatusCreated, protocol.StageQueued},
		{"many, one never accepted", func(f *fixture) { f.storeUnseenArrays(29) }, dependencyIDs(30), http.StatusUnprocessableEntity, ""},
		{"more than a record can hold", func(f *fixture) { f.storeUnseenArrays(1000) }, dependencyIDs(1000), http.StatusBadRequest, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			c.before(f)
			a := f.submit("run-9", c.dependencies...)
			f.expectAnswer("answer", a, c.status, c.stage)
			if a.Status == http.StatusServiceUnavailable && a.RetryAfter == 0 {
				t.Error("answer 503 without Retry-After")
			}
			_, unfinished := f.values[storage.JobKey("run-9")]
			_, ended := f.values[storage.FinalKey("run-9")]
			if unfinished != (c.stage == protocol.StageQueued) || ended != (c.stage == protocol.StageCancelled) {
				t.Errorf("job record written: %t, final record written: %t", unfinished, ended)
			}
			if c.status == http.StatusCreated {
				f.expectAnswer("repeated", f.submit("run-9", c.dependencies...), http.StatusOK, c.stage)
			}
		})
	}
}

func dependencyIDs(n int) (list []string) {
	for i := range n {
		list = append(list, fmt.Sprintf("run-5%d", i))
	}
	return list
}

func (f *fixture) storeUnseenArrays(n int) {
	for _, id := range dependencyIDs(n) {
		f.storeUnseenJob(id, protocol.KindArray)
	}
}

// TestSubmitRepeatOverLoweredLimit guards against a 400 for an accepted job: the job's
// record was within the limit when it was accepted and exceeds the lowered limit now, and
// the submission is repeated at a controller whose view lacks the job.
func TestSubmitRepeatOverLoweredLimit(t *testing.T) {
	f := newFixture(t)
	f.storeUnseenArrays(60)
	f.lowerStoreLimits(512, math.MaxInt)
	f.expectAnswer("new job over the limit", f.submit("run-9", dependencyIDs(60)...), http.StatusBadRequest, "")
	f.storeFinalRecord("run-9", protocol.StageDone)
	f.expectAnswer("repeated submission of an accepted job", f.submit("run-9", dependencyIDs(60)...), http.StatusOK, protocol.StageDone)
}

// TestSubmitRejectedByStore checks that a job whose record the store rejects is answered
// with 400, that the limit of a value is lowered, and that a repeated submission of an
// accepted job is not rejected.
func TestSubmitRejectedByStore(t *testing.T) {
	f := newFixture(t)
	before := f.committer.Limits().ValueBytes
	f.storeUnseenArrays(200)
	f.commitErr = protocol.ErrRejected
	f.expectAnswer("rejected", f.submit("run-9", dependencyIDs(200)...), http.StatusBadRequest, "")
	if after := f.committer.Limits().ValueBytes; after >= before {
		t.Errorf("limit of a value not lowered: %d bytes after %d", after, before)
	}
	f.storeFinalRecord("run-9", protocol.StageDone)
	f.expectAnswer("repeated submission of an accepted job", f.submit("run-9", dependencyIDs(200)...), http.StatusOK, protocol.StageDone)
}

// TestCheckSatisfiable checks which jobs are rejected because they can never run, and the
// reasons.
func TestCheckSatisfiable(t *testing.T) {
	array := protocol.JobSpec{ID: "run-9", Team: "red", Kind: protocol.KindArray, Tasks: 100, CPUs: 4, MemoryGB: 8}
	for _, c := range []struct {
		name   string
		change func(*protocol.JobSpec)
		want   error
	}{
		{"array over the maximum whose tasks run one at a time", func(*protocol.JobSpec) {}, nil},
		{"allowed type and zone", func(s *protocol.JobSpec) { s.Types, s.Zone = []string{"big", "small"}, "z" }, nil},
		{"depends on itself", func(s *protocol.JobSpec) { s.Dependencies = []string{"run-9"} }, api.ErrDependsOnItself},
		{"unknown team", func(s *protocol.JobSpec) { s.Team = "blue" }, api.ErrUnknownTeam},
		{"too many CPUs", func(s *protocol.JobSpec) { s.CPUs = 5 }, api.ErrNoFittingMachineType},
		{"too many GPUs", func(s *protocol.JobSpec) { s.GPUs = 1 }, api.ErrNoFittingMachineType},
		{"too much memory", func(s *protocol.JobSpec) { s.MemoryGB = 9 }, api.ErrNoFittingMachineType},
		{"unknown machine type", func(s *protocol.JobSpec) { s.Types = []string{"big"} }, api.ErrNoFittingMachineType},
		{"unknown zone", func(s *protocol.JobSpec) { s.Zone = "y" }, api.ErrNoFittingMachineType},
		{"gang within the maximum", func(s *protocol.JobSpec) { s.Kind, s.Tasks = protocol.KindGang, 2 }, nil},
		{"gang over the maximum", func(s *protocol.JobSpec) { s.Kind, s.Tasks = protocol.KindGang, 3 }, api.ErrExceedsTeamMaximum},
	} {
		t.Run(c.name, func(t *testing.T) {
			spec := array
			c.change(&spec)
			if err := newFixture(t).service.checkSatisfiable(&spec); !errors.Is(err, c.want) {
				t.Errorf("error %v; want %v", err, c.want)
			}
		})
	}
}

// TestInvalidRequests checks that invalid requests are answered without reading the store.
func TestInvalidRequests(t *testing.T) {
	f := newFixture(t)
	f.expectAnswer("malformed submission", f.request(func(reply func(api.Answer)) { f.service.Submit([]byte("{}"), reply) }), http.StatusBadRequest, "")
	f.expectAnswer("status with an invalid job ID", f.status("job-1"), http.StatusNotFound, "")
	f.expectAnswer("cancellation with an invalid job ID", f.cancel("job-1"), http.StatusNotFound, "")
	if len(f.reads) != 0 {
		t.Errorf("keys read: %v; want none", f.reads)
	}
}

// TestRecentSubmissionsExpire checks that a submission is retained for at least
// minSubmissionRetention and dropped later.
func TestRecentSubmissionsExpire(t *testing.T) {
	var recent recentSubmissions
	recent.add("run-1", protocol.KindGang, 0)
	recent.add("run-2", protocol.KindArray, minSubmissionRetention+1)
	if kind, found := recent.kind("run-1"); !found || kind != protocol.KindGang {
		t.Errorf("kind %q, found %t after one retention period", kind, found)
	}
	recent.add("run-3", protocol.KindArray, 2*minSubmissionRetention+2)
	if _, found := recent.kind("run-1"); found {
		t.Error("submission still retained after two retention periods")
	}
}

// TestFinalRecordCacheBound checks that the cache holds at most maxFinalRecords.
func TestFinalRecordCacheBound(t *testing.T) {
	var finals finalRecordCache
	for i := range maxFinalRecords + 10 {
		finals.add(fmt.Sprintf("run-%d", i), storage.FinalRecord{Stage: protocol.StageDone})
	}
	if len(finals.byJob) != maxFinalRecords {
		t.Errorf("%d final records cached; want %d", len(finals.byJob), maxFinalRecords)
	}
}
