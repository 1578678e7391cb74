package reconcile

import (
	"testing"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// TestReapFencesStarts guards against a duplicated start that arrives late and runs a reaped
// task again: a reap must be sent under a higher fencing token than any start, and only once
// the outcome of the task is durable.
func TestReapFencesStarts(t *testing.T) {
	f := newFixture(t)
	f.heartbeat(1, grantToken)
	f.reconciler.pass()
	agent := f.agent()
	if f.liveAttempts() != 1 {
		t.Fatalf("%d attempts are planned", f.liveAttempts())
	}
	var number uint64
	for _, a := range agent.attempts {
		number = a.number
	}
	if commands := f.heartbeatCommands(agent.contact.sequence+1, agent.fence.current); len(commands) != 0 {
		t.Fatalf("commands before the intent is durable: %v", commands)
	}
	f.apply(storage.IntentPageKey(firstPage), storage.IntentPage{"run-1": {storage.IntentEntry(0, "m-1", number)}})
	commands := f.heartbeatCommands(agent.contact.sequence+1, agent.fence.current)
	if len(commands) != 1 || commands[0].Verb != protocol.VerbStart {
		t.Fatalf("commands once the intent is durable: %v", commands)
	}
	startToken := agent.fence.highestStartToken
	ended := protocol.TaskStatus{Task: "run-1/0", Attempt: number, State: protocol.TaskEnded, Cause: protocol.CauseDone}
	for range 2 {
		for _, c := range f.heartbeatCommands(agent.contact.sequence+1, agent.fence.current, ended) {
			if c.Verb == protocol.VerbReap {
				t.Fatal("task reaped before its completion is durable")
			}
		}
		f.reconciler.pass()
	}
	f.apply(storage.CompletionPageKey(firstPage), storage.CompletionPage{storage.CompletionChunkName("run-1", 0): {1}})
	f.reconciler.pass()
	// The reap is first delayed so that several reaps share a request, and then sent alone.
	if commands := f.heartbeatCommands(agent.contact.sequence+1, agent.fence.current, ended); len(commands) != 0 {
		t.Fatalf("commands as soon as the completion is durable: %v", commands)
	}
	f.now += reapAfter
	f.refreshViewAndLeases()
	answer, err := f.heartbeat(agent.contact.sequence+1, agent.fence.current, ended)
	if err != nil || len(answer.Commands) == 0 || answer.Commands[0].Verb != protocol.VerbReap {
		t.Fatalf("commands once the reap is due: %v, %v", answer.Commands, err)
	}
	if answer.FencingToken <= startToken {
		t.Errorf("the reap's token %d does not fence the start's %d", answer.FencingToken, startToken)
	}
}

// TestLeaseRenewalCarriesStopOfCancelledJob guards against a task that runs past the
// cancellation deadline. The first answer of a new holder renews the lease of an agent whose
// fence is not confirmed yet. That answer must include the stops of cancelled jobs: the next
// answer may never arrive, and the renewed lease would let the task run past the deadline.
func TestLeaseRenewalCarriesStopOfCancelledJob(t *testing.T) {
	f := newFixture(t, inheritedIntent)
	f.remove(storage.JobKey("run-1"))
	f.recordsChanged()
	commands := f.heartbeatCommands(1, grantToken-1, runningStatus)
	if f.agent().fence.confirmed {
		t.Fatal("the fence is confirmed, so this is not the first answer of a new holder")
	}
	if !stopsWithoutGrace(commands) {
		t.Errorf("the answer renews the lease without a stop: %v", commands)
	}
	if f.liveAttempts() != 1 {
		t.Error("the attempt was removed before it was confirmed terminated")
	}
}
