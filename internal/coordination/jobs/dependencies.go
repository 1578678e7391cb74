package jobs

import (
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// dependencyState is the state of a dependency of a submitted job. The states are ordered from
// best to worst; the worst state of all dependencies decides the submission.
type dependencyState int

const (
	dependencyAccepted  dependencyState = iota // accepted and not known to be cancelled
	dependencyCancelled                        // accepted and cancelled
	dependencyUndecided                        // could not be determined
	dependencyInvalid                          // never accepted, or a service, which no job can depend on
)

// maxDirectDependencyReads is the largest number of unresolved dependencies that are read
// one by one without a sync of the view first.
const maxDirectDependencyReads = 8

// checkDependencies determines the worst state of the dependencies of a submission. A
// dependency counts as never accepted only after reads that began after the submission
// arrived.
func (s *Service) checkDependencies(ids []string, done func(dependencyState)) {
	worst, unresolved := s.localDependencyStates(ids)
	if worst == dependencyInvalid || len(unresolved) == 0 {
		done(worst)
		return
	}
	if len(unresolved) <= maxDirectDependencyReads {
		s.readDependencies(unresolved, worst, done)
		return
	}
	// After a sync, the view contains all jobs that other controllers have accepted.
	s.Replica.Sync(func(err error) {
		if err != nil {
			done(dependencyUndecided)
			return
		}
		state, unresolved := s.localDependencyStates(unresolved)
		s.readDependencies(unresolved, max(worst, state), done)
	})
}

// localDependencyStates returns the worst state of the jobs known to this controller and
// lists the other jobs.
func (s *Service) localDependencyStates(ids []string) (worst dependencyState, unresolved []string) {
	for _, id := range ids {
		if state, known := s.localDependencyState(id); known {
			worst = max(worst, state)
		} else {
			unresolved = append(unresolved, id)
		}
	}
	return worst, unresolved
}

// localDependencyState returns the state of a job from this controller's memory; known is
// false where the job is in neither the view nor a cache.
func (s *Service) localDependencyState(id string) (state dependencyState, known bool) {
	if final, ended := s.finalRecords.get(id); ended {
		return dependencyStateOfFinal(final), true
	}
	if _, job := s.View.Jobs.Find(id); job != nil && !job.Ended() {
		switch {
		case job.IsService():
			return dependencyInvalid, true
		case !job.Active():
			return dependencyCancelled, true
		}
		return dependencyAccepted, true
	}
	if kind, found := s.recent.kind(id); found {
		return dependencyStateOfKind(kind), true
	}
	return dependencyUndecided, false
}

func dependencyStateOfFinal(final storage.FinalRecord) dependencyState {
	if final.Stage == protocol.StageCancelled {
		return dependencyCancelled
	}
	return dependencyAccepted
}

func dependencyStateOfKind(kind string) dependencyState {
	if kind == protocol.KindService {
		return dependencyInvalid
	}
	return dependencyAccepted
}

// readDependencies reads jobs from the store and passes the worst of their states and of
// worst to done.
func (s *Service) readDependencies(ids []string, worst dependencyState, done func(dependencyState)) {
	remaining := len(ids)
	if remaining == 0 {
		done(worst)
		return
	}
	for _, id := range ids {
		s.readDependency(id, func(state dependencyState) {
			worst = max(worst, state)
			if remaining--; remaining == 0 {
				done(worst)
			}
		})
	}
}

// readDependency reads the state of a job from the store: first the record of the
// unfinished job, then its final record. A single transaction replaces the first by the
// second, so a job with neither had not been accepted when the first read began.
func (s *Service) readDependency(id string, done func(dependencyState)) {
	s.Store.Get(storage.JobKey(id), func(record protocol.KeyValue, found bool, err error) {
		switch {
		case err != nil:
			done(dependencyUndecided)
		case found:
			done(s.dependencyStateOfRecord(record))
		default:
			s.readEndedDependency(id, done)
		}
	})
}

// dependencyStateOfRecord returns the state of an unfinished job from its record.
func (s *Service) dependencyStateOfRecord(record protocol.KeyValue) dependencyState {
	var job storage.JobRecord
	if err := protocol.Decode(record.Value, &job); err != nil {
		s.Log.Error("record decode failed", "key", record.Key, "err", err)
		return dependencyUndecided
	}
	return dependencyStateOfKind(job.Spec.Kind)
}

func (s *Service) readEndedDependency(id string, done func(dependencyState)) {
	s.readFinal(id, func(final storage.FinalRecord, found bool, err error) {
		switch {
		case err != nil:
			done(dependencyUndecided)
		case !found:
			done(dependencyInvalid)
		default:
			done(dependencyStateOfFinal(final))
		}
	})
}
