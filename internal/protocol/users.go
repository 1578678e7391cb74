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
	StageWithdrawn = "withdrawn"
)

// Spec is a job as its user submitted it. It is also how a job is kept in the
// state service.
type Spec struct {
	ID          string   `json:"id"`
	Class       string   `json:"lane"`
	Team        string   `json:"crew"`
	Kind        string   `json:"shape"`
	Priority    string   `json:"rank"`
	Tasks       int      `json:"pieces"`
	CPUs        float64  `json:"vcpus"`
	GPUs        float64  `json:"gpus"`
	MemoryGB    float64  `json:"ramGb"`
	Image       string   `json:"bundle"`
	ImageGB     float64  `json:"sizeGb"`
	Types       []string `json:"builds,omitempty"`
	Zone        string   `json:"yard,omitempty"`
	OneZone     bool     `json:"together,omitempty"`
	Spread      bool     `json:"spread,omitempty"`
	Spot        bool     `json:"loaner,omitempty"`
	EstimateS   float64  `json:"guessS,omitempty"`
	CheckpointS float64  `json:"markS,omitempty"`
	SaveS       float64  `json:"stashS,omitempty"`
	DeadlineS   float64  `json:"dueS,omitempty"` // 0: no deadline
}

// Rank gives the job's priority as a number, 0 being the highest.
func (s *Spec) Rank() int {
	for i, p := range priorities {
		if p == s.Priority {
			return i
		}
	}
	return len(priorities)
}

// rawSpec tells a missing field from a zero one.
type rawSpec struct {
	ID          *string   `json:"id"`
	Class       *string   `json:"lane"`
	Team        *string   `json:"crew"`
	Kind        *string   `json:"shape"`
	Priority    *string   `json:"rank"`
	Tasks       *int64    `json:"pieces"`
	CPUs        *float64  `json:"vcpus"`
	GPUs        *float64  `json:"gpus"`
	MemoryGB    *float64  `json:"ramGb"`
	Image       *string   `json:"bundle"`
	ImageGB     *float64  `json:"sizeGb"`
	Types       *[]string `json:"builds"`
	Zone        *string   `json:"yard"`
	OneZone     *bool     `json:"together"`
	Spread      *bool     `json:"spread"`
	Spot        *bool     `json:"loaner"`
	EstimateS   *float64  `json:"guessS"`
	CheckpointS *float64  `json:"markS"`
	SaveS       *float64  `json:"stashS"`
	DeadlineS   *float64  `json:"dueS"`
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
func ParseSubmission(body []byte) (*Spec, error) {
	if len(body) > MaxBody {
		return nil, malformed("body over %d bytes", MaxBody)
	}
	if b := bytes.TrimLeft(body, " \t\r\n"); len(b) == 0 || b[0] != '{' {
		return nil, malformed("not an object")
	}
	var r rawSpec
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, malformed("%v", err)
	}
	s := &Spec{}
	var bad error
	fail := func(field, what string) {
		if bad == nil {
			bad = malformed("%s: %s", field, what)
		}
	}
	text := func(field string, p *string, into *string, empty bool) {
		switch {
		case p == nil:
			fail(field, "missing")
		case len(*p) > maxName:
			fail(field, "too long")
		case *p == "" && !empty:
			fail(field, "empty")
		default:
			*into = *p
		}
	}
	amount := func(field string, p *float64, into *float64) {
		switch {
		case p == nil:
			fail(field, "missing")
		case *p < 0 || *p > 1e9 || math.IsNaN(*p):
			fail(field, "out of range")
		default:
			*into = *p
		}
	}
	flag := func(field string, p *bool, into *bool) {
		if p == nil {
			fail(field, "missing")
			return
		}
		*into = *p
	}
	text("id", r.ID, &s.ID, false)
	text("lane", r.Class, &s.Class, false)
	text("crew", r.Team, &s.Team, false)
	text("shape", r.Kind, &s.Kind, false)
	text("rank", r.Priority, &s.Priority, false)
	text("bundle", r.Image, &s.Image, true)
	amount("vcpus", r.CPUs, &s.CPUs)
	amount("gpus", r.GPUs, &s.GPUs)
	amount("ramGb", r.MemoryGB, &s.MemoryGB)
	amount("sizeGb", r.ImageGB, &s.ImageGB)
	amount("guessS", r.EstimateS, &s.EstimateS)
	amount("markS", r.CheckpointS, &s.CheckpointS)
	amount("stashS", r.SaveS, &s.SaveS)
	flag("together", r.OneZone, &s.OneZone)
	flag("spread", r.Spread, &s.Spread)
	flag("loaner", r.Spot, &s.Spot)
	if r.Tasks == nil {
		fail("pieces", "missing")
	} else if *r.Tasks < 1 || *r.Tasks > MaxTasks {
		fail("pieces", "out of range")
	} else {
		s.Tasks = int(*r.Tasks)
	}
	if r.DeadlineS != nil {
		amount("dueS", r.DeadlineS, &s.DeadlineS)
	}
	if r.Zone != nil {
		text("yard", r.Zone, &s.Zone, false)
	}
	if r.Types != nil {
		if len(*r.Types) == 0 {
			fail("builds", "empty")
		}
		for _, t := range *r.Types {
			text("builds", &t, &t, false)
		}
		s.Types = *r.Types
	}
	if bad != nil {
		return nil, bad
	}
	if !ValidJobID(s.ID) {
		return nil, malformed("id: not of the form run-000412")
	}
	if s.Kind != KindArray && s.Kind != KindService && s.Kind != KindGang {
		return nil, malformed("shape: unknown")
	}
	if s.Rank() == len(priorities) {
		return nil, malformed("rank: unknown")
	}
	if s.CPUs <= 0 && s.GPUs <= 0 && s.MemoryGB <= 0 {
		return nil, malformed("vcpus: a task takes nothing of its machine")
	}
	return s, nil
}

// View is what a user is told about a job.
type View struct {
	ID      string `json:"id"`
	Stage   string `json:"stage"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// Receipt answers a submission or a withdrawal.
type Receipt struct {
	ID    string `json:"id"`
	Stage string `json:"stage"`
}

// Problem is the body of every answer that is not a success.
type Problem struct {
	Error string `json:"error"`
}
