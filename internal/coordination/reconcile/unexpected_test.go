package reconcile

import (
	"testing"
	"time"

	"rockrun/internal/protocol"
)

// TestReapDue: a few recently completed tasks wait until there are reapBatch of them or
// reapAfter has passed. All other unexpected tasks are due at once.
func TestReapDue(t *testing.T) {
	done := protocol.TaskStatus{Task: "run-1/0", State: protocol.TaskEnded, Cause: protocol.CauseDone}
	failed := protocol.TaskStatus{Task: "run-1/1", State: protocol.TaskEnded, Cause: protocol.CauseError}
	for _, c := range []struct {
		name  string
		tasks []protocol.TaskStatus
		after time.Duration
		due   bool
		live  bool
	}{
		{"none", nil, time.Hour, false, false},
		{"one done recently", []protocol.TaskStatus{done}, reapAfter - 1, false, false},
		{"one done reapAfter ago", []protocol.TaskStatus{done}, reapAfter, true, false},
		{"full batch", []protocol.TaskStatus{done, done, done, done, done, done, done, done}, 0, true, false},
		{"one short of a batch", []protocol.TaskStatus{done, done, done, done, done, done, done}, 0, false, false},
		{"one failed", []protocol.TaskStatus{done, failed}, 0, true, false},
		{"one running", []protocol.TaskStatus{done, runningStatus}, 0, true, true},
	} {
		u := unexpectedTasks{}
		for i := range c.tasks {
			u.add(&c.tasks[i])
		}
		u.observe(time.Minute)
		u.observe(time.Minute + time.Second) // must not restart the time
		if due := u.reapDue(time.Minute + c.after); due != c.due || u.anyLive() != c.live {
			t.Errorf("%s: due %t, live %t", c.name, due, u.anyLive())
		}
		u.reset()
		if u.observe(time.Hour); u.since != 0 || u.reapDue(2*time.Hour) {
			t.Errorf("%s: after a heartbeat without unexpected tasks: %+v", c.name, u)
		}
	}
}
