package protocol

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	jsonv1 "github.com/go-json-experiment/json/v1"
)

// What is known about a call to the cloud, the key-value store, an agent or a peer that did
// not succeed. Every error of a client matches one of these or one of those of KVClient.
var (
	// ErrNotExecuted says that the call was certainly not carried out.
	ErrNotExecuted = errors.New("refused, not carried out")
	// ErrOutcomeUnknown says that the call may have been carried out, or may yet be.
	ErrOutcomeUnknown = errors.New("no answer, outcome unknown")
	// ErrRejected says that the call can never be carried out as it is, since it is
	// malformed or over a limit. Sending it again is of no use.
	ErrRejected = errors.New("rejected for good")
	// ErrRateLimited says that the call was not carried out, since there were too many.
	// It matches ErrNotExecuted as well.
	ErrRateLimited = fmt.Errorf("%w: too many requests", ErrNotExecuted)
	// ErrNoCapacity says that the cloud has no such machines now.
	ErrNoCapacity = errors.New("no capacity")
)

// What the key-value store answers besides.
var (
	// ErrConflict says that a condition of a transaction did not hold; nothing was changed.
	ErrConflict = errors.New("condition not met")
	// ErrLeaseNotFound says that the lease has ended.
	ErrLeaseNotFound = errors.New("no such lease")
	// ErrCompacted says that the changes asked for are no longer kept; the keys must be
	// read again.
	ErrCompacted = errors.New("changes no longer kept")
)

// ErrMalformed marks a body that its sender must correct; see MalformedError.
var ErrMalformed = errors.New("malformed")

// MalformedError says what is wrong with the body of a request. Its text is the body of the
// answer, so senders see it. It matches ErrMalformed.
type MalformedError struct {
	// Field is the wire name of the field at fault, or of the whole message; empty where
	// a submission as a whole is at fault.
	Field   string
	Problem string
	Cause   error // why the body could not be decoded; nil where it could
}

// Error implements error.
func (e *MalformedError) Error() string {
	text := ErrMalformed.Error() + ": "
	if e.Field != "" {
		text += e.Field + ": "
	}
	return text + e.Problem
}

// Unwrap returns ErrMalformed and the cause, where there is one.
func (e *MalformedError) Unwrap() []error {
	if e.Cause == nil {
		return []error{ErrMalformed}
	}
	return []error{ErrMalformed, e.Cause}
}

// undecodable is the error of a body that is no JSON of the type expected.
func undecodable(field string, cause error) *MalformedError {
	return &MalformedError{Field: field, Problem: decodeProblem(cause), Cause: cause}
}

// typeNamesInProblems keeps the names that the first versions gave to the types below in
// what senders are told, which must not change with the names of the code.
var typeNamesInProblems = strings.NewReplacer(
	"submission.", "rawSpec.",
	"AgentHeartbeat", "Report",
)

// decodeProblem words why a body could not be decoded. Decoders name Go types where a value
// is of the wrong type.
func decodeProblem(cause error) string {
	switch cause.(type) {
	case *json.UnmarshalTypeError, *jsonv1.UnmarshalTypeError:
		return typeNamesInProblems.Replace(cause.Error())
	}
	return cause.Error()
}

// RefusedError says that a service answered a call with a status that means failure.
type RefusedError struct {
	Kind      error // ErrNotExecuted, ErrRejected or ErrRateLimited
	Operation string
	Status    int    // HTTP status of the answer
	Answer    string // beginning of its body
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%v: %s: status %d: %s", e.Kind, e.Operation, e.Status, e.Answer)
}

// Unwrap returns the kind.
func (e *RefusedError) Unwrap() error { return e.Kind }

// UnansweredError says that no answer came to a call, or one that could not be read. It
// matches ErrOutcomeUnknown and its cause.
type UnansweredError struct {
	Operation string // what was called and where
	Cause     error
}

// Error implements error.
func (e *UnansweredError) Error() string {
	return fmt.Sprintf("%v: %s: %v", ErrOutcomeUnknown, e.Operation, e.Cause)
}

// Unwrap returns ErrOutcomeUnknown and the cause.
func (e *UnansweredError) Unwrap() []error { return []error{ErrOutcomeUnknown, e.Cause} }

// TaskNameError says that a name is not one that TaskName makes.
type TaskNameError struct{ Name string }

// Error implements error.
func (e *TaskNameError) Error() string { return fmt.Sprintf("task name %q", e.Name) }
