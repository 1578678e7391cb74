package jobs

import (
	"net/http"
	"testing"
	"time"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// TestCancel checks the answer to a cancellation for every state of the job, and that peers
// and the reconciler are notified exactly when the job is cancelled.
func TestCancel(t *testing.T) {
	for _, c := range []struct {
		name     string
		before   func(f *fixture)
		id       string
		status   int
		stage    string
		notified bool
	}{
		{"unfinished", func(*fixture) {}, "run-1", http.StatusOK, protocol.StageCancelled, true},
		{"unfinished, not in the view", func(f *fixture) { f.storeUnseenJob("run-5", protocol.KindArray) }, "run-5", http.StatusOK, protocol.StageCancelled, true},
		{"done, in the store only", func(f *fixture) { f.storeFinalRecord("run-5", protocol.StageDone) }, "run-5", http.StatusOK, protocol.StageDone, false},
		{"cancelled by another controller", func(f *fixture) { f.storeFinalRecord("run-5", protocol.StageCancelled) }, "run-5", http.StatusOK, protocol.StageCancelled, true},
		{"done, cached", func(f *fixture) { f.service.RecordOutcome("run-5", storage.FinalRecord{Stage: protocol.StageDone}) }, "run-5", http.StatusOK, protocol.StageDone, false},
		{"never accepted", func(*fixture) {}, "run-5", http.StatusNotFound, "", false},
		{"store unavailable", func(f *fixture) { f.storeErr = protocol.ErrNotExecuted }, "run-1", http.StatusServiceUnavailable, "", false},
		{"done before the transaction", func(f *fixture) {
			f.onCommit = func() {
				f.onCommit = nil
				f.revision++
				delete(f.values, storage.JobKey("run-1"))
				f.view.Remove(storage.JobKey("run-1"), f.revision)
				f.storeFinalRecord("run-1", protocol.StageDone)
			}
		}, "run-1", http.StatusOK, protocol.StageDone, false},
		{"no final record", func(f *fixture) { f.onCommit = func() { delete(f.values, storage.JobKey("run-1")) } }, "run-1", http.StatusServiceUnavailable, "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			c.before(f)
			f.expectAnswer("answer", f.cancel(c.id), c.status, c.stage)
			f.service.Tick()
			if notified := len(f.notified["b"]) > 0 && len(f.notified["c"]) > 0; notified != c.notified {
				t.Errorf("cancellations notified: %v; want %t", f.notified, c.notified)
			}
			if stopRequested := f.stopCalls > 0; stopRequested != c.notified {
				t.Errorf("StopInactive called %d times; want a call: %t", f.stopCalls, c.notified)
			}
		})
	}
}

// TestCancellationNoticeRetry checks that a confirmed cancellation is sent to every other
// controller, that an unanswered notice is retried after a delay, and that the queue for an
// unreachable controller is bounded.
func TestCancellationNoticeRetry(t *testing.T) {
	f := newFixture(t)
	f.peerErr = protocol.ErrOutcomeUnknown
	f.service.propagateCancellation("run-1")
	for range 2 {
		clear(f.notified)
		f.service.Tick()
		if len(f.notified["b"]) != 1 || len(f.notified["c"]) != 1 {
			t.Fatalf("cancellations notified: %v; want one for each peer", f.notified)
		}
		clear(f.notified)
		f.service.Tick()
		if len(f.notified) != 0 {
			t.Fatalf("notices sent again without a delay: %v", f.notified)
		}
		f.now += 2 * time.Second
		f.peerErr = nil
	}
	clear(f.notified)
	f.service.Tick()
	if len(f.notified) != 0 {
		t.Errorf("answered notices sent again: %v", f.notified)
	}
	for i := range 2 * maxQueuedNotices {
		f.service.propagateCancellation(protocol.TaskName("run", i))
	}
	if queued := len(f.service.notices.queues[0].jobs); queued != maxQueuedNotices {
		t.Errorf("%d notices queued; want %d", queued, maxQueuedNotices)
	}
}

// TestPeerCancellationCancelsDependents checks that a peer's notice of a cancellation also
// cancels the dependents of the job at once and schedules a reconcile pass.
func TestPeerCancellationCancelsDependents(t *testing.T) {
	f := newFixture(t)
	f.applyJob(protocol.JobSpec{ID: "run-20", Tasks: 1, CPUs: 1, Dependencies: []string{"run-1"}})
	f.passRequests = 0
	f.service.ApplyCancellations([]string{"run-1", "run-77"})
	if f.stopCalls != 1 || f.passRequests != 1 {
		t.Errorf("StopInactive called %d times, SchedulePass %d times; want 1 each", f.stopCalls, f.passRequests)
	}
	f.expectAnswer("dependent", f.status("run-20"), http.StatusOK, protocol.StageCancelled)
	if got := f.service.Counters(); got != (Counters{CancelledByDependency: 1}) {
		t.Errorf("counters: %+v", got)
	}
}
