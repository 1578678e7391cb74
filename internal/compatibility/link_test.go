package compatibility

import (
	"reflect"
	"testing"
	"time"

	"rockrun/internal/protocol"
)

// sampleRequests are messages with everything that they can say.
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

// wireRequests are the sample messages and one filled in every field, as they go over the link.
func wireRequests(t *testing.T) (wire []protocol.PeerRequestWire) {
	t.Helper()
	for _, request := range append(sampleRequests(), filledRequest(t)) {
		wire = append(wire, request.Wire())
	}
	return wire
}

// wireAnswers are the sample answers as they go over the link.
func wireAnswers() (wire []protocol.PeerAnswerWire) {
	for _, answer := range sampleAnswers() {
		wire = append(wire, answer.Wire())
	}
	return wire
}

// filledRequest is a message without a single zero field, however many there are by now.
func filledRequest(t *testing.T) protocol.PeerRequest {
	t.Helper()
	var request protocol.PeerRequest
	fill(t, reflect.ValueOf(&request).Elem())
	return request
}

// fill sets a value and everything in it to what is not its zero value.
func fill(t *testing.T, v reflect.Value) {
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
		fill(t, v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(t, v.Index(0))
	case reflect.Struct:
		for i := range v.NumField() {
			fill(t, v.Field(i))
		}
	default:
		t.Fatalf("no way to fill a %s", v.Type())
	}
}

// TestLinkKeepsEveryField: what the program says in a message is what it reads from the
// one on the link, and no field on the link is left unset by a message that is filled.
func TestLinkKeepsEveryField(t *testing.T) {
	request := filledRequest(t)
	if got := request.Wire().Request(); !reflect.DeepEqual(got, request) {
		t.Errorf("%+v became %+v", request, got)
	}
	requireFilled(t, "PeerRequestWire", reflect.ValueOf(request.Wire()))
	var answer protocol.PeerAnswer
	fill(t, reflect.ValueOf(&answer).Elem())
	if got := answer.Wire().Answer(); !reflect.DeepEqual(got, answer) {
		t.Errorf("%+v became %+v", answer, got)
	}
	requireFilled(t, "PeerAnswerWire", reflect.ValueOf(answer.Wire()))
}

// requireFilled fails for every field of a value that is not set.
func requireFilled(t *testing.T, name string, v reflect.Value) {
	t.Helper()
	switch {
	case v.IsZero():
		t.Errorf("%s is not set", name)
	case v.Kind() == reflect.Pointer:
		requireFilled(t, name, v.Elem())
	case v.Kind() == reflect.Slice:
		requireFilled(t, name, v.Index(0))
	case v.Kind() == reflect.Struct:
		for i := range v.NumField() {
			requireFilled(t, name+"."+v.Type().Field(i).Name, v.Field(i))
		}
	}
}

// sampleAnswers are answers with everything that they can say, and an empty one.
func sampleAnswers() []protocol.PeerAnswer {
	return []protocol.PeerAnswer{
		{Reply: &protocol.PeerHeartbeatReply{Leader: true, Term: 7, SentAt: time.Minute, Shards: []int{0, 3}, HealthyPeers: 2}},
		{},
	}
}
