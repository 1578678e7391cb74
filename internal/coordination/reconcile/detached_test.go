package reconcile

import (
	"testing"
	"time"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// unheldShard is a shard that the fixture does not hold.
const unheldShard = 1

// newDetachedFixture makes a fixture in which m-1 runs run-1/0, and the records then place m-1
// in a group of another shard. m-2 has capacity for the task.
func newDetachedFixture(t *testing.T) *fixture {
	t.Helper()
	f := newFixture(t, inheritedIntent)
	f.heartbeat(1, grantToken, runningStatus)
	f.apply(storage.MachineGroupKey("second"), storage.MachineGroupRecord{
		Type: "small", Zone: "z", Shard: unheldShard, FencingToken: grantToken + 1<<24, Machines: []storage.MachineEntry{{Name: "m-1", Address: "w"}},
	})
	f.recordsChanged()
	f.apply(storage.MachineGroupKey("c"), storage.MachineGroupRecord{Type: "small", Zone: "z", Machines: []storage.MachineEntry{{Name: "m-2", Address: "v"}}})
	f.recordsChanged()
	f.heartbeatFrom("m-2", 1)
	f.reconciler.pass()
	return f
}

// heartbeatFrom delivers a heartbeat without tasks from a machine to the reconciler.
func (f *fixture) heartbeatFrom(machine string, sequence uint64) {
	f.t.Helper()
	if _, err := f.deliver(&protocol.AgentHeartbeat{
		Machine: machine, Address: "v", MachineType: "small", Zone: "z", Epoch: 1, Sequence: sequence, FencingToken: grantToken,
	}); err != nil {
		f.t.Fatal(err)
	}
}

// attemptsOf counts the attempts of a task of run-1, on all machines, that are not confirmed
// terminated.
func (f *fixture) attemptsOf(task int) int {
	job, _ := f.view.Jobs.Find("run-1")
	return f.reconciler.attemptsByTask[storage.TaskRef{Job: job, Task: task}]
}

// answerProbe delivers the heartbeat of detached m-1 that answers a probe, and runs a pass.
func (f *fixture) answerProbe(heartbeat protocol.AgentHeartbeat) {
	f.t.Helper()
	agent := f.agent()
	if agent == nil || !agent.isDetached() {
		f.t.Fatal("m-1 is not detached")
	}
	heartbeat.Machine = "m-1"
	f.reconciler.observeDetached(agent, &heartbeat)
	f.reconciler.Tick()
	f.reconciler.pass()
}

// TestDetachedMachineRetainsAttempts: a record that places a machine in another shard does not
// prove that its tasks have terminated. A machine that was recorded in a second group used to
// be released, and its task was started on another machine while the first attempt still ran.
func TestDetachedMachineRetainsAttempts(t *testing.T) {
	f := newDetachedFixture(t)
	if agent := f.agent(); agent == nil || f.liveAttempts() != 1 || f.attemptsOf(0) != 1 {
		t.Fatal("the task running on m-1 is no longer counted")
	}
	m2 := f.reconciler.agents.find("m-2")
	for ref := range m2.attempts {
		if ref.Task == 0 {
			t.Error("the task is placed on m-2 while it runs on m-1, which is detached")
		}
	}
	if f.reconciler.schedulable(f.agent(), f.now) {
		t.Error("detached m-1 is schedulable")
	}
	for _, status := range f.reconciler.MachineStatuses() {
		if status.Name == "m-1" {
			t.Error("a controller that does not hold m-1 reports its status to the leader")
		}
	}
}

// TestDetachedAttemptsEndWhenConfirmed: an attempt on a detached machine counts until it is
// confirmed terminated.
func TestDetachedAttemptsEndWhenConfirmed(t *testing.T) {
	higher := uint64(grantToken + 1<<24)
	for _, c := range []struct {
		name      string
		heartbeat protocol.AgentHeartbeat
		attempts  int
	}{
		{"still listed", protocol.AgentHeartbeat{Epoch: 1, Sequence: 2, FencingToken: higher, Tasks: []protocol.TaskStatus{runningStatus}}, 1},
		{"absent from an old heartbeat", protocol.AgentHeartbeat{Epoch: 1, Sequence: 1, FencingToken: higher}, 1},
		{"absent from a new heartbeat", protocol.AgentHeartbeat{Epoch: 1, Sequence: 2, FencingToken: higher}, 0},
		{"listed as stopped", protocol.AgentHeartbeat{Epoch: 1, Sequence: 2, FencingToken: higher, Tasks: []protocol.TaskStatus{
			{Task: "run-1/0", Attempt: 9, State: protocol.TaskEnded, Cause: protocol.CauseStopped}}}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newDetachedFixture(t)
			agent := f.agent()
			f.answerProbe(c.heartbeat)
			if got := len(agent.attempts); got != c.attempts {
				t.Errorf("%d attempts on m-1", got)
			}
			if c.attempts == 0 && f.agent() != nil {
				t.Error("m-1 is still detached without attempts")
			}
		})
	}
}

// TestDetachedStartNeedsFence: a start that was sent may still be delivered to a detached
// machine until the machine reports a higher token than the start's.
func TestDetachedStartNeedsFence(t *testing.T) {
	for token, attempts := range map[uint64]int{grantToken - 2: 1, grantToken - 1: 1, grantToken: 0} {
		f := newFixture(t, inheritedIntent) // never listed: it may have been started with tokens below the grant's
		f.apply(storage.MachineGroupKey("second"), storage.MachineGroupRecord{
			Type: "small", Zone: "z", Shard: unheldShard, Machines: []storage.MachineEntry{{Name: "m-1", Address: "w"}},
		})
		f.recordsChanged()
		agent := f.agent()
		f.answerProbe(protocol.AgentHeartbeat{Epoch: 1, Sequence: 1, FencingToken: token})
		if got := len(agent.attempts); got != attempts {
			t.Errorf("after token %x was reported: %d attempts", token, got)
		}
	}
}

// TestDetachedMachineProbes: a detached machine is probed with a token that fences no holder.
// While another holder may renew the agent's lease, even a long lack of answers proves nothing.
func TestDetachedMachineProbes(t *testing.T) {
	f := newDetachedFixture(t)
	f.commandRequests = nil
	f.agent().commands.Finish() // of the request sent before the machine was detached
	f.now += 5 * time.Minute
	f.refreshViewAndLeases()
	f.reconciler.Tick()
	if f.liveAttempts() != 1 {
		t.Error("missing answers ended an attempt whose lease another holder may renew")
	}
	probes := 0
	for _, request := range f.commandRequests {
		if request.FencingToken >= grantToken {
			t.Errorf("request with a token that fences a holder: %+v", request)
		}
		if len(request.Commands) == 0 && request.FencingToken == probeToken {
			probes++
		}
	}
	if probes != 1 {
		t.Errorf("%d probes, want 1", probes)
	}
}

// TestMachineWithoutGroupEndsByLease: a machine that no group names any more need not have been
// deleted. No controller answers its heartbeats, so its attempts count until the agent's lease
// has expired, counted from when a group last named the machine.
func TestMachineWithoutGroupEndsByLease(t *testing.T) {
	f := newFixture(t, inheritedIntent)
	f.heartbeat(1, grantToken, runningStatus)
	f.remove(storage.MachineGroupKey("b"))
	f.recordsChanged()
	if f.agent() == nil || f.liveAttempts() != 1 {
		t.Fatal("the task is no longer counted")
	}
	f.now += f.reconciler.AgentSettings.Lease()
	f.refreshViewAndLeases()
	f.reconciler.Tick()
	if f.liveAttempts() != 1 {
		t.Error("the attempt ended before the lease has certainly expired")
	}
	f.now += f.reconciler.MaxStaleness + time.Minute
	f.refreshViewAndLeases()
	f.reconciler.Tick()
	if f.attemptsOf(0) != 0 {
		t.Error("the attempt still counts after the lease has expired")
	}
}

// TestDeletedMachineEndsAttempts: a machine that the records mark as deleted runs nothing,
// whichever shard it was in.
func TestDeletedMachineEndsAttempts(t *testing.T) {
	f := newDetachedFixture(t)
	f.apply(storage.MachineGroupKey("second"), storage.MachineGroupRecord{
		Type: "small", Zone: "z", Shard: unheldShard, Machines: []storage.MachineEntry{{Name: "m-1", Phase: storage.PhaseDeleted}},
	})
	f.recordsChanged()
	if f.agent() != nil || f.attemptsOf(0) != 0 {
		t.Error("the task on the deleted machine is still counted")
	}
}

// TestNewHolderFindsDetachedMachines: the next holder of a shard counts the attempts that the
// shard's intent pages name on machines of other shards, unless their jobs have ended.
func TestNewHolderFindsDetachedMachines(t *testing.T) {
	f := newFixture(t)
	f.apply(storage.MachineGroupKey("second"), storage.MachineGroupRecord{
		Type: "small", Zone: "z", Shard: unheldShard, Machines: []storage.MachineEntry{{Name: "m-3", Address: "w"}},
	})
	f.apply(storage.IntentPageKey(firstPage), storage.IntentPage{"run-1": {storage.IntentEntry(0, "m-3", 9)}, "run-9": {storage.IntentEntry(0, "m-3", 8)}})
	f.regrant(grantToken + 1<<24)
	if f.attemptsOf(0) != 1 {
		t.Error("the attempt on a machine of another shard is not counted")
	}
	if agent := f.reconciler.agents.find("m-3"); agent == nil || !agent.isDetached() || len(agent.attempts) != 1 {
		t.Errorf("m-3: %+v", agent)
	}
}

// regrant grants the shard to another controller, and then to the fixture's controller again.
func (f *fixture) regrant(token uint64) {
	f.t.Helper()
	f.apply(storage.GrantKey(0), storage.GrantRecord{Controller: "b", Incarnation: 1, FencingToken: token})
	f.recordsChanged()
	f.apply(storage.GrantKey(0), storage.GrantRecord{Controller: "a", Incarnation: f.replica.Incarnation, FencingToken: token + 1<<24})
	f.recordsChanged()
}

// TestDetachEndsUnsentAttempts: an attempt whose start was never sent cannot be on the machine,
// so a machine with no other attempts is released instead of detached.
func TestDetachEndsUnsentAttempts(t *testing.T) {
	f := newFixture(t)
	f.heartbeat(1, grantToken)
	f.reconciler.pass()
	if f.liveAttempts() != 1 {
		t.Fatalf("%d attempts planned on m-1", f.liveAttempts())
	}
	f.apply(storage.MachineGroupKey("second"), storage.MachineGroupRecord{
		Type: "small", Zone: "z", Shard: unheldShard, Machines: []storage.MachineEntry{{Name: "m-1", Address: "w"}},
	})
	f.recordsChanged()
	if f.agent() != nil || f.attemptsOf(0)+f.attemptsOf(1) != 0 {
		t.Error("m-1 is detached for an attempt whose start was never sent")
	}
}
