package storage

import (
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"testing"

	"rockrun/internal/protocol"
)

// TestPagesAppliedBeforeJobs: a starting controller reads records in the order of their
// keys, so that completion pages and intent pages precede the jobs that they name. Their
// entries must not be lost.
func TestPagesAppliedBeforeJobs(t *testing.T) {
	v := newTestView(t, 1)
	apply := func(key string, record any, version uint64) {
		t.Helper()
		if err := v.Apply(key, Encode(record), version); err != nil {
			t.Fatal(err)
		}
	}
	var completed TaskSet
	completed.Set(0)
	completed.Set(3)
	apply(CompletionPageKey(PageID{}), CompletionPage{CompletionChunkName("run-1", 0): completed}, 7)
	apply(IntentPageKey(PageID{}), IntentPage{"run-1": {IntentEntry(1, "m-1", 5), IntentEntry(3, "m-1", 4)}}, 8)
	apply(JobKey("run-1"), JobRecord{Spec: spec("run-1", 6)}, 3)
	j := v.findJob("run-1")
	if j.CompletedCount != 2 || !j.Completed.Has(3) {
		t.Errorf("completed tasks: %d", j.CompletedCount)
	}
	if j.UnplacedTasks() != 3 { // tasks 0 and 3 are completed, an intent names task 1
		t.Errorf("%d tasks are unplaced", j.UnplacedTasks())
	}
	if v.HasStaleCompletions(PageID{}) {
		t.Error("completion page is reported as stale")
	}
}

// TestOldVersionsAreIgnored: a record that is delivered late or twice must not replace a
// newer one.
func TestOldVersionsAreIgnored(t *testing.T) {
	v := newTestView(t, 2)
	grant := func(controller string, version uint64) {
		if err := v.Apply(GrantKey(1), Encode(GrantRecord{Controller: controller}), version); err != nil {
			t.Fatal(err)
		}
	}
	grant("b", 9)
	grant("a", 4)
	grant("c", 9)
	if v.Grants[1].Controller != "b" {
		t.Errorf("granted to %s", v.Grants[1].Controller)
	}
	if err := v.Apply(GrantKey(7), Encode(GrantRecord{}), 10); err == nil {
		t.Error("grant of a shard that does not exist was applied")
	}
	if err := v.Apply(JobKey("run-1"), json.RawMessage(`{"spec":`), 11); err == nil {
		t.Error("record with invalid JSON was applied")
	}
	v.Remove(JobKey("run-1"), 12)
}

// TestApplyAndRemoveEveryRecordKind: a record of each kind is applied. Its removal takes
// effect for the kinds that support removal, and has no effect for other kinds or if it is
// not newer than the record.
func TestApplyAndRemoveEveryRecordKind(t *testing.T) {
	page := PageID{Shard: 1, Page: 2}
	for name, c := range map[string]struct {
		key       string
		record    any
		applied   func(v *testView) bool
		removable bool
	}{
		"leader":   {KeyLeader, LeaderRecord{Controller: "a"}, func(v *testView) bool { return v.Leader.Controller == "a" && v.LeaderVersion > 0 }, true},
		"term":     {KeyTerm, TermRecord{Term: 7}, func(v *testView) bool { return v.Term == 7 }, false},
		"target":   {KeyScalingTarget, ScalingTargetRecord{Target: 5}, func(v *testView) bool { return v.ScalingTarget.Target == 5 }, false},
		"grant":    {GrantKey(1), GrantRecord{Controller: "a"}, func(v *testView) bool { return v.Grants[1].Controller == "a" }, false},
		"liveness": {LivenessKey("a"), LivenessRecord{Incarnation: 3}, func(v *testView) bool { return v.Liveness["a"].Incarnation == 3 }, false},
		"job shards": {KeyJobShards, JobShardsRecord{JobShards: 2}, func(v *testView) bool { return v.JobShards == 2 && v.JobShardsVersion > 0 },
			false},
		"quota split": {KeyQuotaSplit, QuotaSplitRecord{"red": {1, 2}}, func(v *testView) bool { return len(v.Teams[0].QuotaSplit) == 2 && v.Teams[1].QuotaSplit == nil },
			false},
		"machine types": {KeyMachineTypes, protocol.MachineTypeCatalogue{Types: []protocol.MachineType{{Name: "small", CPUs: 4}}},
			func(v *testView) bool { return v.MachineTypes[v.MachineTypeNames.Lookup("small")].CPUs == 4 }, false},
		"machine group": {MachineGroupKey("g"), MachineGroupRecord{Type: "small", Machines: []MachineEntry{{Name: "m-1"}}}, func(v *testView) bool {
			_, m := v.Machines.Find("m-1")
			return m != nil && m.Exists() && v.MachineGroups["g"] != nil
		}, true},
		"job":         {JobKey("run-1"), JobRecord{Spec: spec("run-1", 1)}, func(v *testView) bool { return v.state("run-1") == "runnable" }, true},
		"intents":     {IntentPageKey(page), IntentPage{"run-1": {IntentEntry(0, "m-1", 1)}}, func(v *testView) bool { return v.IntentPageVersion(page) > 0 }, true},
		"completions": {CompletionPageKey(page), CompletionPage{"run-1/0": {1}}, func(v *testView) bool { return v.CompletionPageVersion(page) > 0 }, true},
	} {
		t.Run(name, func(t *testing.T) {
			v := newTestView(t, 2)
			v.put(c.key, c.record)
			if !c.applied(v) {
				t.Error("record was not applied")
			}
			v.Remove(c.key, v.version)
			if !c.applied(v) {
				t.Error("record was removed by a removal that is not newer")
			}
			v.remove(c.key)
			if c.applied(v) == c.removable {
				t.Errorf("record still applied after its removal: %t", !c.removable)
			}
		})
	}
}

// TestUnknownRecordKinds: records of kinds that only later versions write are ignored.
func TestUnknownRecordKinds(t *testing.T) {
	v := newTestView(t, 1)
	for _, key := range []string{"r/later", "r/x/1", "r/leader2", "f/run-1", ""} {
		if err := v.Apply(key, json.RawMessage(`{"node":`), 1); err != nil {
			t.Errorf("%q: %v", key, err)
		}
		v.Remove(key, 2)
	}
}

// TestInvalidRecords: the error names the record and, if its JSON is well formed, the
// part of the record that is invalid.
func TestInvalidRecords(t *testing.T) {
	for name, c := range map[string]struct {
		key   string
		value json.RawMessage
		what  string // MalformedError.What; empty if the JSON decoder returns the error
	}{
		"invalid JSON":                    {KeyLeader, json.RawMessage(`{"node":`), ""},
		"job is an array":                 {JobKey("run-1"), json.RawMessage(`[]`), ""},
		"shard not a number":              {"r/g/one", Encode(GrantRecord{}), "shard"},
		"shard out of range":              {GrantKey(7), Encode(GrantRecord{}), "shard"},
		"no job shards":                   {KeyJobShards, Encode(JobShardsRecord{}), "number of job shards"},
		"too many job shards":             {KeyJobShards, Encode(JobShardsRecord{JobShards: 3}), "number of job shards"},
		"intent key without page":         {"r/i/1", Encode(IntentPage{}), "page"},
		"negative page":                   {"r/d/0/-1", Encode(CompletionPage{}), "page"},
		"intent, invalid job ID":          {IntentPageKey(PageID{}), Encode(IntentPage{"a b": {IntentEntry(0, "m-1", 1)}}), "job ID"},
		"intent without machine":          {IntentPageKey(PageID{}), Encode(IntentPage{"run-1": {"0"}}), "intent"},
		"intent, task not a number":       {IntentPageKey(PageID{}), Encode(IntentPage{"run-1": {"x m-1 1"}}), "intent"},
		"header with two amounts":         {IntentPageKey(PageID{}), Encode(IntentPage{"run-1": {"@red 1 2"}}), "intent header"},
		"header, amount not a number":     {IntentPageKey(PageID{}), Encode(IntentPage{"run-1": {"@red 1 2 x"}}), "intent header"},
		"completions, invalid job ID":     {CompletionPageKey(PageID{}), Encode(CompletionPage{"a b/0": {1}}), "completion chunk"},
		"completions, chunk not a number": {CompletionPageKey(PageID{}), Encode(CompletionPage{"run-1/x": {1}}), "completion chunk"},
		"completions, chunk out of range": {CompletionPageKey(PageID{}), Encode(CompletionPage{"run-1/13": {1}}), "completion chunk"},
	} {
		t.Run(name, func(t *testing.T) {
			err := newTestView(t, 2).Apply(c.key, c.value, 1)
			var recordErr *RecordError
			if !errors.As(err, &recordErr) || recordErr.Key != c.key || !strings.Contains(err.Error(), c.key) {
				t.Fatalf("error %v does not name the record", err)
			}
			var malformed *MalformedError
			if errors.As(err, &malformed) != (c.what != "") || malformed != nil && malformed.What != c.what {
				t.Errorf("error %v, want malformed %q", err, c.what)
			}
			if malformed != nil && !strings.Contains(err.Error(), strconv.Quote(malformed.Text)) {
				t.Errorf("error %v does not quote %q", err, malformed.Text)
			}
		})
	}
}
