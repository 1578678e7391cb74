package protocol

import "strings"

// TaskState is the state of a task on a machine.
type TaskState = string

// Task states in a heartbeat.
const (
	TaskFetching     TaskState = "fetching" // waiting for its image
	TaskAwaitingGang TaskState = "waiting"  // has its image; its gang is incomplete
	TaskRunning      TaskState = "running"
	TaskSaving       TaskState = "saving" // stops, and saves a checkpoint first
	TaskEnded        TaskState = "ended"
)

// TaskCause is the reason why a task ended.
type TaskCause = string

// Causes for the end of a task.
const (
	CauseDone    TaskCause = "done"
	CauseStopped TaskCause = "stopped" // by a command
	CauseError   TaskCause = "error"

	// The agent refused to start the task.
	CauseNoCapacity     TaskCause = "full"    // the machine has too few free resources
	CauseAlreadyPresent TaskCause = "in_use"  // another attempt of the task is on the machine
	CauseJobUnknown     TaskCause = "no_such" // the agent does not know the job or the task

	CauseGangMemberEnded TaskCause = "mates_gone" // another task of the gang ended
	CauseGangIncomplete  TaskCause = "alone"      // the gang was not complete in time
)

// CommandVerb is the action that a command requests from an agent.
type CommandVerb string

// Verbs of commands. They are idempotent, except that a start after a reap starts the
// attempt again.
const (
	VerbStart CommandVerb = "start" // start an attempt that the agent does not know
	VerbStop  CommandVerb = "halt"  // end an attempt, with a checkpoint if the grace period allows
	VerbReap  CommandVerb = "reap"  // forget an attempt that has ended
)

// TaskStatus is the status of one task in a heartbeat.
type TaskStatus struct {
	Task    string    `json:"piece"` // see TaskName
	Attempt uint64    `json:"try"`
	State   TaskState `json:"stage"`
	Cause   TaskCause `json:"cause,omitempty"` // only of an ended task
	Saved   bool      `json:"saved,omitempty"` // a stopped task has saved a checkpoint
}

// AgentHeartbeat is the status of an agent and its tasks. An agent sends heartbeats
// periodically and as answers to commands.
type AgentHeartbeat struct {
	Machine     string `json:"host"`
	Address     string `json:"address"` // to which commands are sent
	MachineType string `json:"build"`
	Zone        string `json:"yard"`
	Spot        bool   `json:"loaner"`
	Epoch       uint64 `json:"shift"` // starts at 1 and increases by one at each lease expiry
	Sequence    uint64 `json:"tick"`  // increases by one with each heartbeat and answer
	// FencingToken is the highest fencing token that the agent has seen.
	FencingToken uint64 `json:"baton"`
	// TerminationSeconds is the time until the cloud terminates the machine; nil if the
	// cloud has not announced a termination.
	TerminationSeconds *float64 `json:"warnS"`
	// Tasks are all tasks on the machine, including ended tasks until they are reaped.
	Tasks []TaskStatus `json:"pieces"`
}

// ParseAgentHeartbeat decodes a heartbeat and rejects one without a machine or an epoch. Its
// errors are of type *MalformedError.
func ParseAgentHeartbeat(body []byte) (*AgentHeartbeat, error) {
	var heartbeat AgentHeartbeat
	if err := Decode(body, &heartbeat); err != nil {
		return nil, newDecodeError("report", err)
	}
	if !validMachineName(heartbeat.Machine) || heartbeat.Epoch == 0 {
		return nil, &MalformedError{Field: "report", Problem: "no machine or session"}
	}
	return &heartbeat, nil
}

func validMachineName(name string) bool {
	return name != "" && len(name) <= maxNameBytes && !strings.ContainsAny(name, " /\n")
}

// NewerThan reports whether the heartbeat was created after the one with the given epoch and
// sequence number.
func (h *AgentHeartbeat) NewerThan(epoch, sequence uint64) bool {
	return h.Epoch > epoch || h.Epoch == epoch && h.Sequence > sequence
}

// Command is one instruction to an agent.
type Command struct {
	Verb    CommandVerb `json:"verb"`
	Task    string      `json:"piece"`
	Attempt uint64      `json:"try"`
	// GraceSeconds is the time in which a stopped task may save a checkpoint; nil for other
	// verbs.
	GraceSeconds *float64 `json:"leewayS,omitempty"`
}

// AgentHeartbeatAnswer answers a heartbeat. An agent ignores an answer whose fencing token is
// lower than the highest that the agent has seen.
type AgentHeartbeatAnswer struct {
	FencingToken uint64    `json:"baton"`
	Commands     []Command `json:"orders"`
}

// CommandRequest carries commands directly to an agent. The agent rejects the commands if the
// fencing token is lower than the highest that the agent has seen, or if the epoch is not the
// current epoch of the agent.
type CommandRequest struct {
	FencingToken uint64    `json:"baton"`
	Epoch        uint64    `json:"shift"`
	Commands     []Command `json:"orders"`
}

// Redirect tells an agent to use the named controller, or any other controller if the name
// is empty.
type Redirect struct {
	Controller string `json:"boss,omitempty"`
}
