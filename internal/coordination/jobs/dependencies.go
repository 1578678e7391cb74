package jobs

import (
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// dependencyVerdict is what is known of the jobs that a submission depends on. Of several
// jobs the highest counts.
type dependencyVerdict int

const (
	dependencyAccepted   dependencyVerdict = iota // it was accepted
	dependencyCancelled                           // it was accepted, and is cancelled
	dependencyUndecided                           // it could not be found out
	dependencyImpossible                          // it was never accepted, or is a service: no job can wait for it
)

// maxDependencyReads is for how many jobs that are not known here a read each is worth it.
const maxDependencyReads = 8

// checkDependencies finds out what has become of all the jobs that a submission names. The
// verdict dependencyImpossible rests on reads that began after the submission came.
func (s *Service) checkDependencies(ids []string, done func(dependencyVerdict)) {
	worst, unknown := s.knownDependencies(ids)
	if worst == dependencyImpossible || len(unknown) == 0 {
		done(worst)
		return
	}
	if len(unknown) <= maxDependencyReads {
		s.readDependencies(unknown, worst, done)
		return
	}
	// What other controllers have accepted comes with the changes, with one read.
	s.Replica.Sync(func(err error) {
		if err != nil {
			done(dependencyUndecided)
			return
		}
		verdict, unknown := s.knownDependencies(unknown)
		s.readDependencies(unknown, max(worst, verdict), done)
	})
}

// knownDependencies gives the verdict on the jobs that are known here, and lists the
// others.
func (s *Service) knownDependencies(ids []string) (worst dependencyVerdict, unknown []string) {
	for _, id := range ids {
		if verdict, known := s.knownDependency(id); known {
			worst = max(worst, verdict)
		} else {
			unknown = append(unknown, id)
		}
	}
	return worst, unknown
}

// knownDependency gives the verdict on a job that is known here.
func (s *Service) knownDependency(id string) (verdict dependencyVerdict, known bool) {
	if final, ended := s.finals.get(id); ended {
		return verdictOnFinal(final), true
	}
	if _, job := s.View.Jobs.Find(id); job != nil && !job.Ended() {
		switch {
		case job.IsService():
			return dependencyImpossible, true
		case !job.Active():
			return dependencyCancelled, true
		}
		return dependencyAccepted, true
	}
	if kind, found := s.recent.kind(id); found {
		return verdictOnKind(kind), true
	}
	return dependencyUndecided, false
}

func verdictOnFinal(final storage.FinalRecord) dependencyVerdict {
	if final.Stage == protocol.StageCancelled {
		return dependencyCancelled
	}
	return dependencyAccepted
}

func verdictOnKind(kind string) dependencyVerdict {
	if kind == protocol.KindService {
		return dependencyImpossible
	}
	return dependencyAccepted
}

// readDependencies reads jobs that are not known here.
func (s *Service) readDependencies(ids []string, worst dependencyVerdict, done func(dependencyVerdict)) {
	left := len(ids)
	if left == 0 {
		done(worst)
		return
	}
	for _, id := range ids {
		s.readDependency(id, func(verdict dependencyVerdict) {
			worst = max(worst, verdict)
			if left--; left == 0 {
				done(worst)
			}
		})
	}
}

// readDependency reads a job: first the record of an unfinished one, then the final one. A
// job moves from the one to the other in a single transaction, so one that is found under
// neither had not been accepted when the first read began.
func (s *Service) readDependency(id string, done func(dependencyVerdict)) {
	s.Store.Get(storage.JobKey(id), func(record protocol.KeyValue, found bool, err error) {
		switch {
		case err != nil:
			done(dependencyUndecided)
		case found:
			done(s.verdictOnRecord(record))
		default:
			s.readEndedDependency(id, done)
		}
	})
}

// verdictOnRecord gives the verdict on an unfinished job whose record was read.
func (s *Service) verdictOnRecord(record protocol.KeyValue) dependencyVerdict {
	var job storage.JobRecord
	if err := protocol.Decode(record.Value, &job); err != nil {
		s.Log.Error("record unreadable", "key", record.Key, "err", err)
		return dependencyUndecided
	}
	return verdictOnKind(job.Spec.Kind)
}

func (s *Service) readEndedDependency(id string, done func(dependencyVerdict)) {
	s.readFinal(id, func(final storage.FinalRecord, found bool, err error) {
		switch {
		case err != nil:
			done(dependencyUndecided)
		case !found:
			done(dependencyImpossible)
		default:
			done(verdictOnFinal(final))
		}
	})
}
