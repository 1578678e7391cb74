package jobs

import (
	"rockrun/internal/coordination/api"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// Status answers a user's request for the status of a job.
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
		s.logStatus(status)
		reply(api.OK(status))
	})
}

// logStatus logs the status returned to a user, with the revision and the staleness of the
// view that it is based on.
func (s *Service) logStatus(status *protocol.JobStatus) {
	s.Log.Debug("job status returned", "job", status.ID, "stage", status.Stage, "done", status.Done,
		"revision", s.Replica.Revision(), "staleness", s.Replica.Staleness())
}

// checkRequest returns an error if a request can be answered without looking up the job:
// the job ID is invalid or the records have not been read.
func (s *Service) checkRequest(id string) error {
	if !protocol.ValidJobID(id) {
		return &api.NotFoundError{Job: id}
	}
	return s.checkReady(id)
}

// lookup returns the status of a job at the time of the call or later. An
// api.NotFoundError means that the job was never accepted. The view is synced first. A
// single transaction replaces a job's record by its final record, so a job that the synced
// view lacks either has ended, and its final record can be read, or had not been accepted
// when the request arrived.
func (s *Service) lookup(id string, done func(*protocol.JobStatus, error)) {
	if final, ended := s.finalRecords.get(id); ended {
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

// lookupUnfinished returns the status of a job that is unfinished in the synced view.
// Whether the job is cancelled because of a dependency depends on the final records of its
// ended dependencies, so these are read first.
func (s *Service) lookupUnfinished(job *storage.Job, done func(*protocol.JobStatus, error)) {
	s.outcomes.readAll(s.View.UnreadOutcomesUpstream(job), func(err error) {
		switch {
		case err != nil:
			done(nil, storeError(job.ID, err))
		case job.Ended(): // while the outcomes were read
			s.lookup(job.ID, done)
		default:
			done(statusOfUnfinished(job), nil)
		}
	})
}

func statusOfEnded(id string, final storage.FinalRecord) *protocol.JobStatus {
	return &protocol.JobStatus{ID: id, Stage: final.Stage, Done: final.CompletedTasks}
}

// statusOfUnfinished returns the status of a job known to be unfinished; the counts are for
// display only.
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
