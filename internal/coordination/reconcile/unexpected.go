package reconcile

import (
	"slices"
	"time"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// Completed tasks stay on their machine's list until they are reaped. Each reap is a change
// that the agent reports at once, so they wait for a command that goes there anyway, for
// company, or for so long.
const (
	reapAfter = 10 * time.Second
	reapBatch = 8
)

// unexpectedTasks are the tasks of an agent's last heartbeat that nobody asks for any more.
type unexpectedTasks struct {
	list  []protocol.TaskStatus
	since time.Duration // since when there have been any; 0: there are none
}

// reset forgets the tasks of the heartbeat before.
func (u *unexpectedTasks) reset() { u.list = u.list[:0] }

// add takes in a task of the heartbeat.
func (u *unexpectedTasks) add(task *protocol.TaskStatus) { u.list = append(u.list, *task) }

// observe keeps since when there have been any.
func (u *unexpectedTasks) observe(now time.Duration) {
	if len(u.list) == 0 {
		u.since = 0
	} else if u.since == 0 {
		u.since = now
	}
}

// reapDue reports whether they must go now: anything but a few tasks that completed a
// moment ago.
func (u *unexpectedTasks) reapDue(now time.Duration) bool {
	if len(u.list) == 0 {
		return false
	}
	return len(u.list) >= reapBatch || now-u.since >= reapAfter ||
		slices.ContainsFunc(u.list, func(t protocol.TaskStatus) bool {
			return t.State != protocol.TaskEnded || t.Cause != protocol.CauseDone
		})
}

// anyLive reports whether any has not ended.
func (u *unexpectedTasks) anyLive() bool {
	return slices.ContainsFunc(u.list, func(t protocol.TaskStatus) bool { return t.State != protocol.TaskEnded })
}

// lists reports whether an attempt at a task of a job is among them.
func (u *unexpectedTasks) lists(job *storage.Job, task int) bool {
	if len(u.list) == 0 {
		return false
	}
	name := protocol.TaskName(job.ID, task)
	return slices.ContainsFunc(u.list, func(t protocol.TaskStatus) bool { return t.Task == name })
}
