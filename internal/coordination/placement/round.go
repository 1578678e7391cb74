package placement

import (
	"slices"
	"time"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// JobState counts the remaining tasks and the attempts of a job.
type JobState struct {
	Remaining      int   // tasks that are not completed
	Attempts       int   // attempts that are not confirmed terminated
	AttemptsByZone []int // attempts that may be on a machine, by zone index
}

// Jobs describes the jobs of a shard's holder to placement.
type Jobs interface {
	// State returns the remaining tasks and the attempts of a job.
	State(j *storage.Job) JobState
	// NextTask returns the first unplaced task of a job, or -1.
	NextTask(j *storage.Job) int
	// WithinQuota reports whether another task of a job stays within the part of its team's
	// maximum quota that the quota split assigns to the job's shard.
	WithinQuota(j *storage.Job) bool
}

// Actions carries out the decisions of a round. Each call takes effect immediately, because
// later decisions of the round depend on it.
type Actions[M comparable] interface {
	// NextAttemptNumber returns a number for an attempt on a machine, above all earlier ones.
	NextAttemptNumber(machine M) uint64
	// Place creates an attempt at a task on a machine.
	Place(j *storage.Job, task int, machine M, number uint64)
	// Unplace undoes Place within the same round.
	Unplace(j *storage.Job, task int, machine M)
	// Preempt requests the stop of attempts on a machine for a pending job.
	Preempt(machine M, victims []RunningAttempt, pending *storage.Job)
}

// RoundConfig holds the inputs of a round.
type RoundConfig[M comparable] struct {
	Fleet   Fleet[M]
	Jobs    Jobs
	Teams   Teams
	Actions Actions[M]
	Wall    time.Time // wall clock time of the round
}

// Round is one pass over the pending jobs. It places their tasks and, where permitted,
// preempts running attempts for tasks that do not fit.
type Round[M comparable] struct {
	config            RoundConfig[M]
	availableMachines []M              // machines with free resources for the smallest task
	unreserved        map[M]Resources  // by machine with a preemption in this round: free resources that no task has reserved
	placed            bool             // a task of a job other than a gang was placed
	unplaceable       []*storage.Job   // no available machine fits a task of these jobs, nor of any job that dominates one of them
	failedPreemptions []*Candidate     // no preemption was found for these jobs
	scratch           []RunningAttempt // buffer for the attempts of one machine
}

// NewRound returns a round that has not run yet.
func NewRound[M comparable](config RoundConfig[M]) *Round[M] {
	return &Round[M]{config: config}
}

// Run places the tasks of the listed jobs in list order. It reports whether it placed any
// task of a job other than a gang.
func (r *Round[M]) Run(list []Candidate) (placed bool) {
	if len(list) == 0 {
		return false
	}
	r.availableMachines = r.machinesWithAtLeast(minTaskResources(list))
	for i := range list {
		r.placeJob(&list[i])
	}
	return r.placed
}

// minTaskResources returns, for each resource, the least that any task of the jobs uses.
func minTaskResources(list []Candidate) Resources {
	least := TaskResources(list[0].Job)
	for _, c := range list {
		least = least.Min(TaskResources(c.Job))
	}
	return least
}

// machinesWithAtLeast returns the schedulable machines that have at least the given free
// resources.
func (r *Round[M]) machinesWithAtLeast(least Resources) (list []M) {
	for _, machine := range r.config.Fleet.Machines() {
		if r.config.Fleet.Free(machine).Covers(least) && r.config.Fleet.Schedulable(machine) {
			list = append(list, machine)
		}
	}
	return list
}

// placeJob places the tasks of one job.
func (r *Round[M]) placeJob(candidate *Candidate) {
	state := r.config.Jobs.State(candidate.Job)
	if candidate.Job.Kind == protocol.KindGang {
		r.placeGang(candidate, state)
		return
	}
	if candidate.Job.OneZone && state.Attempts == 0 {
		if zone, found := r.chooseZone(candidate); found {
			r.placeInZone(candidate, zone)
			return
		}
	}
	r.placeAnywhere(candidate, state)
}

// placeAnywhere places the tasks of a job on any permitted machine, and preempts for tasks
// that do not fit.
func (r *Round[M]) placeAnywhere(candidate *Candidate, state JobState) {
	unplaceable := slices.ContainsFunc(r.unplaceable, func(j *storage.Job) bool { return Dominates(candidate.Job, j) })
	// Resources are reserved once for each pending task.
	reservations := max(1, state.Remaining-state.Attempts)
	for task := r.nextTask(candidate); task >= 0; task = r.nextTask(candidate) {
		if !unplaceable && r.placeTask(candidate, task) {
			continue
		}
		unplaceable = true
		if reservations == 0 || !r.preempt(candidate) {
			return
		}
		reservations--
	}
}

// nextTask returns the next task of a job to place, or -1 if the job has none or its team's
// quota is used up.
func (r *Round[M]) nextTask(candidate *Candidate) int {
	if task := r.config.Jobs.NextTask(candidate.Job); task >= 0 && r.config.Jobs.WithinQuota(candidate.Job) {
		return task
	}
	return -1
}

// choose picks the machine for a task from a list of machines.
func (r *Round[M]) choose(machines []M, j *storage.Job, task int) (M, bool) {
	return Choose(r.config.Fleet, machines, j, task, r.config.Jobs.State(j).AttemptsByZone)
}

// placeTask places a task and reports whether a machine was found for it.
func (r *Round[M]) placeTask(candidate *Candidate, task int) bool {
	machine, found := r.choose(r.availableMachines, candidate.Job, task)
	if !found {
		if !candidate.Job.OneZone && !candidate.Job.Spread {
			r.unplaceable = append(r.unplaceable, candidate.Job)
		}
		return false
	}
	r.placeOn(candidate.Job, task, machine)
	return true
}

// placeOn creates an attempt at a task on a machine.
func (r *Round[M]) placeOn(j *storage.Job, task int, machine M) {
	r.placed = true
	r.config.Actions.Place(j, task, machine, r.config.Actions.NextAttemptNumber(machine))
}

// placeInZone places as many tasks of a job as fit on the machines of a zone.
func (r *Round[M]) placeInZone(candidate *Candidate, zone int) {
	outside := func(machine M) bool { return r.config.Fleet.Zone(machine) != zone }
	machines := slices.DeleteFunc(slices.Clone(r.availableMachines), outside)
	for task := r.nextTask(candidate); task >= 0; task = r.nextTask(candidate) {
		machine, found := r.choose(machines, candidate.Job, task)
		if !found {
			return
		}
		r.placeOn(candidate.Job, task, machine)
	}
}

// preempt requests a preemption for one task of a job and reports whether one was found. No
// other task is placed on that machine in this round.
func (r *Round[M]) preempt(pending *Candidate) bool {
	if !preemptionPossible(pending, r.config.Teams) || slices.ContainsFunc(r.failedPreemptions, pending.preemptsNoMoreThan) {
		return false
	}
	if !r.preemptFor(pending) {
		r.failedPreemptions = append(r.failedPreemptions, pending)
		return false
	}
	r.availableMachines = slices.DeleteFunc(r.availableMachines, func(machine M) bool {
		_, reserved := r.unreserved[machine]
		return reserved
	})
	return true
}

// placeGang places either all pending tasks of a gang or none. It places none while attempts
// from an earlier round remain, because a gang that lost a task restarts as a whole.
func (r *Round[M]) placeGang(gang *Candidate, state JobState) {
	if state.Attempts > 0 {
		return
	}
	var placed []placedTask[M]
	var number uint64
	for task := r.config.Jobs.NextTask(gang.Job); task >= 0; task = r.config.Jobs.NextTask(gang.Job) {
		machine, found := r.choose(r.availableMachines, gang.Job, task)
		if !found || !r.config.Jobs.WithinQuota(gang.Job) {
			r.unplaceAll(gang.Job, placed)
			if !found {
				r.preemptForGang(gang, state.Remaining)
			}
			return
		}
		if number == 0 {
			number = r.config.Actions.NextAttemptNumber(machine) // shared by the tasks that a round places for the gang, so that they recognize each other
		}
		r.config.Actions.Place(gang.Job, task, machine, number)
		placed = append(placed, placedTask[M]{task, machine})
	}
}

// placedTask is a placed task of a gang, recorded so that the placement can be undone.
type placedTask[M comparable] struct {
	task    int
	machine M
}

// unplaceAll undoes the placement of tasks of a gang.
func (r *Round[M]) unplaceAll(j *storage.Job, placed []placedTask[M]) {
	for _, p := range placed {
		r.config.Actions.Unplace(j, p.task, p.machine)
	}
}

// preemptForGang requests preemptions for as many tasks of a gang as possible.
func (r *Round[M]) preemptForGang(gang *Candidate, remaining int) {
	for remaining > 0 && preemptionPossible(gang, r.config.Teams) && r.preemptFor(gang) {
		remaining--
	}
}
