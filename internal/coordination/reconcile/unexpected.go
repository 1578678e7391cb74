package reconcile

import (
	"slices"
	"time"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// An agent lists completed tasks until they are reaped, and reports each reap at once. To save
// these heartbeats, completed tasks are reaped with the next command that is sent anyway, or as
// soon as one of these limits is reached.
const (
	reapAfter = 10 * time.Second // time since the agent first listed an unexpected task
	reapBatch = 8                // unexpected tasks of an agent
)

// unexpectedTasks are the tasks in an agent's last heartbeat that match no attempt of this
// holder: completed tasks whose completion is durable, or attempts that are no longer wanted.
type unexpectedTasks struct {
	list  []protocol.TaskStatus
	since time.Duration // when the list last became non-empty; 0: it is empty
}

// reset clears the tasks of the previous heartbeat.
func (u *unexpectedTasks) reset() { u.list = u.list[:0] }

// add adds a task of the heartbeat.
func (u *unexpectedTasks) add(task *protocol.TaskStatus) { u.list = append(u.list, *task) }

// observe updates the since field; it is called once the tasks of a heartbeat have been added.
func (u *unexpectedTasks) observe(now time.Duration) {
	if len(u.list) == 0 {
		u.since = 0
	} else if u.since == 0 {
		u.since = now
	}
}

// reapDue reports whether commands for the tasks must be sent now. Only a few recently
// completed tasks may wait: see reapAfter and reapBatch.
func (u *unexpectedTasks) reapDue(now time.Duration) bool {
	if len(u.list) == 0 {
		return false
	}
	return len(u.list) >= reapBatch || now-u.since >= reapAfter ||
		slices.ContainsFunc(u.list, func(t protocol.TaskStatus) bool {
			return t.State != protocol.TaskEnded || t.Cause != protocol.CauseDone
		})
}

// anyLive reports whether any of the tasks has not ended.
func (u *unexpectedTasks) anyLive() bool {
	return slices.ContainsFunc(u.list, func(t protocol.TaskStatus) bool { return t.State != protocol.TaskEnded })
}

// lists reports whether any attempt of a task is among the unexpected tasks.
func (u *unexpectedTasks) lists(job *storage.Job, task int) bool {
	if len(u.list) == 0 {
		return false
	}
	name := protocol.TaskName(job.ID, task)
	return slices.ContainsFunc(u.list, func(t protocol.TaskStatus) bool { return t.Task == name })
}
