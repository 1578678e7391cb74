package protocol

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestMalformedErrorTexts checks the exact error texts that senders of malformed requests receive.
func TestMalformedErrorTexts(t *testing.T) {
	validBody := `{"id":"run-1","lane":"c","crew":"red","shape":"sweep","rank":"normal","pieces":1,"vcpus":1,"gpus":0,"ramGb":1,` +
		`"bundle":"i","sizeGb":1,"together":false,"spread":false,"loaner":false,"guessS":1,"markS":0,"stashS":0}`
	replace := func(old, changed string) string {
		if !strings.Contains(validBody, old) {
			t.Fatalf("the submission does not contain %s", old)
		}
		return strings.Replace(validBody, old, changed, 1)
	}
	submission := func(body string) error { _, err := ParseSubmission([]byte(body)); return err }
	heartbeat := func(body string) error { _, err := ParseAgentHeartbeat([]byte(body)); return err }
	cases := []struct {
		name  string
		parse func(string) error
		body  string
		want  string
	}{
		{"too long", submission, strings.Repeat(" ", MaxBody+1), "malformed: body over 65536 bytes"},
		{"not an object", submission, "[]", "malformed: not an object"},
		{"not JSON", submission, "{", "malformed: unexpected end of JSON input"},
		{"wrong type", submission, replace(`"vcpus":1`, `"vcpus":"1"`), "malformed: json: cannot unmarshal string into Go struct field rawSpec.vcpus of type float64"},
		{"wrong type of kind", submission, replace(`"shape":"sweep"`, `"shape":1`), "malformed: json: cannot unmarshal number into Go struct field rawSpec.shape of type string"},
		{"several errors", submission, "{}", "malformed: id: missing"},
		{"invalid id", submission, replace("run-1", "job"), "malformed: id: not of the form run-000412"},
		{"missing", submission, replace(`"rank":"normal",`, ""), "malformed: rank: missing"},
		{"empty", submission, replace(`"crew":"red"`, `"crew":""`), "malformed: crew: empty"},
		{"name too long", submission, replace(`"crew":"red"`, `"crew":"`+strings.Repeat("x", 201)+`"`), "malformed: crew: too long"},
		{"out of range", submission, replace(`"ramGb":1`, `"ramGb":-1`), "malformed: ramGb: out of range"},
		{"flag missing", submission, replace(`"spread":false,`, ""), "malformed: spread: missing"},
		{"too many tasks", submission, replace(`"pieces":1`, `"pieces":100001`), "malformed: pieces: out of range"},
		{"no machine types", submission, replace(`"id"`, `"builds":[],"id"`), "malformed: builds: empty"},
		{"empty machine type", submission, replace(`"id"`, `"builds":["a",""],"id"`), "malformed: builds: empty"},
		{"invalid dependency id", submission, replace(`"id"`, `"waitsOn":["x"],"id"`), "malformed: waitsOn: not of the form run-000412"},
		{"unknown kind", submission, replace("sweep", "circle"), "malformed: shape: unknown"},
		{"unknown priority", submission, replace("normal", "top"), "malformed: rank: unknown"},
		{"no resources", submission, replace(`"vcpus":1,"gpus":0,"ramGb":1`, `"vcpus":0,"gpus":0,"ramGb":0`), "malformed: vcpus: a task takes nothing of its machine"},
		{"heartbeat without a machine", heartbeat, "{}", "malformed: report: no machine or session"},
		{"heartbeat without an epoch", heartbeat, `{"host":"m-1"}`, "malformed: report: no machine or session"},
		{"heartbeat that is not JSON", heartbeat, "{", "malformed: report: unexpected end of JSON input"},
		{"heartbeat with a state of the wrong type", heartbeat, `{"pieces":[{"stage":1}]}`, "malformed: report: json: cannot unmarshal number into Go struct field Report.pieces.0.stage of type string"},
		{"heartbeat with a cause of the wrong type", heartbeat, `{"pieces":[{"cause":[]}]}`, "malformed: report: json: cannot unmarshal array into Go struct field Report.pieces.0.cause of type string"},
		{"heartbeat with a negative sequence number", heartbeat, `{"tick":-1}`, "malformed: report: json: cannot unmarshal number -1 into Go struct field Report.tick of type uint64"},
		{"heartbeat with a task that is a number", heartbeat, `{"pieces":[7]}`, "malformed: report: json: cannot unmarshal number into Report.pieces.0 of type protocol.TaskStatus"},
		{"heartbeat that is a list", heartbeat, "[]", "malformed: report: json: cannot unmarshal array into Go value of type protocol.Report"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := c.parse(c.body)
			if err == nil || err.Error() != c.want {
				t.Errorf("error %v, want %s", err, c.want)
			}
			if !errors.Is(err, ErrMalformed) {
				t.Errorf("%v does not wrap ErrMalformed", err)
			}
		})
	}
}

// stubCaller is a Caller that always returns the same answer.
type stubCaller struct {
	status int
	body   string
	err    error
}

func (a stubCaller) Call(string, string, string, []byte, time.Duration) (int, []byte, error) {
	return a.status, []byte(a.body), a.err
}

// TestClientErrors checks the kind of error that the clients return for each answer.
func TestClientErrors(t *testing.T) {
	errUnreachable := errors.New("unreachable")
	create := func(c stubCaller) error {
		_, err := (&CloudClient{HTTP: c}).CreateMachines(CreateMachinesRequest{})
		return err
	}
	commit := func(c stubCaller) error { _, err := (&KVClient{HTTP: c}).Commit(Transaction{}); return err }
	renew := func(c stubCaller) error { return (&KVClient{HTTP: c}).RenewLease(7) }
	revoke := func(c stubCaller) error { return (&KVClient{HTTP: c}).RevokeLease(7) }
	watch := func(c stubCaller) error { _, err := (&KVClient{HTTP: c}).Watch("r/", 1, 0); return err }
	cases := []struct {
		name   string
		call   func(stubCaller) error
		answer stubCaller
		want   error // nil: no error
	}{
		{"created", create, stubCaller{status: http.StatusOK, body: `{"hosts":["m-1"]}`}, nil},
		{"created no machines", create, stubCaller{status: http.StatusOK, body: `{"hosts":[]}`}, ErrNoCapacity},
		{"no capacity", create, stubCaller{status: http.StatusServiceUnavailable, body: `{"error":"no capacity"}`}, ErrNoCapacity},
		{"cloud is down", create, stubCaller{status: http.StatusServiceUnavailable, body: `{"error":"trouble"}`}, ErrNotExecuted},
		{"malformed creation", create, stubCaller{status: http.StatusBadRequest}, ErrRejected},
		{"too many requests", create, stubCaller{status: http.StatusTooManyRequests}, ErrRateLimited},
		{"no answer", create, stubCaller{err: errUnreachable}, ErrOutcomeUnknown},
		{"undecodable answer", create, stubCaller{status: http.StatusOK, body: "x"}, ErrOutcomeUnknown},
		{"committed", commit, stubCaller{status: http.StatusOK, body: `{"epoch":3}`}, nil},
		{"precondition failed", commit, stubCaller{status: http.StatusConflict}, ErrConflict},
		{"lease of an operation has ended", commit, stubCaller{status: http.StatusBadRequest, body: `{"error":"no such lease"}`}, ErrLeaseNotFound},
		{"over a limit", commit, stubCaller{status: http.StatusBadRequest, body: `{"error":"too long"}`}, ErrRejected},
		{"renewed", renew, stubCaller{status: http.StatusNoContent}, nil},
		{"lease to renew has ended", renew, stubCaller{status: http.StatusNotFound}, ErrLeaseNotFound},
		{"renewal not executed", renew, stubCaller{status: http.StatusServiceUnavailable}, ErrNotExecuted},
		{"revoked", revoke, stubCaller{status: http.StatusNoContent}, nil},
		{"lease to revoke has ended", revoke, stubCaller{status: http.StatusNotFound}, nil},
		{"changes compacted", watch, stubCaller{status: http.StatusGone}, ErrCompacted},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if err := c.call(c.answer); !errors.Is(err, c.want) {
				t.Errorf("error %v, want %v", err, c.want)
			}
		})
	}
	if err := create(stubCaller{err: errUnreachable}); !errors.Is(err, errUnreachable) {
		t.Errorf("%v does not wrap its cause", err)
	}
	if err := commit(stubCaller{status: http.StatusTooManyRequests}); !errors.Is(err, ErrNotExecuted) {
		t.Errorf("%v does not match ErrNotExecuted", err)
	}
}

// TestRefusedError checks that a RefusedError has the operation, the status and the beginning of
// the answer.
func TestRefusedError(t *testing.T) {
	long := strings.Repeat("x", maxQuotedAnswer+1)
	_, err := (&KVClient{HTTP: stubCaller{status: http.StatusServiceUnavailable, body: long}}).List("r/", "")
	var refusal *RefusedError
	if !errors.As(err, &refusal) {
		t.Fatalf("error %v is not a RefusedError", err)
	}
	want := RefusedError{Kind: ErrNotExecuted, Operation: "list", Status: http.StatusServiceUnavailable, Answer: long[:maxQuotedAnswer]}
	if *refusal != want {
		t.Errorf("error %+v, want %+v", *refusal, want)
	}
	if text := "refused, not carried out: list: status 503: " + want.Answer; err.Error() != text {
		t.Errorf("error text %v, want %s", err, text)
	}
}
