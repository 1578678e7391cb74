package storage

import (
	"slices"
	"testing"
)

// TestHighestAttemptCounts: if two pages name attempts of the same task on the same machine, the
// view reports the attempt with the higher number. This holds for any read order of the pages,
// until the page of that attempt no longer names it.
func TestHighestAttemptCounts(t *testing.T) {
	old, next := PageID{Page: 5}, PageID{Page: 2}
	attempts := map[PageID]uint64{old: 7, next: 9}
	for _, order := range [][]PageID{{old, next}, {next, old}} {
		v := newTestView(t, 1)
		for _, page := range order {
			v.put(IntentPageKey(page), IntentPage{"run-1": {IntentEntry(3, "m-1", attempts[page])}})
		}
		m := v.findMachine("m-1")
		ref := TaskRef{Job: v.findJob("run-1").Index, Task: 3}
		if got := m.Intents[ref]; got.Attempt != 9 || got.Page != next.Page {
			t.Errorf("read order %v: intent %+v", order, got)
		}
		v.put(IntentPageKey(old), IntentPage{"run-1": nil})
		if got := m.Intents[ref]; got.Attempt != 9 {
			t.Errorf("read order %v, lower attempt removed: intent %+v", order, got)
		}
		v.put(IntentPageKey(next), IntentPage{"run-1": nil})
		if got, ok := m.Intents[ref]; ok {
			t.Errorf("read order %v, both attempts removed: intent %+v", order, got)
		}
	}
}

// TestIntentMovesToAnotherPage: an attempt that moves to another page is never missing. The rows
// of its machine and its job are deleted with the last entry.
func TestIntentMovesToAnotherPage(t *testing.T) {
	v := newTestView(t, 1)
	from, to := PageID{Page: 1}, PageID{Page: 2}
	page := IntentPage{"run-1": {IntentEntry(3, "m-1", 7)}}
	v.put(IntentPageKey(from), page)
	v.put(IntentPageKey(to), page)
	m := v.findMachine("m-1")
	ref := TaskRef{Job: v.findJob("run-1").Index, Task: 3}
	if pages := v.IntentPagesNaming(0, m); len(pages) != 2 {
		t.Errorf("before the move: machine named by pages %v", pages)
	}
	v.remove(IntentPageKey(from))
	if got := m.Intents[ref]; got.Attempt != 7 || got.Page != to.Page {
		t.Errorf("after the move: intent %+v", got)
	}
	if pages := v.IntentPagesNaming(0, m); !slices.Equal(pages, []int{to.Page}) {
		t.Errorf("after the move: machine named by pages %v", pages)
	}
	v.remove(IntentPageKey(to))
	if id, _ := v.Machines.Find("m-1"); id >= 0 {
		t.Error("row of the machine not deleted")
	}
	if id, _ := v.Jobs.Find("run-1"); id >= 0 {
		t.Error("row of the job not deleted")
	}
}

// TestIntentHeader: the header of a job applies only if no record of the job was read.
func TestIntentHeader(t *testing.T) {
	page := IntentPage{"run-1": {IntentHeader("blue", 4, 1, 29.5), IntentEntry(0, "m-1", 1)}}
	v := newTestView(t, 1)
	v.put(IntentPageKey(PageID{}), page)
	if j := v.findJob("run-1"); !j.Ended() || j.Team != "blue" || j.TeamIndex != 1 || j.CPUs != 4 || j.GPUs != 1 || j.MemoryGB != 29.5 {
		t.Errorf("job without record: %+v", j.JobSpec)
	}
	known := newTestView(t, 1)
	known.addJob("run-1")
	known.put(IntentPageKey(PageID{}), page)
	if j := known.findJob("run-1"); j.Team != "red" || j.CPUs != 1 {
		t.Errorf("job with record: %+v", j.JobSpec)
	}
}

// TestPagesOfShard: visiting the pages of a shard skips the pages of other shards.
func TestPagesOfShard(t *testing.T) {
	v := newTestView(t, 2)
	v.put(IntentPageKey(PageID{Shard: 0, Page: 4}), IntentPage{"run-1": {IntentEntry(0, "m-1", 1)}})
	v.put(IntentPageKey(PageID{Shard: 1, Page: 5}), IntentPage{"run-1": {IntentEntry(1, "m-1", 1), IntentEntry(2, "m-1", 1)}})
	v.put(CompletionPageKey(PageID{Shard: 1, Page: 6}), CompletionPage{})
	v.EachIntentPage(1, func(page, entries int) {
		if page != 5 || entries != 2 {
			t.Errorf("visited page %d with %d entries", page, entries)
		}
	})
	var completions []int
	for shard := range 2 {
		v.EachCompletionPage(shard, func(page int) { completions = append(completions, shard, page) })
	}
	if !slices.Equal(completions, []int{1, 6}) {
		t.Errorf("visited shards and completion pages: %v", completions)
	}
}
