package protocol

import (
	"bytes"
	"encoding/json"
	"errors"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// heartbeatNames are the names of the fields of a heartbeat and of a task status.
var heartbeatNames = append(wireNames(AgentHeartbeat{}), wireNames(TaskStatus{})...)

func wireNames(message any) (names []string) {
	for i := range reflect.TypeOf(message).NumField() {
		name, _, _ := strings.Cut(reflect.TypeOf(message).Field(i).Tag.Get("json"), ",")
		names = append(names, name)
	}
	return names
}

// withUnknownNames replaces each member name that differs from a field of a heartbeat in case only
// by one that differs in letters as well. The standard library matches names regardless of case;
// of the result it decodes what the protocol says. A body that is not JSON is returned unchanged.
func withUnknownNames(body []byte) []byte {
	decoder := json.NewDecoder(bytes.NewReader(body))
	var inObject []bool // by depth
	var result []byte
	copied, isName := 0, false
	for {
		token, err := decoder.Token()
		if err != nil {
			return append(result, body[copied:]...)
		}
		end := int(decoder.InputOffset())
		name, isString := token.(string)
		switch {
		case token == json.Delim('{') || token == json.Delim('['):
			inObject = append(inObject, token == json.Delim('{'))
			isName = token == json.Delim('{')
			continue
		case token == json.Delim('}') || token == json.Delim(']'):
			inObject = inObject[:len(inObject)-1]
		case isName && isString:
			if isInexact(name) {
				start := copied + bytes.LastIndexByte(body[copied:end-1], '"')
				result = append(append(result, body[copied:start]...), `"unknown"`...)
				copied = end
			}
			isName = false
			continue
		}
		isName = len(inObject) > 0 && inObject[len(inObject)-1]
	}
}

// isInexact reports whether a name differs from that of a field in case only.
func isInexact(name string) bool {
	return !slices.Contains(heartbeatNames, name) && slices.ContainsFunc(heartbeatNames, func(known string) bool { return strings.EqualFold(known, name) })
}

// TestWithUnknownNames checks the reference that the decoding of heartbeats is compared with.
func TestWithUnknownNames(t *testing.T) {
	for body, want := range map[string]string{
		`{"host":"HOST","HOST":"x","Shift":1}`:             `{"host":"HOST","unknown":"x","unknown":1}`,
		`{"pieces":[{"Piece":"a","try":2},["TICK"],null]}`: `{"pieces":[{"unknown":"a","try":2},["TICK"],null]}`,
		`{"new":{"BATON":[{"Baton":1}]},"baton":2}`:        `{"new":{"unknown":[{"unknown":1}]},"baton":2}`,
	} {
		if got := string(withUnknownNames([]byte(body))); got != want {
			t.Errorf("%s: %s, want %s", body, got, want)
		}
	}
}

// TestSubmissionNamesAreCaseSensitive guards against a field that the protocol does not know, and
// whose name differs from that of a known one in case only: it must be ignored. It once made a
// submission that of another job, which nobody had submitted.
func TestSubmissionNamesAreCaseSensitive(t *testing.T) {
	plain, err := json.Marshal(validSubmission())
	if err != nil {
		t.Fatal(err)
	}
	want, err := ParseSubmission(plain)
	if err != nil {
		t.Fatal(err)
	}
	for _, member := range []string{
		`"ID":"run-000900"`, `"Id":"A-17"`, `"Pieces":4`, `"iD":7`, `"WAITSON":["run-000001"]`, `"WaitsOn":"x"`, `"Yard":"b"`, `"dues":1.0`, `"ramGB":1.0`, `"BUILDS":null`,
	} {
		for _, body := range []string{
			strings.TrimSuffix(string(plain), "}") + "," + member + "}",
			"{" + member + "," + strings.TrimPrefix(string(plain), "{"),
		} {
			if got, err := ParseSubmission([]byte(body)); err != nil || !reflect.DeepEqual(got, want) {
				t.Errorf("with %s: parsed as %+v, error %v", member, got, err)
			}
		}
	}
	for name := range validSubmission() {
		if name == "yard" || name == "builds" || name == "dueS" {
			continue // may be omitted
		}
		fields := validSubmission()
		fields[strings.ToUpper(name)] = fields[name]
		delete(fields, name)
		body, err := json.Marshal(fields)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ParseSubmission(body); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s in place of %s: error %v", strings.ToUpper(name), name, err)
		}
	}
}

// TestAnswerNamesAreCaseSensitive guards against the same in the answers of the cloud, of agents
// and of the key-value store.
func TestAnswerNamesAreCaseSensitive(t *testing.T) {
	client := &KVClient{HTTP: stubCaller{status: 200, body: `{"epoch":3,"Epoch":9,"EPOCH":"x"}`}}
	if revision, err := client.Commit(Transaction{}); err != nil || revision != 3 {
		t.Errorf("revision %d, %v", revision, err)
	}
	cloud := &CloudClient{HTTP: stubCaller{status: 200, body: `{"hosts":["m-1"],"Hosts":["m-2"]}`}}
	if machines, err := cloud.CreateMachines(CreateMachinesRequest{}); err != nil || !slices.Equal(machines, []string{"m-1"}) {
		t.Errorf("machines %v, %v", machines, err)
	}
	agents := &AgentClient{HTTP: stubCaller{status: 200, body: `{"host":"m-1","shift":1,"tick":5,"Tick":9,"baton":2,"BATON":7,"pieces":[{"piece":"run-1/0","try":1,"Try":2,"stage":"running","STAGE":"ended"}]}`}}
	heartbeat, _, err := agents.Execute("", CommandRequest{})
	want := TaskStatus{Task: "run-1/0", Attempt: 1, State: TaskRunning}
	if err != nil || heartbeat.Sequence != 5 || heartbeat.FencingToken != 2 || !reflect.DeepEqual(heartbeat.Tasks, []TaskStatus{want}) {
		t.Errorf("heartbeat %+v, %v", heartbeat, err)
	}
}

// TestTaskNamesAreCanonical guards against two names for one task.
func TestTaskNamesAreCanonical(t *testing.T) {
	for name, valid := range map[string]bool{
		"run-1/0": true, "run-1/10": true, "run-1/99999": true,
		"run-1/00": false, "run-1/07": false, "run-1/+7": false, "run-1/-0": false, "run-1/-7": false, "run-1/": false, "run-1/100000": false, "Run-1/0": false,
	} {
		if _, _, err := ParseTaskName(name); (err == nil) != valid {
			t.Errorf("%s: error %v", name, err)
		}
	}
}
