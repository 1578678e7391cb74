package jobs

import (
	"fmt"
	"math"
	"net/http"
	"strings"
	"testing"
	"time"

	"rockrun/internal/coordination/api"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// TestOutcomeReadOncePerDependency checks that the final record of a dependency is read
// once, however many jobs depend on it, and that the reads stay within outcomeReadFraction.
func TestOutcomeReadOncePerDependency(t *testing.T) {
	f := newFixture(t)
	const ended, each = 60, 5
	for i := range ended {
		dependency := fmt.Sprintf("run-1%02d", i)
		f.storeFinalRecord(dependency, protocol.StageDone)
		for j := range each {
			f.applyJob(protocol.JobSpec{ID: fmt.Sprintf("run-2%02d%d", i, j), Tasks: 1, CPUs: 1, Dependencies: []string{dependency}})
		}
	}
	f.service.ReadMissingOutcomes()
	atOnce := len(f.reads)
	if maxReads := int(outcomeReadFraction * f.committer.Limits().RequestRate); atOnce > maxReads {
		t.Errorf("%d reads at once; want at most %d", atOnce, maxReads)
	}
	for range 20 {
		f.advanceOneSecond()
	}
	if len(f.reads) != ended {
		t.Errorf("%d reads for %d ended jobs", len(f.reads), ended)
	}
	awaiting := 0
	f.view.Jobs.All(func(_ int, job *storage.Job) {
		if job.AwaitsDependencies() {
			awaiting++
		}
	})
	if awaiting > 0 {
		t.Errorf("%d jobs still await dependencies", awaiting)
	}
	if got := f.service.Counters(); got != (Counters{Released: ended * each}) {
		t.Errorf("counters: %+v", got)
	}
}

// TestOutcomeReadOnDemand checks that a controller that neither places tasks nor creates
// machines reads an outcome only when a request needs it.
func TestOutcomeReadOnDemand(t *testing.T) {
	f := newFixture(t)
	f.needsOutcomes = false
	f.storeFinalRecord("run-7", protocol.StageCancelled)
	f.applyJob(protocol.JobSpec{ID: "run-20", Tasks: 1, CPUs: 1, Dependencies: []string{"run-7"}})
	f.service.Tick()
	if len(f.reads) != 0 {
		t.Errorf("keys read without a request: %v", f.reads)
	}
	f.expectAnswer("status", f.status("run-20"), http.StatusOK, protocol.StageCancelled)
	if len(f.reads) != 1 {
		t.Errorf("keys read: %v; want one", f.reads)
	}
}

// TestGenerationEnd checks that the end of a generation answers requests that wait for an
// outcome with a retry, keeps cached final records, and drops queued notices.
func TestGenerationEnd(t *testing.T) {
	f := newFixture(t)
	f.peerErr = protocol.ErrOutcomeUnknown
	f.expectAnswer("cancellation", f.cancel("run-1"), http.StatusOK, protocol.StageCancelled)
	f.applyJob(protocol.JobSpec{ID: "run-20", Tasks: 1, CPUs: 1, Dependencies: []string{"run-7"}})
	f.service.outcomes.readBudget.ForceConsume(f.now, 100) // the read is deferred
	var answers []api.Answer
	f.service.Status("run-20", func(a api.Answer) { answers = append(answers, a) })
	f.advanceOneSecond()
	if len(answers) != 0 {
		t.Fatalf("answered before the outcome was read: %+v", answers)
	}
	f.beginGeneration()
	if len(answers) != 1 || answers[0].Status != http.StatusServiceUnavailable || answers[0].RetryAfter == 0 {
		t.Fatalf("answers: %+v", answers)
	}
	f.reads = nil
	f.expectAnswer("job cancelled in the previous generation", f.status("run-1"), http.StatusOK, protocol.StageCancelled)
	f.now += 2 * noticeRetryDelay
	f.service.Tick()
	if len(f.notified) != 0 {
		t.Errorf("notices of the previous generation sent: %v", f.notified)
	}
}

// TestCancelledDependentsWriteLimits checks that the final records of any number of
// cancelled dependents are written in transactions within the store's limits.
func TestCancelledDependentsWriteLimits(t *testing.T) {
	f := newFixture(t)
	const dependents = 30
	f.lowerStoreLimits(math.MaxInt, 5)
	for i := range dependents {
		f.applyJob(protocol.JobSpec{ID: fmt.Sprintf("run-2%02d", i), Tasks: 1, CPUs: 1, Dependencies: []string{"run-7"}})
	}
	f.service.RecordOutcome("run-7", storage.FinalRecord{Stage: protocol.StageCancelled})
	f.holdCommits = true
	for range 20 {
		f.now += time.Second
		f.refreshViewAndLeases()
		f.service.WriteCancelledDependents()
		f.applyHeldTransactions()
	}
	written := 0
	for key, value := range f.values {
		if strings.HasPrefix(key, storage.FinalKey("run-2")) && strings.Contains(string(value), protocol.StageCancelled) {
			written++
		}
	}
	if written != dependents {
		t.Errorf("%d final records written; want %d", written, dependents)
	}
	if got := f.service.Counters(); got != (Counters{CancelledByDependency: dependents}) {
		t.Errorf("counters: %+v", got)
	}
}

// TestCancelledDependentsWriteRetry checks that a failed write of a final record is retried
// after a delay, and that a successful write is not repeated.
func TestCancelledDependentsWriteRetry(t *testing.T) {
	f := newFixture(t)
	f.applyJob(protocol.JobSpec{ID: "run-20", Tasks: 1, CPUs: 1, Dependencies: []string{"run-7"}})
	f.service.RecordOutcome("run-7", storage.FinalRecord{Stage: protocol.StageCancelled})
	f.storeErr = protocol.ErrOutcomeUnknown
	f.service.WriteCancelledDependents()
	f.storeErr = nil
	commits := 0
	f.onCommit = func() { commits++ }
	f.service.WriteCancelledDependents()
	if commits != 0 {
		t.Error("write retried without a delay")
	}
	for range 3 {
		f.now += time.Second
		f.refreshViewAndLeases()
		f.service.WriteCancelledDependents()
	}
	if commits != 1 {
		t.Errorf("%d transactions; want 1", commits)
	}
	if _, ended := f.values[storage.FinalKey("run-20")]; !ended {
		t.Error("final record not written")
	}
}
