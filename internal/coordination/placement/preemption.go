package placement

import (
	"cmp"
	"slices"
	"time"

	"rockrun/internal/storage"
)

// Running is an attempt that may be on a machine.
type Running struct {
	Job             *storage.Job
	Task            int
	Number          uint64 // of the attempt
	Rank            int    // the highest of its job's own and of those of the jobs that depend on it
	Age             time.Duration
	Stopping        bool // its stop has been asked for
	WithinGuarantee bool // its job is within its team's guarantee
	Starved         bool // its job has once waited too long
}

// Teams is what preemption needs to know of what is used.
type Teams interface {
	// BorrowsBeyond reports whether the job's team would use no less than its guarantee
	// with one task of the job less.
	BorrowsBeyond(j *storage.Job) bool
	// OthersBorrow reports whether any other team than the job's uses more than its
	// guarantee in the job's shard.
	OthersBorrow(j *storage.Job) bool
	// RunsBelow reports whether any attempt is of a lower priority than rank.
	RunsBelow(rank int) bool
}

// mayPreempt reports whether an attempt may be stopped to make room for a waiting job.
func mayPreempt(waiting *Candidate, victim *Running, teams Teams) bool {
	// What waits has its own priority, what may be stopped the highest of those that
	// need it: a cheap first stage of a pipeline stops nothing and isn't stopped.
	if victim.Rank > waiting.Job.Rank() {
		return true
	}
	// Guaranteed share comes before what another team has borrowed. A service is
	// never stopped for it: not for batch work, and one for another gains nobody
	// anything, least of all when machines are lost and they take turns.
	if !waiting.WithinGuarantee || victim.Job.TeamIndex == waiting.Job.TeamIndex || victim.Job.IsService() {
		return false
	}
	// Nor is what goes before the waiting job in order, or is within its own team's
	// guarantee, or has starved before: it would take the room back, and the two would
	// stop each other for ever.
	if victim.WithinGuarantee || victim.Starved || victim.Rank < waiting.Rank {
		return false
	}
	return teams.BorrowsBeyond(victim.Job)
}

// preemptionPossible reports whether there can be anything that may be stopped for a
// job, before every machine is looked at.
func preemptionPossible(waiting *Candidate, teams Teams) bool {
	return teams.RunsBelow(waiting.Job.Rank()) || waiting.WithinGuarantee && teams.OthersBorrow(waiting.Job)
}

// preemptsNoMoreThan reports whether what may be stopped for a job may be stopped for
// another too, and a place for the one would do for the other. Looking costs a look at
// everything that runs, so where it was in vain for one job it is left out for those like
// it.
func (waiting *Candidate) preemptsNoMoreThan(other *Candidate) bool {
	if !Dominates(waiting.Job, other.Job) || waiting.Job.Rank() < other.Job.Rank() || waiting.Rank < other.Rank {
		return false
	}
	if waiting.Job.Spread || other.Job.Spread || other.Job.OneZone {
		return false
	}
	return !waiting.WithinGuarantee || other.WithinGuarantee && waiting.Job.TeamIndex == other.Job.TeamIndex
}

// preemption is what would have to be stopped on a machine for a waiting task.
type preemption[M comparable] struct {
	machine   M
	victims   []Running
	remaining Resources // on the machine, with the victims gone
	cost      float64
}

// preemptFor has the least work stopped that lets one task of a job start, and promises
// it the room; false when nothing can be done.
func (r *Round[M]) preemptFor(waiting *Candidate) bool {
	best, found := r.cheapestPreemption(waiting)
	if !found {
		return false
	}
	r.config.Actions.Preempt(best.machine, best.victims, waiting.Job)
	best.remaining.Subtract(waiting.Job)
	if r.promised == nil {
		r.promised = map[M]Resources{}
	}
	r.promised[best.machine] = best.remaining
	return true
}

// cheapestPreemption is the one that costs least, on the first such machine by name.
func (r *Round[M]) cheapestPreemption(waiting *Candidate) (best preemption[M], found bool) {
	attemptsByZone := r.config.Jobs.State(waiting.Job).AttemptsByZone
	for _, machine := range r.config.Fleet.Machines() {
		if !r.config.Fleet.Schedulable(machine) || !allowed(r.config.Fleet, machine, waiting.Job, attemptsByZone) {
			continue
		}
		plan, enough := r.preemptionOn(machine, waiting)
		if !enough || found && plan.cost >= best.cost {
			continue
		}
		plan.victims = append(best.victims[:0], plan.victims...) // out of the scratch list
		best, found = plan, true
	}
	return best, found
}

// preemptionOn works out what must be stopped on a machine so that a task fits; false
// where all that may be stopped is not enough. Its victims are valid until the next call.
//
// Where nothing was promised there yet, the room that stops under way will leave counts as
// there; a promise has counted it, and what it was promised to is off.
func (r *Round[M]) preemptionOn(machine M, waiting *Candidate) (preemption[M], bool) {
	remaining, promised := r.promised[machine]
	if !promised {
		remaining = r.config.Fleet.Free(machine)
	}
	plan := preemption[M]{machine: machine, remaining: remaining}
	r.scratch = r.config.Fleet.AppendRunning(r.scratch[:0], machine)
	victims := r.scratch[:0]
	for i := range r.scratch {
		running := &r.scratch[i]
		switch {
		case running.Stopping && !promised:
			plan.remaining.Add(running.Job)
		case !running.Stopping && mayPreempt(waiting, running, r.config.Teams):
			victims = append(victims, *running)
		}
	}
	slices.SortFunc(victims, compareVictims)
	for i := range victims {
		if plan.remaining.Fits(waiting.Job) {
			break
		}
		plan.remaining.Add(victims[i].Job)
		plan.cost += preemptionCost(&victims[i])
		plan.victims = victims[:i+1]
	}
	return plan, plan.remaining.Fits(waiting.Job)
}

// compareVictims puts what is to be stopped first: the lowest priority of a job's own, then
// the latest start, of which the least work is lost.
func compareVictims(a, b Running) int {
	return cmp.Or(
		cmp.Compare(b.Job.Rank(), a.Job.Rank()),
		cmp.Compare(a.Age, b.Age),
		cmp.Compare(a.Number, b.Number),
		cmp.Compare(a.Task, b.Task),
	)
}

// preemptionCost is what stopping an attempt costs: the work lost, in CPU seconds, and a
// little for the stop itself.
func preemptionCost(victim *Running) float64 {
	return 1 + victim.Job.CPUs*victim.Age.Seconds()
}
