package coordination

import (
	"slices"
	"testing"
	"time"

	"rockrun/internal/protocol"
)

// stopsAtOnce reports whether commands stop run-1/0 at once.
func stopsAtOnce(cmds []protocol.Command) bool {
	return slices.ContainsFunc(cmds, func(c protocol.Command) bool {
		return c.Verb == protocol.VerbStop && c.Task == "run-1/0" && c.GraceSeconds != nil && *c.GraceSeconds == 0
	})
}

var running = protocol.TaskStatus{Task: "run-1/0", Attempt: 9, State: protocol.TaskRunning}

// TestToldOfCancellation: a controller whose knowledge is too old to renew leases still
// stops what it is told was cancelled, starts nothing of it, and answers no heartbeat.
func TestToldOfCancellation(t *testing.T) {
	b := newTestController(t, inherited)
	b.report(1, grantToken, running)
	b.now += b.controller.maxStaleness + time.Second
	b.failCommands()
	b.now += 2 * time.Second // more than commands without an answer are followed by
	b.commandRequests = nil
	b.controller.OnPeer(protocol.PeerRequest{Cancelled: []string{"run-1", "run-77"}}, func(protocol.PeerAnswer) {})
	if len(b.commandRequests) != 1 || !stopsAtOnce(b.commandRequests[0].Commands) {
		t.Fatalf("commands: %v", b.commandRequests)
	}
	if a := b.report(2, grantToken, running); a.Status == 200 {
		t.Error("it renewed a lease that it may not renew")
	}
	b.refreshKnowledge()
	b.report(3, grantToken)
	b.runTimers()
	if n := b.statuses()["m-1"].Tasks; n != 0 {
		t.Errorf("%d tasks of a cancelled job are planned", n)
	}
}
