package protocol

import (
	"fmt"
	"strconv"
	"strings"
)

// Task states in a worker's report.
const (
	TaskFetching = "fetching"
	TaskWaiting  = "waiting" // has its image, its gang is not complete yet
	TaskRunning  = "running"
	TaskSaving   = "saving"
	TaskEnded    = "ended"
)

// Why a task ended.
const (
	CauseDone    = "done"
	CauseStopped = "stopped"
	CauseError   = "error"
	CauseFull    = "full"
	CauseInUse   = "in_use"
	CauseNoSuch  = "no_such"
	CauseMates   = "mates_gone" // another task of the gang ended
	CauseAlone   = "alone"      // the gang did not come together in time
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
type Report struct {
	Machine string       `json:"host"`
	Address string       `json:"address"`
	Type    string       `json:"build"`
	Zone    string       `json:"yard"`
	Spot    bool         `json:"loaner"`
	Session uint64       `json:"shift"`
	Seq     uint64       `json:"tick"`
	Token   uint64       `json:"baton"`
	NoticeS *float64     `json:"warnS"`
	Tasks   []TaskStatus `json:"pieces"`
}

// ParseReport reads a report and refuses one that names no machine.
func ParseReport(body []byte) (*Report, error) {
	var r Report
	if err := Decode(body, &r); err != nil {
		return nil, malformed("report: %v", err)
	}
	if r.Machine == "" || len(r.Machine) > maxName || strings.ContainsAny(r.Machine, " /\n") || r.Session == 0 {
		return nil, malformed("report: no machine or session")
	}
	return &r, nil
}

// Newer reports whether r was made after a report with the given numbers.
func (r *Report) Newer(session, seq uint64) bool {
	return r.Session > session || r.Session == session && r.Seq > seq
}

// Command is one instruction to a worker.
type Command struct {
	Verb    string   `json:"verb"`
	Task    string   `json:"piece"`
	Attempt uint64   `json:"try"`
	GraceS  *float64 `json:"leewayS,omitempty"`
}

// ReportAnswer answers a report.
type ReportAnswer struct {
	Token    uint64    `json:"baton"`
	Commands []Command `json:"orders"`
}

// CommandRequest are sent straight to a worker.
type CommandRequest struct {
	Token    uint64    `json:"baton"`
	Session  uint64    `json:"shift"`
	Commands []Command `json:"orders"`
}

// Redirect sends a worker to another controller.
type Redirect struct {
	Boss string `json:"boss,omitempty"`
}

// TaskName joins a job id and a task number.
func TaskName(job string, task int) string { return job + "/" + strconv.Itoa(task) }

// SplitTask takes a task's name apart.
func SplitTask(name string) (job string, task int, err error) {
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
