package storage

import "rockrun/internal/protocol"

// TaskRef names a task by its job's index and its number.
type TaskRef struct{ Job, Task int }

// TaskProgress is which tasks of a job are completed, and which may be on machines.
type TaskProgress struct {
	Completed       TaskSet // durably; completed tasks stay so
	CompletedCount  int
	CompletionPages map[int]int // by chunk of tasks: the page that holds its completions
	IntendedTasks   map[int]int // by task: how many entries of intents name it

	intendedUncompleted int // tasks that intents name and that are not completed
}

func newTaskProgress() TaskProgress {
	return TaskProgress{CompletionPages: map[int]int{}, IntendedTasks: map[int]int{}}
}

// RunningTasks returns how many tasks that are not completed intents name.
func (p *TaskProgress) RunningTasks() int { return p.intendedUncompleted }

// addCompleted takes in the completed tasks of a chunk.
func (p *TaskProgress) addCompleted(chunk int, completed TaskSet) {
	for i := range min(TasksPerChunk, len(completed)*8) {
		task := chunk*TasksPerChunk + i
		if !completed.Has(i) || task >= protocol.MaxTasks || p.Completed.Has(task) {
			continue
		}
		p.Completed.Set(task)
		p.CompletedCount++
		if p.IntendedTasks[task] > 0 {
			p.intendedUncompleted--
		}
	}
}

// countIntent counts one more (1) or one less (-1) entry of intents that names a task.
func (p *TaskProgress) countIntent(task, change int) {
	before := p.IntendedTasks[task]
	after := before + change
	if after <= 0 {
		delete(p.IntendedTasks, task)
	} else {
		p.IntendedTasks[task] = after
	}
	if !p.Completed.Has(task) && (before > 0) != (after > 0) {
		p.intendedUncompleted += change
	}
}
