package protocol

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Caller makes one HTTP request and gives up at the timeout. Its errors mean that no answer
// came; a status of any kind is an answer.
type Caller interface {
	// Call makes the request. The body is nil where there is none.
	Call(method, addr, path string, body []byte, timeout time.Duration) (status int, answer []byte, err error)
}

// endpoint is the address of a service and the way to it.
type endpoint struct {
	http    Caller
	addr    string
	timeout time.Duration
}

// send sends in as JSON, or no body where in is nil, and decodes an answer with status 200
// into out unless out is nil. Every other status is the caller's to judge. Its errors match
// ErrOutcomeUnknown, except that of a request that cannot be encoded.
func (e endpoint) send(method, path string, in, out any) (status int, answer []byte, err error) {
	var body []byte
	if in != nil {
		if body, err = json.Marshal(in); err != nil {
			return 0, nil, fmt.Errorf("encode %s: %w", path, err)
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

// expectOK is send where every status but 200 means that the service refuses.
func (e endpoint) expectOK(operation, method, path string, in, out any) error {
	status, answer, err := e.send(method, path, in, out)
	if err == nil && status != http.StatusOK {
		err = refused(operation, status, answer)
	}
	return err
}

// maxQuotedAnswer is how many bytes of an answer an error repeats.
const maxQuotedAnswer = 200

// refused makes the error of an answer whose status means failure.
func refused(operation string, status int, answer []byte) error {
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

// saysError reports whether an answer is an ErrorBody with the text.
func saysError(answer []byte, text string) bool {
	var body ErrorBody
	return Decode(answer, &body) == nil && body.Error == text
}
