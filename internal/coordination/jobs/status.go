package jobs

import (
	"rockrun/internal/coordination/api"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// Status answers a user's question about a job.
func (s *Service) Status(id string, reply func(api.Answer)) {
	if err := s.checkRequest(id); err != nil {
		reply(api.FromError(err))
		return
	}
	s.lookup(id, func(status *protocol.JobStatus, err error) {
		if err != nil {
			reply(api.FromError(err))
			return
		}
		s.logAnswer(status)
		reply(api.OK(status))
	})
}

// logAnswer says what a user is told of a job, and on what that rests.
func (s *Service) logAnswer(status *protocol.JobStatus) {
	s.Log.Debug("job answered", "job", status.ID, "stage", status.Stage, "done", status.Done,
		"revision", s.Replica.Revision(), "staleness", s.Replica.Staleness())
}

// checkRequest returns the error of a request about a job that need not be looked up.
func (s *Service) checkRequest(id string) error {
	if !protocol.ValidJobID(id) {
		return &api.NotFoundError{Job: id}
	}
	return s.checkReady(id)
}

// lookup finds out what has become of a job, as of now or later; api.NotFoundError means
// that it was never accepted. The view is brought up to date first. A job moves from the
// view to its final record in one transaction, so one that the view does not have either
// has ended, and its final record can be read, or was not accepted when the question came.
func (s *Service) lookup(id string, done func(*protocol.JobStatus, error)) {
	if final, ended := s.finals.get(id); ended {
		done(statusOfEnded(id, final), nil)
		return
	}
	s.Replica.Sync(func(err error) {
		if err != nil {
			done(nil, storeError(id, err))
			return
		}
		if _, job := s.View.Jobs.Find(id); job != nil && !job.Ended() {
			s.lookupUnfinished(job, done)
			return
		}
		s.readFinal(id, func(final storage.FinalRecord, found bool, err error) {
			switch {
			case err != nil:
				done(nil, storeError(id, err))
			case !found:
				done(nil, &api.NotFoundError{Job: id})
			default:
				done(statusOfEnded(id, final), nil)
			}
		})
	})
}

// lookupUnfinished describes a job that the view, brought up to date a moment ago, knows
// to be unfinished. Whether it is cancelled with a dependency follows from the final
// records of those that have ended: they are read before anything is said.
func (s *Service) lookupUnfinished(job *storage.Job, done func(*protocol.JobStatus, error)) {
	s.outcomes.readAll(s.View.UnreadOutcomesUpstream(job), func(err error) {
		switch {
		case err != nil:
			done(nil, storeError(job.ID, err))
		case job.Ended(): // since
			s.lookup(job.ID, done)
		default:
			done(statusOfUnfinished(job), nil)
		}
	})
}

func statusOfEnded(id string, final storage.FinalRecord) *protocol.JobStatus {
	return &protocol.JobStatus{ID: id, Stage: final.Stage, Done: final.CompletedTasks}
}

// statusOfUnfinished describes a job known to be unfinished; the counts are for display.
func statusOfUnfinished(job *storage.Job) *protocol.JobStatus {
	status := &protocol.JobStatus{ID: job.ID, Stage: protocol.StageQueued, Done: job.CompletedCount, Running: job.RunningTasks()}
	switch {
	case job.CancellationConfirmed || job.CancelledBy() != nil:
		status.Stage, status.Running = protocol.StageCancelled, 0
	case status.Running > 0:
		status.Stage = protocol.StageRunning
	}
	return status
}
