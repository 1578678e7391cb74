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

// TestExhaustedAttemptNumbersStartNewGeneration: a holder that has used up the attempt numbers
// of its grant begins a new generation. If the numbers wrapped around below those in the
// records, a terminated attempt would be taken for a later one.
func TestExhaustedAttemptNumbersStartNewGeneration(t *testing.T) {
	f := newFixture(t)
	f.controller.maxAttemptNumbers = 1
	f.watchAnswered = false
	f.controller.beginGeneration()
	f.grantShard()
	before := f.controller.replica.Incarnation
	f.heartbeat(1, grantToken)
	if f.controller.tick(); f.controller.replica.Incarnation != before {
		t.Fatal("new generation with an attempt number left")
	}
	f.runTimers()
	if tasks := f.statuses()["m-1"].Tasks; tasks != 1 || !f.controller.reconciler.AttemptNumbersExhausted() {
		t.Fatalf("%d tasks planned, or attempt numbers not exhausted", tasks)
	}
	f.controller.tick()
	if f.controller.replica.Incarnation <= before || f.controller.replica.Ready() || f.controller.reconciler.AttemptNumbersExhausted() {
		t.Errorf("no new generation: incarnation %d after %d, ready %v", f.controller.replica.Incarnation, before, f.controller.replica.Ready())
	}
	if f.controller.leases.Holds(0) {
		t.Error("still holds the shard granted to its earlier incarnation")
	}
}

// TestHeartbeatAllocations: most messages that a controller receives are heartbeats that report
// no change. Their answers must allocate almost nothing.
func TestHeartbeatAllocations(t *testing.T) {
	f := newFixture(t, inheritedIntent)
	f.heartbeat(1, grantToken, runningStatus)
	f.runTimers() // sends the commands that follow from the first heartbeat
	heartbeat := &protocol.AgentHeartbeat{Machine: "m-1", Address: "w", MachineType: "small", Zone: "z", Epoch: 1, Sequence: 1, FencingToken: grantToken, Tasks: []protocol.TaskStatus{runningStatus}}
	reply := func(a api.Answer) {
		if a.Status != 200 {
			t.Fatalf("status %d", a.Status)
		}
	}
	if n := testing.AllocsPerRun(200, func() {
		heartbeat.Sequence++
		f.controller.OnAgentHeartbeat(heartbeat, reply)
	}); n > 2 {
		t.Errorf("%v allocations for a heartbeat without changes", n)
	}
}

// stopsWithoutGrace reports whether commands stop run-1/0 without grace.
func stopsWithoutGrace(commands []protocol.Command) bool {
	return slices.ContainsFunc(commands, func(c protocol.Command) bool {
		return c.Verb == protocol.VerbStop && c.Task == "run-1/0" && c.GraceSeconds != nil && *c.GraceSeconds == 0
	})
}

// runningStatus is the agent's report that the attempt of inheritedIntent runs.
var runningStatus = protocol.TaskStatus{Task: "run-1/0", Attempt: 9, State: protocol.TaskRunning}

// TestStaleControllerStopsCancelledTasks: a controller whose view is too stale to renew agents'
// leases still stops the tasks of a job when a peer tells it that the job was cancelled. It
// answers no heartbeat until its view is fresh, and starts no task of the job.
func TestStaleControllerStopsCancelledTasks(t *testing.T) {
	f := newFixture(t, inheritedIntent)
	f.heartbeat(1, grantToken, runningStatus)
	f.now += f.controller.maxStaleness + time.Second
	f.failCommands()
	f.now += 2 * time.Second // longer than the backoff after unanswered commands
	f.commandRequests = nil
	f.controller.OnPeerRequest(protocol.PeerRequest{Cancelled: []string{"run-1", "run-77"}}, func(protocol.PeerAnswer) {})
	if len(f.commandRequests) != 1 || !stopsWithoutGrace(f.commandRequests[0].Commands) {
		t.Fatalf("commands: %v", f.commandRequests)
	}
	if a := f.heartbeat(2, grantToken, runningStatus); a.Status == 200 {
		t.Error("agent's lease renewed with a stale view")
	}
	f.refreshViewAndLeases()
	f.heartbeat(3, grantToken)
	f.runTimers()
	if n := f.statuses()["m-1"].Tasks; n != 0 {
		t.Errorf("%d tasks of a cancelled job planned", n)
	}
}

// TestBatchShardHolderAvoidsUserTraffic: the holder of the batch shard reports itself unhealthy
// only while the leader reports two healthy peers. It serves users if it is the last healthy
// controller, if the leader is gone, or if there is only one job shard.
func TestBatchShardHolderAvoidsUserTraffic(t *testing.T) {
	f := newFixture(t)
	expectHealthy := func(want bool, when string) {
		t.Helper()
		if f.controller.Healthy() != want {
			t.Errorf("healthy %t %s", !want, when)
		}
	}
	replyAsLeader := func(healthyPeers int) {
		f.controller.reporter.OnReply(&protocol.PeerHeartbeatReply{Leader: true, Term: f.controller.replica.View.Leader.Term, SentAt: f.now, HealthyPeers: healthyPeers})
	}
	replyAsLeader(4)
	expectHealthy(true, "with one job shard")
	f.controller.replica.View.JobShards = 2
	expectHealthy(false, "with four healthy peers")
	replyAsLeader(1)
	expectHealthy(true, "with one healthy peer")
	replyAsLeader(2)
	expectHealthy(false, "with two healthy peers")
	f.now += membership.PeerTimeout
	f.refreshViewAndLeases()
	expectHealthy(true, "without contact to the leader")
	replyAsLeader(2)
	f.apply(storage.GrantKey(0), storage.GrantRecord{Controller: "b", Incarnation: 1, FencingToken: grantToken + 1<<24})
	expectHealthy(true, "after another controller acquired the batch shard")
}

// machineGroupRecord returns the record of a group with a number of machines. A large record
// represents one that was written under higher limits of the store.
func machineGroupRecord(machines int) storage.MachineGroupRecord {
	record := storage.MachineGroupRecord{Type: "small", Zone: "z", FencingToken: grantToken}
	for i := range machines {
		record.Machines = append(record.Machines, storage.MachineEntry{Name: fmt.Sprintf("m-%06d", 5000+i), Address: fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250)})
	}
	return record
}

// TestGauges: a machine group over the size limit and a job that waits for a dependency are
// counted until the group is written smaller and the dependency is done.
func TestGauges(t *testing.T) {
	f := newFixture(t)
	f.becomeLeader()
	f.lowerStoreLimits(2048, math.MaxInt, math.MaxInt)
	f.apply(storage.MachineGroupKey("large"), machineGroupRecord(60))
	f.apply(storage.MachineGroupKey("small"), machineGroupRecord(2))
	f.apply(storage.JobKey("run-2"), storage.JobRecord{Spec: protocol.JobSpec{ID: "run-2", Team: "red", Kind: protocol.KindArray, Priority: "normal", Tasks: 1, CPUs: 1, MemoryGB: 1, Dependencies: []string{"run-1"}}})
	f.controller.refreshGauges()
	if s := f.controller.Stats(); s.OversizedValues != 1 || s.JobsAwaitingDependencies != 1 {
		t.Errorf("%+v", s)
	}
	f.apply(storage.MachineGroupKey("large"), machineGroupRecord(3))
	f.controller.replica.View.SetOutcome("run-1", storage.FinalRecord{Stage: protocol.StageDone})
	f.controller.refreshGauges()
	if s := f.controller.Stats(); s.OversizedValues != 1 || s.JobsAwaitingDependencies != 1 {
		t.Errorf("gauges refreshed before gaugeInterval: %+v", s)
	}
	f.now += gaugeInterval
	f.controller.refreshGauges()
	if s := f.controller.Stats(); s.OversizedValues != 0 || s.JobsAwaitingDependencies != 0 {
		t.Errorf("gauges not reset: %+v", s)
	}
}
