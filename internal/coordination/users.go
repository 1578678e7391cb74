package coordination

import (
	"errors"
	"net/http"
	"slices"
	"time"

	"rockrun/internal/bookkeeping"
	"rockrun/internal/protocol"
)

// Answer is what a request over HTTP gets.
type Answer struct {
	Status     int
	Body       any           // nil: none
	RetryAfter time.Duration // 0: not said
}

func problem(status int, what string) Answer {
	return Answer{Status: status, Body: protocol.Problem{Error: what}}
}

// retryLater asks the user to come back; nothing was decided.
func retryLater(what string) Answer {
	return Answer{Status: http.StatusServiceUnavailable, Body: protocol.Problem{Error: what}, RetryAfter: time.Second}
}

// stateAway is the answer while the state service can't be asked.
func stateAway() Answer { return retryLater("state service does not answer") }

// noSuchJob is the answer about a job that was never accepted.
func noSuchJob() Answer { return problem(http.StatusNotFound, "no such job") }

// receipt is the answer about a job that is known.
func receipt(id, stage string) Answer {
	return Answer{Status: http.StatusOK, Body: protocol.Receipt{ID: id, Stage: stage}}
}

// receiptOf is the answer about a job that was looked up.
func receiptOf(v *protocol.View) Answer { return receipt(v.ID, v.Stage) }

// maxFinals is how many final states are remembered; others are read when asked
// for.
const maxFinals = 20_000

func (n *Node) remember(id string, f bookkeeping.FinalRecord) {
	if len(n.finals) >= maxFinals {
		for old := range n.finals {
			delete(n.finals, old)
			break
		}
	}
	n.finals[id] = f
	n.setOutcome(id, f)
}

// Healthy reports whether users had better come here: the node can take requests,
// and it is not the one whose processor nearly all of the workers' reports and
// commands go through while others are well. Who comes all the same is served.
func (n *Node) Healthy() bool {
	return n.ready && !n.stopped && n.now()-n.freshAt < n.authority && !n.leavesUsersToPeers()
}

// leavesUsersToPeers reports whether this node leaves users to others: it holds the home of
// the work that ends, beside other homes, and the leader has lately said that at
// least two others are well. Where the leader is gone or few are left, it doesn't.
func (n *Node) leavesUsersToPeers() bool {
	return n.cache.Homes > 1 && n.holds(0) && n.healthyPeers >= 2 && n.now()-n.leaderAnsweredAt < aliveFor
}

// Submit takes a job. It is accepted once its record is durable; the record's
// key, which must not exist yet, makes a repeat harmless.
func (n *Node) Submit(body []byte, reply func(Answer)) {
	spec, err := protocol.ParseSubmission(body)
	if err != nil {
		reply(problem(http.StatusBadRequest, err.Error()))
		return
	}
	if !n.ready {
		reply(retryLater("starting"))
		return
	}
	// A repeat of a known job is answered before anything else is checked: what
	// was accepted once must not be refused later.
	_, over := n.finals[spec.ID]
	if _, j := n.cache.Jobs.Find(spec.ID); over || j != nil && !j.Over() {
		n.answerKnown(spec.ID, reply)
		return
	}
	if n.cache.TypesVer == 0 {
		reply(retryLater("machine types not known yet"))
		return
	}
	if why := n.impossible(spec); why != "" {
		reply(problem(http.StatusUnprocessableEntity, why))
		return
	}
	n.checkNeeds(spec.Needs, func(verdict needVerdict) {
		switch verdict {
		case needImpossible:
			reply(problem(http.StatusUnprocessableEntity, "waitsOn: names a job that was never accepted, or a service"))
		case needUndecided:
			reply(stateAway())
		default:
			n.accept(spec, verdict == needCancelled, reply)
		}
	})
}

// answerJob looks a job up and answers with what is said of it, or with absent where it
// was never accepted.
func (n *Node) answerJob(id string, absent Answer, known func(*protocol.View) Answer, reply func(Answer)) {
	n.lookup(id, func(v *protocol.View, err error) {
		switch {
		case err != nil:
			reply(stateAway())
		case v == nil:
			reply(absent)
		default:
			reply(known(v))
		}
	})
}

// answerKnown answers a repeated submission with what has become of the job.
func (n *Node) answerKnown(id string, reply func(Answer)) {
	n.answerJob(id, retryLater("undecided"), receiptOf, reply)
}

// accept makes a job durable. One that needs a cancelled job is accepted as
// cancelled: its final record is all there ever is of it.
func (n *Node) accept(spec *protocol.Spec, cancelled bool, reply func(Answer)) {
	now := n.Clock.Wall().UnixMilli()
	put := protocol.Op{Put: bookkeeping.JobKey(spec.ID), Value: bookkeeping.Encode(bookkeeping.JobRecord{Spec: *spec, AtMS: now})}
	final := bookkeeping.FinalRecord{Stage: protocol.StageWithdrawn, AtMS: now}
	stage := protocol.StageQueued
	if cancelled {
		put = protocol.Op{Put: bookkeeping.FinalKey(spec.ID), Value: bookkeeping.Encode(final)}
		stage = protocol.StageWithdrawn
	}
	if len(put.Value) > n.capacity() {
		n.refuseTooLong(spec.ID, reply)
		return
	}
	n.budget.force(n.now(), 1)
	n.txn(protocol.Txn{
		If:   []protocol.Cond{{Key: bookkeeping.JobKey(spec.ID)}, {Key: bookkeeping.FinalKey(spec.ID)}},
		Then: []protocol.Op{put},
	}, func(_ uint64, err error) {
		switch {
		case err == nil:
			n.accepted.add(spec.ID, spec.Kind, n.now())
			if cancelled {
				n.remember(spec.ID, final)
			}
			reply(Answer{Status: http.StatusCreated, Body: protocol.Receipt{ID: spec.ID, Stage: stage}})
		case errors.Is(err, protocol.ErrConflict):
			n.answerKnown(spec.ID, reply)
		case errors.Is(err, protocol.ErrRejected):
			n.refuseTooLong(spec.ID, reply)
		default:
			reply(stateAway())
		}
	})
}

// refuseTooLong refuses a job whose record does not fit a value, unless it was accepted
// when longer values fitted.
func (n *Node) refuseTooLong(id string, reply func(Answer)) {
	n.answerJob(id, problem(http.StatusBadRequest, "malformed: description too long to be kept"), receiptOf, reply)
}

// impossible tells why a job can never run, or "".
func (n *Node) impossible(s *protocol.Spec) string {
	if slices.Contains(s.Needs, s.ID) {
		return "waitsOn: names the job itself"
	}
	team := n.cache.TeamNames.Lookup(s.Team)
	if team < 0 {
		return "unknown team"
	}
	fits := false
	for i := range n.cache.Types {
		t := &n.cache.Types[i]
		if t.CPUs <= 0 || s.CPUs > t.CPUs || s.GPUs > t.GPUs || s.MemoryGB > t.MemoryGB {
			continue
		}
		if len(s.Types) > 0 && !slices.Contains(s.Types, t.Name) || s.Zone != "" && !slices.Contains(t.Zones, s.Zone) {
			continue
		}
		fits = true
	}
	if !fits {
		return "a task fits no allowed machine type"
	}
	t := &n.cache.Teams[team]
	count := 1.0
	if s.Kind != protocol.KindArray {
		count = float64(s.Tasks)
	}
	if over(s.CPUs*count, t.CPUsMax) || over(s.GPUs*count, t.GPUsMax) {
		return "needs more than the team's limit"
	}
	return ""
}

// over reports whether an amount exceeds a limit; 0 is no limit.
func over(amount, limit float64) bool { return limit > 0 && amount > limit+1e-6 }

// lookup finds out what has become of a job, as of now or later; nil without an
// error means that it was never accepted. The cache is brought up to date first.
// A job moves from the cache to its final record in one transaction, so one that
// the cache does not have is either over, and its final record can be read, or
// was not accepted when the question came.
func (n *Node) lookup(id string, done func(*protocol.View, error)) {
	if f, ok := n.finals[id]; ok {
		done(viewOfFinal(id, f), nil)
		return
	}
	n.sync(func(err error) {
		if err != nil {
			done(nil, err)
			return
		}
		if _, j := n.cache.Jobs.Find(id); j != nil && !j.Over() {
			n.viewUnfinished(j, done)
			return
		}
		n.readFinal(id, func(f bookkeeping.FinalRecord, found bool, err error) {
			if err != nil || !found {
				done(nil, err)
				return
			}
			done(viewOfFinal(id, f), nil)
		})
	})
}

// viewUnfinished describes a job that the cache, brought up to date a moment ago, knows
// to be unfinished. Whether it is cancelled with a job that it needs follows from the
// final records of those that are over: they are read before anything is said.
func (n *Node) viewUnfinished(j *bookkeeping.Job, done func(*protocol.View, error)) {
	n.outcomes.readAll(n.cache.UnreadBefore(j), func(err error) {
		if err != nil {
			done(nil, err)
			return
		}
		if j.Over() { // since
			n.lookup(j.ID, done)
			return
		}
		done(n.view(j), nil)
	})
}

func viewOfFinal(id string, f bookkeeping.FinalRecord) *protocol.View {
	return &protocol.View{ID: id, Stage: f.Stage, Done: f.Done}
}

// view describes a job known to be unfinished; the counts are for display.
func (n *Node) view(j *bookkeeping.Job) *protocol.View {
	v := &protocol.View{ID: j.ID, Stage: protocol.StageQueued, Done: j.DoneN, Running: j.Running()}
	switch {
	case j.Cancelled || j.CancelledWith() != nil:
		v.Stage, v.Running = protocol.StageWithdrawn, 0
	case v.Running > 0:
		v.Stage = protocol.StageRunning
	}
	return v
}

// Status answers a user's question about a job.
func (n *Node) Status(id string, reply func(Answer)) {
	if !protocol.ValidJobID(id) {
		reply(noSuchJob())
		return
	}
	if !n.ready {
		reply(retryLater("starting"))
		return
	}
	n.answerJob(id, noSuchJob(), func(v *protocol.View) Answer {
		return Answer{Status: http.StatusOK, Body: v}
	}, reply)
}

// Cancel cancels a job. Removing the record of the unfinished job under its
// version and writing the final one is a single transaction, as it is for a
// job that completes, so only one of the two can ever happen.
func (n *Node) Cancel(id string, reply func(Answer)) {
	if !protocol.ValidJobID(id) {
		reply(noSuchJob())
		return
	}
	if !n.ready {
		reply(retryLater("starting"))
		return
	}
	n.cancel(id, cancelTries, reply)
}

// cancelTries is how often a cancellation is tried where the job changes meanwhile.
const cancelTries = 3

func (n *Node) cancel(id string, tries int, reply func(Answer)) {
	if f, ok := n.finals[id]; ok {
		reply(receipt(id, f.Stage))
		return
	}
	n.State.Get(bookkeeping.JobKey(id), func(it protocol.Item, found bool, err error) {
		switch {
		case err != nil:
			reply(stateAway())
		case found:
			n.cancelUnfinished(id, it.Version, tries, reply)
		default:
			n.answerCancelOfEnded(id, reply)
		}
	})
}

// cancelUnfinished ends a job under the version of its record.
func (n *Node) cancelUnfinished(id string, version uint64, tries int, reply func(Answer)) {
	f := bookkeeping.FinalRecord{Stage: protocol.StageWithdrawn, AtMS: n.Clock.Wall().UnixMilli()}
	n.budget.force(n.now(), 2)
	n.txn(protocol.Txn{
		If:   []protocol.Cond{{Key: bookkeeping.JobKey(id), Version: version}},
		Then: endOps(id, f),
	}, func(_ uint64, err error) {
		switch {
		case err == nil:
			n.remember(id, f)
			n.cancellationConfirmed(id)
			reply(receipt(id, f.Stage))
		case errors.Is(err, protocol.ErrConflict) && tries > 1:
			n.cancel(id, tries-1, reply)
		default:
			reply(stateAway())
		}
	})
}

// answerCancelOfEnded answers a cancellation of a job that has no unfinished record.
func (n *Node) answerCancelOfEnded(id string, reply func(Answer)) {
	n.answerJob(id, noSuchJob(), func(v *protocol.View) Answer {
		switch v.Stage {
		case protocol.StageDone:
		case protocol.StageWithdrawn:
			// The transaction may have been another controller's that never heard how
			// it ended.
			n.cancellationConfirmed(id)
		default:
			return retryLater("undecided")
		}
		return receipt(id, v.Stage)
	}, reply)
}
