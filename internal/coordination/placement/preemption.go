package placement

import (
	"cmp"
	"slices"
	"time"

	"rockrun/internal/storage"
)

// RunningAttempt is an attempt that may be on a machine.
type RunningAttempt struct {
	Job             *storage.Job
	Task            int
	Number          uint64 // attempt number
	Rank            int    // the highest priority among the job and its dependents; 0 is the highest
	Age             time.Duration
	Stopping        bool // a stop has been requested
	WithinGuarantee bool // the job is within its team's guaranteed quota
	Starved         bool // the job was starved at some point
}

// Teams describes the quota usage of teams to preemption.
type Teams interface {
	// RetainsGuaranteeWithout reports whether the job's team would still use at least its
	// guaranteed quota if one task of the job stopped.
	RetainsGuaranteeWithout(j *storage.Job) bool
	// OthersBorrow reports whether any team other than the job's uses more than its
	// guaranteed quota in the job's shard.
	OthersBorrow(j *storage.Job) bool
	// AnyLowerPriority reports whether any attempt has a lower priority than rank.
	AnyLowerPriority(rank int) bool
}

// mayPreempt reports whether victim may be stopped to free resources for a pending job.
func mayPreempt(pending *Candidate, victim *RunningAttempt, teams Teams) bool {
	// For the pending job, only its own priority counts; for the victim, the highest
	// priority among its job and the job's dependents. A low-priority first stage of a
	// pipeline therefore neither preempts on behalf of its dependents nor is preempted.
	if victim.Rank > pending.Job.Rank() {
		return true
	}
	// A job within its team's guarantee reclaims quota that another team borrows. Services
	// are never preempted for this: neither for batch work nor for another service.
	// Replacing one service with another gains nothing, and after a loss of machines
	// services would preempt each other in turn.
	if !pending.WithinGuarantee || victim.Job.TeamIndex == pending.Job.TeamIndex || victim.Job.IsService() {
		return false
	}
	// A victim that is within its own team's guarantee, has been starved, or has a higher
	// priority than the pending job would reclaim the resources, and the two jobs would
	// preempt each other endlessly.
	if victim.WithinGuarantee || victim.Starved || victim.Rank < pending.Rank {
		return false
	}
	return teams.RetainsGuaranteeWithout(victim.Job)
}

// preemptionPossible reports whether any attempt could be preempted for a job. This check
// avoids a scan of all machines where preemption is ruled out.
func preemptionPossible(pending *Candidate, teams Teams) bool {
	return teams.AnyLowerPriority(pending.Job.Rank()) || pending.WithinGuarantee && teams.OthersBorrow(pending.Job)
}

// preemptsNoMoreThan reports whether the pending job has no more options for preemption than
// the other job: every attempt that it may preempt, and every machine on which its tasks fit,
// is also an option for the other job. A search for victims scans all running attempts, so a
// search that failed for the other job is not repeated for this one.
func (pending *Candidate) preemptsNoMoreThan(other *Candidate) bool {
	if !Dominates(pending.Job, other.Job) || pending.Job.Rank() < other.Job.Rank() || pending.Rank < other.Rank {
		return false
	}
	if pending.Job.Spread || other.Job.Spread || other.Job.OneZone {
		return false
	}
	return !pending.WithinGuarantee || other.WithinGuarantee && pending.Job.TeamIndex == other.Job.TeamIndex
}

// preemption is a plan to stop attempts on a machine so that a pending task fits.
type preemption[M comparable] struct {
	machine   M
	victims   []RunningAttempt
	remaining Resources // free resources of the machine once the victims have stopped
	cost      float64
}

// preemptFor requests the cheapest preemption that lets one task of the job start, and
// reserves the freed resources for the task. It returns false if no preemption suffices.
func (r *Round[M]) preemptFor(pending *Candidate) bool {
	best, found := r.cheapestPreemption(pending)
	if !found {
		return false
	}
	r.config.Actions.Preempt(best.machine, best.victims, pending.Job)
	best.remaining.Subtract(pending.Job)
	if r.unreserved == nil {
		r.unreserved = map[M]Resources{}
	}
	r.unreserved[best.machine] = best.remaining
	return true
}

// cheapestPreemption returns the preemption with the lowest cost. Ties go to the machine whose
// name sorts first.
func (r *Round[M]) cheapestPreemption(pending *Candidate) (best preemption[M], found bool) {
	attemptsByZone := r.config.Jobs.State(pending.Job).AttemptsByZone
	for _, machine := range r.config.Fleet.Machines() {
		if !r.config.Fleet.Schedulable(machine) || !allowed(r.config.Fleet, machine, pending.Job, attemptsByZone) {
			continue
		}
		plan, enough := r.preemptionOn(machine, pending)
		if !enough || found && plan.cost >= best.cost {
			continue
		}
		plan.victims = append(best.victims[:0], plan.victims...) // copy, because the scratch list is reused
		best, found = plan, true
	}
	return best, found
}

// preemptionOn selects the attempts to stop on a machine so that a task of the job fits. It
// returns false if stopping every permitted victim is not enough. The victims in the result
// are valid until the next call.
//
// On a machine without reservations, resources of attempts that are already stopping count
// as free. On a machine with reservations, the recorded unreserved resources already include the
// resources of stopping attempts and exclude the reserved resources.
func (r *Round[M]) preemptionOn(machine M, pending *Candidate) (preemption[M], bool) {
	remaining, reserved := r.unreserved[machine]
	if !reserved {
		remaining = r.config.Fleet.Free(machine)
	}
	plan := preemption[M]{machine: machine, remaining: remaining}
	r.scratch = r.config.Fleet.AppendRunning(r.scratch[:0], machine)
	victims := r.scratch[:0]
	for i := range r.scratch {
		running := &r.scratch[i]
		switch {
		case running.Stopping && !reserved:
			plan.remaining.Add(running.Job)
		case !running.Stopping && mayPreempt(pending, running, r.config.Teams):
			victims = append(victims, *running)
		}
	}
	slices.SortFunc(victims, compareVictims)
	for i := range victims {
		if plan.remaining.Fits(pending.Job) {
			break
		}
		plan.remaining.Add(victims[i].Job)
		plan.cost += preemptionCost(&victims[i])
		plan.victims = victims[:i+1]
	}
	return plan, plan.remaining.Fits(pending.Job)
}

// compareVictims orders attempts by which to stop first: the lowest priority of the job
// itself, then the latest start, because the attempt that started last loses the least work.
func compareVictims(a, b RunningAttempt) int {
	return cmp.Or(
		cmp.Compare(b.Job.Rank(), a.Job.Rank()),
		cmp.Compare(a.Age, b.Age),
		cmp.Compare(a.Number, b.Number),
		cmp.Compare(a.Task, b.Task),
	)
}

// preemptionCost returns the cost of stopping an attempt: the work lost in CPU seconds, plus
// 1 for the stop itself.
func preemptionCost(victim *RunningAttempt) float64 {
	return 1 + victim.Job.CPUs*victim.Age.Seconds()
}
