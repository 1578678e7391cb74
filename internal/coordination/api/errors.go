package api

import (
	"errors"
	"net/http"
	"time"

	"rockrun/internal/protocol"
)

const (
	// defaultRetryAfter is how long a sender must wait before a retry in most cases.
	defaultRetryAfter = time.Second
	// busyRetryAfter is how long a sender must wait if the controller is overloaded.
	busyRetryAfter = 2 * time.Second
)

// RetryReason is the reason why a request could not be decided. It is an error, so that
// errors.Is finds it in a RetryLaterError.
type RetryReason string

// Reasons for a retry. The texts are sent in answers.
const (
	ErrStarting            RetryReason = "starting"                         // the records have not been read yet
	ErrUndecided           RetryReason = "undecided"                        // the job changed while the request was processed
	ErrMachineTypesUnknown RetryReason = "machine types not known yet"      // the cloud's catalogue has not been read yet
	ErrStoreUnavailable    RetryReason = "state service does not answer"    // the key-value store could not be reached
	ErrMachineUnknown      RetryReason = "machine not known yet"            // the machine has no record
	ErrMachineGone         RetryReason = "machine was given back"           // the machine's record belongs to a deleted machine
	ErrNotEntitled         RetryReason = "not entitled to this machine now" // the holder may not renew the agent's lease
	ErrOldHeartbeat        RetryReason = "an old report"                    // a delayed heartbeat, not newer than the last one processed
	ErrNoHolder            RetryReason = "no holder yet"                    // no controller holds the machine's shard
	ErrBusy                RetryReason = "busy"                             // the controller's queue is full, or its answer came too late
)

// Error returns the text sent in the answer.
func (r RetryReason) Error() string { return string(r) }

// RetryLaterError asks the sender to retry a request on which nothing was decided.
type RetryLaterError struct {
	Reason RetryReason
	// Job and Machine name the subject of the request; "" if there is none.
	Job     string
	Machine string
	// Cause is the error that prevented a decision; nil if there is none.
	Cause error
}

// Error returns the reason, the job or machine, and the cause.
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

// retryAfter returns how long the sender must wait before it retries.
func (e *RetryLaterError) retryAfter() time.Duration {
	if e.Reason == ErrBusy {
		return busyRetryAfter
	}
	return defaultRetryAfter
}

// UnsatisfiableReason is the reason why a job can never run. It is an error, so that
// errors.Is finds it in an UnsatisfiableError.
type UnsatisfiableReason string

// Reasons why a job can never run. The texts are sent in answers.
const (
	ErrDependsOnItself      UnsatisfiableReason = "waitsOn: names the job itself"
	ErrImpossibleDependency UnsatisfiableReason = "waitsOn: names a job that was never accepted, or a service"
	ErrUnknownTeam          UnsatisfiableReason = "unknown team"
	ErrNoFittingMachineType UnsatisfiableReason = "a task fits no allowed machine type"
	ErrExceedsTeamMaximum   UnsatisfiableReason = "needs more than the team's limit"
)

// Error returns the text sent in the answer.
func (r UnsatisfiableReason) Error() string { return string(r) }

// UnsatisfiableError rejects a well-formed job that can never run.
type UnsatisfiableError struct {
	Job    string
	Reason UnsatisfiableReason
}

// Error returns the job and the reason.
func (e *UnsatisfiableError) Error() string { return "job " + e.Job + ": " + string(e.Reason) }

// Unwrap returns the reason.
func (e *UnsatisfiableError) Unwrap() error { return e.Reason }

// NotFoundError reports that a job was never accepted.
type NotFoundError struct{ Job string }

// Error returns the text sent in the answer.
func (e *NotFoundError) Error() string { return "no such job" }

// TooLongError rejects a job whose record exceeds the size limit of a value in the key-value
// store. It wraps protocol.ErrMalformed, because the sender must change the job.
type TooLongError struct {
	Job   string
	Bytes int // size of the record
}

// Error returns the text sent in the answer.
func (e *TooLongError) Error() string {
	return protocol.ErrMalformed.Error() + ": description too long to be kept"
}

// Unwrap returns protocol.ErrMalformed.
func (e *TooLongError) Unwrap() error { return protocol.ErrMalformed }

// RedirectError redirects an agent to the controller that holds its machine's shard.
type RedirectError struct{ Machine, Controller string }

// Error returns the machine and the controller.
func (e *RedirectError) Error() string {
	return "machine " + e.Machine + " is held by controller " + e.Controller
}

// OverloadError sheds a request because too many requests of its class are in progress.
type OverloadError struct{ Class string }

// Error returns the text sent in the answer.
func (e *OverloadError) Error() string { return "too many requests in progress" }

// StatusError is an error described by an HTTP status only, with its cause if known.
type StatusError struct {
	Status int
	Cause  error
}

// Error returns the text sent in the answer.
func (e *StatusError) Error() string { return http.StatusText(e.Status) }

// Unwrap returns the cause.
func (e *StatusError) Unwrap() error { return e.Cause }

// ErrUnhealthy tells a health check that users should be routed to another controller.
var ErrUnhealthy = errors.New("users should be routed to another controller")
