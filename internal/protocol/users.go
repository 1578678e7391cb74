package protocol

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strings"
)

// Limits on what users may send.
const (
	MaxBody  = 64 << 10
	MaxTasks = 100_000
	maxName  = 200
)

// Job kinds. A gang's tasks run together or not at all.
const (
	KindArray   = "sweep"
	KindService = "standing"
	KindGang    = "gang"
)

// Priorities in falling order; a Priority's Rank is its index here.
var priorities = [...]string{"critical", "urgent", "normal", "best_effort"}

// Job stages as users see them.
const (
	StageQueued    = "queued"
	StageRunning   = "running"
	StageDone      = "done"
	StageCancelled = "withdrawn"
)

// Spec is a job as its user submitted it. It is also how a job is kept in the
// state service.
type JobSpec struct {
	ID                string   `json:"id"`
	Class             string   `json:"lane"`
	Team              string   `json:"crew"`
	Kind              string   `json:"shape"`
	Priority          string   `json:"rank"`
	Tasks             int      `json:"pieces"`
	CPUs              float64  `json:"vcpus"`
	GPUs              float64  `json:"gpus"`
	MemoryGB          float64  `json:"ramGb"`
	Image             string   `json:"bundle"`
	ImageGB           float64  `json:"sizeGb"`
	Types             []string `json:"builds,omitempty"`
	Zone              string   `json:"yard,omitempty"`
	OneZone           bool     `json:"together,omitempty"`
	Spread            bool     `json:"spread,omitempty"`
	Spot              bool     `json:"loaner,omitempty"`
	EstimateSeconds   float64  `json:"guessS,omitempty"`
	CheckpointSeconds float64  `json:"markS,omitempty"`
	SaveSeconds       float64  `json:"stashS,omitempty"`
	DeadlineSeconds   float64  `json:"dueS,omitempty"` // 0: no deadline
	// Jobs that must be done before any task of this one starts, each named once.
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

// rawSpec tells a missing field from a zero one.
type submission struct {
	ID                *string   `json:"id"`
	Class             *string   `json:"lane"`
	Team              *string   `json:"crew"`
	Kind              *string   `json:"shape"`
	Priority          *string   `json:"rank"`
	Tasks             *int64    `json:"pieces"`
	CPUs              *float64  `json:"vcpus"`
	GPUs              *float64  `json:"gpus"`
	MemoryGB          *float64  `json:"ramGb"`
	Image             *string   `json:"bundle"`
	ImageGB           *float64  `json:"sizeGb"`
	Types             *[]string `json:"builds"`
	Zone              *string   `json:"yard"`
	OneZone           *bool     `json:"together"`
	Spread            *bool     `json:"spread"`
	Spot              *bool     `json:"loaner"`
	EstimateSeconds   *float64  `json:"guessS"`
	CheckpointSeconds *float64  `json:"markS"`
	SaveSeconds       *float64  `json:"stashS"`
	DeadlineSeconds   *float64  `json:"dueS"`
	Dependencies      *[]string `json:"waitsOn"`
}

// ErrMalformed marks a body its sender must correct.
var ErrMalformed = errors.New("malformed")

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// ValidJobID reports whether id has the form every job id has: "run-" and 1 to
// 18 digits. Every task of every report and record passes here.
func ValidJobID(id string) bool {
	digits, ok := strings.CutPrefix(id, "run-")
	if !ok || len(digits) < 1 || len(digits) > 18 {
		return false
	}
	for i := range len(digits) {
		if digits[i] < '0' || digits[i] > '9' {
			return false
		}
	}
	return true
}

// ParseSubmission reads and checks the body of a submission. Its errors wrap
// ErrMalformed.
func ParseSubmission(body []byte) (*JobSpec, error) {
	if len(body) > MaxBody {
		return nil, malformed("body over %d bytes", MaxBody)
	}
	if b := bytes.TrimLeft(body, " \t\r\n"); len(b) == 0 || b[0] != '{' {
		return nil, malformed("not an object")
	}
	var r submission
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, malformed("%v", err)
	}
	s, err := r.spec()
	if err != nil {
		return nil, err
	}
	switch {
	case !ValidJobID(s.ID):
		return nil, malformed("id: not of the form run-000412")
	case s.Kind != KindArray && s.Kind != KindService && s.Kind != KindGang:
		return nil, malformed("shape: unknown")
	case s.Rank() == len(priorities):
		return nil, malformed("rank: unknown")
	case s.CPUs <= 0 && s.GPUs <= 0 && s.MemoryGB <= 0:
		return nil, malformed("vcpus: a task takes nothing of its machine")
	}
	return s, nil
}

// fieldReader copies fields that must be there and keeps the first error.
type fieldReader struct{ err error }

func (f *fieldReader) fail(field, what string) {
	if f.err == nil {
		f.err = malformed("%s: %s", field, what)
	}
}

func (f *fieldReader) text(field string, p *string, into *string, mayBeEmpty bool) {
	switch {
	case p == nil:
		f.fail(field, "missing")
	case len(*p) > maxName:
		f.fail(field, "too long")
	case *p == "" && !mayBeEmpty:
		f.fail(field, "empty")
	default:
		*into = *p
	}
}

// maxAmount bounds every amount of a submission.
const maxAmount = 1e9

func (f *fieldReader) amount(field string, p *float64, into *float64) {
	switch {
	case p == nil:
		f.fail(field, "missing")
	case *p < 0 || *p > maxAmount || math.IsNaN(*p):
		f.fail(field, "out of range")
	default:
		*into = *p
	}
}

func (f *fieldReader) flag(field string, p *bool, into *bool) {
	if p == nil {
		f.fail(field, "missing")
		return
	}
	*into = *p
}

func (f *fieldReader) tasks(p *int64, into *int) {
	switch {
	case p == nil:
		f.fail("pieces", "missing")
	case *p < 1 || *p > MaxTasks:
		f.fail("pieces", "out of range")
	default:
		*into = int(*p)
	}
}

// spec checks each field by itself.
func (r *submission) spec() (*JobSpec, error) {
	s := &JobSpec{}
	f := &fieldReader{}
	f.text("id", r.ID, &s.ID, false)
	f.text("lane", r.Class, &s.Class, false)
	f.text("crew", r.Team, &s.Team, false)
	f.text("shape", r.Kind, &s.Kind, false)
	f.text("rank", r.Priority, &s.Priority, false)
	f.text("bundle", r.Image, &s.Image, true)
	f.amount("vcpus", r.CPUs, &s.CPUs)
	f.amount("gpus", r.GPUs, &s.GPUs)
	f.amount("ramGb", r.MemoryGB, &s.MemoryGB)
	f.amount("sizeGb", r.ImageGB, &s.ImageGB)
	f.amount("guessS", r.EstimateSeconds, &s.EstimateSeconds)
	f.amount("markS", r.CheckpointSeconds, &s.CheckpointSeconds)
	f.amount("stashS", r.SaveSeconds, &s.SaveSeconds)
	f.flag("together", r.OneZone, &s.OneZone)
	f.flag("spread", r.Spread, &s.Spread)
	f.flag("loaner", r.Spot, &s.Spot)
	f.tasks(r.Tasks, &s.Tasks)
	if r.DeadlineSeconds != nil {
		f.amount("dueS", r.DeadlineSeconds, &s.DeadlineSeconds)
	}
	if r.Zone != nil {
		f.text("yard", r.Zone, &s.Zone, false)
	}
	if r.Types != nil {
		if len(*r.Types) == 0 {
			f.fail("builds", "empty")
		}
		for _, t := range *r.Types {
			f.text("builds", &t, &t, false)
		}
		s.Types = *r.Types
	}
	if r.Dependencies != nil {
		s.Dependencies = f.jobIDs("waitsOn", *r.Dependencies)
	}
	return s, f.err
}

// jobIDs reads a list of jobs, of which each counts once.
func (f *fieldReader) jobIDs(field string, list []string) (ids []string) {
	seen := make(map[string]bool, len(list))
	for _, id := range list {
		if !ValidJobID(id) {
			f.fail(field, "not of the form run-000412")
			return nil
		}
		if !seen[id] {
			seen[id] = true
			ids = append(ids, id)
		}
	}
	return ids
}

// View is what a user is told about a job.
type JobStatus struct {
	ID      string `json:"id"`
	Stage   string `json:"stage"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// Receipt answers a submission or a cancellation.
type JobReceipt struct {
	ID    string `json:"id"`
	Stage string `json:"stage"`
}

// Problem is the body of every answer that is not a success.
type ErrorBody struct {
	Error string `json:"error"`
}
