package protocol

import (
	"encoding/json"
	"reflect"
	"testing"
)

// bad are bodies that are wrong in one way or look so. What is made of them must
// be what the standard library makes of them: the faster one that reads reports
// and answers is not to be laxer.
var bad = []string{
	``, ` `, `null`, `[]`, `{}`, `"x"`, `{`, `{"host":"m"`, `{"host":"m"}x`, `{"host":"m"} {}`, `{"host":"m",}`, `{'host':"m"}`,
	`{"host":1}`, `{"host":null}`, `{"host":"m","host":"n"}`, `{"HOST":"m"}`, `{"host":"m" "tick":1}`, `{"host":"m","tick":-1}`,
	`{"tick":1.5}`, `{"tick":1e3}`, `{"tick":"1"}`, `{"tick":01}`, `{"tick":+1}`, `{"tick":18446744073709551615}`,
	`{"tick":18446744073709551616}`, `{"warnS":1e400}`, `{"warnS":1.}`, `{"warnS":.5}`, `{"warnS":1e}`, `{"warnS":--1}`, `{"warnS":NaN}`,
	`{"loaner":1}`, `{"loaner":tru}`, `{"loaner":"true"}`, `{"pieces":{}}`, `{"pieces":[1]}`, `{"pieces":[null]}`, `{"pieces":[{}]}`,
	`{"pieces":[{"piece":"run-1/0","try":-2}]}`, `{"pieces":[{"piece":"run-1/0"},]}`, `{"x":[1,2,]}`, `{"x":{"y":[1,{"z":tru}]}}`,
	`{"x":nul}`, `{"x":"a\qb"}`, `{"x":"\ud800"}`, `{"host":"\u006d"}`, "{\"host\":\"\x01\"}", "{\"host\":\"\xff\"}", "{\"x\":\"\n\"}",
	"\ufeff{}", "{\"host\":\"m\"}\x00", `{"x":1}}`, `{"x"}`, `{:1}`, `{"a":1,,"b":2}`, `{"tick":1,"shift":2,"host":"m","more":{"deep":[[[[]]]]}}`,
}

func TestBadReports(t *testing.T) {
	for _, body := range bad {
		var want AgentHeartbeat
		wantErr := json.Unmarshal([]byte(body), &want)
		got, err := ParseAgentHeartbeat([]byte(body))
		switch {
		case wantErr != nil && err == nil:
			t.Errorf("%q is taken for %+v; it is not JSON of a report: %v", body, got, wantErr)
		case wantErr == nil && want.Machine != "" && want.Epoch != 0 && err != nil:
			t.Errorf("%q: %v", body, err)
		case err == nil && !reflect.DeepEqual(*got, want):
			t.Errorf("%q is read as %+v, not %+v", body, *got, want)
		}
	}
}

// FuzzReport looks for bodies that are read otherwise than by the standard library.
func FuzzReport(f *testing.F) {
	for _, body := range bad {
		f.Add([]byte(body))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		var want AgentHeartbeat
		wantErr := json.Unmarshal(body, &want)
		got, err := ParseAgentHeartbeat(body)
		if wantErr != nil && err == nil {
			t.Errorf("%q is taken for %+v: %v", body, got, wantErr)
		}
		if err == nil && !reflect.DeepEqual(*got, want) {
			t.Errorf("%q is read as %+v, not %+v", body, *got, want)
		}
	})
}

func TestValidJobID(t *testing.T) {
	for id, want := range map[string]bool{
		"run-0": true, "run-000412": true, "run-123456789012345678": true, "run-1234567890123456789": false,
		"run-": false, "run-1a": false, "run- 1": false, "run--1": false, "Run-1": false, "xrun-1": false, "run-1\n": false, "run-١": false, "": false,
	} {
		if ValidJobID(id) != want {
			t.Errorf("%q: %t", id, !want)
		}
	}
}

// TestReportAllocations bounds what reading a report costs.
func TestReportAllocations(t *testing.T) {
	body := []byte(`{"host":"m-000231","address":"10.1.0.232:9000","build":"g8","yard":"a","loaner":true,"shift":1,"tick":88,"baton":41,"warnS":null,` +
		`"pieces":[{"piece":"run-000412/3","try":2,"stage":"running"},{"piece":"run-000398/0","try":1,"stage":"ended","cause":"done"}]}`)
	if n := testing.AllocsPerRun(200, func() {
		if _, err := ParseAgentHeartbeat(body); err != nil {
			t.Fatal(err)
		}
	}); n > 11 {
		t.Errorf("%v allocations", n)
	}
}
