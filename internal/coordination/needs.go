package coordination

import (
	"time"

	"rockrun/internal/bookkeeping"
	"rockrun/internal/protocol"
)

// needVerdict is what is known of the jobs that a submission names as those that must
// be done before. Of several jobs the highest counts.
type needVerdict int

const (
	needAccepted   needVerdict = iota // it was accepted
	needCancelled                     // it was accepted, and is cancelled
	needUndecided                     // it could not be found out
	needImpossible                    // it was never accepted, or is a service: no job can wait for it
)

// mostNeedReads is for how many jobs that are not known here a read each is worth it.
const mostNeedReads = 8

// checkNeeds finds out what has become of all the jobs that a submission names. The
// verdict needImpossible rests on reads that began after the submission came.
func (n *Node) checkNeeds(ids []string, done func(needVerdict)) {
	worst, unknown := n.knownNeeds(ids)
	if worst == needImpossible || len(unknown) == 0 {
		done(worst)
		return
	}
	if len(unknown) <= mostNeedReads {
		n.readNeeds(unknown, worst, done)
		return
	}
	// What other controllers have accepted comes with the changes, with one read.
	n.sync(func(err error) {
		if err != nil {
			done(needUndecided)
			return
		}
		verdict, unknown := n.knownNeeds(unknown)
		n.readNeeds(unknown, max(worst, verdict), done)
	})
}

// knownNeeds gives the verdict on the jobs that are known here, and lists the others.
func (n *Node) knownNeeds(ids []string) (worst needVerdict, unknown []string) {
	for _, id := range ids {
		if verdict, known := n.knownNeed(id); known {
			worst = max(worst, verdict)
		} else {
			unknown = append(unknown, id)
		}
	}
	return worst, unknown
}

// knownNeed gives the verdict on a job that is known here.
func (n *Node) knownNeed(id string) (verdict needVerdict, known bool) {
	if f, over := n.finals[id]; over {
		return verdictOn(f), true
	}
	if _, j := n.cache.Jobs.Find(id); j != nil && !j.Over() {
		switch {
		case j.Standing():
			return needImpossible, true
		case !j.Wanted():
			return needCancelled, true
		}
		return needAccepted, true
	}
	if kind, found := n.accepted.kind(id); found {
		return verdictOnKind(kind), true
	}
	return needUndecided, false
}

func verdictOn(f bookkeeping.FinalRecord) needVerdict {
	if f.Stage == protocol.StageWithdrawn {
		return needCancelled
	}
	return needAccepted
}

func verdictOnKind(kind string) needVerdict {
	if kind == protocol.KindService {
		return needImpossible
	}
	return needAccepted
}

// readNeeds reads jobs that are not known here.
func (n *Node) readNeeds(ids []string, worst needVerdict, done func(needVerdict)) {
	left := len(ids)
	if left == 0 {
		done(worst)
		return
	}
	for _, id := range ids {
		n.readNeed(id, func(verdict needVerdict) {
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
func (n *Node) readNeed(id string, done func(needVerdict)) {
	n.State.Get(bookkeeping.JobKey(id), func(it protocol.Item, found bool, err error) {
		if err != nil {
			done(needUndecided)
			return
		}
		if found {
			var rec bookkeeping.JobRecord
			if err := protocol.Decode(it.Value, &rec); err != nil {
				n.Log.Error("unreadable record", "key", it.Key, "err", err)
				done(needUndecided)
				return
			}
			done(verdictOnKind(rec.Spec.Kind))
			return
		}
		n.readFinal(id, func(f bookkeeping.FinalRecord, found bool, err error) {
			switch {
			case err != nil:
				done(needUndecided)
			case !found:
				done(needImpossible)
			default:
				done(verdictOn(f))
			}
		})
	})
}

// acceptedMemory remembers the kinds of jobs that were accepted here a moment ago: the
// next job of a pipeline often comes before the changes bring the record of the one
// that it needs.
type acceptedMemory struct {
	recent, earlier map[string]string
	turnedAt        time.Duration
}

// acceptedFor is for how long at least an accepted job is remembered: far longer than
// the changes take to bring its record.
const acceptedFor = 10 * time.Second

func (m *acceptedMemory) add(id, kind string, now time.Duration) {
	if m.recent == nil || now-m.turnedAt > acceptedFor {
		m.recent, m.earlier, m.turnedAt = map[string]string{}, m.recent, now
	}
	m.recent[id] = kind
}

func (m *acceptedMemory) kind(id string) (kind string, found bool) {
	if kind, found = m.recent[id]; !found {
		kind, found = m.earlier[id]
	}
	return kind, found
}
