package coordination

import (
	"errors"
	"slices"

	"rockrun/internal/coordination/api"
	"rockrun/internal/coordination/quota"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// undecided asks the user to come back, for a reason.
func undecided(id string, reason api.RetryReason, cause error) api.Answer {
	return api.FromError(&api.RetryLaterError{Reason: reason, Job: id, Cause: cause})
}

// unsatisfiable refuses a job that can never run.
func unsatisfiable(id string, reason api.UnsatisfiableReason) api.Answer {
	return api.FromError(&api.UnsatisfiableError{Job: id, Reason: reason})
}

// noSuchJob is the answer about a job that was never accepted.
func noSuchJob(id string) api.Answer { return api.FromError(&api.NotFoundError{Job: id}) }

// receipt is the answer about a job that is known.
func receipt(id, stage string) api.Answer {
	return api.OK(protocol.JobReceipt{ID: id, Stage: stage})
}

// receiptOf is the answer about a job that was looked up.
func receiptOf(v *protocol.JobStatus) api.Answer { return receipt(v.ID, v.Stage) }

// maxFinals is how many final states are remembered; others are read when asked
// for.
const maxRememberedFinals = 20_000

func (n *Controller) rememberFinal(id string, f storage.FinalRecord) {
	if len(n.finalRecords) >= maxRememberedFinals {
		for old := range n.finalRecords {
			delete(n.finalRecords, old)
			break
		}
	}
	n.finalRecords[id] = f
	n.setOutcome(id, f)
}

// Healthy reports whether users had better come here: the node can take requests,
// and it is not the one whose processor nearly all of the workers' reports and
// commands go through while others are well. Who comes all the same is served.
func (n *Controller) Healthy() bool {
	return n.replica.Ready() && !n.generation.Stopping() && n.now()-n.replica.FreshAt() < n.maxStaleness && !n.prefersUsersElsewhere()
}

// leavesUsersToPeers reports whether this node leaves users to others: it holds the home of
// the work that ends, beside other homes, and the leader has lately said that at
// least two others are well. Where the leader is gone or few are left, it doesn't.
func (n *Controller) prefersUsersElsewhere() bool {
	return n.view.JobShards > 1 && n.leases.Holds(storage.BatchShard) && n.reporter.KnownHealthyPeers() >= 2
}

// Submit takes a job. It is accepted once its record is durable; the record's
// key, which must not exist yet, makes a repeat harmless.
func (n *Controller) Submit(body []byte, reply func(api.Answer)) {
	spec, err := protocol.ParseSubmission(body)
	if err != nil {
		reply(api.FromError(err))
		return
	}
	if !n.replica.Ready() {
		reply(undecided(spec.ID, api.ErrStarting, nil))
		return
	}
	// A repeat of a known job is answered before anything else is checked: what
	// was accepted once must not be refused later.
	_, over := n.finalRecords[spec.ID]
	if _, j := n.view.Jobs.Find(spec.ID); over || j != nil && !j.Ended() {
		n.answerKnown(spec.ID, reply)
		return
	}
	if n.view.MachineTypesVersion == 0 {
		reply(undecided(spec.ID, api.ErrMachineTypesUnknown, nil))
		return
	}
	if why := n.unsatisfiableReason(spec); why != "" {
		reply(unsatisfiable(spec.ID, why))
		return
	}
	n.checkDependencies(spec.Dependencies, func(verdict dependencyVerdict) {
		switch verdict {
		case dependencyImpossible:
			reply(unsatisfiable(spec.ID, api.ErrImpossibleDependency))
		case dependencyUndecided:
			reply(undecided(spec.ID, api.ErrStoreUnavailable, nil))
		default:
			n.accept(spec, verdict == dependencyCancelled, reply)
		}
	})
}

// answerJob looks a job up and answers with what is said of it, or with absent where it
// was never accepted.
func (n *Controller) answerJob(id string, absent api.Answer, known func(*protocol.JobStatus) api.Answer, reply func(api.Answer)) {
	n.lookup(id, func(v *protocol.JobStatus, err error) {
		switch {
		case err != nil:
			reply(undecided(id, api.ErrStoreUnavailable, err))
		case v == nil:
			reply(absent)
		default:
			reply(known(v))
		}
	})
}

// answerKnown answers a repeated submission with what has become of the job.
func (n *Controller) answerKnown(id string, reply func(api.Answer)) {
	n.answerJob(id, undecided(id, api.ErrUndecided, nil), receiptOf, reply)
}

// accept makes a job durable. One that needs a cancelled job is accepted as
// cancelled: its final record is all there ever is of it.
func (n *Controller) accept(spec *protocol.JobSpec, cancelled bool, reply func(api.Answer)) {
	now := n.Clock.Wall().UnixMilli()
	put := protocol.Operation{Put: storage.JobKey(spec.ID), Value: storage.Encode(storage.JobRecord{Spec: *spec, SubmittedAtMS: now})}
	final := storage.FinalRecord{Stage: protocol.StageCancelled, EndedAtMS: now}
	stage := protocol.StageQueued
	if cancelled {
		put = protocol.Operation{Put: storage.FinalKey(spec.ID), Value: storage.Encode(final)}
		stage = protocol.StageCancelled
	}
	if len(put.Value) > n.committer.ValueCapacity() {
		n.refuseTooLong(spec.ID, reply)
		return
	}
	n.committer.Budget.TakeAnyway(n.now(), 1)
	n.committer.Commit(protocol.Transaction{
		Conditions: []protocol.Condition{{Key: storage.JobKey(spec.ID)}, {Key: storage.FinalKey(spec.ID)}},
		Operations: []protocol.Operation{put},
	}, func(_ uint64, err error) {
		switch {
		case err == nil:
			n.recentlyAccepted.add(spec.ID, spec.Kind, n.now())
			if cancelled {
				n.rememberFinal(spec.ID, final)
			}
			reply(api.Created(protocol.JobReceipt{ID: spec.ID, Stage: stage}))
		case errors.Is(err, protocol.ErrConflict):
			n.answerKnown(spec.ID, reply)
		case errors.Is(err, protocol.ErrRejected):
			n.refuseTooLong(spec.ID, reply)
		default:
			reply(undecided(spec.ID, api.ErrStoreUnavailable, err))
		}
	})
}

// refuseTooLong refuses a job whose record does not fit a value, unless it was accepted
// when longer values fitted.
func (n *Controller) refuseTooLong(id string, reply func(api.Answer)) {
	n.answerJob(id, api.FromError(&api.TooLongError{Job: id}), receiptOf, reply)
}

// impossible tells why a job can never run, or "".
func (n *Controller) unsatisfiableReason(s *protocol.JobSpec) api.UnsatisfiableReason {
	if slices.Contains(s.Dependencies, s.ID) {
		return api.ErrDependsOnItself
	}
	team := n.view.TeamNames.Lookup(s.Team)
	if team < 0 {
		return api.ErrUnknownTeam
	}
	fits := false
	for i := range n.view.MachineTypes {
		t := &n.view.MachineTypes[i]
		if t.CPUs <= 0 || s.CPUs > t.CPUs || s.GPUs > t.GPUs || s.MemoryGB > t.MemoryGB {
			continue
		}
		if len(s.Types) > 0 && !slices.Contains(s.Types, t.Name) || s.Zone != "" && !slices.Contains(t.Zones, s.Zone) {
			continue
		}
		fits = true
	}
	if !fits {
		return api.ErrNoFittingMachineType
	}
	t := &n.view.Teams[team]
	count := 1.0
	if s.Kind != protocol.KindArray {
		count = float64(s.Tasks)
	}
	if quota.Exceeds(s.CPUs*count, t.MaxCPUs) || quota.Exceeds(s.GPUs*count, t.MaxGPUs) {
		return api.ErrMoreThanTeamsMaximums
	}
	return ""
}

// lookup finds out what has become of a job, as of now or later; nil without an
// error means that it was never accepted. The cache is brought up to date first.
// A job moves from the cache to its final record in one transaction, so one that
// the cache does not have is either over, and its final record can be read, or
// was not accepted when the question came.
func (n *Controller) lookup(id string, done func(*protocol.JobStatus, error)) {
	if f, ok := n.finalRecords[id]; ok {
		done(viewOfFinal(id, f), nil)
		return
	}
	n.replica.Sync(func(err error) {
		if err != nil {
			done(nil, err)
			return
		}
		if _, j := n.view.Jobs.Find(id); j != nil && !j.Ended() {
			n.viewUnfinished(j, done)
			return
		}
		n.readFinal(id, func(f storage.FinalRecord, found bool, err error) {
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
func (n *Controller) viewUnfinished(j *storage.Job, done func(*protocol.JobStatus, error)) {
	n.outcomes.readAll(n.view.UnreadOutcomesUpstream(j), func(err error) {
		if err != nil {
			done(nil, err)
			return
		}
		if j.Ended() { // since
			n.lookup(j.ID, done)
			return
		}
		done(n.describe(j), nil)
	})
}

func viewOfFinal(id string, f storage.FinalRecord) *protocol.JobStatus {
	return &protocol.JobStatus{ID: id, Stage: f.Stage, Done: f.CompletedTasks}
}

// view describes a job known to be unfinished; the counts are for display.
func (n *Controller) describe(j *storage.Job) *protocol.JobStatus {
	v := &protocol.JobStatus{ID: j.ID, Stage: protocol.StageQueued, Done: j.CompletedCount, Running: j.RunningTasks()}
	switch {
	case j.CancellationConfirmed || j.CancelledBy() != nil:
		v.Stage, v.Running = protocol.StageCancelled, 0
	case v.Running > 0:
		v.Stage = protocol.StageRunning
	}
	return v
}

// Status answers a user's question about a job.
func (n *Controller) Status(id string, reply func(api.Answer)) {
	if !protocol.ValidJobID(id) {
		reply(noSuchJob(id))
		return
	}
	if !n.replica.Ready() {
		reply(undecided(id, api.ErrStarting, nil))
		return
	}
	n.answerJob(id, noSuchJob(id), func(v *protocol.JobStatus) api.Answer {
		return api.OK(v)
	}, reply)
}

// Cancel cancels a job. Removing the record of the unfinished job under its
// version and writing the final one is a single transaction, as it is for a
// job that completes, so only one of the two can ever happen.
func (n *Controller) Cancel(id string, reply func(api.Answer)) {
	if !protocol.ValidJobID(id) {
		reply(noSuchJob(id))
		return
	}
	if !n.replica.Ready() {
		reply(undecided(id, api.ErrStarting, nil))
		return
	}
	n.cancel(id, cancelAttempts, reply)
}

// cancelTries is how often a cancellation is tried where the job changes meanwhile.
const cancelAttempts = 3

func (n *Controller) cancel(id string, tries int, reply func(api.Answer)) {
	if f, ok := n.finalRecords[id]; ok {
		reply(receipt(id, f.Stage))
		return
	}
	n.Store.Get(storage.JobKey(id), func(it protocol.KeyValue, found bool, err error) {
		switch {
		case err != nil:
			reply(undecided(id, api.ErrStoreUnavailable, err))
		case found:
			n.cancelUnfinished(id, it.Version, tries, reply)
		default:
			n.answerCancelOfEnded(id, reply)
		}
	})
}

// cancelUnfinished ends a job under the version of its record.
func (n *Controller) cancelUnfinished(id string, version uint64, tries int, reply func(api.Answer)) {
	f := storage.FinalRecord{Stage: protocol.StageCancelled, EndedAtMS: n.Clock.Wall().UnixMilli()}
	n.committer.Budget.TakeAnyway(n.now(), 2)
	n.committer.Commit(protocol.Transaction{
		Conditions: []protocol.Condition{{Key: storage.JobKey(id), Version: version}},
		Operations: storage.EndJobOperations(id, f),
	}, func(_ uint64, err error) {
		switch {
		case err == nil:
			n.rememberFinal(id, f)
			n.cancellationConfirmed(id)
			reply(receipt(id, f.Stage))
		case errors.Is(err, protocol.ErrConflict) && tries > 1:
			n.cancel(id, tries-1, reply)
		default:
			reply(undecided(id, api.ErrStoreUnavailable, err))
		}
	})
}

// answerCancelOfEnded answers a cancellation of a job that has no unfinished record.
func (n *Controller) answerCancelOfEnded(id string, reply func(api.Answer)) {
	n.answerJob(id, noSuchJob(id), func(v *protocol.JobStatus) api.Answer {
		switch v.Stage {
		case protocol.StageDone:
		case protocol.StageCancelled:
			// The transaction may have been another controller's that never heard how
			// it ended.
			n.cancellationConfirmed(id)
		default:
			return undecided(id, api.ErrUndecided, nil)
		}
		return receipt(id, v.Stage)
	}, reply)
}
