package protocol

import (
	"encoding/json"
	"math"
	"strings"
	"testing"
)

// longestTaskName is a task name of the greatest length that the protocol allows.
const longestTaskName = "run-999999999999999999/99999"

// TestFullMachineFitsMessages guards against a machine with so many tasks that its agent's
// heartbeat, or the commands for all of its tasks, exceed the size of a message.
func TestFullMachineFitsMessages(t *testing.T) {
	termination := math.SmallestNonzeroFloat64
	heartbeat := AgentHeartbeat{
		Machine: strings.Repeat("m", maxNameBytes), Address: "255.255.255.255:65535", MachineType: strings.Repeat("t", maxNameBytes),
		Zone: strings.Repeat("z", maxNameBytes), Epoch: math.MaxUint64, Sequence: math.MaxUint64, FencingToken: math.MaxUint64,
		TerminationSeconds: &termination,
	}
	batch := NewCommandBatch(MaxTasksPerMachine)
	for range MaxTasksPerMachine {
		heartbeat.Tasks = append(heartbeat.Tasks, TaskStatus{
			Task: longestTaskName, Attempt: math.MaxUint64, State: TaskEnded, Cause: CauseGangMemberEnded, Saved: true,
		})
		if !batch.Add(Command{Verb: VerbStart, Task: longestTaskName, Attempt: math.MaxUint64}) {
			t.Fatalf("only %d starts fit into a message", len(batch.Commands()))
		}
	}
	if size := encodedLength(t, heartbeat); size > MaxMessageBytes {
		t.Errorf("a heartbeat with %d tasks has %d bytes", MaxTasksPerMachine, size)
	}
}

// TestCommandBatchKeepsLimit checks that messages with as many commands as a batch accepts are
// within the limit, and that hardly any room is wasted.
func TestCommandBatchKeepsLimit(t *testing.T) {
	longestGrace, noGrace := 0x1p-1022, 0.0
	for name, c := range map[string]struct {
		command  Command
		minBytes int
	}{
		"shortest start": {Command{Verb: VerbStart, Task: "run-1/0", Attempt: 1}, MaxMessageBytes * 99 / 100},
		"longest start":  {Command{Verb: VerbStart, Task: longestTaskName, Attempt: math.MaxUint64}, MaxMessageBytes * 99 / 100},
		"reap":           {Command{Verb: VerbReap, Task: longestTaskName, Attempt: 1}, MaxMessageBytes * 99 / 100},
		"stop":           {Command{Verb: VerbStop, Task: longestTaskName, Attempt: math.MaxUint64, GraceSeconds: &noGrace}, MaxMessageBytes / 2},
		"longest stop":   {Command{Verb: VerbStop, Task: longestTaskName, Attempt: math.MaxUint64, GraceSeconds: &longestGrace}, MaxMessageBytes * 9 / 10},
	} {
		batch := NewCommandBatch(0)
		for batch.Add(c.command) {
		}
		answer := encodedLength(t, AgentHeartbeatAnswer{FencingToken: math.MaxUint64, Commands: batch.Commands()})
		request := encodedLength(t, CommandRequest{FencingToken: math.MaxUint64, Epoch: math.MaxUint64, Commands: batch.Commands()})
		if answer > MaxMessageBytes || request > MaxMessageBytes || answer < c.minBytes {
			t.Errorf("%s: %d commands, an answer of %d bytes and a request of %d bytes", name, len(batch.Commands()), answer, request)
		}
	}
}

func encodedLength(t *testing.T, message any) int {
	t.Helper()
	body, err := json.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	return len(body)
}

// TestErrorTextFitsMessage guards against an answer to an invalid submission that quotes the
// submission at full length, and exceeds the size of a line.
func TestErrorTextFitsMessage(t *testing.T) {
	body := `{"pieces":1` + strings.Repeat("0", MaxBody-100) + `}`
	_, err := ParseSubmission([]byte(body))
	if err == nil {
		t.Fatal("a number of any size is accepted")
	}
	if size := encodedLength(t, ErrorBody{Error: err.Error()}); size > MaxMessageBytes/2 {
		t.Errorf("the answer has %d bytes", size)
	}
}
