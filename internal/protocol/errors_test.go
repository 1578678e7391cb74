package protocol

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestMalformedTexts: senders of malformed requests are told these very texts.
func TestMalformedTexts(t *testing.T) {
	whole := `{"id":"run-1","lane":"c","crew":"red","shape":"sweep","rank":"normal","pieces":1,"vcpus":1,"gpus":0,"ramGb":1,` +
		`"bundle":"i","sizeGb":1,"together":false,"spread":false,"loaner":false,"guessS":1,"markS":0,"stashS":0}`
	with := func(old, changed string) string {
		if !strings.Contains(whole, old) {
			t.Fatalf("no %s in the submission", old)
		}
		return strings.Replace(whole, old, changed, 1)
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
		{"wrong type", submission, with(`"vcpus":1`, `"vcpus":"1"`), "malformed: json: cannot unmarshal string into Go struct field rawSpec.vcpus of type float64"},
		{"wrong type of kind", submission, with(`"shape":"sweep"`, `"shape":1`), "malformed: json: cannot unmarshal number into Go struct field rawSpec.shape of type string"},
		{"several faults", submission, "{}", "malformed: id: missing"},
		{"id of another form", submission, with("run-1", "job"), "malformed: id: not of the form run-000412"},
		{"missing", submission, with(`"rank":"normal",`, ""), "malformed: rank: missing"},
		{"empty", submission, with(`"crew":"red"`, `"crew":""`), "malformed: crew: empty"},
		{"too long a name", submission, with(`"crew":"red"`, `"crew":"`+strings.Repeat("x", 201)+`"`), "malformed: crew: too long"},
		{"out of range", submission, with(`"ramGb":1`, `"ramGb":-1`), "malformed: ramGb: out of range"},
		{"flag missing", submission, with(`"spread":false,`, ""), "malformed: spread: missing"},
		{"too many tasks", submission, with(`"pieces":1`, `"pieces":100001`), "malformed: pieces: out of range"},
		{"no machine types", submission, with(`"id"`, `"builds":[],"id"`), "malformed: builds: empty"},
		{"an empty machine type", submission, with(`"id"`, `"builds":["a",""],"id"`), "malformed: builds: empty"},
		{"a dependency of another form", submission, with(`"id"`, `"waitsOn":["x"],"id"`), "malformed: waitsOn: not of the form run-000412"},
		{"unknown kind", submission, with("sweep", "circle"), "malformed: shape: unknown"},
		{"unknown priority", submission, with("normal", "top"), "malformed: rank: unknown"},
		{"no resources", submission, with(`"vcpus":1,"gpus":0,"ramGb":1`, `"vcpus":0,"gpus":0,"ramGb":0`), "malformed: vcpus: a task takes nothing of its machine"},
		{"heartbeat without a machine", heartbeat, "{}", "malformed: report: no machine or session"},
		{"heartbeat without an epoch", heartbeat, `{"host":"m-1"}`, "malformed: report: no machine or session"},
		{"heartbeat that is not JSON", heartbeat, "{", "malformed: report: unexpected end of JSON input"},
		{"heartbeat of a wrong type", heartbeat, `{"pieces":[{"stage":1}]}`, "malformed: report: json: cannot unmarshal number into Go struct field Report.pieces.0.stage of type string"},
		{"heartbeat of a wrong cause", heartbeat, `{"pieces":[{"cause":[]}]}`, "malformed: report: json: cannot unmarshal array into Go struct field Report.pieces.0.cause of type string"},
		{"heartbeat of a wrong number", heartbeat, `{"tick":-1}`, "malformed: report: json: cannot unmarshal number -1 into Go struct field Report.tick of type uint64"},
		{"heartbeat with a task that is a number", heartbeat, `{"pieces":[7]}`, "malformed: report: json: cannot unmarshal number into Report.pieces.0 of type protocol.TaskStatus"},
		{"heartbeat that is a list", heartbeat, "[]", "malformed: report: json: cannot unmarshal array into Go value of type protocol.Report"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := c.parse(c.body)
			if err == nil || err.Error() != c.want {
				t.Errorf("%v, not %s", err, c.want)
			}
			if !errors.Is(err, ErrMalformed) {
				t.Errorf("%v does not wrap ErrMalformed", err)
			}
		})
	}
}

// answering is a Caller that always gives the same answer.
type answering struct {
	status int
	body   string
	err    error
}

func (a answering) Call(string, string, string, []byte, time.Duration) (int, []byte, error) {
	return a.status, []byte(a.body), a.err
}

// TestClientErrors: what each answer says about a call.
func TestClientErrors(t *testing.T) {
	errUnreachable := errors.New("unreachable")
	create := func(c answering) error {
		_, err := (&CloudClient{HTTP: c}).CreateMachines(CreateMachinesRequest{})
		return err
	}
	commit := func(c answering) error { _, err := (&KVClient{HTTP: c}).Commit(Transaction{}); return err }
	renew := func(c answering) error { return (&KVClient{HTTP: c}).RenewLease(7) }
	revoke := func(c answering) error { return (&KVClient{HTTP: c}).RevokeLease(7) }
	watch := func(c answering) error { _, err := (&KVClient{HTTP: c}).Watch("r/", 1, 0); return err }
	cases := []struct {
		name   string
		call   func(answering) error
		answer answering
		want   error // nil: no error
	}{
		{"created", create, answering{status: http.StatusOK, body: `{"hosts":["m-1"]}`}, nil},
		{"created none", create, answering{status: http.StatusOK, body: `{"hosts":[]}`}, ErrNoCapacity},
		{"no capacity", create, answering{status: http.StatusServiceUnavailable, body: `{"error":"no capacity"}`}, ErrNoCapacity},
		{"cloud is down", create, answering{status: http.StatusServiceUnavailable, body: `{"error":"trouble"}`}, ErrNotExecuted},
		{"malformed creation", create, answering{status: http.StatusBadRequest}, ErrRejected},
		{"too many requests", create, answering{status: http.StatusTooManyRequests}, ErrRateLimited},
		{"no answer", create, answering{err: errUnreachable}, ErrOutcomeUnknown},
		{"an answer of another form", create, answering{status: http.StatusOK, body: "x"}, ErrOutcomeUnknown},
		{"committed", commit, answering{status: http.StatusOK, body: `{"epoch":3}`}, nil},
		{"a condition failed", commit, answering{status: http.StatusConflict}, ErrConflict},
		{"the lease has ended", commit, answering{status: http.StatusBadRequest, body: `{"error":"no such lease"}`}, ErrLeaseNotFound},
		{"over a limit", commit, answering{status: http.StatusBadRequest, body: `{"error":"too long"}`}, ErrRejected},
		{"renewed", renew, answering{status: http.StatusNoContent}, nil},
		{"lease to renew has ended", renew, answering{status: http.StatusNotFound}, ErrLeaseNotFound},
		{"renewal refused", renew, answering{status: http.StatusServiceUnavailable}, ErrNotExecuted},
		{"revoked", revoke, answering{status: http.StatusNoContent}, nil},
		{"lease to revoke has ended", revoke, answering{status: http.StatusNotFound}, nil},
		{"changes no longer kept", watch, answering{status: http.StatusGone}, ErrCompacted},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if err := c.call(c.answer); !errors.Is(err, c.want) {
				t.Errorf("%v, not %v", err, c.want)
			}
		})
	}
	if err := create(answering{err: errUnreachable}); !errors.Is(err, errUnreachable) {
		t.Errorf("%v does not wrap its cause", err)
	}
	if err := commit(answering{status: http.StatusTooManyRequests}); !errors.Is(err, ErrNotExecuted) {
		t.Errorf("%v does not match ErrNotExecuted", err)
	}
}

// TestRefusedError: the error of a refused call says what was refused, how, and the
// beginning of the answer.
func TestRefusedError(t *testing.T) {
	long := strings.Repeat("x", maxQuotedAnswer+1)
	_, err := (&KVClient{HTTP: answering{status: http.StatusServiceUnavailable, body: long}}).List("r/", "")
	var refusal *RefusedError
	if !errors.As(err, &refusal) {
		t.Fatalf("%v", err)
	}
	want := RefusedError{Kind: ErrNotExecuted, Operation: "list", Status: http.StatusServiceUnavailable, Answer: long[:maxQuotedAnswer]}
	if *refusal != want {
		t.Errorf("%+v, not %+v", *refusal, want)
	}
	if text := "refused, not carried out: list: status 503: " + want.Answer; err.Error() != text {
		t.Errorf("%v, not %s", err, text)
	}
}
