package protocol

import (
	"encoding/json"
	"reflect"
	"testing"
)

// edgeCaseHeartbeats are bodies that are invalid in one way, or look invalid. The JSON package
// that decodes heartbeats and answers is faster than the standard library and must not be less
// strict: it must decode these bodies as the standard library does.
var edgeCaseHeartbeats = []string{
	``, ` `, `null`, `[]`, `{}`, `"x"`, `{`, `{"host":"m"`, `{"host":"m"}x`, `{"host":"m"} {}`, `{"host":"m",}`, `{'host':"m"}`,
	`{"host":1}`, `{"host":null}`, `{"host":"m","host":"n"}`, `{"HOST":"m"}`, `{"HOST":"m","shift":1}`, `{"host":"m","shift":1,"HOST":"n","Tick":"x"}`, `{"host":"m" "tick":1}`, `{"host":"m","tick":-1}`,
	`{"tick":1.5}`, `{"tick":1e3}`, `{"tick":"1"}`, `{"tick":01}`, `{"tick":+1}`, `{"tick":18446744073709551615}`,
	`{"tick":18446744073709551616}`, `{"warnS":1e400}`, `{"warnS":1.}`, `{"warnS":.5}`, `{"warnS":1e}`, `{"warnS":--1}`, `{"warnS":NaN}`,
	`{"loaner":1}`, `{"loaner":tru}`, `{"loaner":"true"}`, `{"pieces":{}}`, `{"pieces":[1]}`, `{"pieces":[null]}`, `{"pieces":[{}]}`,
	`{"pieces":[{"piece":"run-1/0","try":-2}]}`, `{"pieces":[{"piece":"run-1/0"},]}`, `{"x":[1,2,]}`, `{"x":{"y":[1,{"z":tru}]}}`,
	`{"x":nul}`, `{"x":"a\qb"}`, `{"x":"\ud800"}`, `{"host":"\u006d"}`, "{\"host\":\"\x01\"}", "{\"host\":\"\xff\"}", "{\"x\":\"\n\"}",
	"\ufeff{}", "{\"host\":\"m\"}\x00", `{"x":1}}`, `{"x"}`, `{:1}`, `{"a":1,,"b":2}`, `{"tick":1,"shift":2,"host":"m","more":{"deep":[[[[]]]]}}`,
}

// TestParseAgentHeartbeatMatchesStandardLibrary compares the decoding of each body with that of
// the standard library. Only the case of names makes a difference: see withUnknownNames.
func TestParseAgentHeartbeatMatchesStandardLibrary(t *testing.T) {
	for _, body := range edgeCaseHeartbeats {
		var want AgentHeartbeat
		wantErr := json.Unmarshal(withUnknownNames([]byte(body)), &want)
		got, err := ParseAgentHeartbeat([]byte(body))
		switch {
		case wantErr != nil && err == nil:
			t.Errorf("%q: decoded as %+v, but the standard library rejects it: %v", body, got, wantErr)
		case wantErr == nil && want.Machine != "" && want.Epoch != 0 && err != nil:
			t.Errorf("%q: %v", body, err)
		case err == nil && !reflect.DeepEqual(*got, want):
			t.Errorf("%q: decoded as %+v, want %+v", body, *got, want)
		}
	}
}

// FuzzHeartbeat searches for bodies that are decoded differently than by the standard library.
func FuzzHeartbeat(f *testing.F) {
	for _, body := range edgeCaseHeartbeats {
		f.Add([]byte(body))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		var want AgentHeartbeat
		wantErr := json.Unmarshal(withUnknownNames(body), &want)
		got, err := ParseAgentHeartbeat(body)
		if wantErr != nil && err == nil {
			t.Errorf("%q: decoded as %+v, but the standard library rejects it: %v", body, got, wantErr)
		}
		if err == nil && !reflect.DeepEqual(*got, want) {
			t.Errorf("%q: decoded as %+v, want %+v", body, *got, want)
		}
	})
}

// TestParseAgentHeartbeat checks that a heartbeat without a valid machine name or epoch is
// rejected, and that heartbeats are ordered by epoch, then sequence number.
func TestParseAgentHeartbeat(t *testing.T) {
	if _, err := ParseAgentHeartbeat([]byte(`{"host":"m-1","shift":1,"tick":3,"pieces":null}`)); err != nil {
		t.Error(err)
	}
	for _, body := range []string{"", "{}", `{"host":"m 1","shift":1}`, `{"host":"m-1"}`, `{"host":"m-1","shift":-1}`} {
		if _, err := ParseAgentHeartbeat([]byte(body)); err == nil {
			t.Errorf("%q was accepted as a heartbeat", body)
		}
	}
	heartbeat := AgentHeartbeat{Epoch: 2, Sequence: 5}
	for _, c := range []struct {
		epoch, sequence uint64
		newer           bool
	}{{2, 4, true}, {2, 5, false}, {2, 6, false}, {1, 99, true}, {3, 0, false}} {
		if heartbeat.NewerThan(c.epoch, c.sequence) != c.newer {
			t.Errorf("newer than epoch %d, sequence number %d: %v", c.epoch, c.sequence, !c.newer)
		}
	}
}

// TestHeartbeatAllocations limits the allocations for decoding a heartbeat.
func TestHeartbeatAllocations(t *testing.T) {
	body := []byte(`{"host":"m-000231","address":"10.1.0.232:9000","build":"g8","yard":"a","loaner":true,"shift":1,"tick":88,"baton":41,"warnS":null,` +
		`"pieces":[{"piece":"run-000412/3","try":2,"stage":"running"},{"piece":"run-000398/0","try":1,"stage":"ended","cause":"done"}]}`)
	if n := testing.AllocsPerRun(200, func() {
		if _, err := ParseAgentHeartbeat(body); err != nil {
			t.Fatal(err)
		}
	}); n > 11 {
		t.Errorf("%v allocations for decoding a heartbeat", n)
	}
}
