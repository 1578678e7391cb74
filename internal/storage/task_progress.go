package storage

import "rockrun/internal/protocol"

// TaskRef identifies a task by the index of its job and the task number.
type TaskRef struct{ Job, Task int }

// TaskProgress records which tasks of a job are completed and which may be on machines.
type TaskProgress struct {
	Completed       TaskSet // durable; a completed task remains completed
	CompletedCount  int
	CompletionPages map[int]int // by chunk of tasks: number of the completion page that contains the chunk
	IntentCounts    map[int]int // by task: number of intent page entries that name the task

	runningTasks int // number of uncompleted tasks that intents name
}

func newTaskProgress() TaskProgress {
	return TaskProgress{CompletionPages: map[int]int{}, IntentCounts: map[int]int{}}
}

// RunningTasks returns the number of uncompleted tasks that intents name.
func (p *TaskProgress) RunningTasks() int { return p.runningTasks }

// addCompleted adds the completed tasks of a chunk.
func (p *TaskProgress) addCompleted(chunk int, completed TaskSet) {
	for i := range min(TasksPerChunk, len(completed)*8) {
		task := chunk*TasksPerChunk + i
		if !completed.Has(i) || task >= protocol.MaxTasks || p.Completed.Has(task) {
			continue
		}
		p.Completed.Set(task)
		p.CompletedCount++
		if p.IntentCounts[task] > 0 {
			p.runningTasks--
		}
	}
}

// countIntent adds change, which is 1 or -1, to the number of intent page entries that name a
// task.
func (p *TaskProgress) countIntent(task, change int) {
	before := p.IntentCounts[task]
	after := before + change
	if after <= 0 {
		delete(p.IntentCounts, task)
	} else {
		p.IntentCounts[task] = after
	}
	if !p.Completed.Has(task) && (before > 0) != (after > 0) {
		p.runningTasks += change
	}
}
