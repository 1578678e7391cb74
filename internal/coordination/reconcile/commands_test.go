package reconcile

import (
	"testing"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// TestReapFencesStarts: a start repeated late must not run what was reaped: the reap goes
// out under a higher token than any start, and only once the outcome is durable.
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
		t.Fatalf("commands once it is: %v", commands)
	}
	startToken := agent.fence.highestStart
	ended := protocol.TaskStatus{Task: "run-1/0", Attempt: number, State: protocol.TaskEnded, Cause: protocol.CauseDone}
	for range 2 {
		for _, c := range f.heartbeatCommands(agent.contact.sequence+1, agent.fence.current, ended) {
			if c.Verb == protocol.VerbReap {
				t.Fatal("reaped before its completion is durable")
			}
		}
		f.reconciler.pass()
	}
	f.apply(storage.CompletionPageKey(firstPage), storage.CompletionPage{storage.CompletionChunkName("run-1", 0): {1}})
	f.reconciler.pass()
	// It waits for company for a while, and then goes by itself.
	if commands := f.heartbeatCommands(agent.contact.sequence+1, agent.fence.current, ended); len(commands) != 0 {
		t.Fatalf("commands as soon as it is durable: %v", commands)
	}
	f.now += reapAfter
	f.refreshViewAndLeases()
	answer, err := f.heartbeat(agent.contact.sequence+1, agent.fence.current, ended)
	if err != nil || len(answer.Commands) == 0 || answer.Commands[0].Verb != protocol.VerbReap {
		t.Fatalf("commands after it is durable: %v, %v", answer.Commands, err)
	}
	if answer.FencingToken <= startToken {
		t.Errorf("the reap's token %d does not fence the start's %d", answer.FencingToken, startToken)
	}
}

// TestRenewalStopsCancelled: the first answer of a new holder renews the lease of an agent
// that it has not fenced yet. What it knows to be cancelled must stop by that answer: the
// next may never come, and the lease would carry the task past the time for cancelling.
func TestRenewalStopsCancelled(t *testing.T) {
	f := newFixture(t, inheritedIntent)
	f.remove(storage.JobKey("run-1"))
	f.recordsChanged()
	commands := f.heartbeatCommands(1, grantToken-1, runningStatus)
	if f.agent().fence.confirmed {
		t.Fatal("the agent is fenced: this is not the answer in question")
	}
	if !stopsWithoutGrace(commands) {
		t.Errorf("the lease is renewed without a stop: %v", commands)
	}
	if f.liveAttempts() != 1 {
		t.Error("the task counts as gone before that is proven")
	}
}
