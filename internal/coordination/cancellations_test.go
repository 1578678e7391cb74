package coordination

import (
	"slices"
	"testing"
	"time"

	"rockrun/internal/protocol"
)

// halted reports whether commands stop run-1/0 at once.
func stopsAtOnce(cmds []protocol.Command) bool {
	return slices.ContainsFunc(cmds, func(c protocol.Command) bool {
		return c.Verb == protocol.VerbStop && c.Task == "run-1/0" && c.GraceSeconds != nil && *c.GraceSeconds == 0
	})
}

var running = protocol.TaskStatus{Task: "run-1/0", Attempt: 9, State: protocol.TaskRunning}

// A controller whose knowledge is too old to renew leases still stops what it is
// told was cancelled, starts nothing of it, and answers no report.
func TestToldOfWithdrawal(t *testing.T) {
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
		t.Errorf("%d tasks of a withdrawn job are planned", n)
	}
}

// Who confirms a cancellation tells every other controller, again where no answer
// comes, and keeps no more for one that is away than a bounded number.
func TestConfirmedWithdrawalIsSpread(t *testing.T) {
	b := newTestController(t)
	b.controller.Settings.Peers = append(b.controller.Settings.Peers, settingsSibling("b"), settingsSibling("c"))
	asked := map[string][]string{}
	fail := error(protocol.ErrOutcomeUnknown)
	b.controller.Peers = peersFunc(func(node string, r protocol.PeerRequest, done func(protocol.PeerAnswer, error)) {
		asked[node] = r.Cancelled
		done(protocol.PeerAnswer{}, fail)
	})
	b.controller.cancellationConfirmed("run-1")
	for range 2 {
		clear(asked)
		b.controller.sendCancellations()
		if len(asked["b"]) != 1 || len(asked["c"]) != 1 {
			t.Fatalf("told: %v", asked)
		}
		b.now += 2 * time.Second
		fail = nil
	}
	clear(asked)
	b.controller.sendCancellations()
	if len(asked) != 0 {
		t.Errorf("told again: %v", asked)
	}
	for i := range 2 * maxNotices {
		b.controller.cancellationConfirmed(protocol.TaskName("run", i))
	}
	if n := len(b.controller.notices["b"].ids); n != maxNotices {
		t.Errorf("%d are kept", n)
	}
}
