package jobs

import (
	"errors"
	"slices"

	"rockrun/internal/coordination/api"
	"rockrun/internal/coordination/quota"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// Submit handles a submission. A job is accepted once its record is durable. The
// precondition that the record's key does not exist yet makes a repeated submission
// harmless.
func (s *Service) Submit(body []byte, reply func(api.Answer)) {
	spec, err := protocol.ParseSubmission(body)
	if err != nil {
		reply(api.FromError(err))
		return
	}
	if err := s.checkReady(spec.ID); err != nil {
		reply(api.FromError(err))
		return
	}
	// A repeated submission of a known job is answered before any other check: an accepted
	// job must not be rejected later.
	if s.knownAccepted(spec.ID) {
		s.answerRepeat(spec.ID, undecidedError(spec.ID), reply)
		return
	}
	if err := s.checkSatisfiable(spec); err != nil {
		reply(api.FromError(err))
		return
	}
	s.checkDependencies(spec.Dependencies, func(state dependencyState) {
		switch state {
		case dependencyInvalid:
			reply(api.FromError(&api.UnsatisfiableError{Job: spec.ID, Reason: api.ErrImpossibleDependency}))
		case dependencyUndecided:
			reply(api.FromError(storeError(spec.ID, nil)))
		default:
			s.accept(spec, state == dependencyCancelled, reply)
		}
	})
}

// knownAccepted reports whether this controller's view or cache shows that a job was
// accepted.
func (s *Service) knownAccepted(id string) bool {
	if _, ended := s.finalRecords.get(id); ended {
		return true
	}
	_, job := s.View.Jobs.Find(id)
	return job != nil && !job.Ended()
}

// undecidedError returns the error for a job that changed while its request was processed.
func undecidedError(job string) error {
	return &api.RetryLaterError{Reason: api.ErrUndecided, Job: job}
}

// answerRepeat answers a repeated submission with the stage of the job, or with
// notAcceptedErr if the job was never accepted.
func (s *Service) answerRepeat(id string, notAcceptedErr error, reply func(api.Answer)) {
	s.lookup(id, func(status *protocol.JobStatus, err error) {
		var notFound *api.NotFoundError
		switch {
		case errors.As(err, &notFound):
			reply(api.FromError(notAcceptedErr))
		case err != nil:
			reply(api.FromError(err))
		default:
			reply(receipt(status.ID, status.Stage))
		}
	})
}

// receipt returns the answer to a submission or cancellation of an accepted job.
func receipt(job, stage string) api.Answer {
	return api.OK(protocol.JobReceipt{ID: job, Stage: stage})
}

// accept makes a job durable. A job that depends on a cancelled job is accepted as
// cancelled: only its final record is written.
func (s *Service) accept(spec *protocol.JobSpec, cancelled bool, reply func(api.Answer)) {
	now := s.Generation.Wall().UnixMilli()
	put := protocol.Operation{Put: storage.JobKey(spec.ID), Value: storage.Encode(storage.JobRecord{Spec: *spec, SubmittedAtMS: now})}
	final := storage.FinalRecord{Stage: protocol.StageCancelled, EndedAtMS: now}
	stage := protocol.StageQueued
	if cancelled {
		put = protocol.Operation{Put: storage.FinalKey(spec.ID), Value: storage.Encode(final)}
		stage = protocol.StageCancelled
	}
	tooLong := &api.TooLongError{Job: spec.ID, Bytes: len(put.Value)}
	if len(put.Value) > s.Committer.ValueCapacity() {
		s.answerRepeat(spec.ID, tooLong, reply)
		return
	}
	s.Committer.Budget.ForceConsume(s.Generation.Now(), 1)
	s.Committer.Commit(protocol.Transaction{
		Preconditions: []protocol.Precondition{{Key: storage.JobKey(spec.ID)}, {Key: storage.FinalKey(spec.ID)}},
		Operations:    []protocol.Operation{put},
	}, func(revision uint64, err error) {
		switch {
		case err == nil:
			s.Log.Debug("submission accepted", "job", spec.ID, "stage", stage, "revision", revision)
			s.recent.add(spec.ID, spec.Kind, s.Generation.Now())
			if cancelled {
				s.RecordOutcome(spec.ID, final)
			}
			reply(api.Created(protocol.JobReceipt{ID: spec.ID, Stage: stage}))
		case errors.Is(err, protocol.ErrConflict):
			s.answerRepeat(spec.ID, undecidedError(spec.ID), reply)
		case errors.Is(err, protocol.ErrRejected):
			// The job may have been accepted when the limit of a value was higher.
			s.answerRepeat(spec.ID, tooLong, reply)
		default:
			reply(api.FromError(storeError(spec.ID, err)))
		}
	})
}

// checkSatisfiable returns an error for a job that can never run, or for any job while the
// machine types are not known.
func (s *Service) checkSatisfiable(spec *protocol.JobSpec) error {
	if s.View.MachineTypesVersion == 0 {
		return &api.RetryLaterError{Reason: api.ErrMachineTypesUnknown, Job: spec.ID}
	}
	unsatisfiable := func(reason api.UnsatisfiableReason) error {
		return &api.UnsatisfiableError{Job: spec.ID, Reason: reason}
	}
	team := s.View.TeamNames.Lookup(spec.Team)
	switch {
	case slices.Contains(spec.Dependencies, spec.ID):
		return unsatisfiable(api.ErrDependsOnItself)
	case team < 0:
		return unsatisfiable(api.ErrUnknownTeam)
	case !slices.ContainsFunc(s.View.MachineTypes, func(t protocol.MachineType) bool { return fitsMachineType(spec, &t) }):
		return unsatisfiable(api.ErrNoFittingMachineType)
	case exceedsMaximums(spec, &s.View.Teams[team]):
		return unsatisfiable(api.ErrExceedsTeamMaximum)
	}
	return nil
}

// fitsMachineType reports whether the job allows a machine type and one of its tasks fits an
// empty machine of that type.
func fitsMachineType(spec *protocol.JobSpec, machineType *protocol.MachineType) bool {
	if machineType.CPUs <= 0 || spec.CPUs > machineType.CPUs || spec.GPUs > machineType.GPUs || spec.MemoryGB > machineType.MemoryGB {
		return false
	}
	if len(spec.Types) > 0 && !slices.Contains(spec.Types, machineType.Name) {
		return false
	}
	return spec.Zone == "" || slices.Contains(machineType.Zones, spec.Zone)
}

// exceedsMaximums reports whether the tasks of a job that must run at the same time (one
// task of an array, all tasks of any other kind) exceed the maximum quota of its team.
func exceedsMaximums(spec *protocol.JobSpec, team *storage.Team) bool {
	concurrentTasks := 1.0
	if spec.Kind != protocol.KindArray {
		concurrentTasks = float64(spec.Tasks)
	}
	return quota.ExceedsMaximum(spec.CPUs*concurrentTasks, team.MaxCPUs) || quota.ExceedsMaximum(spec.GPUs*concurrentTasks, team.MaxGPUs)
}
