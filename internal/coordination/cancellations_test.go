package coordination

import (
	"slices"
	"testing"
	"time"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// halted reports whether commands stop run-1/0 at once.
func stopsAtOnce(cmds []protocol.Command) bool {
	return slices.ContainsFunc(cmds, func(c protocol.Command) bool {
		return c.Verb == protocol.VerbStop && c.Task == "run-1/0" && c.GraceSeconds != nil && *c.GraceSeconds == 0
	})
}

var running = protocol.TaskStatus{Task: "run-1/0", Attempt: 9, State: protocol.TaskRunning}

// The first answer of a new holder renews the lease of a machine that it has not
// fenced yet. What it knows to be cancelled must stop by that answer: the next may
// never come, and the lease would carry the task past the time for cancelling.
func TestRenewalStopsWithdrawn(t *testing.T) {
	b := newTestController(t, inherited)
	b.revision++
	b.controller.view.Remove(storage.JobKey("run-1"), b.revision)
	b.controller.recordsChanged(true)
	a := b.report(1, grantToken-1, running)
	if a.Status != 200 || b.agentUnderTest().fenceConfirmed {
		t.Fatalf("status %d, fenced %t: this is not the answer in question", a.Status, b.agentUnderTest().fenceConfirmed)
	}
	if !stopsAtOnce(a.Body.(protocol.AgentHeartbeatAnswer).Commands) {
		t.Errorf("the lease is renewed without a stop: %v", a.Body)
	}
	if b.liveAttempts() != 1 {
		t.Error("the task counts as gone before that is proven")
	}
}

// A controller whose knowledge is too old to renew leases still stops what it is
// told was cancelled, starts nothing of it, and answers no report.
func TestToldOfWithdrawal(t *testing.T) {
	b := newTestController(t, inherited)
	b.report(1, grantToken, running)
	b.now += b.controller.maxStaleness + time.Second
	b.agentUnderTest().commandsInFlight = false // its earlier commands have been answered
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
	b.controller.reconciler.pass()
	if n := b.liveAttempts(); n != 0 {
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

// A holder vouches for the grants under which nothing takes more than the quota split
// allows, whatever may be on the machines counted in.
func TestGrantsWithinQuota(t *testing.T) {
	b := newTestController(t, inherited, storage.IntentEntry(1, "m-1", 10))
	tokens := b.controller.reconciler.GrantsWithinQuota()
	if !slices.Equal(tokens, []uint64{grantToken}) {
		t.Fatalf("8 of 8 CPUs: %v", tokens)
	}
	b.controller.view.Teams[0].MaxCPUs = 4
	if tokens = b.controller.reconciler.GrantsWithinQuota(); len(tokens) != 0 {
		t.Errorf("8 of 4 CPUs: %v", tokens)
	}
}

// A machine whose reports reach nobody is not given tasks, although commands
// reach it: its lease runs out under them.
func TestMuteMachineIsNotUsed(t *testing.T) {
	b := newTestController(t)
	b.report(1, grantToken)
	x := b.agentUnderTest()
	if !b.controller.reconciler.schedulable(x, b.now) {
		t.Fatal("it can't be used at all")
	}
	b.now += 8 * time.Second
	b.refreshKnowledge()
	b.controller.reconciler.onHeartbeat(x, &protocol.AgentHeartbeat{Machine: "m-1", Address: "w", Epoch: 1, Sequence: 9, FencingToken: grantToken}, false)
	if b.controller.reconciler.schedulable(x, b.now) {
		t.Error("it is used on the strength of an answer to a command")
	}
	if s := b.controller.reconciler.MachineStatuses()[0].Silent; s != 8*time.Second {
		t.Errorf("silent for %s", s)
	}
}
