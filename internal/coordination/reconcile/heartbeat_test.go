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

// TestFenceBeforeDeciding: absence from a heartbeat proves nothing while a command of a
// former holder may still take effect; it does once the agent has seen this holder's
// fencing token.
func TestFenceBeforeDeciding(t *testing.T) {
	f := newFixture(t, inheritedIntent)
	f.heartbeat(1, grantToken-1)
	if f.liveAttempts() != 1 {
		t.Fatal("an unfenced heartbeat ended what a former holder may have started")
	}
	f.heartbeat(2, grantToken)
	if f.liveAttempts() != 0 {
		t.Error("a fenced heartbeat did not end it")
	}
}

// TestOldHeartbeatsAreIgnored: a heartbeat that was held back on its way is not news.
func TestOldHeartbeatsAreIgnored(t *testing.T) {
	f := newFixture(t, inheritedIntent)
	f.heartbeat(7, grantToken, runningStatus)
	f.heartbeat(3, grantToken)
	if f.liveAttempts() != 1 {
		t.Error("an older heartbeat ended a running task")
	}
}

// TestLostOnlyWhenLeaseExpired: silence alone proves nothing; the end of the agent's lease
// does, counted from when a former holder may last have renewed it.
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
			t.Errorf("after %s, %d attempts count", c.after, f.liveAttempts())
		}
	}
}

// TestUnprovenAttemptsCount: whatever may be on a machine counts against the team's quota,
// seen or not.
func TestUnprovenAttemptsCount(t *testing.T) {
	f := newFixture(t, inheritedIntent)
	if got := f.reconciler.usage.ofShard(0)[0].CPUs; got != 4 {
		t.Errorf("an inherited attempt counts as %v CPUs", got)
	}
	f.heartbeat(1, grantToken)
	if got := f.reconciler.usage.ofShard(0)[0].CPUs; got != 0 {
		t.Errorf("once it has ended it counts as %v CPUs", got)
	}
}

// TestNotEntitled: a holder whose knowledge is too old, or whose shard lease has expired,
// does not renew agents' leases.
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
	expect(2, grantToken, api.ErrNotEntitled, "with old knowledge")
	f.refreshViewAndLeases()
	expect(3, grantToken, nil, "with fresh knowledge")
	f.now += leaseExtension
	f.refreshView()
	expect(4, grantToken, api.ErrNotEntitled, "without a shard lease")
	f.refreshViewAndLeases()
	expect(5, grantToken+1<<24, api.ErrNotEntitled, "to an agent that has seen a higher token")
}

// TestCopiesRenewNothing: a copy of a heartbeat that comes long after it was sent renews
// no lease: nobody waits for the answer, and the machine may be gone.
func TestCopiesRenewNothing(t *testing.T) {
	f := newFixture(t)
	f.heartbeat(5, grantToken)
	answeredAt := f.agent().contact.lastAnsweredAt
	f.now += membership.AgentAnswerTimeout + time.Second
	f.refreshViewAndLeases()
	if _, err := f.heartbeat(5, grantToken); !errors.Is(err, api.ErrOldHeartbeat) {
		t.Errorf("a late copy: %v", err)
	}
	if _, err := f.heartbeat(3, grantToken); !errors.Is(err, api.ErrOldHeartbeat) || f.agent().contact.lastAnsweredAt != answeredAt {
		t.Errorf("an older one: %v, answered at %s", err, f.agent().contact.lastAnsweredAt)
	}
	if _, err := f.heartbeat(6, grantToken); err != nil || f.agent().contact.lastAnsweredAt != f.now {
		t.Errorf("a new one: %v", err)
	}
}

// TestNewEpochEndsStarts: a start that was sent and never seen is over once the agent's
// epoch has moved on: its lease has ended everything, and commands name their epoch.
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
		t.Fatal("absence alone ended a start that may be on its way")
	}
	r := &protocol.AgentHeartbeat{Machine: "m-1", Address: "w", MachineType: "small", Zone: "z", Epoch: 2, Sequence: 4, FencingToken: grantToken}
	f.reconciler.observeHeartbeat(f.agent(), r, true)
	if f.liveAttempts() != 0 {
		t.Error("a new epoch did not end it")
	}
}

// TestOutboundPartition: a machine whose heartbeats reach nobody is not given tasks,
// although commands reach it: its lease runs out under them.
func TestOutboundPartition(t *testing.T) {
	f := newFixture(t)
	f.heartbeat(1, grantToken)
	if !f.reconciler.schedulable(f.agent(), f.now) {
		t.Fatal("it takes no tasks at all")
	}
	f.now += 8 * time.Second
	f.refreshViewAndLeases()
	r := &protocol.AgentHeartbeat{Machine: "m-1", Address: "w", Epoch: 1, Sequence: 9, FencingToken: grantToken}
	f.reconciler.observeHeartbeat(f.agent(), r, false)
	if f.reconciler.schedulable(f.agent(), f.now) {
		t.Error("it takes tasks on the strength of an answer to a command")
	}
	if silent := f.reconciler.MachineStatuses()[0].Silent; silent != 8*time.Second {
		t.Errorf("silent for %s", silent)
	}
}

// TestGrantsWithinQuota: a holder vouches for the grants under which nothing takes more
// than the quota split allows, whatever may be on the machines counted in.
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

// TestLastAttemptNumber: attempt numbers of one grant rise up to the last; the holder that
// has used them up must start over instead of beginning anew below those that the records
// name, where an attempt that is over would be taken for the later one.
func TestLastAttemptNumber(t *testing.T) {
	f := newFixture(t)
	f.reconciler.attemptCounter = defaultMaxAttemptNumbers - 1
	if f.reconciler.AttemptNumbersExhausted() {
		t.Error("used up with a number left")
	}
	last := f.reconciler.nextAttemptNumber(f.agent())
	if election.TokenSerial(last) != election.TokenSerial(grantToken) || last&(election.HolderSteps-1) != defaultMaxAttemptNumbers {
		t.Errorf("attempt %x under grant %x", last, uint64(grantToken))
	}
	if !f.reconciler.AttemptNumbersExhausted() {
		t.Error("not used up after the last number")
	}
}

// TestPendingJobs: a job that waits for another has nothing to place until that is done.
func TestPendingJobs(t *testing.T) {
	f := newFixture(t)
	f.remove(storage.JobKey("run-1"))
	for id, kind := range map[string]string{"run-20": protocol.KindArray, "run-21": protocol.KindService} {
		f.apply(storage.JobKey(id), storage.JobRecord{Spec: protocol.JobSpec{
			ID: id, Team: "red", Kind: kind, Priority: "normal", Tasks: 2, CPUs: 2, MemoryGB: 1, Dependencies: []string{"run-7"},
		}})
	}
	if list := f.reconciler.pendingJobs(f.now); len(list) > 0 {
		t.Errorf("while they wait: %d jobs to place", len(list))
	}
	f.view.SetOutcome("run-7", storage.FinalRecord{Stage: protocol.StageDone})
	if list := f.reconciler.pendingJobs(f.now); len(list) != 2 {
		t.Errorf("released: %d jobs to place", len(list))
	}
}
