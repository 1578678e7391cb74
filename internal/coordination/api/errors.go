package api

import (
	"errors"
	"net/http"
	"time"

	"rockrun/internal/protocol"
)

const (
	// retryPause is the pause that most of those who must come back are asked for.
	retryPause = time.Second
	// busyPause is the pause that a controller with a full queue asks for.
	busyPause = 2 * time.Second
)

// RetryReason says why a request could not be decided. It is an error of its own, so that
// errors.Is finds it in a RetryLaterError.
type RetryReason string

// Reasons to come back later. The texts are those of the answers.
const (
	ErrStarting            RetryReason = "starting"                         // the records are not read yet
	ErrUndecided           RetryReason = "undecided"                        // the job changed while it was looked at
	ErrMachineTypesUnknown RetryReason = "machine types not known yet"      // the cloud's catalogue has not been read
	ErrStoreUnavailable    RetryReason = "state service does not answer"    // the key-value store could not be asked
	ErrMachineUnknown      RetryReason = "machine not known yet"            // the machine has no record
	ErrMachineGone         RetryReason = "machine was given back"           // the machine's record is of a former one
	ErrNotEntitled         RetryReason = "not entitled to this machine now" // the holder may not renew the agent's lease
	ErrOldHeartbeat        RetryReason = "an old report"                    // the heartbeat was delayed on its way
	ErrNoHolder            RetryReason = "no holder yet"                    // nobody holds the machine's shard
	ErrBusy                RetryReason = "busy"                             // the controller's queue is full, or its answer late
)

// Error returns the text of the answer.
func (r RetryReason) Error() string { return string(r) }

// RetryLaterError asks the sender to come back; nothing was decided.
type RetryLaterError struct {
	Reason RetryReason
	// Job and Machine name what the request was about; "" where that does not matter.
	Job     string
	Machine string
	// Cause is the error that kept the controller from deciding; nil where there is none.
	Cause error
}

// Error names the reason, what it is about and the cause.
func (e *RetryLaterError) Error() string {
	text := string(e.Reason)
	if e.Job != "" {
		text += ": job " + e.Job
	}
	if e.Machine != "" {
		text += ": machine " + e.Machine
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the reason and the cause.
func (e *RetryLaterError) Unwrap() []error {
	if e.Cause == nil {
		return []error{e.Reason}
	}
	return []error{e.Reason, e.Cause}
}

// pause is how long the sender is asked to wait.
func (e *RetryLaterError) pause() time.Duration {
	if e.Reason == ErrBusy {
		return busyPause
	}
	return retryPause
}

// UnsatisfiableReason says why a job can never run. It is an error of its own, so that
// errors.Is finds it in an UnsatisfiableError.
type UnsatisfiableReason string

// Reasons why a job can never run. The texts are those of the answers.
const (
	ErrDependsOnItself       UnsatisfiableReason = "waitsOn: names the job itself"
	ErrImpossibleDependency  UnsatisfiableReason = "waitsOn: names a job that was never accepted, or a service"
	ErrUnknownTeam           UnsatisfiableReason = "unknown team"
	ErrNoFittingMachineType  UnsatisfiableReason = "a task fits no allowed machine type"
	ErrMoreThanTeamsMaximums UnsatisfiableReason = "needs more than the team's limit"
)

// Error returns the text of the answer.
func (r UnsatisfiableReason) Error() string { return string(r) }

// UnsatisfiableError refuses a well-formed job that can never run.
type UnsatisfiableError struct {
	Job    string
	Reason UnsatisfiableReason
}

// Error names the job and the reason.
func (e *UnsatisfiableError) Error() string { return "job " + e.Job + ": " + string(e.Reason) }

// Unwrap returns the reason.
func (e *UnsatisfiableError) Unwrap() error { return e.Reason }

// NotFoundError is about a job that was never accepted.
type NotFoundError struct{ Job string }

// Error returns the text of the answer.
func (e *NotFoundError) Error() string { return "no such job" }

// TooLongError refuses a job whose record does not fit a value of the key-value store. It
// wraps protocol.ErrMalformed: the sender must change the job.
type TooLongError struct {
	Job   string
	Bytes int // size of the record
}

// Error returns the text of the answer.
func (e *TooLongError) Error() string {
	return protocol.ErrMalformed.Error() + ": description too long to be kept"
}

// Unwrap returns protocol.ErrMalformed.
func (e *TooLongError) Unwrap() error { return protocol.ErrMalformed }

// ElsewhereError sends an agent to the controller that holds its machine's shard.
type ElsewhereError struct{ Machine, Controller string }

// Error names the machine and the controller.
func (e *ElsewhereError) Error() string {
	return "machine " + e.Machine + " is held by controller " + e.Controller
}

// OverloadError refuses a request because too many of its class are in progress.
type OverloadError struct{ Class string }

// Error returns the text of the answer.
func (e *OverloadError) Error() string { return "too many requests in progress" }

// StatusError is an error that is no more than a status of HTTP, and its cause if known.
type StatusError struct {
	Status int
	Cause  error
}

// Error returns the text of the answer.
func (e *StatusError) Error() string { return http.StatusText(e.Status) }

// Unwrap returns the cause.
func (e *StatusError) Unwrap() error { return e.Cause }

// ErrUnhealthy tells a health check that users had better go to another controller.
var ErrUnhealthy = errors.New("users had better go to another controller")
