package storage

import (
	"cmp"
	"maps"
	"slices"
)

// A job may depend on others: none of its tasks starts before all of them are done, and
// it is cancelled with any of them, directly or through others. Both follow from the
// jobs' durable records alone: from the dependencies in the record of the one and the
// final records of the others. Nothing else is stored of it, so there is nothing that
// could disagree. Since no task of a job has started before its dependencies were done,
// and what is done can't be cancelled any more, a job that is cancelled with another has
// no task that would have to be stopped.
//
// Rows of jobs that have ended stay in the table for as long as an unfinished job depends
// on them.

// Outcome is what has become of a job.
type Outcome int

// Outcomes of jobs.
const (
	OutcomeOpen      Outcome = iota // it is unfinished, or its final record has not been read
	OutcomeDone                     // all its tasks are done
	OutcomeCancelled                // it was cancelled, by its user or with a job that it depends on
)

// jobRelations are a job's relations to its dependencies and its dependents. Both lists
// mirror each other: of a job in the dependencies of another, that one is a dependent.
type jobRelations struct {
	dependencies        []*Job // without repeats; empty once the job has ended
	dependents          []*Job // unfinished jobs that depend on this one
	pendingDependencies int    // dependencies that are not known to be done
	outcome             Outcome
	endedAtMS           int64 // wall clock time of the end; 0: not known
	// cancelledBy is the cancelled job that this one depends on, directly or through
	// others.
	cancelledBy *Job

	inherited inheritedRank
}

// dependencyWork is what dependencies ask of the controller.
type dependencyWork struct {
	unreadOutcomes      map[*Job]bool // ended jobs with dependents whose final records were not read
	cancelledDependents map[*Job]bool // unfinished jobs that are cancelled with another
}

// AwaitsDependencies reports whether, as far as is known, some job that this one depends
// on is not done.
func (j *Job) AwaitsDependencies() bool { return j.pendingDependencies > 0 }

// HasDependents reports whether an unfinished job depends on this one.
func (j *Job) HasDependents() bool { return len(j.dependents) > 0 }

// CancelledBy returns the cancelled job with which this one is cancelled, or nil.
func (j *Job) CancelledBy() *Job { return j.cancelledBy }

// ReadyAtMS is the wall clock time from which the job could start: when its last
// dependency was done, or its submission. Final records written by versions before 0.2
// say no time; those jobs ended before the submission of any that has dependencies.
func (j *Job) ReadyAtMS() int64 {
	ready := j.SubmittedAtMS
	for _, dependency := range j.dependencies {
		ready = max(ready, dependency.endedAtMS)
	}
	return ready
}

// cancelled reports whether the job is known to be cancelled, whether its own final
// record is written by now or follows from that of another.
func (j *Job) cancelled() bool {
	return j.CancellationConfirmed || j.outcome == OutcomeCancelled || j.cancelledBy != nil
}

// outcomeUnread reports whether the job has ended and a dependent waits to know how.
func (j *Job) outcomeUnread() bool { return j.Ended() && j.outcome == OutcomeOpen && j.HasDependents() }

// linkDependencies takes in which jobs a job depends on.
func (v *View) linkDependencies(j *Job, ids []string) {
	v.unlinkDependencies(j)
	for _, id := range ids {
		dependency := v.findOrAddJob(id)
		if dependency == j || slices.Contains(j.dependencies, dependency) {
			continue
		}
		dependency.dependents = append(dependency.dependents, j)
		j.dependencies = append(j.dependencies, dependency)
		if dependency.outcome != OutcomeDone {
			j.pendingDependencies++
		}
		v.noteUnread(dependency)
		if dependency.cancelled() {
			v.cancelDependents(dependency)
		}
	}
	v.noteUnread(j) // it was taken for one that has ended until its own record was read
	if j.cancelled() {
		v.cancelDependents(j) // those whose records were read before this one
	}
}

// unlinkDependencies takes back which jobs a job depends on.
func (v *View) unlinkDependencies(j *Job) {
	dependencies := j.dependencies
	j.dependencies, j.pendingDependencies, j.cancelledBy = nil, 0, nil
	delete(v.cancelledDependents, j)
	for _, dependency := range dependencies {
		dependency.dependents = slices.DeleteFunc(dependency.dependents, func(dependent *Job) bool { return dependent == j })
		v.noteUnread(dependency)
		v.DeleteJobIfUnreferenced(dependency)
	}
}

// endJob takes in that a job has ended. One that was known to be cancelled can't have
// ended in any other way.
func (v *View) endJob(j *Job) {
	if j.cancelled() {
		j.outcome = OutcomeCancelled
	}
	v.unlinkDependencies(j)
	v.noteUnread(j)
}

// noteUnread keeps the set of jobs whose final records are wanted.
func (w *dependencyWork) noteUnread(j *Job) {
	if j.outcomeUnread() {
		w.unreadOutcomes[j] = true
	} else {
		delete(w.unreadOutcomes, j)
	}
}

// MarkCancelled takes in that a job's cancellation is durable, ahead of the changes. It
// returns the jobs that are cancelled with it and were not known to be.
func (v *View) MarkCancelled(id string) []*Job {
	_, j := v.Jobs.Find(id)
	if j == nil {
		return nil
	}
	j.CancellationConfirmed = true
	return v.cancelDependents(j)
}

// SetOutcome takes in the final record of a job, which is not among the changes. It
// returns the jobs that can start now and those that are cancelled by it. Of a job, only
// the first record counts, and of one without a row none.
func (v *View) SetOutcome(id string, final FinalRecord) (released, cancelled []*Job) {
	_, j := v.Jobs.Find(id)
	if j == nil || j.outcome != OutcomeOpen {
		return nil, nil
	}
	j.outcome, j.endedAtMS = final.outcome(), final.EndedAtMS
	v.noteUnread(j)
	if j.outcome == OutcomeCancelled {
		return nil, v.cancelDependents(j)
	}
	return v.releaseDependents(j), nil
}

// releaseDependents takes in that a job is done and returns the jobs that awaited only
// this one.
func (v *View) releaseDependents(j *Job) (released []*Job) {
	for _, dependent := range j.dependents {
		dependent.pendingDependencies--
		if dependent.pendingDependencies == 0 {
			released = append(released, dependent)
			v.JobsAdded++ // its place in the order follows from this moment
		}
	}
	return released
}

// cancelDependents marks all that depend on a cancelled job, directly or through others,
// and returns those that were not marked before.
func (v *View) cancelDependents(root *Job) (marked []*Job) {
	origin := root
	if root.cancelledBy != nil {
		origin = root.cancelledBy
	}
	for pending := []*Job{root}; len(pending) > 0; {
		last := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		for _, dependent := range last.dependents {
			if dependent.cancelledBy != nil {
				continue
			}
			dependent.cancelledBy = origin
			v.cancelledDependents[dependent] = true
			marked = append(marked, dependent)
			pending = append(pending, dependent)
		}
	}
	if len(marked) > 0 {
		v.JobsEnded++ // whoever keeps a list of what may run looks again
	}
	return marked
}

// CancelledDependents lists by ID the unfinished jobs that are cancelled with one that
// they depend on: their own final records are still to be written.
func (w *dependencyWork) CancelledDependents() []*Job { return sortedJobs(w.cancelledDependents) }

// UnreadOutcomes lists by ID the jobs that have ended and whose final records are wanted.
func (w *dependencyWork) UnreadOutcomes() []*Job { return sortedJobs(w.unreadOutcomes) }

// UnreadOutcomesUpstream lists those of the UnreadOutcomes on which it depends whether a
// job is cancelled, that job itself included.
func (w *dependencyWork) UnreadOutcomesUpstream(j *Job) (unread []*Job) {
	if len(w.unreadOutcomes) == 0 {
		return nil
	}
	seen := map[*Job]bool{j: true}
	for pending := []*Job{j}; len(pending) > 0; {
		last := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		if w.unreadOutcomes[last] {
			unread = append(unread, last)
		}
		for _, dependency := range last.dependencies {
			if !seen[dependency] {
				seen[dependency] = true
				pending = append(pending, dependency)
			}
		}
	}
	return unread
}

// sortedJobs lists a set of jobs in the order of their IDs: what a controller does must
// follow from what it knows alone, not from the order of a map.
func sortedJobs(set map[*Job]bool) []*Job {
	return slices.SortedFunc(maps.Keys(set), func(a, b *Job) int { return cmp.Compare(a.ID, b.ID) })
}
