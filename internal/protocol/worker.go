package protocol

import (
	"fmt"
	"strconv"
	"strings"
)

// Task states in a worker's report.
const (
	TaskFetching     = "fetching"
	TaskAwaitingGang = "waiting" // has its image, its gang is not complete yet
	TaskRunning      = "running"
	TaskSaving       = "saving"
	TaskEnded        = "ended"
)

// Why a task ended.
const (
	CauseDone            = "done"
	CauseStopped         = "stopped"
	CauseError           = "error"
	CauseNoCapacity      = "full"
	CauseAlreadyPresent  = "in_use"
	CauseJobUnknown      = "no_such"
	CauseGangMemberEnded = "mates_gone" // another task of the gang ended
	CauseGangIncomplete  = "alone"      // the gang did not come together in time
)

// Verbs of commands to workers.
const (
	VerbStart = "start"
	VerbStop  = "halt"
	VerbReap  = "reap"
)

// TaskStatus is one task in a report.
type TaskStatus struct {
	Task    string `json:"piece"`
	Attempt uint64 `json:"try"`
	State   string `json:"stage"`
	Cause   string `json:"cause,omitempty"`
	Saved   bool   `json:"saved,omitempty"`
}

// Report is a worker's report, sent by itself or in answer to commands.
type AgentHeartbeat struct {
	Machine            string       `json:"host"`
	Address            string       `json:"address"`
	MachineType        string       `json:"build"`
	Zone               string       `json:"yard"`
	Spot               bool         `json:"loaner"`
	Epoch              uint64       `json:"shift"`
	Sequence           uint64       `json:"tick"`
	FencingToken       uint64       `json:"baton"`
	TerminationSeconds *float64     `json:"warnS"`
	Tasks              []TaskStatus `json:"pieces"`
}

// ParseReport reads a report and refuses one that names no machine.
func ParseAgentHeartbeat(body []byte) (*AgentHeartbeat, error) {
	var r AgentHeartbeat
	if err := Decode(body, &r); err != nil {
		return nil, malformed("report: %v", err)
	}
	if r.Machine == "" || len(r.Machine) > maxName || strings.ContainsAny(r.Machine, " /\n") || r.Epoch == 0 {
		return nil, malformed("report: no machine or session")
	}
	return &r, nil
}

// Newer reports whether r was made after a report with the given numbers.
func (r *AgentHeartbeat) NewerThan(session, seq uint64) bool {
	return r.Epoch > session || r.Epoch == session && r.Sequence > seq
}

// Command is one instruction to a worker.
type Command struct {
	Verb         string   `json:"verb"`
	Task         string   `json:"piece"`
	Attempt      uint64   `json:"try"`
	GraceSeconds *float64 `json:"leewayS,omitempty"`
}

// ReportAnswer answers a report.
type AgentHeartbeatAnswer struct {
	FencingToken uint64    `json:"baton"`
	Commands     []Command `json:"orders"`
}

// CommandRequest are sent straight to a worker.
type CommandRequest struct {
	FencingToken uint64    `json:"baton"`
	Epoch        uint64    `json:"shift"`
	Commands     []Command `json:"orders"`
}

// Redirect sends a worker to another controller.
type Redirect struct {
	Controller string `json:"boss,omitempty"`
}

// TaskName joins a job id and a task number.
func TaskName(job string, task int) string { return job + "/" + strconv.Itoa(task) }

// SplitTask takes a task's name apart.
func ParseTaskName(name string) (job string, task int, err error) {
	job, num, ok := strings.Cut(name, "/")
	if !ok || !ValidJobID(job) {
		return "", 0, fmt.Errorf("task name %q", name)
	}
	task, err = strconv.Atoi(num)
	if err != nil || task < 0 || task >= MaxTasks {
		return "", 0, fmt.Errorf("task name %q", name)
	}
	return job, task, nil
}
