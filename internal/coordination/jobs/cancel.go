package jobs

import (
	"errors"

	"rockrun/internal/coordination/api"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// cancelAttempts is how often a cancellation is tried where the job changes meanwhile.
const cancelAttempts = 3

// Cancel cancels a job. Removing the record of the unfinished job under its version and
// writing the final one is a single transaction, as it is for a job that completes, so
// only one of the two can ever happen.
func (s *Service) Cancel(id string, reply func(api.Answer)) {
	if err := s.checkRequest(id); err != nil {
		reply(api.FromError(err))
		return
	}
	s.tryCancel(id, cancelAttempts, reply)
}

// tryCancel makes one attempt, and the others if that one fails.
func (s *Service) tryCancel(id string, attempts int, reply func(api.Answer)) {
	if final, ended := s.finals.get(id); ended {
		reply(receipt(id, final.Stage))
		return
	}
	s.Store.Get(storage.JobKey(id), func(record protocol.KeyValue, found bool, err error) {
		switch {
		case err != nil:
			reply(api.FromError(storeError(id, err)))
		case found:
			s.cancelUnfinished(id, record.Version, attempts, reply)
		default:
			s.answerCancelOfEnded(id, reply)
		}
	})
}

// cancelUnfinished ends a job under the version of its record.
func (s *Service) cancelUnfinished(id string, version uint64, attempts int, reply func(api.Answer)) {
	final := storage.FinalRecord{Stage: protocol.StageCancelled, EndedAtMS: s.Generation.Wall().UnixMilli()}
	s.Committer.Budget.TakeAnyway(s.Generation.Now(), 2)
	s.Committer.Commit(protocol.Transaction{
		Conditions: []protocol.Condition{{Key: storage.JobKey(id), Version: version}},
		Operations: storage.EndJobOperations(id, final),
	}, func(revision uint64, err error) {
		switch {
		case err == nil:
			s.Log.Debug("cancellation confirmed", "job", id, "revision", revision)
			s.Remember(id, final)
			s.cancellationConfirmed(id)
			reply(receipt(id, final.Stage))
		case errors.Is(err, protocol.ErrConflict) && attempts > 1:
			s.tryCancel(id, attempts-1, reply)
		default:
			reply(api.FromError(storeError(id, err)))
		}
	})
}

// answerCancelOfEnded answers a cancellation of a job that has no unfinished record.
func (s *Service) answerCancelOfEnded(id string, reply func(api.Answer)) {
	s.lookup(id, func(status *protocol.JobStatus, err error) {
		switch {
		case err != nil:
			reply(api.FromError(err))
		case status.Stage == protocol.StageDone:
			reply(receipt(id, status.Stage))
		case status.Stage == protocol.StageCancelled:
			// The transaction may have been another controller's that never heard how it
			// ended.
			s.cancellationConfirmed(id)
			reply(receipt(id, status.Stage))
		default:
			reply(api.FromError(undecided(id)))
		}
	})
}

// cancellationConfirmed sees to it that all controllers hear of a cancellation.
func (s *Service) cancellationConfirmed(id string) {
	s.ApplyCancellations([]string{id})
	s.notices.add(id)
}

// ApplyCancellations stops what is here of jobs whose cancellation is durable. It is
// called for what peers tell of, too.
func (s *Service) ApplyCancellations(ids []string) {
	for _, id := range ids {
		s.noteCancelledDependents(s.View.MarkCancelled(id))
	}
	s.Reconciler.StopInactive()
}
