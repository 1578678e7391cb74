package coordination

import (
	"time"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// needVerdict is what is known of the jobs that a submission names as those that must
// be done before. Of several jobs the highest counts.
type dependencyVerdict int

const (
	dependencyAccepted   dependencyVerdict = iota // it was accepted
	dependencyCancelled                           // it was accepted, and is cancelled
	dependencyUndecided                           // it could not be found out
	dependencyImpossible                          // it was never accepted, or is a service: no job can wait for it
)

// mostNeedReads is for how many jobs that are not known here a read each is worth it.
const maxDependencyReads = 8

// checkNeeds finds out what has become of all the jobs that a submission names. The
// verdict needImpossible rests on reads that began after the submission came.
func (n *Controller) checkDependencies(ids []string, done func(dependencyVerdict)) {
	worst, unknown := n.knownDependencies(ids)
	if worst == dependencyImpossible || len(unknown) == 0 {
		done(worst)
		return
	}
	if len(unknown) <= maxDependencyReads {
		n.readDependencies(unknown, worst, done)
		return
	}
	// What other controllers have accepted comes with the changes, with one read.
	n.replica.Sync(func(err error) {
		if err != nil {
			done(dependencyUndecided)
			return
		}
		verdict, unknown := n.knownDependencies(unknown)
		n.readDependencies(unknown, max(worst, verdict), done)
	})
}

// knownNeeds gives the verdict on the jobs that are known here, and lists the others.
func (n *Controller) knownDependencies(ids []string) (worst dependencyVerdict, unknown []string) {
	for _, id := range ids {
		if verdict, known := n.knownDependency(id); known {
			worst = max(worst, verdict)
		} else {
			unknown = append(unknown, id)
		}
	}
	return worst, unknown
}

// knownNeed gives the verdict on a job that is known here.
func (n *Controller) knownDependency(id string) (verdict dependencyVerdict, known bool) {
	if f, over := n.finalRecords[id]; over {
		return verdictOn(f), true
	}
	if _, j := n.view.Jobs.Find(id); j != nil && !j.Ended() {
		switch {
		case j.IsService():
			return dependencyImpossible, true
		case !j.Active():
			return dependencyCancelled, true
		}
		return dependencyAccepted, true
	}
	if kind, found := n.recentlyAccepted.kind(id); found {
		return verdictOnKind(kind), true
	}
	return dependencyUndecided, false
}

func verdictOn(f storage.FinalRecord) dependencyVerdict {
	if f.Stage == protocol.StageCancelled {
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

// readNeeds reads jobs that are not known here.
func (n *Controller) readDependencies(ids []string, worst dependencyVerdict, done func(dependencyVerdict)) {
	left := len(ids)
	if left == 0 {
		done(worst)
		return
	}
	for _, id := range ids {
		n.readDependency(id, func(verdict dependencyVerdict) {
			worst = max(worst, verdict)
			if left--; left == 0 {
				done(worst)
			}
		})
	}
}

// readNeed reads a job: first the record of an unfinished one, then the final one. A
// job moves from the one to the other in a single transaction, so one that is found
// under neither had not been accepted when the first read began.
func (n *Controller) readDependency(id string, done func(dependencyVerdict)) {
	n.Store.Get(storage.JobKey(id), func(it protocol.KeyValue, found bool, err error) {
		if err != nil {
			done(dependencyUndecided)
			return
		}
		if found {
			var rec storage.JobRecord
			if err := protocol.Decode(it.Value, &rec); err != nil {
				n.Log.Error("unreadable record", "key", it.Key, "err", err)
				done(dependencyUndecided)
				return
			}
			done(verdictOnKind(rec.Spec.Kind))
			return
		}
		n.readFinal(id, func(f storage.FinalRecord, found bool, err error) {
			switch {
			case err != nil:
				done(dependencyUndecided)
			case !found:
				done(dependencyImpossible)
			default:
				done(verdictOn(f))
			}
		})
	})
}

// acceptedMemory remembers the kinds of jobs that were accepted here a moment ago: the
// next job of a pipeline often comes before the changes bring the record of the one
// that it needs.
type recentSubmissions struct {
	recent, earlier map[string]string
	rotatedAt       time.Duration
}

// acceptedFor is for how long at least an accepted job is remembered: far longer than
// the changes take to bring its record.
const recentSubmissionPeriod = 10 * time.Second

func (m *recentSubmissions) add(id, kind string, now time.Duration) {
	if m.recent == nil || now-m.rotatedAt > recentSubmissionPeriod {
		m.recent, m.earlier, m.rotatedAt = map[string]string{}, m.recent, now
	}
	m.recent[id] = kind
}

func (m *recentSubmissions) kind(id string) (kind string, found bool) {
	if kind, found = m.recent[id]; !found {
		kind, found = m.earlier[id]
	}
	return kind, found
}
