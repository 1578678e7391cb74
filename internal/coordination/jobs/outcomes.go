package jobs

import (
	"fmt"
	"log/slog"

	"rockrun/internal/coordination/loop"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// A job that has ended leaves the records that controllers follow, and its leaving does
// not tell how it ended. Where an unfinished job depends on it, its final record is read:
// once, for however many wait for it. Controllers that place work or rent machines read
// all that are missing; the others only what a question asks for.

// outcomeReadShare is the part of the requests to the store that one controller spends on
// final records at most: hundreds are read in seconds, and the changes and the leases,
// which take a quarter and a few, never lack requests.
const outcomeReadShare = 0.125

// outcomeSource is where an outcomeReader finds how jobs ended. Both methods let the view
// know what they find.
type outcomeSource interface {
	// recall reports whether it is remembered how a job ended.
	recall(job string) bool
	// readFinal reads the final record of a job; found is false where there is none.
	readFinal(job string, done func(final storage.FinalRecord, found bool, err error))
}

// outcomeReader reads final records of dependencies, for one generation.
type outcomeReader struct {
	generation *loop.Generation
	source     outcomeSource
	waiting    map[string][]func(error) // by job: who waits for its final record
	readBudget loop.TokenBucket
	log        *slog.Logger
}

// newOutcomeReader makes a reader for a store that takes so many requests a second.
func newOutcomeReader(generation *loop.Generation, source outcomeSource, requestRate float64, log *slog.Logger) *outcomeReader {
	return &outcomeReader{
		generation: generation,
		source:     source,
		waiting:    map[string][]func(error){},
		readBudget: loop.NewTokenBucket(max(1, outcomeReadShare*requestRate)),
		log:        log,
	}
}

// read calls done once the view knows how a job ended, or with an error.
func (r *outcomeReader) read(job string, done func(error)) {
	if r.source.recall(job) {
		done(nil)
		return
	}
	_, inFlight := r.waiting[job]
	r.waiting[job] = append(r.waiting[job], done)
	if !inFlight {
		r.readOrDefer(job)
	}
}

// readOrDefer reads a final record, later where too many have been read.
func (r *outcomeReader) readOrDefer(job string) {
	if !r.readBudget.Take(r.generation.Now(), 1) {
		r.generation.Later(r.readBudget.TimeUntil(1), func() { r.readOrDefer(job) })
		return
	}
	r.source.readFinal(job, func(_ storage.FinalRecord, found bool, err error) {
		if r.generation.Ended() {
			return
		}
		if err == nil && !found {
			err = &noFinalRecordError{job: job}
			r.log.Error("ended job has no final record", "job", job)
		}
		waiting := r.waiting[job]
		delete(r.waiting, job)
		for _, done := range waiting {
			done(err)
		}
	})
}

// noFinalRecordError is about a job that has left the records and has no final one, which
// no transaction does. It wraps protocol.ErrOutcomeUnknown.
type noFinalRecordError struct{ job string }

// Error names the job.
func (e *noFinalRecordError) Error() string {
	return fmt.Sprintf("%v: no final record of %s", protocol.ErrOutcomeUnknown, e.job)
}

// Unwrap returns protocol.ErrOutcomeUnknown.
func (e *noFinalRecordError) Unwrap() error { return protocol.ErrOutcomeUnknown }

// abandon tells all who wait that nothing will come: the generation has ended.
func (r *outcomeReader) abandon() {
	for _, waiting := range r.waiting {
		for _, done := range waiting {
			done(protocol.ErrNotExecuted)
		}
	}
	clear(r.waiting)
}

// readAll calls done once the view knows how all the jobs ended; with an error if it could
// not be found out for any.
func (r *outcomeReader) readAll(jobs []*storage.Job, done func(error)) {
	left := len(jobs)
	if left == 0 {
		done(nil)
		return
	}
	var failed error
	for _, job := range jobs {
		r.read(job.ID, func(err error) {
			if err != nil {
				failed = err
			}
			if left--; left == 0 {
				done(failed)
			}
		})
	}
}

// readMissing begins to read what nobody waits for yet, so that the view comes to know it.
func (r *outcomeReader) readMissing(jobs []*storage.Job) {
	for _, job := range jobs {
		if _, inFlight := r.waiting[job.ID]; !inFlight {
			r.read(job.ID, func(error) {}) // the next tick asks again
		}
	}
}

// recall lets the view know how a job ended, and reports whether that is remembered.
func (s *Service) recall(id string) bool {
	final, ended := s.finals.get(id)
	if ended {
		s.applyOutcome(id, final)
	}
	return ended
}

// readFinal reads the final record of a job and remembers it; found is false where the
// job has not ended, or was never accepted.
func (s *Service) readFinal(id string, done func(final storage.FinalRecord, found bool, err error)) {
	s.Store.Get(storage.FinalKey(id), func(record protocol.KeyValue, found bool, err error) {
		if err != nil || !found {
			done(storage.FinalRecord{}, false, err)
			return
		}
		final, err := storage.DecodeFinal(record.Value)
		if err == nil {
			s.Remember(id, final)
		}
		done(final, err == nil, err)
	})
}

// applyOutcome lets the view know how a job ended, and takes in what follows for its
// dependents.
func (s *Service) applyOutcome(id string, final storage.FinalRecord) {
	released, cancelled := s.View.SetOutcome(id, final)
	for _, job := range released {
		if s.Leases.Holds(job.Shard) {
			s.counters.released.Add(1)
			s.Log.Info("job released", "job", job.ID, "dependency", id)
		}
	}
	s.noteCancelledDependents(cancelled)
	if len(released) > 0 {
		s.Reconciler.SchedulePass()
	}
}

// noteCancelledDependents takes in which jobs are cancelled with a dependency.
func (s *Service) noteCancelledDependents(jobs []*storage.Job) {
	for _, job := range jobs {
		if s.Leases.Holds(job.Shard) {
			s.counters.cancelledWithAnother.Add(1)
			s.Log.Info("job cancelled with dependency", "job", job.ID, "dependency", job.CancelledBy().ID)
		}
	}
	if len(jobs) > 0 {
		s.Reconciler.SchedulePass()
	}
}
