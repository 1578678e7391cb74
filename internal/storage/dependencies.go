package storage

import (
	"cmp"
	"maps"
	"slices"
)

// A job may depend on other jobs. None of its tasks starts before all dependencies are
// done, and the job is cancelled with any direct or indirect dependency. Both rules are
// evaluated from durable records alone: the dependencies in the job's own record and the
// final records of the dependencies. No other dependency state is stored, so no stored
// state can contradict the records. A job cancelled with a dependency has no task to stop,
// because none of its tasks started before all dependencies were done, and a job that is
// done can no longer be cancelled.
//
// The row of an ended job stays in the table while an unfinished job depends on the job.

// Outcome is how a job ended, as far as the view knows.
type Outcome int

// Outcomes of jobs.
const (
	OutcomeUnknown   Outcome = iota // the job is unfinished, or its final record has not been read
	OutcomeDone                     // all tasks of the job are done
	OutcomeCancelled                // the job was cancelled by its user or with a dependency
)

// jobRelations links a job to its dependencies and its dependents. The two lists mirror
// each other: a job is among the dependents of each of its dependencies.
type jobRelations struct {
	dependencies        []*Job // without duplicates; empty once the job has ended
	dependents          []*Job // unfinished jobs that depend on this job
	pendingDependencies int    // number of dependencies that are not known to be done
	outcome             Outcome
	endedAtMS           int64 // wall clock time of the end; 0: unknown
	// cancelledBy is the cancelled job that this job directly or indirectly depends on, or
	// nil.
	cancelledBy *Job

	inherited inheritedRank
}

// dependencyWork holds the jobs for which dependencies require an action of the controller.
type dependencyWork struct {
	unreadOutcomes      map[*Job]bool // ended jobs that have dependents and an unread final record
	cancelledDependents map[*Job]bool // unfinished jobs that are cancelled with a dependency
}

// AwaitsDependencies reports whether any job that this job depends on is not known to be
// done.
func (j *Job) AwaitsDependencies() bool { return j.pendingDependencies > 0 }

// HasDependents reports whether an unfinished job depends on this job.
func (j *Job) HasDependents() bool { return len(j.dependents) > 0 }

// CancelledBy returns the direct or indirect dependency with which this job is cancelled, or
// nil.
func (j *Job) CancelledBy() *Job { return j.cancelledBy }

// ReadyAtMS returns the wall clock time from which the job could start: its submission or
// the end of its last dependency, whichever is later. Final records written by versions
// before 0.2 contain no time. The jobs of these records ended before any job with
// dependencies was submitted, so their end times do not matter here.
func (j *Job) ReadyAtMS() int64 {
	ready := j.SubmittedAtMS
	for _, dependency := range j.dependencies {
		ready = max(ready, dependency.endedAtMS)
	}
	return ready
}

// cancelled reports whether the job is known to be cancelled. The job's own final record
// may not be written yet if the job is cancelled with a dependency.
func (j *Job) cancelled() bool {
	return j.CancellationConfirmed || j.outcome == OutcomeCancelled || j.cancelledBy != nil
}

// outcomeUnread reports whether the job has ended, has dependents and an unread final record.
func (j *Job) outcomeUnread() bool {
	return j.Ended() && j.outcome == OutcomeUnknown && j.HasDependents()
}

// linkDependencies replaces the dependencies of a job.
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
		v.updateUnread(dependency)
		if dependency.cancelled() {
			v.cancelDependents(dependency)
		}
	}
	v.updateUnread(j) // the job counted as ended until its own record was read
	if j.cancelled() {
		v.cancelDependents(j) // dependents whose records were read before this job's record
	}
}

// unlinkDependencies removes the dependencies of a job.
func (v *View) unlinkDependencies(j *Job) {
	dependencies := j.dependencies
	j.dependencies, j.pendingDependencies, j.cancelledBy = nil, 0, nil
	delete(v.cancelledDependents, j)
	for _, dependency := range dependencies {
		dependency.dependents = slices.DeleteFunc(dependency.dependents, func(dependent *Job) bool { return dependent == j })
		v.updateUnread(dependency)
		v.DeleteJobIfUnreferenced(dependency)
	}
}

// endJob records that a job has ended. A job that was known to be cancelled cannot have
// ended in another way.
func (v *View) endJob(j *Job) {
	if j.cancelled() {
		j.outcome = OutcomeCancelled
	}
	v.unlinkDependencies(j)
	v.updateUnread(j)
}

// updateUnread adds a job to the unread outcomes or removes it, according to its state.
func (w *dependencyWork) updateUnread(j *Job) {
	if j.outcomeUnread() {
		w.unreadOutcomes[j] = true
	} else {
		delete(w.unreadOutcomes, j)
	}
}

// MarkCancelled records that a job's cancellation is durable, before the view receives the
// removal of the job's record. It returns the dependents that were not yet known to be
// cancelled.
func (v *View) MarkCancelled(id string) []*Job {
	_, j := v.Jobs.Find(id)
	if j == nil {
		return nil
	}
	j.CancellationConfirmed = true
	return v.cancelDependents(j)
}

// SetOutcome applies the final record of a job; Apply does not receive final records. It
// returns the jobs that can start now and the jobs that are cancelled as a result. Only the
// first final record of a job has an effect, and only if the job has a row.
func (v *View) SetOutcome(id string, final FinalRecord) (released, cancelled []*Job) {
	_, j := v.Jobs.Find(id)
	if j == nil || j.outcome != OutcomeUnknown {
		return nil, nil
	}
	j.outcome, j.endedAtMS = final.outcome(), final.EndedAtMS
	v.updateUnread(j)
	if j.outcome == OutcomeCancelled {
		return nil, v.cancelDependents(j)
	}
	return v.releaseDependents(j), nil
}

// releaseDependents removes a done job from the pending dependencies of its dependents. It
// returns the dependents that have no pending dependency left.
func (v *View) releaseDependents(j *Job) (released []*Job) {
	for _, dependent := range j.dependents {
		dependent.pendingDependencies--
		if dependent.pendingDependencies == 0 {
			released = append(released, dependent)
			v.JobOrderRevision++ // the job's position in the placement order depends on this time
		}
	}
	return released
}

// cancelDependents marks all direct and indirect dependents of a cancelled job and returns
// the jobs that were not marked before.
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
		v.InactiveJobsRevision++ // invalidates lists of runnable jobs
	}
	return marked
}

// CancelledDependents returns, sorted by ID, the unfinished jobs that are cancelled with a
// dependency. Their own final records are still to be written.
func (w *dependencyWork) CancelledDependents() []*Job { return sortedJobs(w.cancelledDependents) }

// UnreadOutcomes returns, sorted by ID, the ended jobs that have dependents and an unread
// final record.
func (w *dependencyWork) UnreadOutcomes() []*Job { return sortedJobs(w.unreadOutcomes) }

// UnreadOutcomesUpstream returns the unread outcomes that can decide whether a job is
// cancelled: those of the job itself and of its direct and indirect dependencies.
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

// sortedJobs returns a set of jobs sorted by ID. The actions of a controller must depend on
// its state alone, not on the iteration order of a map.
func sortedJobs(set map[*Job]bool) []*Job {
	return slices.SortedFunc(maps.Keys(set), func(a, b *Job) int { return cmp.Compare(a.ID, b.ID) })
}
