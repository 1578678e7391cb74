package storage

import (
	"encoding/json"
	"testing"

	"rockrun/internal/protocol"
)

func job(id string, tasks int) json.RawMessage {
	return Encode(JobRecord{Spec: protocol.JobSpec{ID: id, Team: "red", Kind: protocol.KindArray, Priority: "normal", Tasks: tasks, CPUs: 1}})
}

// Whoever starts reads records in the order of their keys: completed tasks and
// intents come before the jobs they belong to, and must not be lost.
func TestOrderOfReading(t *testing.T) {
	b := NewView([]Team{{Name: "red"}}, 1)
	var done TaskSet
	done.Set(0)
	done.Set(3)
	apply := func(key string, value json.RawMessage, version uint64) {
		t.Helper()
		if err := b.Apply(key, value, version); err != nil {
			t.Fatal(err)
		}
	}
	apply(CompletionPageKey(PageID{}), Encode(CompletionPage{CompletionChunkName("run-1", 0): done}), 7)
	apply(IntentPageKey(PageID{}), Encode(IntentPage{"run-1": {IntentEntry(1, "m-1", 5), IntentEntry(3, "m-1", 4)}}), 8)
	apply(JobKey("run-1"), job("run-1", 6), 3)
	_, j := b.Jobs.Find("run-1")
	if j.CompletedCount != 2 || !j.Completed.Has(3) {
		t.Errorf("completed tasks: %d", j.CompletedCount)
	}
	if j.OpenTasks() != 3 { // 0 and 3 are done, 1 is intended
		t.Errorf("%d tasks are open", j.OpenTasks())
	}
	if b.HasStaleCompletions(PageID{}) {
		t.Error("the page of completed tasks is taken for stale")
	}
}

// A job is forgotten only once nothing names it, so that no index is used for
// two jobs at a time.
func TestJobIsForgottenLast(t *testing.T) {
	b := NewView([]Team{{Name: "red"}}, 1)
	for _, r := range []struct {
		key     string
		value   json.RawMessage
		version uint64
	}{
		{JobKey("run-1"), job("run-1", 2), 1},
		{CompletionPageKey(PageID{}), Encode(CompletionPage{CompletionChunkName("run-1", 0): {1}}), 2},
		{IntentPageKey(PageID{}), Encode(IntentPage{"run-1": {IntentEntry(1, "m-1", 5)}}), 3},
	} {
		if err := b.Apply(r.key, r.value, r.version); err != nil {
			t.Fatal(err)
		}
	}
	_, j := b.Jobs.Find("run-1")
	j.References++
	b.Remove(JobKey("run-1"), 4)
	if !j.Ended() || !b.HasStaleCompletions(PageID{}) {
		t.Fatalf("over %t, stale %t", j.Ended(), b.HasStaleCompletions(PageID{}))
	}
	b.Remove(CompletionPageKey(PageID{}), 5)
	b.Remove(IntentPageKey(PageID{}), 6)
	if _, still := b.Jobs.Find("run-1"); still != j {
		t.Fatal("forgotten while an attempt refers to it")
	}
	j.References--
	b.ForgetJob(j)
	if id, _ := b.Jobs.Find("run-1"); id >= 0 {
		t.Error("never forgotten")
	}
}

// Events that were read already, or come twice, change nothing.
func TestOldVersionsAreIgnored(t *testing.T) {
	b := NewView([]Team{{Name: "red"}}, 2)
	grant := func(node string, version uint64) {
		if err := b.Apply(GrantKey(1), Encode(GrantRecord{Controller: node}), version); err != nil {
			t.Fatal(err)
		}
	}
	grant("b", 9)
	grant("a", 4)
	grant("c", 9)
	if b.Grants[1].Controller != "b" {
		t.Errorf("granted to %s", b.Grants[1].Controller)
	}
	if err := b.Apply(GrantKey(7), Encode(GrantRecord{}), 10); err == nil {
		t.Error("a grant of no shard was taken")
	}
	if err := b.Apply(JobKey("run-1"), json.RawMessage(`{"spec":`), 11); err == nil {
		t.Error("a broken record was taken")
	}
	b.Remove(JobKey("run-1"), 12)
}

// TestLaterAttempt: where two pages name attempts at the same task on the same
// machine, the later attempt counts, in whichever order the pages are read, and
// until its own page no longer names it.
func TestLaterAttempt(t *testing.T) {
	old, next := PageID{Page: 5}, PageID{Page: 2}
	for _, order := range [][]PageID{{old, next}, {next, old}} {
		b := NewView(nil, 1)
		apply := func(page PageID, version uint64, entries ...string) {
			t.Helper()
			if err := b.Apply(IntentPageKey(page), Encode(IntentPage{"run-1": entries}), version); err != nil {
				t.Fatal(err)
			}
		}
		for i, page := range order {
			apply(page, uint64(i+1), IntentEntry(3, "m-1", map[PageID]uint64{old: 7, next: 9}[page]))
		}
		_, m := b.Machines.Find("m-1")
		j, _ := b.Jobs.Find("run-1")
		ref := TaskRef{Job: j, Task: 3}
		if got := m.Intents[ref]; got.Attempt != 9 || got.Page != next.Page {
			t.Errorf("order %v: %+v", order, got)
		}
		apply(old, 8)
		if got := m.Intents[ref]; got.Attempt != 9 {
			t.Errorf("order %v, after the older is gone: %+v", order, got)
		}
		apply(next, 9)
		if got, ok := m.Intents[ref]; ok {
			t.Errorf("order %v, after both are gone: %+v", order, got)
		}
	}
}
