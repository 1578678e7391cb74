package protocol

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// Limits on what users may send.
const (
	MaxBody  = 64 << 10 // bytes of a submission
	MaxTasks = 100_000  // of a job
	maxName  = 200      // bytes of a name

	// maxAmount bounds every amount of a submission.
	maxAmount = 1e9
)

// ParseSubmission reads and checks the body of a submission. Its errors are of type
// *MalformedError. Whether the job can run (its team, its machine types, its size) is not
// judged here.
func ParseSubmission(body []byte) (*JobSpec, error) {
	if len(body) > MaxBody {
		return nil, &MalformedError{Problem: fmt.Sprintf("body over %d bytes", MaxBody)}
	}
	if trimmed := bytes.TrimLeft(body, " \t\r\n"); len(trimmed) == 0 || trimmed[0] != '{' {
		return nil, &MalformedError{Problem: "not an object"}
	}
	var fields submission
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, undecodable("", err)
	}
	spec, err := fields.spec()
	if err != nil {
		return nil, err
	}
	if err := spec.check(); err != nil {
		return nil, err
	}
	return spec, nil
}

// check judges what the fields say together and as names.
func (s *JobSpec) check() error {
	switch {
	case !ValidJobID(s.ID):
		return &MalformedError{Field: "id", Problem: problemJobID}
	case s.Kind != KindArray && s.Kind != KindService && s.Kind != KindGang:
		return &MalformedError{Field: "shape", Problem: "unknown"}
	case s.Rank() == len(priorities):
		return &MalformedError{Field: "rank", Problem: "unknown"}
	case s.CPUs <= 0 && s.GPUs <= 0 && s.MemoryGB <= 0:
		return &MalformedError{Field: "vcpus", Problem: "a task takes nothing of its machine"}
	}
	return nil
}

// submission is a JobSpec on the wire. Its pointers tell a missing field from a zero one.
type submission struct {
	ID                *string   `json:"id"`
	Class             *string   `json:"lane"`
	Team              *string   `json:"crew"`
	Kind              *JobKind  `json:"shape"`
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

// spec checks each field by itself. The order is that in which faults are reported: users
// are told of the first.
func (s *submission) spec() (*JobSpec, error) {
	spec := &JobSpec{}
	fields := &fieldReader{}
	s.readNames(spec, fields)
	s.readAmounts(spec, fields)
	s.readFlags(spec, fields)
	fields.tasks("pieces", s.Tasks, &spec.Tasks)
	s.readNullable(spec, fields)
	if fields.fault != nil {
		return nil, fields.fault
	}
	return spec, nil
}

func (s *submission) readNames(spec *JobSpec, fields *fieldReader) {
	fields.name("id", s.ID, &spec.ID)
	fields.name("lane", s.Class, &spec.Class)
	fields.name("crew", s.Team, &spec.Team)
	fields.name("shape", (*string)(s.Kind), (*string)(&spec.Kind))
	fields.name("rank", s.Priority, &spec.Priority)
	fields.text("bundle", s.Image, &spec.Image)
}

func (s *submission) readAmounts(spec *JobSpec, fields *fieldReader) {
	fields.amount("vcpus", s.CPUs, &spec.CPUs)
	fields.amount("gpus", s.GPUs, &spec.GPUs)
	fields.amount("ramGb", s.MemoryGB, &spec.MemoryGB)
	fields.amount("sizeGb", s.ImageGB, &spec.ImageGB)
	fields.amount("guessS", s.EstimateSeconds, &spec.EstimateSeconds)
	fields.amount("markS", s.CheckpointSeconds, &spec.CheckpointSeconds)
	fields.amount("stashS", s.SaveSeconds, &spec.SaveSeconds)
}

func (s *submission) readFlags(spec *JobSpec, fields *fieldReader) {
	fields.flag("together", s.OneZone, &spec.OneZone)
	fields.flag("spread", s.Spread, &spec.Spread)
	fields.flag("loaner", s.Spot, &spec.Spot)
}

// readNullable reads the fields that may be null or left out.
func (s *submission) readNullable(spec *JobSpec, fields *fieldReader) {
	if s.DeadlineSeconds != nil {
		fields.amount("dueS", s.DeadlineSeconds, &spec.DeadlineSeconds)
	}
	if s.Zone != nil {
		fields.name("yard", s.Zone, &spec.Zone)
	}
	if s.Types != nil {
		spec.Types = fields.names("builds", *s.Types)
	}
	if s.Dependencies != nil {
		spec.Dependencies = fields.jobIDs("waitsOn", *s.Dependencies)
	}
}
