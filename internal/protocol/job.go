package protocol

import (
	"strconv"
	"strings"
)

// JobKind tells how the tasks of a job belong together.
type JobKind = string

// Job kinds.
const (
	KindArray   JobKind = "sweep"    // tasks that end, each by itself
	KindService JobKind = "standing" // replicas that run until cancelled
	KindGang    JobKind = "gang"     // tasks that run together or not at all
)

// JobStage is how far a job is, as users see it.
type JobStage = string

// Job stages.
const (
	StageQueued    JobStage = "queued"
	StageRunning   JobStage = "running"
	StageDone      JobStage = "done"
	StageCancelled JobStage = "withdrawn"
)

// priorities in falling order; a job's Rank is its index here.
var priorities = [...]string{"critical", "urgent", "normal", "best_effort"}

// JobSpec is a job as its user submitted it. It is also how a job is kept in the key-value
// store. It has one field for each that users may send.
type JobSpec struct {
	ID       string  `json:"id"`
	Class    string  `json:"lane"`
	Team     string  `json:"crew"`
	Kind     JobKind `json:"shape"`
	Priority string  `json:"rank"`
	Tasks    int     `json:"pieces"`

	// What each task takes of its machine, and the image that it runs.
	CPUs     float64 `json:"vcpus"`
	GPUs     float64 `json:"gpus"`
	MemoryGB float64 `json:"ramGb"`
	Image    string  `json:"bundle"`
	ImageGB  float64 `json:"sizeGb"`

	// Where tasks may run: these machine types or any, this zone or any.
	Types   []string `json:"builds,omitempty"`
	Zone    string   `json:"yard,omitempty"`
	OneZone bool     `json:"together,omitempty"` // all tasks in one zone
	Spread  bool     `json:"spread,omitempty"`   // at most half of the tasks in one zone
	Spot    bool     `json:"loaner,omitempty"`   // spot machines as well

	EstimateSeconds   float64 `json:"guessS,omitempty"` // of a task's run, by its user; often wrong
	CheckpointSeconds float64 `json:"markS,omitempty"`  // between checkpoints; 0: never saves
	SaveSeconds       float64 `json:"stashS,omitempty"` // to save when stopped
	DeadlineSeconds   float64 `json:"dueS,omitempty"`   // after submission; 0: no deadline

	// Dependencies are the jobs that must be done before any task of this one starts,
	// each named once.
	Dependencies []string `json:"waitsOn,omitempty"`
}

// Rank gives the job's priority as a number, 0 being the highest.
func (s *JobSpec) Rank() int {
	for i, p := range priorities {
		if p == s.Priority {
			return i
		}
	}
	return len(priorities)
}

// JobStatus is what a user is told about a job: how many of its tasks are done and how many
// run.
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

// ErrorBody is the body of every answer that is not a success.
type ErrorBody struct {
	Error string `json:"error"`
}

// jobIDPrefix begins every job id; at most maxJobIDDigits digits follow.
const (
	jobIDPrefix    = "run-"
	maxJobIDDigits = 18
)

// ValidJobID reports whether id has the form that every job id has: "run-" and 1 to 18
// digits. Every task of every heartbeat and record passes here.
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

// TaskName joins a job id and a task number.
func TaskName(job string, task int) string { return job + "/" + strconv.Itoa(task) }

// ParseTaskName takes a task's name apart. Its error is a *TaskNameError.
func ParseTaskName(name string) (job string, task int, err error) {
	job, number, ok := strings.Cut(name, "/")
	if !ok || !ValidJobID(job) {
		return "", 0, &TaskNameError{Name: name}
	}
	task, err = strconv.Atoi(number)
	if err != nil || task < 0 || task >= MaxTasks {
		return "", 0, &TaskNameError{Name: name}
	}
	return job, task, nil
}
