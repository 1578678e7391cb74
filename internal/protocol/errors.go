package protocol

import (
	"errors"
	"fmt"
	"strings"

	jsonv1 "github.com/go-json-experiment/json/v1"
)

// Kinds of failed calls to the cloud, the key-value store, an agent or a peer. Every error of
// a client matches one of these or one of the errors of KVClient below.
var (
	// ErrNotExecuted means that the call was certainly not executed.
	ErrNotExecuted = errors.New("refused, not carried out")
	// ErrOutcomeUnknown means that the call may have been executed or may still be executed.
	ErrOutcomeUnknown = errors.New("no answer, outcome unknown")
	// ErrRejected means that the call is malformed or exceeds a limit, so that a retry of
	// the same call cannot succeed.
	ErrRejected = errors.New("rejected permanently")
	// ErrRateLimited means that the call was not executed because there were too many
	// requests. It matches ErrNotExecuted as well.
	ErrRateLimited = fmt.Errorf("%w: too many requests", ErrNotExecuted)
	// ErrNoCapacity means that the cloud has no machines of the requested type, zone and
	// market at present.
	ErrNoCapacity = errors.New("no capacity")
)

// Errors of KVClient only.
var (
	// ErrConflict means that a precondition of a transaction did not hold. Nothing was
	// changed.
	ErrConflict = errors.New("precondition not met")
	// ErrLeaseNotFound means that the lease has ended.
	ErrLeaseNotFound = errors.New("no such lease")
	// ErrCompacted means that the store no longer retains the requested changes. The keys
	// must be read again.
	ErrCompacted = errors.New("requested changes are compacted")
)

// ErrMalformed means that a body is invalid and that its sender must correct it; see
// MalformedError.
var ErrMalformed = errors.New("malformed")

// MalformedError describes what is invalid in a body. Its text is sent in the answer to an
// invalid request. It matches ErrMalformed.
type MalformedError struct {
	// Field is the wire name of the invalid field or, if the whole message is invalid, of
	// the message; empty for an invalid submission as a whole.
	Field   string
	Problem string
	Cause   error // decode error; nil if the body could be decoded
}

// Error implements error.
func (e *MalformedError) Error() string {
	text := ErrMalformed.Error() + ": "
	if e.Field != "" {
		text += e.Field + ": "
	}
	return text + e.Problem
}

// Unwrap returns ErrMalformed and the cause, if there is one.
func (e *MalformedError) Unwrap() []error {
	if e.Cause == nil {
		return []error{ErrMalformed}
	}
	return []error{ErrMalformed, e.Cause}
}

// newDecodeError returns the error for a body that is not JSON of the expected type.
func newDecodeError(field string, cause error) *MalformedError {
	return &MalformedError{Field: field, Problem: decodeProblem(cause), Cause: cause}
}

// typeNamesInProblems replaces the Go names of types in error texts with the names that these
// types had in the first versions. Senders see these texts, so a rename in the code must not
// change them.
var typeNamesInProblems = strings.NewReplacer(
	"submission.", "rawSpec.",
	"AgentHeartbeat", "Report",
)

// maxProblemBytes is the maximum length of the text of a decode error. The text quotes numbers
// that do not fit their type, at any length.
const maxProblemBytes = 1000

// decodeProblem returns the text of a decode error. The text contains names of Go types if a
// value is of the wrong type.
func decodeProblem(cause error) string {
	text := cause.Error()
	if _, wrongType := cause.(*jsonv1.UnmarshalTypeError); wrongType {
		text = typeNamesInProblems.Replace(text)
	}
	if len(text) <= maxProblemBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxProblemBytes], "") + "..."
}

// RefusedError is the error of a call that a service answered with a failure status.
type RefusedError struct {
	Kind      error // ErrNotExecuted, ErrRejected or ErrRateLimited
	Operation string
	Status    int    // HTTP status code of the answer
	Answer    string // beginning of the body of the answer
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%v: %s: status %d: %s", e.Kind, e.Operation, e.Status, e.Answer)
}

// Unwrap returns the kind.
func (e *RefusedError) Unwrap() error { return e.Kind }

// UnansweredError is the error of a call whose answer did not arrive or could not be decoded.
// It matches ErrOutcomeUnknown and its cause.
type UnansweredError struct {
	Operation string // HTTP method and path
	Cause     error
}

// Error implements error.
func (e *UnansweredError) Error() string {
	return fmt.Sprintf("%v: %s: %v", ErrOutcomeUnknown, e.Operation, e.Cause)
}

// Unwrap returns ErrOutcomeUnknown and the cause.
func (e *UnansweredError) Unwrap() []error { return []error{ErrOutcomeUnknown, e.Cause} }

// TaskNameError means that a name does not have the form that TaskName returns.
type TaskNameError struct{ Name string }

// Error implements error.
func (e *TaskNameError) Error() string {
	return fmt.Sprintf("task name %q does not have the form run-000412/3 with a task number below %d", e.Name, MaxTasks)
}
