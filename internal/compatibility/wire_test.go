package compatibility

import (
	"reflect"
	"testing"
	"time"

	"rockrun/internal/protocol"
)

// sampleRequests returns sample requests of each kind, and an empty one.
func sampleRequests() []protocol.PeerRequest {
	notice := 4.5
	return []protocol.PeerRequest{
		{Heartbeat: &protocol.PeerHeartbeat{
			Controller: "a", Incarnation: 1853070350746620529, SentAt: time.Minute, Term: 7, StoreStaleness: time.Second, Leaving: true,
			Machines: []protocol.MachineStatus{{
				Name: "m-000001", Seen: true, Silent: time.Second, Tasks: 3, Faulty: true, Leaves: true, Unresponsive: true, Addr: "10.1.0.1:9000", Empty: 9,
			}},
			UnrecordedAgents: []protocol.AgentHeartbeat{{
				Machine: "m-000002", Address: "10.1.0.2:9000", MachineType: "small", Zone: "north", Spot: true, Epoch: 2, Sequence: 3, FencingToken: 4, TerminationSeconds: &notice,
				Tasks: []protocol.TaskStatus{{Task: "run-1/0", Attempt: 5, State: protocol.TaskRunning}},
			}},
			QuotaSplitVersion: 4, GrantsWithinQuota: []uint64{1, 2}, ShardHeartbeatAges: []time.Duration{-1, time.Second},
		}},
		{Cancelled: []string{"run-1", "run-2"}},
		{},
	}
}

// wireRequests returns the wire forms of the sample requests and of a request with all fields set.
func wireRequests(t *testing.T) (wire []protocol.PeerRequestWire) {
	t.Helper()
	for _, request := range append(sampleRequests(), nonZeroRequest(t)) {
		wire = append(wire, request.Wire())
	}
	return wire
}

// wireAnswers returns the wire forms of the sample answers.
func wireAnswers() (wire []protocol.PeerAnswerWire) {
	for _, answer := range sampleAnswers() {
		wire = append(wire, answer.Wire())
	}
	return wire
}

// nonZeroRequest returns a request in which every field is set, including fields added later.
func nonZeroRequest(t *testing.T) protocol.PeerRequest {
	t.Helper()
	var request protocol.PeerRequest
	setNonZero(t, reflect.ValueOf(&request).Elem())
	return request
}

// setNonZero sets a value and all values that it contains to non-zero values.
func setNonZero(t *testing.T, v reflect.Value) {
	t.Helper()
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(11)
	case reflect.Uint64:
		v.SetUint(12)
	case reflect.Float64:
		v.SetFloat(13.5)
	case reflect.String:
		v.SetString("run-14")
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		setNonZero(t, v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		setNonZero(t, v.Index(0))
	case reflect.Struct:
		for i := range v.NumField() {
			setNonZero(t, v.Field(i))
		}
	default:
		t.Fatalf("cannot set a value of type %s", v.Type())
	}
}

// TestWireConversionPreservesEveryField guards against fields that are lost between the program's
// types and the wire types. Conversion to the wire form and back must return an equal message, and
// a message with all fields set must leave no wire field unset.
func TestWireConversionPreservesEveryField(t *testing.T) {
	request := nonZeroRequest(t)
	if got := request.Wire().Request(); !reflect.DeepEqual(got, request) {
		t.Errorf("converted to the wire form and back: %+v became %+v", request, got)
	}
	requireNonZero(t, "PeerRequestWire", reflect.ValueOf(request.Wire()))
	var answer protocol.PeerAnswer
	setNonZero(t, reflect.ValueOf(&answer).Elem())
	if got := answer.Wire().Answer(); !reflect.DeepEqual(got, answer) {
		t.Errorf("converted to the wire form and back: %+v became %+v", answer, got)
	}
	requireNonZero(t, "PeerAnswerWire", reflect.ValueOf(answer.Wire()))
}

// requireNonZero fails the test for every field of a value that is not set.
func requireNonZero(t *testing.T, name string, v reflect.Value) {
	t.Helper()
	switch {
	case v.IsZero():
		t.Errorf("%s is not set", name)
	case v.Kind() == reflect.Pointer:
		requireNonZero(t, name, v.Elem())
	case v.Kind() == reflect.Slice:
		requireNonZero(t, name, v.Index(0))
	case v.Kind() == reflect.Struct:
		for i := range v.NumField() {
			requireNonZero(t, name+"."+v.Type().Field(i).Name, v.Field(i))
		}
	}
}

// sampleAnswers returns an answer with all fields set, and an empty one.
func sampleAnswers() []protocol.PeerAnswer {
	return []protocol.PeerAnswer{
		{Reply: &protocol.PeerHeartbeatReply{Leader: true, Term: 7, SentAt: time.Minute, Shards: []int{0, 3}, HealthyPeers: 2}},
		{},
	}
}
