package storage

import (
	"cmp"
	"maps"
	"slices"
)

// A job may need others: none of its tasks starts before all of them are done, and it
// is cancelled with any of them, directly or through others. Both follow from the
// jobs' durable records alone: from the needs in the record of the one and the final
// records of the others. Nothing else is stored of it, so there is nothing that could
// disagree. Since no task of a job has started before its needs were done, and what
// is done can't be cancelled any more, a job that is cancelled with another has no
// task that would have to be stopped.
//
// Rows of needed jobs stay in the table after their end for as long as an unfinished
// job needs them.

// Outcome is what has become of a job.
type Outcome int

// Outcomes of jobs.
const (
	OutcomeOpen      Outcome = iota // it is unfinished, or its final record has not been read
	OutcomeDone                     // all its tasks are done
	OutcomeCancelled                // it was cancelled, by its user or with a job that it needs
)

// dependencies are a job's relations to the jobs that it needs and to those that
// need it.
type jobRelations struct {
	dependencies        []*Job // without repeats; empty once the job is over
	dependents          []*Job // unfinished jobs that need this one
	pendingDependencies int    // of the needs, those that are not known to be done
	outcome             Outcome
	endedAtMS           int64 // time of day when the job ended; 0: not known
	// cancelledBy is the cancelled job that this one needs, directly or through
	// others.
	cancelledBy *Job

	urgency inheritedPriority
}

// urgency is what a job takes over from the jobs that need it.
type inheritedPriority struct {
	revision uint64 // state of the jobs that it follows from, see Cache.jobsState
	rank     int
}

// Waits reports whether the job waits for others: as far as is known, not all that it
// needs is done.
func (j *Job) AwaitsDependencies() bool { return j.pendingDependencies > 0 }

// Needed reports whether an unfinished job needs this one.
func (j *Job) HasDependents() bool { return len(j.dependents) > 0 }

// CancelledWith returns the cancelled job with which this one is cancelled, or nil.
func (j *Job) CancelledBy() *Job { return j.cancelledBy }

// Runnable reports whether the job's tasks may start now. Only such a job counts for
// guarantee, limit, order and demand.
func (j *Job) Runnable() bool { return j.Active() && !j.AwaitsDependencies() }

// ReadyMS is the time of day from which the job could start: when the last job that it
// needs was done, or its submission. Final records written by versions before 0.2 say
// no time; those jobs ended before the submission of any that needs others.
func (j *Job) ReadyAtMS() int64 {
	ready := j.SubmittedAtMS
	for _, need := range j.dependencies {
		ready = max(ready, need.endedAtMS)
	}
	return ready
}

// cancelled reports whether the job is known to be cancelled, whether its own final
// record is written by now or follows from that of another.
func (j *Job) cancelled() bool {
	return j.CancellationConfirmed || j.outcome == OutcomeCancelled || j.cancelledBy != nil
}

// unread reports whether the job is over and it is not known how it ended.
func (j *Job) outcomeUnread() bool { return j.Ended() && j.outcome == OutcomeOpen && j.HasDependents() }

// link takes in what a job needs.
func (b *View) link(j *Job, ids []string) {
	b.unlink(j)
	for _, id := range ids {
		need := b.job(id)
		if need == j || slices.Contains(j.dependencies, need) {
			continue
		}
		need.dependents = append(need.dependents, j)
		j.dependencies = append(j.dependencies, need)
		if need.outcome != OutcomeDone {
			j.pendingDependencies++
		}
		b.noteUnread(need)
		if need.cancelled() {
			b.cancelDependents(need)
		}
	}
	b.noteUnread(j) // it was taken for one that is over until its own record was read
	if j.cancelled() {
		b.cancelDependents(j) // those whose records were read before this one
	}
}

// unlink takes back what a job needs.
func (b *View) unlink(j *Job) {
	needs := j.dependencies
	j.dependencies, j.pendingDependencies, j.cancelledBy = nil, 0, nil
	delete(b.cancelledDependents, j)
	for _, need := range needs {
		need.dependents = slices.DeleteFunc(need.dependents, func(d *Job) bool { return d == j })
		b.noteUnread(need)
		b.ForgetJob(need)
	}
}

// leave takes in that a job is over. One that was known to be cancelled can't have
// ended in any other way.
func (b *View) endJob(j *Job) {
	if j.cancelled() {
		j.outcome = OutcomeCancelled
	}
	b.unlink(j)
	b.noteUnread(j)
}

// noteUnread keeps the set of jobs whose final records are wanted.
func (b *View) noteUnread(j *Job) {
	if j.outcomeUnread() {
		b.unreadOutcomes[j] = true
	} else {
		delete(b.unreadOutcomes, j)
	}
}

// SetOutcome takes in the final record of a job. It returns the jobs that can start
// now and those that are cancelled by it.
func (b *View) SetOutcome(id string, f FinalRecord) (released, cancelled []*Job) {
	_, j := b.Jobs.Find(id)
	if j == nil || j.outcome != OutcomeOpen {
		return nil, nil
	}
	j.outcome, j.endedAtMS = f.outcome(), f.EndedAtMS
	b.noteUnread(j)
	if j.outcome == OutcomeCancelled {
		return nil, b.cancelDependents(j)
	}
	for _, d := range j.dependents {
		if d.pendingDependencies--; d.pendingDependencies == 0 {
			released = append(released, d)
			b.JobsAdded++ // its place in the order follows from this moment
		}
	}
	return released, nil
}

// cancelDependants marks all that need a cancelled job, directly or through others,
// and returns those that were not marked before.
func (b *View) cancelDependents(root *Job) (marked []*Job) {
	origin := root
	if root.cancelledBy != nil {
		origin = root.cancelledBy
	}
	for next := []*Job{root}; len(next) > 0; {
		last := next[len(next)-1]
		next = next[:len(next)-1]
		for _, d := range last.dependents {
			if d.cancelledBy != nil {
				continue
			}
			d.cancelledBy = origin
			b.cancelledDependents[d] = true
			marked = append(marked, d)
			next = append(next, d)
		}
	}
	if len(marked) > 0 {
		b.JobsEnded++ // whoever keeps a list of what may run looks again
	}
	return marked
}

// DependentCancelled lists the unfinished jobs that are cancelled with one that they
// need: their own final records are still to be written.
func (b *View) CancelledDependents() []*Job { return sortedJobs(b.cancelledDependents) }

// Unread lists the jobs that are over and whose final records are wanted.
func (b *View) UnreadOutcomes() []*Job { return sortedJobs(b.unreadOutcomes) }

// UnreadBefore lists those of them on which it depends whether a job is cancelled.
func (b *View) UnreadOutcomesUpstream(j *Job) (list []*Job) {
	if len(b.unreadOutcomes) == 0 {
		return nil
	}
	seen := map[*Job]bool{j: true}
	for next := []*Job{j}; len(next) > 0; {
		last := next[len(next)-1]
		next = next[:len(next)-1]
		if b.unreadOutcomes[last] {
			list = append(list, last)
		}
		for _, need := range last.dependencies {
			if !seen[need] {
				seen[need] = true
				next = append(next, need)
			}
		}
	}
	return list
}

// jobsState changes with every job that comes, ends or is cancelled.
func (b *View) jobsRevision() uint64 { return b.JobsAdded + b.JobsEnded + 1 }

// EffectiveRank is the highest priority, as a number of which 0 is the highest, of a
// job and of those that need it, directly or through others.
func (b *View) EffectiveRank(j *Job) int { return b.urgencyOf(j).rank }

// urgencyOf works out what a job takes over. Users set the priority on the last job of a
// pipeline only, and it may come long after the first.
func (b *View) urgencyOf(j *Job) inheritedPriority {
	if j.urgency.revision == b.jobsRevision() {
		return j.urgency
	}
	u := inheritedPriority{revision: b.jobsRevision(), rank: j.Rank()}
	for _, d := range j.dependents {
		if d.Active() {
			u.rank = min(u.rank, b.urgencyOf(d).rank)
		}
	}
	j.urgency = u
	return u
}

// sortedJobs lists a set of jobs in the order of their names: what a controller does
// must follow from what it knows alone.
func sortedJobs(set map[*Job]bool) []*Job {
	return slices.SortedFunc(maps.Keys(set), func(a, b *Job) int { return cmp.Compare(a.ID, b.ID) })
}
