package bookkeeping

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
type dependencies struct {
	needs      []*Job // without repeats; empty once the job is over
	dependants []*Job // unfinished jobs that need this one
	open       int    // of the needs, those that are not known to be done
	outcome    Outcome
	endedMS    int64 // time of day when the job ended; 0: not known
	// cancelledBy is the cancelled job that this one needs, directly or through
	// others.
	cancelledBy *Job

	urgency urgency
}

// urgency is what a job takes over from the jobs that need it.
type urgency struct {
	seen uint64 // state of the jobs that it follows from, see Cache.jobsState
	rank int
}

// Waits reports whether the job waits for others: as far as is known, not all that it
// needs is done.
func (j *Job) Waits() bool { return j.open > 0 }

// Needed reports whether an unfinished job needs this one.
func (j *Job) Needed() bool { return len(j.dependants) > 0 }

// CancelledWith returns the cancelled job with which this one is cancelled, or nil.
func (j *Job) CancelledWith() *Job { return j.cancelledBy }

// Runnable reports whether the job's tasks may start now. Only such a job counts for
// guarantee, limit, order and demand.
func (j *Job) Runnable() bool { return j.Wanted() && !j.Waits() }

// ReadyMS is the time of day from which the job could start: when the last job that it
// needs was done, or its submission. Final records written by versions before 0.2 say
// no time; those jobs ended before the submission of any that needs others.
func (j *Job) ReadyMS() int64 {
	ready := j.AtMS
	for _, need := range j.needs {
		ready = max(ready, need.endedMS)
	}
	return ready
}

// cancelled reports whether the job is known to be cancelled, whether its own final
// record is written by now or follows from that of another.
func (j *Job) cancelled() bool {
	return j.Cancelled || j.outcome == OutcomeCancelled || j.cancelledBy != nil
}

// unread reports whether the job is over and it is not known how it ended.
func (j *Job) unread() bool { return j.Over() && j.outcome == OutcomeOpen && j.Needed() }

// link takes in what a job needs.
func (b *Cache) link(j *Job, ids []string) {
	b.unlink(j)
	for _, id := range ids {
		need := b.job(id)
		if need == j || slices.Contains(j.needs, need) {
			continue
		}
		need.dependants = append(need.dependants, j)
		j.needs = append(j.needs, need)
		if need.outcome != OutcomeDone {
			j.open++
		}
		b.noteUnread(need)
		if need.cancelled() {
			b.cancelDependants(need)
		}
	}
	b.noteUnread(j) // it was taken for one that is over until its own record was read
	if j.cancelled() {
		b.cancelDependants(j) // those whose records were read before this one
	}
}

// unlink takes back what a job needs.
func (b *Cache) unlink(j *Job) {
	needs := j.needs
	j.needs, j.open, j.cancelledBy = nil, 0, nil
	delete(b.dependentCancelled, j)
	for _, need := range needs {
		need.dependants = slices.DeleteFunc(need.dependants, func(d *Job) bool { return d == j })
		b.noteUnread(need)
		b.DropJob(need)
	}
}

// leave takes in that a job is over. One that was known to be cancelled can't have
// ended in any other way.
func (b *Cache) leave(j *Job) {
	if j.cancelled() {
		j.outcome = OutcomeCancelled
	}
	b.unlink(j)
	b.noteUnread(j)
}

// noteUnread keeps the set of jobs whose final records are wanted.
func (b *Cache) noteUnread(j *Job) {
	if j.unread() {
		b.unread[j] = true
	} else {
		delete(b.unread, j)
	}
}

// SetOutcome takes in the final record of a job. It returns the jobs that can start
// now and those that are cancelled by it.
func (b *Cache) SetOutcome(id string, f FinalRecord) (released, cancelled []*Job) {
	_, j := b.Jobs.Find(id)
	if j == nil || j.outcome != OutcomeOpen {
		return nil, nil
	}
	j.outcome, j.endedMS = f.outcome(), f.AtMS
	b.noteUnread(j)
	if j.outcome == OutcomeCancelled {
		return nil, b.cancelDependants(j)
	}
	for _, d := range j.dependants {
		if d.open--; d.open == 0 {
			released = append(released, d)
			b.JobsSeen++ // its place in the order follows from this moment
		}
	}
	return released, nil
}

// cancelDependants marks all that need a cancelled job, directly or through others,
// and returns those that were not marked before.
func (b *Cache) cancelDependants(root *Job) (marked []*Job) {
	origin := root
	if root.cancelledBy != nil {
		origin = root.cancelledBy
	}
	for next := []*Job{root}; len(next) > 0; {
		last := next[len(next)-1]
		next = next[:len(next)-1]
		for _, d := range last.dependants {
			if d.cancelledBy != nil {
				continue
			}
			d.cancelledBy = origin
			b.dependentCancelled[d] = true
			marked = append(marked, d)
			next = append(next, d)
		}
	}
	if len(marked) > 0 {
		b.JobsOver++ // whoever keeps a list of what may run looks again
	}
	return marked
}

// DependentCancelled lists the unfinished jobs that are cancelled with one that they
// need: their own final records are still to be written.
func (b *Cache) DependentCancelled() []*Job { return sortedJobs(b.dependentCancelled) }

// Unread lists the jobs that are over and whose final records are wanted.
func (b *Cache) Unread() []*Job { return sortedJobs(b.unread) }

// UnreadBefore lists those of them on which it depends whether a job is cancelled.
func (b *Cache) UnreadBefore(j *Job) (list []*Job) {
	if len(b.unread) == 0 {
		return nil
	}
	seen := map[*Job]bool{j: true}
	for next := []*Job{j}; len(next) > 0; {
		last := next[len(next)-1]
		next = next[:len(next)-1]
		if b.unread[last] {
			list = append(list, last)
		}
		for _, need := range last.needs {
			if !seen[need] {
				seen[need] = true
				next = append(next, need)
			}
		}
	}
	return list
}

// jobsState changes with every job that comes, ends or is cancelled.
func (b *Cache) jobsState() uint64 { return b.JobsSeen + b.JobsOver + 1 }

// EffectiveRank is the highest priority, as a number of which 0 is the highest, of a
// job and of those that need it, directly or through others.
func (b *Cache) EffectiveRank(j *Job) int { return b.urgencyOf(j).rank }

// urgencyOf works out what a job takes over. Users set the priority on the last job of a
// pipeline only, and it may come long after the first.
func (b *Cache) urgencyOf(j *Job) urgency {
	if j.urgency.seen == b.jobsState() {
		return j.urgency
	}
	u := urgency{seen: b.jobsState(), rank: j.Rank()}
	for _, d := range j.dependants {
		if d.Wanted() {
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
