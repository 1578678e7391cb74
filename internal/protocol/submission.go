package protocol

import (
	"bytes"
	"fmt"
)

// Limits on submissions.
const (
	MaxBody      = MaxMessageBytes // size of a submission in bytes
	MaxTasks     = 100_000         // tasks per job
	maxNameBytes = 200             // length of a name in bytes

	// maxAmount is the maximum of every amount in a submission.
	maxAmount = 1e9
)

// ParseSubmission decodes and validates the body of a submission. Its errors are of type
// *MalformedError. It does not check whether the job can run in the cluster (its team, its
// machine types, its size).
func ParseSubmission(body []byte) (*JobSpec, error) {
	if len(body) > MaxBody {
		return nil, &MalformedError{Problem: fmt.Sprintf("body over %d bytes", MaxBody)}
	}
	if trimmed := bytes.TrimLeft(body, " \t\r\n"); len(trimmed) == 0 || trimmed[0] != '{' {
		return nil, &MalformedError{Problem: "not an object"}
	}
	var fields submission
	if err := Decode(body, &fields); err != nil {
		return nil, newDecodeError("", err)
	}
	spec, err := fields.spec()
	if err != nil {
		return nil, err
	}
	if err := spec.validate(); err != nil {
		return nil, err
	}
	return spec, nil
}

// validate checks the enumerated values, the job ID and the combination of fields.
func (s *JobSpec) validate() error {
	switch {
	case !ValidJobID(s.ID):
		return &MalformedError{Field: "id", Problem: invalidJobIDProblem}
	case s.Kind != KindArray && s.Kind != KindService && s.Kind != KindGang:
		return &MalformedError{Field: "shape", Problem: "unknown"}
	case s.Rank() == len(priorities):
		return &MalformedError{Field: "rank", Problem: "unknown"}
	case s.CPUs <= 0 && s.GPUs <= 0 && s.MemoryGB <= 0:
		return &MalformedError{Field: "vcpus", Problem: "a task takes nothing of its machine"}
	}
	return nil
}

// submission is the wire form of JobSpec. The fields are pointers to distinguish a missing field
// from a zero value.
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

// spec checks each field separately and returns the JobSpec. Only the first error is reported
// to the user, so the order of the checks is visible to users.
func (s *submission) spec() (*JobSpec, error) {
	spec := &JobSpec{}
	fields := &fieldReader{}
	s.readNames(spec, fields)
	s.readAmounts(spec, fields)
	s.readFlags(spec, fields)
	fields.tasks("pieces", s.Tasks, &spec.Tasks)
	s.readNullable(spec, fields)
	if fields.firstError != nil {
		return nil, fields.firstError
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

// readNullable reads the optional fields, which may be null or missing.
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
