package api

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"rockrun/internal/protocol"
)

// TestAnswersOfErrors checks the status, body and Retry-After that senders see for each error.
func TestAnswersOfErrors(t *testing.T) {
	retryLater := func(reason RetryReason) error {
		return &RetryLaterError{Reason: reason, Job: "run-1", Machine: "m-1", Cause: protocol.ErrOutcomeUnknown}
	}
	unsatisfiable := func(reason UnsatisfiableReason) error { return &UnsatisfiableError{Job: "run-1", Reason: reason} }
	for _, c := range []struct {
		name       string
		err        error
		status     int
		body       string
		retryAfter time.Duration
	}{
		{"starting", retryLater(ErrStarting), 503, `{"error":"starting"}`, time.Second},
		{"undecided", retryLater(ErrUndecided), 503, `{"error":"undecided"}`, time.Second},
		{"machine types", retryLater(ErrMachineTypesUnknown), 503, `{"error":"machine types not known yet"}`, time.Second},
		{"store", retryLater(ErrStoreUnavailable), 503, `{"error":"state service does not answer"}`, time.Second},
		{"machine unknown", retryLater(ErrMachineUnknown), 503, `{"error":"machine not known yet"}`, time.Second},
		{"machine gone", retryLater(ErrMachineGone), 503, `{"error":"machine was given back"}`, time.Second},
		{"not entitled", retryLater(ErrNotEntitled), 503, `{"error":"not entitled to this machine now"}`, time.Second},
		{"old heartbeat", retryLater(ErrOldHeartbeat), 503, `{"error":"an old report"}`, time.Second},
		{"no holder", retryLater(ErrNoHolder), 503, `{"error":"no holder yet"}`, time.Second},
		{"busy", retryLater(ErrBusy), 503, `{"error":"busy"}`, 2 * time.Second},
		{"depends on itself", unsatisfiable(ErrDependsOnItself), 422, `{"error":"waitsOn: names the job itself"}`, 0},
		{"dependency", unsatisfiable(ErrImpossibleDependency), 422, `{"error":"waitsOn: names a job that was never accepted, or a service"}`, 0},
		{"team", unsatisfiable(ErrUnknownTeam), 422, `{"error":"unknown team"}`, 0},
		{"no machine type", unsatisfiable(ErrNoFittingMachineType), 422, `{"error":"a task fits no allowed machine type"}`, 0},
		{"maximums", unsatisfiable(ErrExceedsTeamMaximum), 422, `{"error":"needs more than the team's limit"}`, 0},
		{"not found", &NotFoundError{Job: "run-1"}, 404, `{"error":"no such job"}`, 0},
		{"too long", &TooLongError{Job: "run-1", Bytes: 9000}, 400, `{"error":"malformed: description too long to be kept"}`, 0},
		{"malformed", fmt.Errorf("%w: shape: unknown", protocol.ErrMalformed), 400, `{"error":"malformed: shape: unknown"}`, 0},
		{"redirect", &RedirectError{Machine: "m-1", Controller: "b"}, 421, string(mustEncode(t, protocol.Redirect{Controller: "b"})), 0},
		{"overload", &OverloadError{Class: "submit"}, 429, `{"error":"too many requests in progress"}`, time.Second},
		{"status", &StatusError{Status: http.StatusMethodNotAllowed}, 405, `{"error":"Method Not Allowed"}`, 0},
		{"unhealthy", ErrUnhealthy, 503, "", time.Second},
		{"other", errors.New("disk read failed"), 500, `{"error":"Internal Server Error"}`, 0},
		{"wrapped", fmt.Errorf("status of run-1: %w", retryLater(ErrStarting)), 503, `{"error":"starting"}`, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			answer := FromError(c.err)
			body := ""
			if answer.Body != nil {
				body = string(mustEncode(t, answer.Body))
			}
			if answer.Status != c.status || body != c.body || answer.RetryAfter != c.retryAfter {
				t.Errorf("status %d, body %s, Retry-After %s", answer.Status, body, answer.RetryAfter)
			}
		})
	}
}

func mustEncode(t *testing.T, value any) []byte {
	t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestErrorMatching: errors.Is finds the reason and the cause of an error, and errors.As
// gives access to its job.
func TestErrorMatching(t *testing.T) {
	storeUnavailable := fmt.Errorf("submission: %w", &RetryLaterError{Reason: ErrStoreUnavailable, Job: "run-1", Cause: protocol.ErrNotExecuted})
	for _, c := range []struct {
		name        string
		err, target error
		want        bool
	}{
		{"reason", storeUnavailable, ErrStoreUnavailable, true},
		{"other reason", storeUnavailable, ErrStarting, false},
		{"cause", storeUnavailable, protocol.ErrNotExecuted, true},
		{"no cause", &RetryLaterError{Reason: ErrBusy}, protocol.ErrNotExecuted, false},
		{"unsatisfiable", &UnsatisfiableError{Job: "run-1", Reason: ErrUnknownTeam}, ErrUnknownTeam, true},
		{"too long is malformed", &TooLongError{Job: "run-1"}, protocol.ErrMalformed, true},
		{"status", &StatusError{Status: http.StatusTeapot, Cause: protocol.ErrRejected}, protocol.ErrRejected, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if errors.Is(c.err, c.target) != c.want {
				t.Errorf("errors.Is(%v, %v) = %t", c.err, c.target, !c.want)
			}
		})
	}
	var retryLater *RetryLaterError
	if !errors.As(storeUnavailable, &retryLater) || retryLater.Job != "run-1" {
		t.Errorf("no RetryLaterError of run-1: %v", storeUnavailable)
	}
}
