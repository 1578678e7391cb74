package protocol

import "strings"

// TaskState is how far a task on a machine is.
type TaskState = string

// Task states in a heartbeat.
const (
	TaskFetching     TaskState = "fetching" // waits for its image
	TaskAwaitingGang TaskState = "waiting"  // has its image, its gang is not complete yet
	TaskRunning      TaskState = "running"
	TaskSaving       TaskState = "saving" // was told to stop and saves a checkpoint
	TaskEnded        TaskState = "ended"
)

// TaskCause is why a task ended.
type TaskCause = string

// Causes of a task's end.
const (
	CauseDone    TaskCause = "done"
	CauseStopped TaskCause = "stopped" // by command
	CauseError   TaskCause = "error"

	// The start was refused.
	CauseNoCapacity     TaskCause = "full"    // too little room on the machine
	CauseAlreadyPresent TaskCause = "in_use"  // another attempt of the task is on the machine
	CauseJobUnknown     TaskCause = "no_such" // the agent has no such job or task

	CauseGangMemberEnded TaskCause = "mates_gone" // another task of the gang ended
	CauseGangIncomplete  TaskCause = "alone"      // the gang did not come together in time
)

// CommandVerb is what a command asks of an agent.
type CommandVerb string

// Verbs of commands. Each may be repeated without harm, except that a start after a reap
// starts the attempt again.
const (
	VerbStart CommandVerb = "start" // start an attempt that the agent does not know
	VerbStop  CommandVerb = "halt"  // end it, saving a checkpoint if the grace allows
	VerbReap  CommandVerb = "reap"  // forget it, once it has ended
)

// TaskStatus is one task in a heartbeat.
type TaskStatus struct {
	Task    string    `json:"piece"` // see TaskName
	Attempt uint64    `json:"try"`
	State   TaskState `json:"stage"`
	Cause   TaskCause `json:"cause,omitempty"` // where it has ended
	Saved   bool      `json:"saved,omitempty"` // a stopped one has saved a checkpoint
}

// AgentHeartbeat is an agent's account of itself and its tasks, sent by itself or in answer
// to commands.
type AgentHeartbeat struct {
	Machine     string `json:"host"`
	Address     string `json:"address"` // for commands
	MachineType string `json:"build"`
	Zone        string `json:"yard"`
	Spot        bool   `json:"loaner"`
	Epoch       uint64 `json:"shift"` // from 1, one more after each lease expiry
	Sequence    uint64 `json:"tick"`  // one more with each heartbeat and answer
	// FencingToken is the highest that the agent has seen.
	FencingToken uint64 `json:"baton"`
	// TerminationSeconds is the time until the cloud takes the machine back; nil where
	// it has not announced that.
	TerminationSeconds *float64 `json:"warnS"`
	// Tasks are all on the machine, those that have ended until they are reaped.
	Tasks []TaskStatus `json:"pieces"`
}

// ParseAgentHeartbeat reads a heartbeat and refuses one that names no machine or epoch. Its
// errors are of type *MalformedError.
func ParseAgentHeartbeat(body []byte) (*AgentHeartbeat, error) {
	var heartbeat AgentHeartbeat
	if err := Decode(body, &heartbeat); err != nil {
		return nil, undecodable("report", err)
	}
	if !validMachineName(heartbeat.Machine) || heartbeat.Epoch == 0 {
		return nil, &MalformedError{Field: "report", Problem: "no machine or session"}
	}
	return &heartbeat, nil
}

func validMachineName(name string) bool {
	return name != "" && len(name) <= maxName && !strings.ContainsAny(name, " /\n")
}

// NewerThan reports whether the heartbeat was made after one with the given numbers.
func (h *AgentHeartbeat) NewerThan(epoch, sequence uint64) bool {
	return h.Epoch > epoch || h.Epoch == epoch && h.Sequence > sequence
}

// Command is one instruction to an agent.
type Command struct {
	Verb    CommandVerb `json:"verb"`
	Task    string      `json:"piece"`
	Attempt uint64      `json:"try"`
	// GraceSeconds is the time that a stopped task has to save; nil with other verbs.
	GraceSeconds *float64 `json:"leewayS,omitempty"`
}

// AgentHeartbeatAnswer answers a heartbeat. An agent drops one whose fencing token is lower
// than the highest that it has seen.
type AgentHeartbeatAnswer struct {
	FencingToken uint64    `json:"baton"`
	Commands     []Command `json:"orders"`
}

// CommandRequest carries commands straight to an agent. It refuses them when the fencing
// token is lower than the highest that it has seen or the epoch is not its own.
type CommandRequest struct {
	FencingToken uint64    `json:"baton"`
	Epoch        uint64    `json:"shift"`
	Commands     []Command `json:"orders"`
}

// Redirect sends an agent to another controller, or to any other where it names none.
type Redirect struct {
	Controller string `json:"boss,omitempty"`
}
