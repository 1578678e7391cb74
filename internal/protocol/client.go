package protocol

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Caller makes HTTP requests with a timeout. An error means that no answer arrived; an answer
// with any status is not an error.
type Caller interface {
	// Call makes one request. A nil body means a request without a body.
	Call(method, addr, path string, body []byte, timeout time.Duration) (status int, answer []byte, err error)
}

// endpoint is the address of a service and the means to call it.
type endpoint struct {
	http    Caller
	addr    string
	timeout time.Duration
}

// send sends in as JSON, or no body if in is nil, and decodes an answer with status 200 into
// out unless out is nil. The caller handles every other status. Errors match
// ErrOutcomeUnknown, unless the request could not be encoded.
func (e endpoint) send(method, path string, in, out any) (status int, answer []byte, err error) {
	var body []byte
	if in != nil {
		if body, err = json.Marshal(in); err != nil {
			return 0, nil, fmt.Errorf("encode request to %s: %w", path, err)
		}
	}
	status, answer, err = e.http.Call(method, e.addr, path, body, e.timeout)
	if err != nil {
		return 0, nil, &UnansweredError{Operation: method + " " + path, Cause: err}
	}
	if status == http.StatusOK && out != nil {
		if err := Decode(answer, out); err != nil {
			return status, answer, &UnansweredError{Operation: method + " " + path, Cause: err}
		}
	}
	return status, answer, nil
}

// expectOK calls send and returns a RefusedError for every status other than 200.
func (e endpoint) expectOK(operation, method, path string, in, out any) error {
	status, answer, err := e.send(method, path, in, out)
	if err == nil && status != http.StatusOK {
		err = newRefusedError(operation, status, answer)
	}
	return err
}

// maxQuotedAnswer is the maximum length in bytes of the answer quoted in an error.
const maxQuotedAnswer = 200

// newRefusedError returns the error for an answer whose status means failure.
func newRefusedError(operation string, status int, answer []byte) error {
	kind := ErrNotExecuted
	switch status {
	case http.StatusBadRequest:
		kind = ErrRejected
	case http.StatusTooManyRequests:
		kind = ErrRateLimited
	}
	quoted := answer[:min(len(answer), maxQuotedAnswer)]
	return &RefusedError{Kind: kind, Operation: operation, Status: status, Answer: string(quoted)}
}

// hasErrorText reports whether an answer is an ErrorBody with the given text.
func hasErrorText(answer []byte, text string) bool {
	var body ErrorBody
	return Decode(answer, &body) == nil && body.Error == text
}
