package jobs

import (
	"errors"
	"slices"

	"rockrun/internal/coordination/api"
	"rockrun/internal/coordination/quota"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// Submit takes a job. It is accepted once its record is durable; the record's key, which
// must not exist yet, makes a repeat harmless.
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
	// A repeat of a known job is answered before anything else is checked: what was
	// accepted once must not be refused later.
	if s.known(spec.ID) {
		s.answerRepeat(spec.ID, undecided(spec.ID), reply)
		return
	}
	if err := s.checkSatisfiable(spec); err != nil {
		reply(api.FromError(err))
		return
	}
	s.checkDependencies(spec.Dependencies, func(verdict dependencyVerdict) {
		switch verdict {
		case dependencyImpossible:
			reply(api.FromError(&api.UnsatisfiableError{Job: spec.ID, Reason: api.ErrImpossibleDependency}))
		case dependencyUndecided:
			reply(api.FromError(storeError(spec.ID, nil)))
		default:
			s.accept(spec, verdict == dependencyCancelled, reply)
		}
	})
}

// known reports whether a job is known here to have been accepted.
func (s *Service) known(id string) bool {
	if _, ended := s.finals.get(id); ended {
		return true
	}
	_, job := s.View.Jobs.Find(id)
	return job != nil && !job.Ended()
}

// undecided says that a job changed while it was looked at.
func undecided(job string) error { return &api.RetryLaterError{Reason: api.ErrUndecided, Job: job} }

// answerRepeat answers a submission with what has become of its job, or with an error
// where the job was never accepted.
func (s *Service) answerRepeat(id string, neverAccepted error, reply func(api.Answer)) {
	s.lookup(id, func(status *protocol.JobStatus, err error) {
		var notFound *api.NotFoundError
		switch {
		case errors.As(err, &notFound):
			reply(api.FromError(neverAccepted))
		case err != nil:
			reply(api.FromError(err))
		default:
			reply(receipt(status.ID, status.Stage))
		}
	})
}

// receipt is the answer about a job that is known.
func receipt(job, stage string) api.Answer {
	return api.OK(protocol.JobReceipt{ID: job, Stage: stage})
}

// accept makes a job durable. One that depends on a cancelled job is accepted as
// cancelled: its final record is all there ever is of it.
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
	s.Committer.Budget.TakeAnyway(s.Generation.Now(), 1)
	s.Committer.Commit(protocol.Transaction{
		Conditions: []protocol.Condition{{Key: storage.JobKey(spec.ID)}, {Key: storage.FinalKey(spec.ID)}},
		Operations: []protocol.Operation{put},
	}, func(revision uint64, err error) {
		switch {
		case err == nil:
			s.Log.Debug("submission accepted", "job", spec.ID, "stage", stage, "revision", revision)
			s.recent.add(spec.ID, spec.Kind, s.Generation.Now())
			if cancelled {
				s.Remember(spec.ID, final)
			}
			reply(api.Created(protocol.JobReceipt{ID: spec.ID, Stage: stage}))
		case errors.Is(err, protocol.ErrConflict):
			s.answerRepeat(spec.ID, undecided(spec.ID), reply)
		case errors.Is(err, protocol.ErrRejected):
			// It may have been accepted when longer values fitted.
			s.answerRepeat(spec.ID, tooLong, reply)
		default:
			reply(api.FromError(storeError(spec.ID, err)))
		}
	})
}

// checkSatisfiable returns an error for a job that can never run, or of which that cannot
// be told yet.
func (s *Service) checkSatisfiable(spec *protocol.JobSpec) error {
	if s.View.MachineTypesVersion == 0 {
		return &api.RetryLaterError{Reason: api.ErrMachineTypesUnknown, Job: spec.ID}
	}
	never := func(reason api.UnsatisfiableReason) error {
		return &api.UnsatisfiableError{Job: spec.ID, Reason: reason}
	}
	team := s.View.TeamNames.Lookup(spec.Team)
	switch {
	case slices.Contains(spec.Dependencies, spec.ID):
		return never(api.ErrDependsOnItself)
	case team < 0:
		return never(api.ErrUnknownTeam)
	case !slices.ContainsFunc(s.View.MachineTypes, func(t protocol.MachineType) bool { return mayRunOn(spec, &t) }):
		return never(api.ErrNoFittingMachineType)
	case exceedsMaximums(spec, &s.View.Teams[team]):
		return never(api.ErrMoreThanTeamsMaximums)
	}
	return nil
}

// mayRunOn reports whether a task of a job fits an empty machine of a type that the job
// allows.
func mayRunOn(spec *protocol.JobSpec, t *protocol.MachineType) bool {
	if t.CPUs <= 0 || spec.CPUs > t.CPUs || spec.GPUs > t.GPUs || spec.MemoryGB > t.MemoryGB {
		return false
	}
	if len(spec.Types) > 0 && !slices.Contains(spec.Types, t.Name) {
		return false
	}
	return spec.Zone == "" || slices.Contains(t.Zones, spec.Zone)
}

// exceedsMaximums reports whether what must run at once of a job is more than its team may
// use: one task of an array, all tasks of any other.
func exceedsMaximums(spec *protocol.JobSpec, team *storage.Team) bool {
	atOnce := 1.0
	if spec.Kind != protocol.KindArray {
		atOnce = float64(spec.Tasks)
	}
	return quota.Exceeds(spec.CPUs*atOnce, team.MaxCPUs) || quota.Exceeds(spec.GPUs*atOnce, team.MaxGPUs)
}
