package reconcile

import (
	"errors"
	"slices"
	"testing"
	"time"

	"rockrun/internal/config"
	"rockrun/internal/coordination/api"
	"rockrun/internal/coordination/election"
	"rockrun/internal/coordination/membership"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// TestAbsenceNeedsConfirmedFence: an attempt that is absent from a heartbeat may still be started
// by a delayed command of an earlier holder. Its absence proves that it has terminated only once
// the agent has reported this holder's fencing token.
func TestAbsenceNeedsConfirmedFence(t *testing.T) {
	f := newFixture(t, inheritedIntent)
	f.heartbeat(1, grantToken-1)
	if f.liveAttempts() != 1 {
		t.Fatal("a heartbeat without a confirmed fence ended an attempt that an earlier holder may have started")
	}
	f.heartbeat(2, grantToken)
	if f.liveAttempts() != 0 {
		t.Error("a heartbeat with a confirmed fence did not end the attempt")
	}
}

// TestOldHeartbeatsAreIgnored: a heartbeat that is delivered after a newer one changes nothing.
func TestOldHeartbeatsAreIgnored(t *testing.T) {
	f := newFixture(t, inheritedIntent)
	f.heartbeat(7, grantToken, runningStatus)
	f.heartbeat(3, grantToken)
	if f.liveAttempts() != 1 {
		t.Error("an older heartbeat ended a running task")
	}
}

// TestLostOnlyWhenLeaseExpired: missing heartbeats alone do not make an attempt lost. The expiry
// of the agent's lease does, counted from when an earlier holder may last have renewed it.
func TestLostOnlyWhenLeaseExpired(t *testing.T) {
	f := newFixture(t, inheritedIntent)
	lease, maxStaleness := f.reconciler.AgentSettings.Lease(), f.reconciler.MaxStaleness
	heldSince := f.now
	for _, c := range []struct {
		after time.Duration
		live  int
	}{
		{lease, 1},
		{maxStaleness + lease, 1},
		{maxStaleness + lease + config.LeaseMargin + time.Second, 0},
	} {
		f.now = heldSince + c.after
		f.refreshViewAndLeases()
		f.reconciler.Tick()
		if f.liveAttempts() != c.live {
			t.Errorf("after %s: %d live attempts", c.after, f.liveAttempts())
		}
	}
}

// TestUnconfirmedAttemptsUseQuota: every attempt that may be on a machine counts against the
// team's quota, also one that no heartbeat has listed.
func TestUnconfirmedAttemptsUseQuota(t *testing.T) {
	f := newFixture(t, inheritedIntent)
	if got := f.reconciler.usage.ofShard(0)[0].CPUs; got != 4 {
		t.Errorf("inherited attempt: %v CPUs in use", got)
	}
	f.heartbeat(1, grantToken)
	if got := f.reconciler.usage.ofShard(0)[0].CPUs; got != 0 {
		t.Errorf("after the attempt ended: %v CPUs in use", got)
	}
}

// TestNotEntitled: a holder does not renew an agent's lease if the holder's view is too stale,
// if its shard lease has expired, or if the agent has seen a higher fencing token.
func TestNotEntitled(t *testing.T) {
	f := newFixture(t)
	expect := func(sequence, token uint64, want error, when string) {
		t.Helper()
		if _, err := f.heartbeat(sequence, token); !errors.Is(err, want) {
			t.Errorf("%s: %v", when, err)
		}
	}
	expect(1, grantToken, nil, "while entitled")
	f.now += f.reconciler.MaxStaleness + time.Second
	f.extendLeases(leaseExtension)
	expect(2, grantToken, api.ErrNotEntitled, "with a stale view")
	f.refreshViewAndLeases()
	expect(3, grantToken, nil, "with a fresh view")
	f.now += leaseExtension
	f.refreshView()
	expect(4, grantToken, api.ErrNotEntitled, "without a shard lease")
	f.refreshViewAndLeases()
	expect(5, grantToken+1<<24, api.ErrNotEntitled, "for an agent that has seen a higher token")
}

// TestDelayedDuplicatesRenewNoLease: a duplicate of a heartbeat that arrives long after the
// original renews no lease, since no agent waits for the answer and the machine may be gone.
func TestDelayedDuplicatesRenewNoLease(t *testing.T) {
	f := newFixture(t)
	f.heartbeat(5, grantToken)
	answeredAt := f.agent().contact.lastAnsweredAt
	f.now += membership.AgentAnswerTimeout + time.Second
	f.refreshViewAndLeases()
	if _, err := f.heartbeat(5, grantToken); !errors.Is(err, api.ErrOldHeartbeat) {
		t.Errorf("delayed duplicate: %v", err)
	}
	if _, err := f.heartbeat(3, grantToken); !errors.Is(err, api.ErrOldHeartbeat) || f.agent().contact.lastAnsweredAt != answeredAt {
		t.Errorf("older heartbeat: %v, last answered at %s", err, f.agent().contact.lastAnsweredAt)
	}
	if _, err := f.heartbeat(6, grantToken); err != nil || f.agent().contact.lastAnsweredAt != f.now {
		t.Errorf("new heartbeat: %v", err)
	}
}

// TestNewEpochEndsStarts: an attempt whose start was sent and that no heartbeat has listed has
// terminated once the agent reports a new epoch. The expiry of the agent's lease has ended all
// its tasks, and the agent rejects commands of an earlier epoch.
func TestNewEpochEndsStarts(t *testing.T) {
	f := newFixture(t)
	f.heartbeat(1, grantToken)
	f.reconciler.pass()
	for _, a := range f.agent().attempts {
		f.apply(storage.IntentPageKey(firstPage), storage.IntentPage{"run-1": {storage.IntentEntry(0, "m-1", a.number)}})
	}
	if commands := f.heartbeatCommands(2, grantToken); len(commands) != 1 {
		t.Fatalf("commands: %v", commands)
	}
	f.heartbeat(3, grantToken)
	if f.liveAttempts() != 1 {
		t.Fatal("absence alone ended an attempt whose start may still be in flight")
	}
	heartbeat := &protocol.AgentHeartbeat{Machine: "m-1", Address: "w", MachineType: "small", Zone: "z", Epoch: 2, Sequence: 4, FencingToken: grantToken}
	f.reconciler.observeHeartbeat(f.agent(), heartbeat, true)
	if f.liveAttempts() != 0 {
		t.Error("a new epoch did not end the attempt")
	}
}

// TestOutboundPartition: a machine whose heartbeats do not arrive gets no new tasks, although
// commands reach it, since its lease will expire while they run.
func TestOutboundPartition(t *testing.T) {
	f := newFixture(t)
	f.heartbeat(1, grantToken)
	if !f.reconciler.schedulable(f.agent(), f.now) {
		t.Fatal("the machine is not schedulable before the partition")
	}
	f.now += 8 * time.Second
	f.refreshViewAndLeases()
	heartbeat := &protocol.AgentHeartbeat{Machine: "m-1", Address: "w", Epoch: 1, Sequence: 9, FencingToken: grantToken}
	f.reconciler.observeHeartbeat(f.agent(), heartbeat, false)
	if f.reconciler.schedulable(f.agent(), f.now) {
		t.Error("the machine is schedulable because it answered a command request")
	}
	if silent := f.reconciler.MachineStatuses()[0].Silent; silent != 8*time.Second {
		t.Errorf("silent for %s", silent)
	}
}

// TestGrantsWithinQuota: a holder reports the grants whose job shards use no more than the quota
// split allows. Attempts that only may be on the machines count as well.
func TestGrantsWithinQuota(t *testing.T) {
	f := newFixture(t, inheritedIntent, storage.IntentEntry(1, "m-1", 10))
	if tokens := f.reconciler.GrantsWithinQuota(); !slices.Equal(tokens, []uint64{grantToken}) {
		t.Fatalf("8 of 8 CPUs: %v", tokens)
	}
	f.view.Teams[0].MaxCPUs = 4
	if tokens := f.reconciler.GrantsWithinQuota(); len(tokens) != 0 {
		t.Errorf("8 of 4 CPUs: %v", tokens)
	}
}

// TestAttemptNumbersExhausted: attempt numbers increase up to the last one of a grant. A holder
// that has used them all must restart under another grant. If the numbers wrapped around below
// those in the records, a terminated attempt would be mistaken for a later one.
func TestAttemptNumbersExhausted(t *testing.T) {
	f := newFixture(t)
	f.reconciler.attemptCounter = defaultMaxAttemptNumbers - 1
	if f.reconciler.AttemptNumbersExhausted() {
		t.Error("exhausted with one number left")
	}
	last := f.reconciler.nextAttemptNumber(f.agent())
	if election.TokenSerial(last) != election.TokenSerial(grantToken) || last&(election.DerivedNumbersPerGrant-1) != defaultMaxAttemptNumbers {
		t.Errorf("attempt %x under grant %x", last, uint64(grantToken))
	}
	if !f.reconciler.AttemptNumbersExhausted() {
		t.Error("not exhausted after the last number")
	}
}

// TestPendingJobs: a blocked job is not pending until its dependency is done.
func TestPendingJobs(t *testing.T) {
	f := newFixture(t)
	f.remove(storage.JobKey("run-1"))
	for id, kind := range map[string]string{"run-20": protocol.KindArray, "run-21": protocol.KindService} {
		f.apply(storage.JobKey(id), storage.JobRecord{Spec: protocol.JobSpec{
			ID: id, Team: "red", Kind: kind, Priority: "normal", Tasks: 2, CPUs: 2, MemoryGB: 1, Dependencies: []string{"run-7"},
		}})
	}
	if list := f.reconciler.pendingJobs(f.now); len(list) > 0 {
		t.Errorf("blocked: %d pending jobs", len(list))
	}
	f.view.SetOutcome("run-7", storage.FinalRecord{Stage: protocol.StageDone})
	if list := f.reconciler.pendingJobs(f.now); len(list) != 2 {
		t.Errorf("dependency done: %d pending jobs", len(list))
	}
}

// startOwn has the reconciler start run-1/0 and run-1/1 as far as m-1 has room, and returns the
// status of the attempt that it started.
func (f *fixture) startOwn() protocol.TaskStatus {
	f.t.Helper()
	f.heartbeat(1, grantToken)
	f.reconciler.pass()
	f.applyTransactions()
	f.reconciler.pass()
	for _, request := range f.commandRequests {
		for _, command := range request.Commands {
			if command.Verb == protocol.VerbStart {
				return protocol.TaskStatus{Task: command.Task, Attempt: command.Attempt, State: protocol.TaskRunning}
			}
		}
	}
	f.t.Fatal("no task was started")
	return protocol.TaskStatus{}
}

// announcedToken returns the highest fencing token that was sent to m-1 in a command request.
func (f *fixture) announcedToken() (token uint64) {
	for _, request := range f.commandRequests {
		token = max(token, request.FencingToken)
	}
	return token
}

// attemptsWithStart counts the attempts at the task of a status that are not confirmed
// terminated.
func (f *fixture) attemptsWithStart(status protocol.TaskStatus) int {
	f.t.Helper()
	_, task, err := protocol.ParseTaskName(status.Task)
	if err != nil {
		f.t.Fatal(err)
	}
	return f.attemptsOf(task)
}

// TestVanishedAttemptNeedsFence guards against a task that runs on two machines: a machine
// restarts, its agent no longer lists the task, and a delayed copy of the start runs it again
// after it was started elsewhere.
func TestVanishedAttemptNeedsFence(t *testing.T) {
	f := newFixture(t)
	running := f.startOwn()
	startToken := f.agent().fence.highestStartToken
	f.agent().commands.Finish()
	f.heartbeat(2, startToken, running)
	f.commandRequests = nil
	answer, err := f.heartbeat(3, startToken)
	if err != nil || answer.FencingToken <= startToken {
		t.Errorf("the answer does not announce a token above the start's %x: %x, %v", startToken, answer.FencingToken, err)
	}
	f.reconciler.pass()
	if f.attemptsWithStart(running) != 1 {
		t.Error("absence ended the attempt although its start may still be executed")
	}
	if f.announcedToken() <= startToken {
		t.Error("no command request announces a token above the start's")
	}
	f.heartbeat(4, f.agent().fence.current)
	if f.liveAttempts() != 0 {
		t.Error("the attempt still counts although the agent rejects its start")
	}
}

// TestVanishedAttemptReappears checks that an attempt that a delayed start runs again goes on,
// instead of a second one.
func TestVanishedAttemptReappears(t *testing.T) {
	f := newFixture(t)
	running := f.startOwn()
	startToken := f.agent().fence.highestStartToken
	f.heartbeat(2, startToken, running)
	f.heartbeat(3, startToken)
	fetching := running
	fetching.State = protocol.TaskFetching
	f.heartbeat(4, f.agent().fence.current, fetching)
	f.heartbeat(5, f.agent().fence.current, running)
	if f.liveAttempts() != 1 || f.attemptsWithStart(running) != 1 {
		t.Error("the attempt does not count, but runs")
	}
}

// TestReportedEndNeedsFence guards against the same after a reported end that is not a completion:
// the machine may restart before the task is reaped, and forget that it ended.
func TestReportedEndNeedsFence(t *testing.T) {
	for _, cause := range []string{protocol.CauseError, protocol.CauseStopped, protocol.CauseNoCapacity} {
		f := newFixture(t)
		running := f.startOwn()
		startToken := f.agent().fence.highestStartToken
		f.agent().commands.Finish()
		f.heartbeat(2, startToken, running)
		ended := running
		ended.State, ended.Cause = protocol.TaskEnded, cause
		f.commandRequests = nil
		f.heartbeat(3, startToken, ended)
		if f.attemptsWithStart(running) != 1 {
			t.Errorf("%s: the task may be started elsewhere although a copy of its start may still be executed", cause)
		}
		if f.agent().load.cpus == 0 {
			t.Errorf("%s: the attempt uses no quota although a copy of its start may still be executed", cause)
		}
		f.reconciler.pass()
		if f.announcedToken() <= startToken {
			t.Errorf("%s: no command request announces a token above the start's", cause)
		}
		f.heartbeat(4, f.agent().fence.current, ended)
		if f.attemptsWithStart(running) != 0 {
			t.Errorf("%s: the attempt still counts although the agent rejects its start", cause)
		}
		if f.agent().load.cpus != 0 {
			t.Errorf("%s: the attempt still uses %v CPUs", cause, f.agent().load.cpus)
		}
	}
}
