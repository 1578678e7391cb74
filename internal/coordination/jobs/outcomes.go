package jobs

import (
	"fmt"
	"log/slog"

	"rockrun/internal/coordination/loop"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// When a job ends, its record is removed from the records that controllers follow; the
// removal does not say how the job ended. If an unfinished job depends on the ended job,
// its final record is read once, however many jobs depend on it. Controllers that place
// tasks or create machines read all missing final records; other controllers read only
// those that a user's request needs.

// outcomeReadFraction is the largest fraction of the store's request rate that one
// controller spends on final records. It allows hundreds of reads within seconds and leaves
// enough requests for watching changes, which takes a quarter of the rate, and for renewing
// leases, which takes a few requests.
const outcomeReadFraction = 0.125

// outcomeSource provides the outcomes of jobs to an outcomeReader. Both methods apply the
// outcome that they find to the view.
type outcomeSource interface {
	// applyCachedOutcome reports whether the final record of a job is cached.
	applyCachedOutcome(job string) bool
	// readFinal reads the final record of a job; found is false if there is none.
	readFinal(job string, done func(final storage.FinalRecord, found bool, err error))
}

// outcomeReader reads final records of dependencies. It lasts for one generation.
type outcomeReader struct {
	generation *loop.Generation
	source     outcomeSource
	waiters    map[string][]func(error) // by job ID: callbacks of unfinished reads
	readBudget loop.TokenBucket
	log        *slog.Logger
}

// newOutcomeReader creates a reader for a store that admits requestRate requests per
// second.
func newOutcomeReader(generation *loop.Generation, source outcomeSource, requestRate float64, log *slog.Logger) *outcomeReader {
	return &outcomeReader{
		generation: generation,
		source:     source,
		waiters:    map[string][]func(error){},
		readBudget: loop.NewTokenBucket(max(1, outcomeReadFraction*requestRate)),
		log:        log,
	}
}

// read calls done once the outcome of a job is applied to the view, or with an error.
func (r *outcomeReader) read(job string, done func(error)) {
	if r.source.applyCachedOutcome(job) {
		done(nil)
		return
	}
	_, inFlight := r.waiters[job]
	r.waiters[job] = append(r.waiters[job], done)
	if !inFlight {
		r.readOrDefer(job)
	}
}

// readOrDefer reads a final record, or schedules the read while the read budget is used up.
func (r *outcomeReader) readOrDefer(job string) {
	if !r.readBudget.TryConsume(r.generation.Now(), 1) {
		r.generation.AfterIfActive(r.readBudget.TimeUntil(1), func() { r.readOrDefer(job) })
		return
	}
	r.source.readFinal(job, func(_ storage.FinalRecord, found bool, err error) {
		if r.generation.Ended() {
			return
		}
		if err == nil && !found {
			err = &missingFinalRecordError{job: job}
			r.log.Error("final record of ended job not found", "job", job)
		}
		waiters := r.waiters[job]
		delete(r.waiters, job)
		for _, done := range waiters {
			done(err)
		}
	})
}

// missingFinalRecordError reports a job whose record was removed without a final record
// being written, which no transaction does. It wraps protocol.ErrOutcomeUnknown.
type missingFinalRecordError struct{ job string }

// Error returns a text that names the job.
func (e *missingFinalRecordError) Error() string {
	return fmt.Sprintf("%v: no final record of %s", protocol.ErrOutcomeUnknown, e.job)
}

// Unwrap returns protocol.ErrOutcomeUnknown.
func (e *missingFinalRecordError) Unwrap() error { return protocol.ErrOutcomeUnknown }

// failWaiters fails all unfinished reads because the generation has ended.
func (r *outcomeReader) failWaiters() {
	for _, waiters := range r.waiters {
		for _, done := range waiters {
			done(protocol.ErrNotExecuted)
		}
	}
	clear(r.waiters)
}

// readAll calls done once the outcomes of all the jobs are applied to the view, or with an
// error if the outcome of any of them could not be read.
func (r *outcomeReader) readAll(jobs []*storage.Job, done func(error)) {
	remaining := len(jobs)
	if remaining == 0 {
		done(nil)
		return
	}
	var lastErr error
	for _, job := range jobs {
		r.read(job.ID, func(err error) {
			if err != nil {
				lastErr = err
			}
			if remaining--; remaining == 0 {
				done(lastErr)
			}
		})
	}
}

// readMissing starts reading the outcomes that are not being read yet, to apply them to the
// view.
func (r *outcomeReader) readMissing(jobs []*storage.Job) {
	for _, job := range jobs {
		if _, inFlight := r.waiters[job.ID]; !inFlight {
			r.read(job.ID, func(error) {}) // the next tick retries a failed read
		}
	}
}

// applyCachedOutcome applies the outcome of a job to the view if its final record is cached,
// and reports whether it is.
func (s *Service) applyCachedOutcome(id string) bool {
	final, ended := s.finalRecords.get(id)
	if ended {
		s.applyOutcome(id, final)
	}
	return ended
}

// readFinal reads the final record of a job from the store, caches it and applies it to the
// view; found is false if the job has not ended or was never accepted.
func (s *Service) readFinal(id string, done func(final storage.FinalRecord, found bool, err error)) {
	s.Store.Get(storage.FinalKey(id), func(record protocol.KeyValue, found bool, err error) {
		if err != nil || !found {
			done(storage.FinalRecord{}, false, err)
			return
		}
		final, err := storage.DecodeFinal(record.Value)
		if err == nil {
			s.RecordOutcome(id, final)
		}
		done(final, err == nil, err)
	})
}

// applyOutcome applies the outcome of a job to the view, and logs and counts the dependents
// that the outcome releases or cancels.
func (s *Service) applyOutcome(id string, final storage.FinalRecord) {
	released, cancelled := s.View.SetOutcome(id, final)
	for _, job := range released {
		if s.Leases.Holds(job.Shard) {
			s.counters.released.Add(1)
			s.Log.Info("job released", "job", job.ID, "dependency", id)
		}
	}
	s.recordCancelledDependents(cancelled)
	if len(released) > 0 {
		s.Reconciler.SchedulePass()
	}
}

// recordCancelledDependents logs and counts jobs that were cancelled because a dependency
// was cancelled, and schedules a reconcile pass.
func (s *Service) recordCancelledDependents(jobs []*storage.Job) {
	for _, job := range jobs {
		if s.Leases.Holds(job.Shard) {
			s.counters.cancelledByDependency.Add(1)
			s.Log.Info("job cancelled by dependency", "job", job.ID, "dependency", job.CancelledBy().ID)
		}
	}
	if len(jobs) > 0 {
		s.Reconciler.SchedulePass()
	}
}
