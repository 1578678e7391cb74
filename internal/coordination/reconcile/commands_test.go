package reconcile

import (
	"encoding/json"
	"maps"
	"slices"
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

// TestCommandsFitMessages guards against messages over the size limit, which an agent drops
// together with the renewal of its lease: an earlier version left more tasks on a machine than
// one message can name, and their job is cancelled. All stops must be sent, the first of them at
// once.
func TestCommandsFitMessages(t *testing.T) {
	const tasks = 2400
	f := newFixture(t)
	f.apply(storage.JobKey("run-2"), storage.JobRecord{Spec: protocol.JobSpec{
		ID: "run-2", Team: "red", Kind: protocol.KindArray, Priority: "normal", Tasks: tasks, CPUs: 0.001, MemoryGB: 0.001,
	}})
	var intents []string
	running := map[string]protocol.TaskStatus{}
	for task := range tasks {
		intents = append(intents, storage.IntentEntry(task, "m-2", 9))
		name := protocol.TaskName("run-2", task)
		running[name] = protocol.TaskStatus{Task: name, Attempt: 9, State: protocol.TaskRunning}
	}
	f.apply(storage.IntentPageKey(firstPage), storage.IntentPage{"run-2": intents})
	f.apply(storage.MachineGroupKey("c"), storage.MachineGroupRecord{Type: "small", Zone: "z", Machines: []storage.MachineEntry{{Name: "m-2", Address: "v"}}})
	f.remove(storage.JobKey("run-2"))
	f.recordsChanged()
	for message := 1; len(running) > 0; message++ {
		answer, err := f.deliver(&protocol.AgentHeartbeat{
			Machine: "m-2", Address: "v", MachineType: "small", Zone: "z", Epoch: 1, Sequence: uint64(message), FencingToken: grantToken,
			Tasks: slices.Collect(maps.Values(running)),
		})
		if err != nil {
			t.Fatal(err)
		}
		body, err := json.Marshal(answer)
		if err != nil || len(body) > 64<<10 {
			t.Fatalf("answer %d has %d bytes: %v", message, len(body), err)
		}
		before := len(running)
		for _, command := range answer.Commands {
			if command.Verb == protocol.VerbStop {
				delete(running, command.Task)
			}
		}
		if len(running) == before {
			t.Fatalf("answer %d stops none of %d tasks", message, before)
		}
	}
	for _, request := range f.commandRequests {
		if body, err := json.Marshal(request); err != nil || len(body) > 64<<10 {
			t.Errorf("a command request has %d bytes: %v", len(body), err)
		}
	}
}
