package placement

import (
	"slices"
	"time"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// JobState is how far the tasks of a job have come.
type JobState struct {
	Remaining      int   // tasks that are not completed
	Attempts       int   // attempts that are not proven over
	AttemptsByZone []int // attempts that may be on a machine, by the zone's index
}

// Jobs is what placement needs to know of the jobs of a shard's holder.
type Jobs interface {
	// State is how far a job's tasks have come.
	State(j *storage.Job) JobState
	// NextTask is the first task of a job that waits to be placed, or -1.
	NextTask(j *storage.Job) int
	// WithinQuota reports whether one more task of a job keeps its shard's share of its
	// team's maximum.
	WithinQuota(j *storage.Job) bool
}

// Actions carry out what a round decides, at once: what follows rests on them.
type Actions[M comparable] interface {
	// NextAttemptNumber is a number for an attempt on a machine, above every earlier one.
	NextAttemptNumber(machine M) uint64
	// Place makes an attempt at a task.
	Place(j *storage.Job, task int, machine M, number uint64)
	// Unplace undoes Place, before the round is over.
	Unplace(j *storage.Job, task int, machine M)
	// Preempt asks for the stop of attempts that are on a machine, for a waiting job.
	Preempt(machine M, victims []Running, waiting *storage.Job)
}

// RoundConfig is what a round works with.
type RoundConfig[M comparable] struct {
	Fleet   Fleet[M]
	Jobs    Jobs
	Teams   Teams
	Actions Actions[M]
	Wall    time.Time // wall clock time of the round
}

// Round gives waiting tasks to machines once, and preempts others for them where it may.
type Round[M comparable] struct {
	config        RoundConfig[M]
	withRoom      []M             // machines with room for the least of the tasks
	promised      map[M]Resources // what is left of the room that stops under way will leave
	placed        bool
	unplaceable   []*storage.Job // there is no place for them; nor is there for jobs that take more
	unpreemptable []*Candidate   // nothing can be stopped for them
	scratch       []Running      // of the machine that is looked at
}

// NewRound begins a round.
func NewRound[M comparable](config RoundConfig[M]) *Round[M] {
	return &Round[M]{config: config}
}

// Run gives tasks of the jobs listed, in this order, to machines. It reports whether any
// task was placed that is not of a gang.
func (r *Round[M]) Run(list []Candidate) (placed bool) {
	if len(list) == 0 {
		return false
	}
	r.withRoom = r.machinesWith(leastNeeds(list))
	for i := range list {
		r.place(&list[i])
	}
	return r.placed
}

// leastNeeds is the least that any task takes.
func leastNeeds(list []Candidate) Resources {
	least := TaskNeeds(list[0].Job)
	for _, c := range list {
		least = least.Min(TaskNeeds(c.Job))
	}
	return least
}

// machinesWith lists the machines that take new tasks now and have some room.
func (r *Round[M]) machinesWith(least Resources) (list []M) {
	for _, machine := range r.config.Fleet.Machines() {
		if r.config.Fleet.Free(machine).Covers(least) && r.config.Fleet.Schedulable(machine) {
			list = append(list, machine)
		}
	}
	return list
}

// place gives the tasks of one job to machines.
func (r *Round[M]) place(candidate *Candidate) {
	state := r.config.Jobs.State(candidate.Job)
	if candidate.Job.Kind == protocol.KindGang {
		r.placeGang(candidate, state)
		return
	}
	if candidate.Job.OneZone && state.Attempts == 0 {
		if zone, found := r.gatheringZone(candidate); found {
			r.placeInZone(candidate, zone)
			return
		}
	}
	r.placeAnywhere(candidate, state)
}

// placeAnywhere gives the tasks of a job to machines, and has room made for those that
// find none.
func (r *Round[M]) placeAnywhere(candidate *Candidate, state JobState) {
	hopeless := slices.ContainsFunc(r.unplaceable, func(j *storage.Job) bool { return Dominates(candidate.Job, j) })
	// Each waiting task is promised room once.
	promises := max(1, state.Remaining-state.Attempts)
	for task := r.nextTask(candidate); task >= 0; task = r.nextTask(candidate) {
		if !hopeless && r.placeTask(candidate, task) {
			continue
		}
		hopeless = true
		if promises == 0 || !r.preempt(candidate) {
			return
		}
		promises--
	}
}

// nextTask is the next task of a job to be placed; -1 when there is none, or no more of
// its team's quota.
func (r *Round[M]) nextTask(candidate *Candidate) int {
	if task := r.config.Jobs.NextTask(candidate.Job); task >= 0 && r.config.Jobs.WithinQuota(candidate.Job) {
		return task
	}
	return -1
}

// choose picks the machine for a task.
func (r *Round[M]) choose(machines []M, j *storage.Job, task int) (M, bool) {
	return Choose(r.config.Fleet, machines, j, task, r.config.Jobs.State(j).AttemptsByZone)
}

// placeTask gives a task to a machine, if there is one for it.
func (r *Round[M]) placeTask(candidate *Candidate, task int) bool {
	machine, found := r.choose(r.withRoom, candidate.Job, task)
	if !found {
		if !candidate.Job.OneZone && !candidate.Job.Spread {
			r.unplaceable = append(r.unplaceable, candidate.Job)
		}
		return false
	}
	r.placeOn(candidate.Job, task, machine)
	return true
}

// placeOn makes an attempt at a task.
func (r *Round[M]) placeOn(j *storage.Job, task int, machine M) {
	r.placed = true
	r.config.Actions.Place(j, task, machine, r.config.Actions.NextAttemptNumber(machine))
}

// placeInZone gives as many tasks of a job to the machines of a zone as these take.
func (r *Round[M]) placeInZone(candidate *Candidate, zone int) {
	outside := func(machine M) bool { return r.config.Fleet.Zone(machine) != zone }
	machines := slices.DeleteFunc(slices.Clone(r.withRoom), outside)
	for task := r.nextTask(candidate); task >= 0; task = r.nextTask(candidate) {
		machine, found := r.choose(machines, candidate.Job, task)
		if !found {
			return
		}
		r.placeOn(candidate.Job, task, machine)
	}
}

// preempt stops other work for one task of a job, if any may be stopped for it. The
// machine takes nothing else in this round.
func (r *Round[M]) preempt(waiting *Candidate) bool {
	if !preemptionPossible(waiting, r.config.Teams) || slices.ContainsFunc(r.unpreemptable, waiting.preemptsNoMoreThan) {
		return false
	}
	if !r.preemptFor(waiting) {
		r.unpreemptable = append(r.unpreemptable, waiting)
		return false
	}
	r.withRoom = slices.DeleteFunc(r.withRoom, func(machine M) bool {
		_, promised := r.promised[machine]
		return promised
	})
	return true
}

// placeGang places all open tasks of a gang or none, and only once no attempt of an
// earlier round is left: a gang that has lost a task starts over.
func (r *Round[M]) placeGang(gang *Candidate, state JobState) {
	if slices.ContainsFunc(state.AttemptsByZone, func(count int) bool { return count > 0 }) {
		return
	}
	var planned []placedTask[M]
	var number uint64
	for task := r.config.Jobs.NextTask(gang.Job); task >= 0; task = r.config.Jobs.NextTask(gang.Job) {
		machine, found := r.choose(r.withRoom, gang.Job, task)
		if !found || !r.config.Jobs.WithinQuota(gang.Job) {
			r.unplace(gang.Job, planned)
			if !found {
				r.preemptForGang(gang, state.Remaining)
			}
			return
		}
		if number == 0 {
			number = r.config.Actions.NextAttemptNumber(machine) // the tasks of a round know each other by it
		}
		r.config.Actions.Place(gang.Job, task, machine, number)
		planned = append(planned, placedTask[M]{task, machine})
	}
}

// placedTask is a task of a gang that may have to be unplaced.
type placedTask[M comparable] struct {
	task    int
	machine M
}

func (r *Round[M]) unplace(j *storage.Job, planned []placedTask[M]) {
	for _, p := range planned {
		r.config.Actions.Unplace(j, p.task, p.machine)
	}
}

// preemptForGang stops other work for as many tasks of a gang as it can.
func (r *Round[M]) preemptForGang(gang *Candidate, remaining int) {
	for remaining > 0 && preemptionPossible(gang, r.config.Teams) && r.preemptFor(gang) {
		remaining--
	}
}
