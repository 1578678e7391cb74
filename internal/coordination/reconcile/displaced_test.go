package reconcile

import (
	"testing"
	"time"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// otherShard is a shard that the fixture does not hold.
const otherShard = 1

// newDisplacedFixture makes a fixture that knows run-1/0 to run on m-1, of which the records
// then say that it is in a group of another shard. m-2 has room for the task.
func newDisplacedFixture(t *testing.T) *fixture {
	t.Helper()
	f := newFixture(t, inheritedIntent)
	f.heartbeat(1, grantToken, runningStatus)
	f.apply(storage.MachineGroupKey("second"), storage.MachineGroupRecord{
		Type: "small", Zone: "z", Shard: otherShard, FencingToken: grantToken + 1<<24, Machines: []storage.MachineEntry{{Name: "m-1", Address: "w"}},
	})
	f.recordsChanged()
	f.apply(storage.MachineGroupKey("c"), storage.MachineGroupRecord{Type: "small", Zone: "z", Machines: []storage.MachineEntry{{Name: "m-2", Address: "v"}}})
	f.recordsChanged()
	f.heartbeatOf("m-2", 1)
	f.reconciler.pass()
	return f
}

// heartbeatOf hands an empty heartbeat of a machine to the reconciler.
func (f *fixture) heartbeatOf(machine string, sequence uint64) {
	f.t.Helper()
	if _, err := f.deliver(&protocol.AgentHeartbeat{
		Machine: machine, Address: "v", MachineType: "small", Zone: "z", Epoch: 1, Sequence: sequence, FencingToken: grantToken,
	}); err != nil {
		f.t.Fatal(err)
	}
}

// attemptsAt counts the attempts at run-1/0 that are not proven over, on all machines.
func (f *fixture) attemptsAt(task int) int {
	job, _ := f.view.Jobs.Find("run-1")
	return f.reconciler.attemptsByTask[storage.TaskRef{Job: job, Task: task}]
}

// answerInquiry lets m-1 say what is on it.
func (f *fixture) answerInquiry(h protocol.AgentHeartbeat) {
	f.t.Helper()
	agent := f.agent()
	if agent == nil || !agent.isDisplaced() {
		f.t.Fatal("m-1 is not kept")
	}
	h.Machine = "m-1"
	f.reconciler.observeDisplaced(agent, &h)
	f.reconciler.Tick()
	f.reconciler.pass()
}

// TestDisplacedMachineKeepsItsTasks: a record that puts a machine into another shard proves
// nothing of what runs on it. A machine that was recorded a second time was let go so, and its
// task was started on another while it ran.
func TestDisplacedMachineKeepsItsTasks(t *testing.T) {
	f := newDisplacedFixture(t)
	if agent := f.agent(); agent == nil || f.liveAttempts() != 1 || f.attemptsAt(0) != 1 {
		t.Fatal("the task that runs on m-1 is not counted any more")
	}
	m2 := f.reconciler.agents.find("m-2")
	for ref := range m2.attempts {
		if ref.Task == 0 {
			t.Error("the task is placed on m-2 while it runs on m-1")
		}
	}
	if f.reconciler.schedulable(f.agent(), f.now) {
		t.Error("m-1 takes new tasks")
	}
	for _, status := range f.reconciler.MachineStatuses() {
		if status.Name == "m-1" {
			t.Error("the leader is told of m-1 by one that does not hold it")
		}
	}
}

// TestDisplacedAttemptsEndByProof: an attempt on a displaced machine is over once that is
// proven, and not before.
func TestDisplacedAttemptsEndByProof(t *testing.T) {
	higher := uint64(grantToken + 1<<24)
	for _, c := range []struct {
		name     string
		heard    protocol.AgentHeartbeat
		attempts int
	}{
		{"it is still listed", protocol.AgentHeartbeat{Epoch: 1, Sequence: 2, FencingToken: higher, Tasks: []protocol.TaskStatus{runningStatus}}, 1},
		{"an old word does not list it", protocol.AgentHeartbeat{Epoch: 1, Sequence: 1, FencingToken: higher}, 1},
		{"it has gone", protocol.AgentHeartbeat{Epoch: 1, Sequence: 2, FencingToken: higher}, 0},
		{"it was stopped", protocol.AgentHeartbeat{Epoch: 1, Sequence: 2, FencingToken: higher, Tasks: []protocol.TaskStatus{
			{Task: "run-1/0", Attempt: 9, State: protocol.TaskEnded, Cause: protocol.CauseStopped}}}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newDisplacedFixture(t)
			agent := f.agent()
			f.answerInquiry(c.heard)
			if got := len(agent.attempts); got != c.attempts {
				t.Errorf("%d attempts count on m-1", got)
			}
			if c.attempts == 0 && f.agent() != nil {
				t.Error("m-1 is kept with nothing on it")
			}
		})
	}
}

// TestDisplacedStartNeedsFence: a start that was sent and never seen may still arrive until the
// machine shows a token above its own.
func TestDisplacedStartNeedsFence(t *testing.T) {
	for token, attempts := range map[uint64]int{grantToken - 2: 1, grantToken - 1: 1, grantToken: 0} {
		f := newFixture(t, inheritedIntent) // not seen: it may have been started under tokens below the grant's
		f.apply(storage.MachineGroupKey("second"), storage.MachineGroupRecord{
			Type: "small", Zone: "z", Shard: otherShard, Machines: []storage.MachineEntry{{Name: "m-1", Address: "w"}},
		})
		f.recordsChanged()
		agent := f.agent()
		f.answerInquiry(protocol.AgentHeartbeat{Epoch: 1, Sequence: 1, FencingToken: token})
		if got := len(agent.attempts); got != attempts {
			t.Errorf("under token %x %d attempts count", token, got)
		}
	}
}

// TestDisplacedInquiries: a displaced machine is asked under a token that fences nobody, and
// the silence of one that another holder may answer proves nothing, however long it lasts.
func TestDisplacedInquiries(t *testing.T) {
	f := newDisplacedFixture(t)
	f.commandRequests = nil
	f.agent().commands.Finish() // of the request made while it was held
	f.now += 5 * time.Minute
	f.refreshViewAndLeases()
	f.reconciler.Tick()
	if f.liveAttempts() != 1 {
		t.Error("silence ended what another holder may keep alive")
	}
	asked := 0
	for _, request := range f.commandRequests {
		if request.FencingToken >= grantToken {
			t.Errorf("%+v", request)
		}
		if len(request.Commands) == 0 && request.FencingToken == inquiryToken {
			asked++
		}
	}
	if asked != 1 {
		t.Errorf("asked %d times", asked)
	}
}

// TestUnnamedMachineOutlivesItsGroup: that no group names a machine does not say that it was
// deleted. Nobody answers it then, so its lease runs out, counted from when it was last named.
func TestUnnamedMachineOutlivesItsGroup(t *testing.T) {
	f := newFixture(t, inheritedIntent)
	f.heartbeat(1, grantToken, runningStatus)
	f.remove(storage.MachineGroupKey("b"))
	f.recordsChanged()
	if f.agent() == nil || f.liveAttempts() != 1 {
		t.Fatal("the task is not counted any more")
	}
	f.now += f.reconciler.AgentSettings.Lease()
	f.refreshViewAndLeases()
	f.reconciler.Tick()
	if f.liveAttempts() != 1 {
		t.Error("the task ended before the lease can have expired")
	}
	f.now += f.reconciler.MaxStaleness + time.Minute
	f.refreshViewAndLeases()
	f.reconciler.Tick()
	if f.attemptsAt(0) != 0 {
		t.Error("the task is counted after the lease has expired")
	}
}

// TestDeletedMachineEndsItsTasks: a machine that the records call deleted runs nothing, whose
// shard it was in.
func TestDeletedMachineEndsItsTasks(t *testing.T) {
	f := newDisplacedFixture(t)
	f.apply(storage.MachineGroupKey("second"), storage.MachineGroupRecord{
		Type: "small", Zone: "z", Shard: otherShard, Machines: []storage.MachineEntry{{Name: "m-1", Phase: storage.PhaseDeleted}},
	})
	f.recordsChanged()
	if f.agent() != nil || f.attemptsAt(0) != 0 {
		t.Error("the task on the deleted machine is still counted")
	}
}

// TestDisplacedMachinesAreFoundAgain: the next holder of a shard counts what the pages of the
// shard name on machines of others, for jobs that have not ended.
func TestDisplacedMachinesAreFoundAgain(t *testing.T) {
	f := newFixture(t)
	f.apply(storage.MachineGroupKey("second"), storage.MachineGroupRecord{
		Type: "small", Zone: "z", Shard: otherShard, Machines: []storage.MachineEntry{{Name: "m-3", Address: "w"}},
	})
	f.apply(storage.IntentPageKey(firstPage), storage.IntentPage{"run-1": {storage.IntentEntry(0, "m-3", 9)}, "run-9": {storage.IntentEntry(0, "m-3", 8)}})
	f.regrant(grantToken + 1<<24)
	if f.attemptsAt(0) != 1 {
		t.Error("an attempt on a machine of another shard is not counted")
	}
	if agent := f.reconciler.agents.find("m-3"); agent == nil || !agent.isDisplaced() || len(agent.attempts) != 1 {
		t.Errorf("m-3: %+v", agent)
	}
}

// regrant lets the shard be lost and granted anew.
func (f *fixture) regrant(token uint64) {
	f.t.Helper()
	f.apply(storage.GrantKey(0), storage.GrantRecord{Controller: "b", Incarnation: 1, FencingToken: token})
	f.recordsChanged()
	f.apply(storage.GrantKey(0), storage.GrantRecord{Controller: "a", Incarnation: f.replica.Incarnation, FencingToken: token + 1<<24})
	f.recordsChanged()
}

// TestUnsentAttemptsNeedNoProof: an attempt that no start was sent for can't be on the machine,
// so a machine that has no other is let go.
func TestUnsentAttemptsNeedNoProof(t *testing.T) {
	f := newFixture(t)
	f.heartbeat(1, grantToken)
	f.reconciler.pass()
	if f.liveAttempts() != 1 {
		t.Fatalf("%d attempts are planned on m-1", f.liveAttempts())
	}
	f.apply(storage.MachineGroupKey("second"), storage.MachineGroupRecord{
		Type: "small", Zone: "z", Shard: otherShard, Machines: []storage.MachineEntry{{Name: "m-1", Address: "w"}},
	})
	f.recordsChanged()
	if f.agent() != nil || f.attemptsAt(0)+f.attemptsAt(1) != 0 {
		t.Error("m-1 is kept for a task that was never sent there")
	}
}
