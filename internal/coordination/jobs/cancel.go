package jobs

import (
	"errors"

	"rockrun/internal/coordination/api"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// maxCancelAttempts bounds the attempts at a cancellation that conflicts with concurrent
// changes of the job.
const maxCancelAttempts = 3

// Cancel cancels a job. A single transaction, with the version of the job's record as its
// precondition, removes that record and writes the final record. A job that completes ends
// with the same kind of transaction, so only one of the two can succeed.
func (s *Service) Cancel(id string, reply func(api.Answer)) {
	if err := s.checkRequest(id); err != nil {
		reply(api.FromError(err))
		return
	}
	s.tryCancel(id, maxCancelAttempts, reply)
}

// tryCancel makes one attempt, and retries on a conflict while attempts are left.
func (s *Service) tryCancel(id string, attemptsLeft int, reply func(api.Answer)) {
	if final, ended := s.finalRecords.get(id); ended {
		reply(receipt(id, final.Stage))
		return
	}
	s.Store.Get(storage.JobKey(id), func(record protocol.KeyValue, found bool, err error) {
		switch {
		case err != nil:
			reply(api.FromError(storeError(id, err)))
		case found:
			s.cancelUnfinished(id, record.Version, attemptsLeft, reply)
		default:
			s.answerCancelOfEnded(id, reply)
		}
	})
}

// cancelUnfinished ends a job, with the version of its record as the precondition.
func (s *Service) cancelUnfinished(id string, version uint64, attemptsLeft int, reply func(api.Answer)) {
	final := storage.FinalRecord{Stage: protocol.StageCancelled, EndedAtMS: s.Generation.Wall().UnixMilli()}
	s.Committer.Budget.ForceConsume(s.Generation.Now(), 2)
	s.Committer.Commit(protocol.Transaction{
		Preconditions: []protocol.Precondition{{Key: storage.JobKey(id), Version: version}},
		Operations:    storage.EndJobOperations(id, final),
	}, func(revision uint64, err error) {
		switch {
		case err == nil:
			s.Log.Debug("cancellation confirmed", "job", id, "revision", revision)
			s.RecordOutcome(id, final)
			s.propagateCancellation(id)
			reply(receipt(id, final.Stage))
		case errors.Is(err, protocol.ErrConflict) && attemptsLeft > 1:
			s.tryCancel(id, attemptsLeft-1, reply)
		default:
			reply(api.FromError(storeError(id, err)))
		}
	})
}

// answerCancelOfEnded answers a cancellation of a job that has ended or was never accepted.
func (s *Service) answerCancelOfEnded(id string, reply func(api.Answer)) {
	s.lookup(id, func(status *protocol.JobStatus, err error) {
		switch {
		case err != nil:
			reply(api.FromError(err))
		case status.Stage == protocol.StageDone:
			reply(receipt(id, status.Stage))
		case status.Stage == protocol.StageCancelled:
			// Another controller may have committed the cancellation without receiving the
			// result, so the cancellation may not have been propagated.
			s.propagateCancellation(id)
			reply(receipt(id, status.Stage))
		default:
			reply(api.FromError(undecidedError(id)))
		}
	})
}

// propagateCancellation applies a confirmed cancellation on this controller and queues a
// notice of it to every other controller.
func (s *Service) propagateCancellation(id string) {
	s.ApplyCancellations([]string{id})
	s.notices.add(id)
}

// ApplyCancellations marks jobs whose cancellation is durable as cancelled and stops their
// tasks on this controller's machines. It is also called for notices from peers.
func (s *Service) ApplyCancellations(ids []string) {
	for _, id := range ids {
		s.recordCancelledDependents(s.View.MarkCancelled(id))
	}
	s.Reconciler.StopInactive()
}
