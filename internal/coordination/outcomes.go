package coordination

import (
	"fmt"

	"rockrun/internal/coordination/loop"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// A job that is over leaves the records that controllers follow, and its leaving does
// not tell how it ended. Where an unfinished job needs it, its final record is read:
// once, for however many wait for it. Controllers that place work or rent machines read
// all that are wanted; the others only what a question asks for.

// outcomeReader reads final records of needed jobs.
type outcomeReader struct {
	controller *Controller
	waiting    map[string][]func(error) // by job: who waits for its final record
	readBudget loop.TokenBucket
}

// outcomeReadShare is the part of the requests to the state service that one
// controller spends on final records at most: hundreds are read in seconds, and the
// changes and the leases, which take a quarter and a few, are never in want.
const outcomeReadShare = 0.125

func newOutcomeReader(n *Controller) *outcomeReader {
	return &outcomeReader{controller: n, waiting: map[string][]func(error){}, readBudget: loop.NewTokenBucket(max(1, outcomeReadShare*n.committer.Limits().RequestRate))}
}

// read calls done once the final record of a job is known, or could not be read.
func (r *outcomeReader) read(id string, done func(error)) {
	if f, ok := r.controller.finalRecords[id]; ok {
		r.controller.setOutcome(id, f)
		done(nil)
		return
	}
	_, underWay := r.waiting[id]
	r.waiting[id] = append(r.waiting[id], done)
	if !underWay {
		r.readOrDefer(id)
	}
}

// send reads a final record, later where too many have been read.
func (r *outcomeReader) readOrDefer(id string) {
	n := r.controller
	now := n.now()
	if !r.readBudget.Take(now, 1) {
		n.generation.Later(r.readBudget.TimeUntil(1), func() { r.readOrDefer(id) })
		return
	}
	generation := n.generation
	n.readFinal(id, func(_ storage.FinalRecord, found bool, err error) {
		if generation.Ended() {
			return
		}
		if err == nil && !found {
			err = fmt.Errorf("%w: no final record of %s", protocol.ErrOutcomeUnknown, id)
			n.Log.Error("a job is over and has no final record", "job", id)
		}
		waiting := r.waiting[id]
		delete(r.waiting, id)
		for _, done := range waiting {
			done(err)
		}
	})
}

// abandon tells all who wait that nothing will come: the incarnation is over.
func (r *outcomeReader) abandon() {
	for _, waiting := range r.waiting {
		for _, done := range waiting {
			done(protocol.ErrNotExecuted)
		}
	}
	clear(r.waiting)
}

// readAll calls done once the final records of all the jobs are known; with an error if
// any could not be read.
func (r *outcomeReader) readAll(jobs []*storage.Job, done func(error)) {
	left := len(jobs)
	if left == 0 {
		done(nil)
		return
	}
	var failed error
	for _, j := range jobs {
		r.read(j.ID, func(err error) {
			if err != nil {
				failed = err
			}
			if left--; left == 0 {
				done(failed)
			}
		})
	}
}

// want reads, on a controller that places work or rents machines, what it does not
// know yet.
func (r *outcomeReader) readWanted() {
	n := r.controller
	if n.leadership == nil && !n.reconciler.HoldsJobShards() {
		return
	}
	for _, j := range n.view.UnreadOutcomes() {
		if _, underWay := r.waiting[j.ID]; !underWay {
			r.read(j.ID, func(error) {}) // the next tick asks again
		}
	}
}

// readFinal reads the final record of a job and remembers it; found is false where the
// job is not over, or was never accepted.
func (n *Controller) readFinal(id string, done func(f storage.FinalRecord, found bool, err error)) {
	n.Store.Get(storage.FinalKey(id), func(it protocol.KeyValue, found bool, err error) {
		if err != nil || !found {
			done(storage.FinalRecord{}, false, err)
			return
		}
		f, err := storage.DecodeFinal(it.Value)
		if err == nil {
			n.rememberFinal(id, f)
		}
		done(f, err == nil, err)
	})
}

// setOutcome takes in how a job ended, and what follows for those that need it.
func (n *Controller) setOutcome(id string, f storage.FinalRecord) {
	released, cancelled := n.view.SetOutcome(id, f)
	for _, j := range released {
		if n.leases.Holds(j.Shard) {
			n.stats.jobsReleased.Add(1)
			n.Log.Info("job released", "job", j.ID, "after", id)
		}
	}
	n.noteCancelledDependents(cancelled)
	if len(released) > 0 {
		n.reconciler.SchedulePass()
	}
}

// noteCancelledWith says which jobs are cancelled with another.
func (n *Controller) noteCancelledDependents(jobs []*storage.Job) {
	for _, j := range jobs {
		if n.leases.Holds(j.Shard) {
			n.stats.jobsCancelledByDependency.Add(1)
			n.Log.Info("job cancelled with another", "job", j.ID, "with", j.CancelledBy().ID)
		}
	}
	if len(jobs) > 0 {
		n.reconciler.SchedulePass()
	}
}
