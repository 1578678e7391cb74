package scenario

import (
	"slices"
	"time"

	"rockrun/internal/protocol"
)

// agentTask is an attempt of a task on a machine.
type agentTask struct {
	protocol.TaskStatus
	spec            *protocol.JobSpec // nil if the job was never submitted
	timerGeneration int               // invalidates the timers of earlier states
}

// active reports whether the attempt has its image and has not ended.
func (t *agentTask) active() bool {
	return t.State == protocol.TaskRunning || t.State == protocol.TaskSaving
}

// capacityTolerance is the excess over a machine's capacity that is accepted, because
// floating-point sums are inexact.
const capacityTolerance = 1e-6

// failureDelaySeconds is the run time of a failing task.
const failureDelaySeconds = 1

// apply executes commands.
func (a *fakeAgent) apply(commands []protocol.Command) {
	for _, command := range commands {
		i, task := a.findAttempt(command.Task, command.Attempt)
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

// start creates an attempt. If the machine rejects the attempt, it ends immediately.
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
	if cause := a.rejectionCause(task); cause != "" {
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

// rejectionCause returns why the machine rejects an attempt that is already in its list, or
// "" if the machine accepts it.
func (a *fakeAgent) rejectionCause(task *agentTask) string {
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

// run starts a task whose image is fetched.
func (a *fakeAgent) run(task *agentTask, job *userJob) {
	checker := a.sim.checker
	a.images[task.spec.Image] = true
	checker.taskStarted(a, task)
	a.setState(task, protocol.TaskRunning)
	switch {
	case a.faulty || job.failsEverywhere:
		a.afterSeconds(task, failureDelaySeconds, func() { a.end(task, protocol.CauseError) })
	case checker.completedTasks[task.Task]:
		a.end(task, protocol.CauseDone)
	case task.spec.Kind != protocol.KindService:
		a.afterSeconds(task, job.runSecondsOf(task.Task)*a.slowdown, func() { a.complete(task, job) })
	}
}

// complete ends an attempt whose task is done.
func (a *fakeAgent) complete(task *agentTask, job *userJob) {
	a.sim.checker.completedTasks[task.Task] = true
	a.end(task, protocol.CauseDone)
	if a.sim.checker.isComplete(job) {
		job.completedAt = a.sim.now
		a.sim.users.onJobCompleted(job)
	}
}

// stop ends an attempt. A running task that can save a checkpoint within its grace period
// saves it first. A task that is already saving ends early only with a grace period of 0.
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

// end moves an attempt to the ended state with a cause.
func (a *fakeAgent) end(task *agentTask, cause string) {
	if task.active() {
		a.sim.checker.taskRemoved(a, task)
	}
	task.timerGeneration++
	task.Cause = cause
	a.setState(task, protocol.TaskEnded)
}

func (a *fakeAgent) setState(task *agentTask, state string) {
	task.State = state
	a.requestHeartbeat()
}

// afterSeconds schedules a callback for an attempt. The callback is dropped if the attempt
// changes its state or the agent restarts first, and delayed while the machine is paused.
func (a *fakeAgent) afterSeconds(task *agentTask, seconds float64, callback func()) {
	task.timerGeneration++
	generation, epoch := task.timerGeneration, a.epoch
	var run func()
	run = func() {
		switch {
		case a.dead || task.timerGeneration != generation || epoch != a.epoch:
		case a.isPaused():
			a.sim.after(a.pausedUntil-a.sim.now+time.Millisecond, run)
		default:
			callback()
		}
	}
	a.sim.after(time.Duration(seconds*float64(time.Second)), run)
}
