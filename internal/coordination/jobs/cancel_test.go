package jobs

import (
	"net/http"
	"testing"
	"time"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// TestCancel: what a cancellation is answered for everything that a job can be, and
// whether others are told.
func TestCancel(t *testing.T) {
	for _, c := range []struct {
		name   string
		before func(f *fixture)
		id     string
		status int
		stage  string
		told   bool
	}{
		{"unfinished", func(*fixture) {}, "run-1", http.StatusOK, protocol.StageCancelled, true},
		{"unfinished, accepted elsewhere", func(f *fixture) { f.acceptElsewhere("run-5", protocol.KindArray) }, "run-5", http.StatusOK, protocol.StageCancelled, true},
		{"done", func(f *fixture) { f.end("run-5", protocol.StageDone) }, "run-5", http.StatusOK, protocol.StageDone, false},
		{"cancelled by another controller", func(f *fixture) { f.end("run-5", protocol.StageCancelled) }, "run-5", http.StatusOK, protocol.StageCancelled, true},
		{"known to be done", func(f *fixture) { f.service.Remember("run-5", storage.FinalRecord{Stage: protocol.StageDone}) }, "run-5", http.StatusOK, protocol.StageDone, false},
		{"never accepted", func(*fixture) {}, "run-5", http.StatusNotFound, "", false},
		{"store away", func(f *fixture) { f.away = protocol.ErrNotExecuted }, "run-1", http.StatusServiceUnavailable, "", false},
		{"done meanwhile", func(f *fixture) {
			f.onCommit = func() {
				f.onCommit = nil
				f.revision++
				delete(f.values, storage.JobKey("run-1"))
				f.view.Remove(storage.JobKey("run-1"), f.revision)
				f.end("run-1", protocol.StageDone)
			}
		}, "run-1", http.StatusOK, protocol.StageDone, false},
		{"without an outcome", func(f *fixture) { f.onCommit = func() { delete(f.values, storage.JobKey("run-1")) } }, "run-1", http.StatusServiceUnavailable, "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			c.before(f)
			f.expect("answer", f.cancel(c.id), c.status, c.stage)
			f.service.Tick()
			if told := len(f.told["b"]) > 0 && len(f.told["c"]) > 0; told != c.told {
				t.Errorf("told: %v", f.told)
			}
			if stopped := f.stops > 0; stopped != c.told {
				t.Errorf("the reconciler was asked %d times to stop what is cancelled", f.stops)
			}
		})
	}
}

// TestConfirmedCancellationIsSpread: who confirms a cancellation tells every other
// controller, again where no answer comes, and keeps no more for one that is away than a
// bounded number.
func TestConfirmedCancellationIsSpread(t *testing.T) {
	f := newFixture(t)
	f.peerError = protocol.ErrOutcomeUnknown
	f.service.cancellationConfirmed("run-1")
	for range 2 {
		clear(f.told)
		f.service.Tick()
		if len(f.told["b"]) != 1 || len(f.told["c"]) != 1 {
			t.Fatalf("told: %v", f.told)
		}
		clear(f.told)
		f.service.Tick()
		if len(f.told) != 0 {
			t.Fatalf("told again at once: %v", f.told)
		}
		f.now += 2 * time.Second
		f.peerError = nil
	}
	clear(f.told)
	f.service.Tick()
	if len(f.told) != 0 {
		t.Errorf("told again: %v", f.told)
	}
	for i := range 2 * maxNotices {
		f.service.cancellationConfirmed(protocol.TaskName("run", i))
	}
	if kept := len(f.service.notices.queues[0].jobs); kept != maxNotices {
		t.Errorf("%d are kept", kept)
	}
}

// TestCancellationReachesDependents: the jobs that depend on one that peers say is
// cancelled are known to be cancelled at once, and a pass is asked for.
func TestCancellationReachesDependents(t *testing.T) {
	f := newFixture(t)
	f.applyJob(protocol.JobSpec{ID: "run-20", Tasks: 1, CPUs: 1, Dependencies: []string{"run-1"}})
	f.passes = 0
	f.service.ApplyCancellations([]string{"run-1", "run-77"})
	if f.stops != 1 || f.passes != 1 {
		t.Errorf("asked to stop %d times, for a pass %d times", f.stops, f.passes)
	}
	f.expect("dependent", f.status("run-20"), http.StatusOK, protocol.StageCancelled)
	if got := f.service.Counters(); got != (Counters{CancelledWithAnother: 1}) {
		t.Errorf("counted: %+v", got)
	}
}
