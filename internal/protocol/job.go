package protocol

import (
	"strconv"
	"strings"
)

// JobKind is the kind of a job. It determines whether the tasks run independently or together,
// and whether they end by themselves.
type JobKind = string

// Job kinds.
const (
	KindArray   JobKind = "sweep"    // independent tasks that run to completion
	KindService JobKind = "standing" // replicas that run until cancelled
	KindGang    JobKind = "gang"     // tasks that run together or not at all
)

// JobStage is the stage of a job as shown to users.
type JobStage = string

// Job stages.
const (
	StageQueued    JobStage = "queued"
	StageRunning   JobStage = "running"
	StageDone      JobStage = "done"
	StageCancelled JobStage = "withdrawn"
)

// priorities lists the priorities, highest first; JobSpec.Rank returns an index into it.
var priorities = [...]string{"critical", "urgent", "normal", "best_effort"}

// JobSpec is a job as submitted by its user, with one field for each field of a submission. The
// key-value store holds jobs in the same form.
type JobSpec struct {
	ID       string  `json:"id"`
	Class    string  `json:"lane"`
	Team     string  `json:"crew"`
	Kind     JobKind `json:"shape"`
	Priority string  `json:"rank"`
	Tasks    int     `json:"pieces"`

	// Resources and image of each task.
	CPUs     float64 `json:"vcpus"`
	GPUs     float64 `json:"gpus"`
	MemoryGB float64 `json:"ramGb"`
	Image    string  `json:"bundle"`
	ImageGB  float64 `json:"sizeGb"`

	// Placement constraints. Empty Types or an empty Zone allow any.
	Types   []string `json:"builds,omitempty"`
	Zone    string   `json:"yard,omitempty"`
	OneZone bool     `json:"together,omitempty"` // all tasks in one zone
	Spread  bool     `json:"spread,omitempty"`   // at most half of the tasks in one zone
	Spot    bool     `json:"loaner,omitempty"`   // spot machines are allowed as well

	EstimateSeconds   float64 `json:"guessS,omitempty"` // run time of a task as estimated by the user; often wrong
	CheckpointSeconds float64 `json:"markS,omitempty"`  // interval between checkpoints; 0: no checkpoints
	SaveSeconds       float64 `json:"stashS,omitempty"` // time to save a checkpoint when stopped
	DeadlineSeconds   float64 `json:"dueS,omitempty"`   // after submission; 0: no deadline

	// Dependencies are the IDs of the jobs that must be done before any task of this job
	// starts, without duplicates.
	Dependencies []string `json:"waitsOn,omitempty"`
}

// Rank returns the priority of the job as a number; 0 is the highest priority.
func (s *JobSpec) Rank() int {
	for i, p := range priorities {
		if p == s.Priority {
			return i
		}
	}
	return len(priorities)
}

// JobStatus is the status of a job as shown to users: its stage, and how many of its tasks are
// done and running.
type JobStatus struct {
	ID      string   `json:"id"`
	Stage   JobStage `json:"stage"`
	Done    int      `json:"done"`
	Running int      `json:"running"`
}

// JobReceipt answers a submission or a cancellation.
type JobReceipt struct {
	ID    string   `json:"id"`
	Stage JobStage `json:"stage"`
}

// ErrorBody is the body of every answer that reports an error.
type ErrorBody struct {
	Error string `json:"error"`
}

// A job ID is jobIDPrefix followed by 1 to maxJobIDDigits digits.
const (
	jobIDPrefix    = "run-"
	maxJobIDDigits = 18
)

// ValidJobID reports whether id has the form of a job ID: "run-" and 1 to 18 digits. It is on
// a hot path: it is called for every task in every heartbeat and record.
func ValidJobID(id string) bool {
	digits, ok := strings.CutPrefix(id, jobIDPrefix)
	if !ok || len(digits) < 1 || len(digits) > maxJobIDDigits {
		return false
	}
	for i := range len(digits) {
		if digits[i] < '0' || digits[i] > '9' {
			return false
		}
	}
	return true
}

// TaskName returns the name of a task: the job ID and the task number.
func TaskName(job string, task int) string { return job + "/" + strconv.Itoa(task) }

// ParseTaskName splits the name of a task into job ID and task number. Its error is a
// *TaskNameError.
func ParseTaskName(name string) (job string, task int, err error) {
	job, number, ok := strings.Cut(name, "/")
	if !ok || !ValidJobID(job) {
		return "", 0, &TaskNameError{Name: name}
	}
	task, err = strconv.Atoi(number)
	if err != nil || task < 0 || task >= MaxTasks || len(number) > 1 && (number[0] < '1' || number[0] > '9') {
		return "", 0, &TaskNameError{Name: name}
	}
	return job, task, nil
}
