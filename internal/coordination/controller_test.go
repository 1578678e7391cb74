package coordination

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"rockrun/internal/coordination/api"
	"rockrun/internal/coordination/membership"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// TestLastAttemptNumber: a holder that has used up the attempt numbers of its grant starts
// over instead of beginning anew below those that the records name, where an attempt that
// is over would be taken for the later one.
func TestLastAttemptNumber(t *testing.T) {
	b := newTestController(t)
	b.controller.maxAttempts = 1
	b.watched = false
	b.controller.beginGeneration()
	b.grantShard()
	before := b.controller.replica.Incarnation
	b.heartbeat(1, grantToken)
	if b.controller.tick(); b.controller.replica.Incarnation != before {
		t.Fatal("it started over with an attempt number left")
	}
	b.runTimers()
	if tasks := b.statuses()["m-1"].Tasks; tasks != 1 || !b.controller.reconciler.AttemptNumbersExhausted() {
		t.Fatalf("%d tasks are planned", tasks)
	}
	b.controller.tick()
	if b.controller.replica.Incarnation <= before || b.controller.replica.Ready() || b.controller.reconciler.AttemptNumbersExhausted() {
		t.Errorf("incarnation %d after %d, ready %v", b.controller.replica.Incarnation, before, b.controller.replica.Ready())
	}
	if b.controller.leases.Holds(0) {
		t.Error("it still holds what its former incarnation was granted")
	}
}

// TestHeartbeatAllocations: a heartbeat without news is what a controller gets most of. It
// must cost next to nothing to answer.
func TestHeartbeatAllocations(t *testing.T) {
	b := newTestController(t, inherited)
	b.heartbeat(1, grantToken, running)
	b.runTimers() // what the first heartbeat asked for is sent
	r := &protocol.AgentHeartbeat{Machine: "m-1", Address: "w", MachineType: "small", Zone: "z", Epoch: 1, Sequence: 1, FencingToken: grantToken, Tasks: []protocol.TaskStatus{running}}
	reply := func(a api.Answer) {
		if a.Status != 200 {
			t.Fatalf("status %d", a.Status)
		}
	}
	if n := testing.AllocsPerRun(200, func() {
		r.Sequence++
		b.controller.OnAgentHeartbeat(r, reply)
	}); n > 2 {
		t.Errorf("%v allocations for a heartbeat without news", n)
	}
}

// stopsWithoutGrace reports whether commands stop run-1/0 at once.
func stopsAtOnce(commands []protocol.Command) bool {
	return slices.ContainsFunc(commands, func(c protocol.Command) bool {
		return c.Verb == protocol.VerbStop && c.Task == "run-1/0" && c.GraceSeconds != nil && *c.GraceSeconds == 0
	})
}

// running is the status of that attempt while it runs.
var running = protocol.TaskStatus{Task: "run-1/0", Attempt: 9, State: protocol.TaskRunning}

// TestToldOfCancellation: a controller whose knowledge is too old to renew leases still
// stops what it is told was cancelled, starts nothing of it, and answers no heartbeat.
func TestToldOfCancellation(t *testing.T) {
	b := newTestController(t, inherited)
	b.heartbeat(1, grantToken, running)
	b.now += b.controller.maxStaleness + time.Second
	b.failCommands()
	b.now += 2 * time.Second // more than commands without an answer are followed by
	b.commandRequests = nil
	b.controller.OnPeer(protocol.PeerRequest{Cancelled: []string{"run-1", "run-77"}}, func(protocol.PeerAnswer) {})
	if len(b.commandRequests) != 1 || !stopsAtOnce(b.commandRequests[0].Commands) {
		t.Fatalf("commands: %v", b.commandRequests)
	}
	if a := b.heartbeat(2, grantToken, running); a.Status == 200 {
		t.Error("it renewed a lease that it may not renew")
	}
	b.refreshKnowledge()
	b.heartbeat(3, grantToken)
	b.runTimers()
	if n := b.statuses()["m-1"].Tasks; n != 0 {
		t.Errorf("%d tasks of a cancelled job are planned", n)
	}
}

// TestUsersAreLeftToOthers: the controller that holds the batch shard leaves users to others
// only while the leader says that two of them are well: never where it is the last one,
// where the leader is gone, or where there is but one job shard.
func TestUsersAreLeftToOthers(t *testing.T) {
	b := newTestController(t)
	expectHealthy := func(want bool, when string) {
		t.Helper()
		if b.controller.Healthy() != want {
			t.Errorf("healthy %t %s", !want, when)
		}
	}
	leaderSays := func(healthyPeers int) {
		b.controller.reporter.OnReply(&protocol.PeerHeartbeatReply{Leader: true, Term: b.controller.replica.View.Leader.Term, SentAt: b.now, HealthyPeers: healthyPeers})
	}
	leaderSays(4)
	expectHealthy(true, "with one job shard")
	b.controller.replica.View.JobShards = 2
	expectHealthy(false, "with four others that are well")
	leaderSays(1)
	expectHealthy(true, "with one other that is well")
	leaderSays(2)
	expectHealthy(false, "with two")
	b.now += membership.PeerTimeout
	b.refreshKnowledge()
	expectHealthy(true, "without a word of the leader")
	leaderSays(2)
	b.apply(storage.GrantKey(0), storage.GrantRecord{Controller: "b", Incarnation: 1, FencingToken: grantToken + 1<<24})
	expectHealthy(true, "once another holds the batch shard")
}

// largeGroup is a machine group that was recorded under higher limits.
func largeGroup(machines int) storage.MachineGroupRecord {
	rec := storage.MachineGroupRecord{Type: "small", Zone: "z", FencingToken: grantToken}
	for i := range machines {
		rec.Machines = append(rec.Machines, storage.MachineEntry{Name: fmt.Sprintf("m-%06d", 5000+i), Address: fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250)})
	}
	return rec
}

// TestGauges: pages and machine groups over the limit and jobs that wait for others are counted,
// and not counted any more once they are written smaller, or done.
func TestGauges(t *testing.T) {
	b := newTestController(t)
	b.becomeLeader()
	b.limitStore(2048, math.MaxInt, math.MaxInt)
	b.apply(storage.MachineGroupKey("large"), largeGroup(60))
	b.apply(storage.MachineGroupKey("small"), largeGroup(2))
	b.apply(storage.JobKey("run-2"), storage.JobRecord{Spec: protocol.JobSpec{ID: "run-2", Team: "red", Kind: protocol.KindArray, Priority: "normal", Tasks: 1, CPUs: 1, MemoryGB: 1, Dependencies: []string{"run-1"}}})
	b.controller.refreshGauges()
	if s := b.controller.Stats(); s.OversizedValues != 1 || s.JobsAwaitingDependencies != 1 {
		t.Errorf("%+v", s)
	}
	b.apply(storage.MachineGroupKey("large"), largeGroup(3))
	b.controller.replica.View.SetOutcome("run-1", storage.FinalRecord{Stage: protocol.StageDone})
	b.controller.refreshGauges()
	if s := b.controller.Stats(); s.OversizedValues != 1 || s.JobsAwaitingDependencies != 1 {
		t.Errorf("counted again before it was time: %+v", s)
	}
	b.now += gaugeInterval
	b.controller.refreshGauges()
	if s := b.controller.Stats(); s.OversizedValues != 0 || s.JobsAwaitingDependencies != 0 {
		t.Errorf("%+v after they were mended", s)
	}
}
