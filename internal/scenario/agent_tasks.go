package scenario

import (
	"slices"
	"time"

	"rockrun/internal/protocol"
)

// agentTask is an attempt on a machine.
type agentTask struct {
	protocol.TaskStatus
	spec       *protocol.JobSpec // nil: of a job that nobody submitted
	timerRound int               // timers of an earlier state are ignored
}

// active reports whether a task has its image and has not ended.
func (t *agentTask) active() bool {
	return t.State == protocol.TaskRunning || t.State == protocol.TaskSaving
}

// capacityTolerance is how much more than a machine has may be used, as sums of fractions
// are not exact.
const capacityTolerance = 1e-6

// failsAfterSeconds is how long a task runs that fails.
const failsAfterSeconds = 1

// apply carries out commands.
func (a *fakeAgent) apply(commands []protocol.Command) {
	for _, command := range commands {
		i, task := a.find(command.Task, command.Attempt)
		switch command.Verb {
		case protocol.VerbStart:
			if task == nil {
				a.start(command)
			}
		case protocol.VerbStop:
			if task != nil && task.State != protocol.TaskEnded {
				a.stop(task, command.GraceSeconds)
			}
		case protocol.VerbReap:
			if task != nil && task.State == protocol.TaskEnded {
				a.tasks = slices.Delete(a.tasks, i, i+1)
			}
		}
	}
}

// start begins an attempt, or ends it at once where the machine can't take it.
func (a *fakeAgent) start(command protocol.Command) {
	task := &agentTask{TaskStatus: protocol.TaskStatus{Task: command.Task, Attempt: command.Attempt}}
	id, _, err := protocol.ParseTaskName(command.Task)
	job := a.sim.users.jobs[id]
	a.tasks = append(a.tasks, task)
	if err != nil || job == nil {
		a.end(task, protocol.CauseJobUnknown)
		return
	}
	task.spec = &job.spec
	if cause := a.refusal(task); cause != "" {
		a.end(task, cause)
		return
	}
	a.sim.checker.taskAccepted(a, task)
	a.setState(task, protocol.TaskFetching)
	fetch := 0.0
	if !a.images[task.spec.Image] {
		fetch = task.spec.ImageGB / a.machineType.FetchGBPS
	}
	a.afterSeconds(task, fetch, func() { a.run(task, job) })
}

// refusal says why the machine can't take an attempt that was just added, or nothing.
func (a *fakeAgent) refusal(task *agentTask) string {
	cpus, memory := task.spec.CPUs, task.spec.MemoryGB
	for _, other := range a.tasks {
		if other == task || other.State == protocol.TaskEnded {
			continue
		}
		if other.Task == task.Task {
			return protocol.CauseAlreadyPresent
		}
		cpus += other.spec.CPUs
		memory += other.spec.MemoryGB
	}
	if cpus > a.machineType.CPUs+capacityTolerance || memory > a.machineType.MemoryGB+capacityTolerance {
		return protocol.CauseNoCapacity
	}
	return ""
}

// run lets a task run that has its image.
func (a *fakeAgent) run(task *agentTask, job *userJob) {
	checker := a.sim.checker
	a.images[task.spec.Image] = true
	checker.taskStarted(a, task)
	a.setState(task, protocol.TaskRunning)
	switch {
	case a.faulty || job.failsEverywhere:
		a.afterSeconds(task, failsAfterSeconds, func() { a.end(task, protocol.CauseError) })
	case checker.completedTasks[task.Task]:
		a.end(task, protocol.CauseDone)
	case task.spec.Kind != protocol.KindService:
		a.afterSeconds(task, job.runSecondsOf(task.Task)*a.slowdown, func() { a.complete(task, job) })
	}
}

// complete ends a task that is done.
func (a *fakeAgent) complete(task *agentTask, job *userJob) {
	a.sim.checker.completedTasks[task.Task] = true
	a.end(task, protocol.CauseDone)
	if a.sim.checker.complete(job) {
		job.completedAt = a.sim.now
		a.sim.users.completed(job)
	}
}

// stop ends a task that has not ended, once its progress is saved where the time that it
// is given suffices for that.
func (a *fakeAgent) stop(task *agentTask, graceSeconds *float64) {
	savable := task.State == protocol.TaskRunning && task.spec.CheckpointSeconds > 0
	switch {
	case savable && graceSeconds != nil && *graceSeconds >= task.spec.SaveSeconds:
		a.setState(task, protocol.TaskSaving)
		a.afterSeconds(task, task.spec.SaveSeconds, func() {
			task.Saved = true
			a.end(task, protocol.CauseStopped)
		})
	case task.State != protocol.TaskSaving || graceSeconds != nil && *graceSeconds == 0:
		a.end(task, protocol.CauseStopped)
	}
}

// end lets a task end, with its cause.
func (a *fakeAgent) end(task *agentTask, cause string) {
	if task.active() {
		a.sim.checker.taskLeft(a, task)
	}
	task.timerRound++
	task.Cause = cause
	a.setState(task, protocol.TaskEnded)
}

func (a *fakeAgent) setState(task *agentTask, state string) {
	task.State = state
	a.wantHeartbeat()
}

// afterSeconds calls back once a task has gone on for so long, unless its state changes
// before. A pause of the machine holds it up.
func (a *fakeAgent) afterSeconds(task *agentTask, seconds float64, callback func()) {
	task.timerRound++
	round, epoch := task.timerRound, a.epoch
	var run func()
	run = func() {
		switch {
		case a.dead || task.timerRound != round || epoch != a.epoch:
		case a.isPaused():
			a.sim.after(a.pausedUntil-a.sim.now+time.Millisecond, run)
		default:
			callback()
		}
	}
	a.sim.after(time.Duration(seconds*float64(time.Second)), run)
}
