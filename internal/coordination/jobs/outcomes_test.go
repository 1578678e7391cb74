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

// TestOutcomesAreReadOnce: however many jobs wait for it, the final record of a job that
// they depend on is read once, and no faster than the share of the requests allows.
func TestOutcomesAreReadOnce(t *testing.T) {
	f := newFixture(t)
	const ended, each = 60, 5
	for i := range ended {
		dependency := fmt.Sprintf("run-1%02d", i)
		f.end(dependency, protocol.StageDone)
		for j := range each {
			f.applyJob(protocol.JobSpec{ID: fmt.Sprintf("run-2%02d%d", i, j), Tasks: 1, CPUs: 1, Dependencies: []string{dependency}})
		}
	}
	f.service.ReadMissingOutcomes()
	atOnce := len(f.reads)
	if most := int(outcomeReadShare * f.committer.Limits().RequestRate); atOnce > most {
		t.Errorf("%d reads at once, at most %d", atOnce, most)
	}
	for range 20 {
		f.passSecond()
	}
	if len(f.reads) != ended {
		t.Errorf("%d reads for %d jobs", len(f.reads), ended)
	}
	waiting := 0
	f.view.Jobs.All(func(_ int, job *storage.Job) {
		if job.AwaitsDependencies() {
			waiting++
		}
	})
	if waiting > 0 {
		t.Errorf("%d jobs still wait", waiting)
	}
	if got := f.service.Counters(); got != (Counters{Released: ended * each}) {
		t.Errorf("counted: %+v", got)
	}
}

// TestOutcomesAreReadWhereNeeded: a controller that neither places work nor rents machines
// reads an outcome only for a question.
func TestOutcomesAreReadWhereNeeded(t *testing.T) {
	f := newFixture(t)
	f.needsAll = false
	f.end("run-7", protocol.StageCancelled)
	f.applyJob(protocol.JobSpec{ID: "run-20", Tasks: 1, CPUs: 1, Dependencies: []string{"run-7"}})
	f.service.Tick()
	if len(f.reads) != 0 {
		t.Errorf("read: %v", f.reads)
	}
	f.expect("status", f.status("run-20"), http.StatusOK, protocol.StageCancelled)
	if len(f.reads) != 1 {
		t.Errorf("read: %v", f.reads)
	}
}

// TestEndOfGeneration: who waits for an outcome when a generation ends is told to come
// back, final records stay known, and notices are not sent any more.
func TestEndOfGeneration(t *testing.T) {
	f := newFixture(t)
	f.peerError = protocol.ErrOutcomeUnknown
	f.expect("cancellation", f.cancel("run-1"), http.StatusOK, protocol.StageCancelled)
	f.applyJob(protocol.JobSpec{ID: "run-20", Tasks: 1, CPUs: 1, Dependencies: []string{"run-7"}})
	f.service.outcomes.readBudget.TakeAnyway(f.now, 100) // the read must wait
	var answers []api.Answer
	f.service.Status("run-20", func(a api.Answer) { answers = append(answers, a) })
	f.passSecond()
	if len(answers) != 0 {
		t.Fatalf("answered early: %+v", answers)
	}
	f.begin()
	if len(answers) != 1 || answers[0].Status != http.StatusServiceUnavailable || answers[0].RetryAfter == 0 {
		t.Fatalf("answers: %+v", answers)
	}
	f.reads = nil
	f.expect("cancelled before", f.status("run-1"), http.StatusOK, protocol.StageCancelled)
	f.now += 2 * noticeRetryPause
	f.service.Tick()
	if len(f.told) != 0 {
		t.Errorf("told: %v", f.told)
	}
}

// TestDependentsAreWrittenWithinLimits: the final records of what is cancelled with a job
// are written a few to a transaction, however many there are.
func TestDependentsAreWrittenWithinLimits(t *testing.T) {
	f := newFixture(t)
	const dependents = 30
	f.limitStore(math.MaxInt, 5)
	for i := range dependents {
		f.applyJob(protocol.JobSpec{ID: fmt.Sprintf("run-2%02d", i), Tasks: 1, CPUs: 1, Dependencies: []string{"run-7"}})
	}
	f.service.Remember("run-7", storage.FinalRecord{Stage: protocol.StageCancelled})
	f.hold = true
	for range 20 {
		f.now += time.Second
		f.refreshKnowledge()
		f.service.WriteCancelledDependents()
		f.applyTransactions()
	}
	written := 0
	for key, value := range f.values {
		if strings.HasPrefix(key, storage.FinalKey("run-2")) && strings.Contains(string(value), protocol.StageCancelled) {
			written++
		}
	}
	if written != dependents {
		t.Errorf("%d final records", written)
	}
	if got := f.service.Counters(); got != (Counters{CancelledWithAnother: dependents}) {
		t.Errorf("counted: %+v", got)
	}
}

// TestDependentsAreWrittenAgain: a final record whose write failed is written after a
// pause, and one that was written is not written twice.
func TestDependentsAreWrittenAgain(t *testing.T) {
	f := newFixture(t)
	f.applyJob(protocol.JobSpec{ID: "run-20", Tasks: 1, CPUs: 1, Dependencies: []string{"run-7"}})
	f.service.Remember("run-7", storage.FinalRecord{Stage: protocol.StageCancelled})
	f.away = protocol.ErrOutcomeUnknown
	f.service.WriteCancelledDependents()
	f.away = nil
	commits := 0
	f.onCommit = func() { commits++ }
	f.service.WriteCancelledDependents()
	if commits != 0 {
		t.Error("written again at once")
	}
	for range 3 {
		f.now += time.Second
		f.refreshKnowledge()
		f.service.WriteCancelledDependents()
	}
	if commits != 1 {
		t.Errorf("written %d times", commits)
	}
	if _, ended := f.values[storage.FinalKey("run-20")]; !ended {
		t.Error("no final record")
	}
}
