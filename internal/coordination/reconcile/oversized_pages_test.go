package reconcile

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// flushFor lets the writer of the job shard write for so long, as passes do.
func (f *fixture) flushFor(seconds int, each func()) {
	f.t.Helper()
	writer := f.reconciler.writers[0]
	for range 5 * seconds {
		f.now += 200 * time.Millisecond
		f.refreshViewAndLeases()
		writer.flush()
		f.applyTransactions()
		for _, page := range writer.intentPages {
			page.write.Finish()
		}
		for _, page := range writer.completionPages {
			page.write.Finish()
		}
		each()
	}
}

// TestOversizedPagesAreEmptied: pages of intents lie there from a time of higher
// limits. What must change on them goes to other pages first, no write is over the
// limits, and at no time is there a task that may be running without a page that names
// it. Before, such a page was written as it was and refused for ever, and a machine
// that drained kept its name on it for as long.
func TestOversizedPagesAreEmptied(t *testing.T) {
	f := newFleetFixture(t, mediumFleet)
	f.limitStore(512, 4, math.MaxInt)
	writer := f.reconciler.writers[0]
	before := writer.oversizedValues()
	if before < 30 {
		t.Fatalf("%d pages are over the limit", before)
	}
	lost := f.reconciler.agents.find(fleetMachineName(17))
	lost.machine.Phase = storage.PhaseDraining
	f.reconciler.end(lost.attempts[storage.SortedTasks(lost.attempts)[0]], "stopped")
	other := f.reconciler.agents.find(fleetMachineName(200)) // goes on taking tasks, so there is no hurry
	f.reconciler.end(other.attempts[storage.SortedTasks(other.attempts)[0]], "stopped")
	f.flushFor(10, func() {
		t.Helper()
		for _, agent := range f.reconciler.agents.sorted {
			for ref, a := range agent.attempts {
				if agent.machine.Intents[ref].Attempt != a.number {
					t.Fatalf("no page names the task on %s", agent.machine.Name)
				}
			}
		}
	})
	for _, agent := range []*agent{lost, other} {
		if len(agent.machine.Intents) > 0 {
			t.Errorf("%s is still named", agent.machine.Name)
		}
	}
	if left := writer.oversizedValues(); left != before-2 {
		t.Errorf("%d pages are over the limit, of %d before", left, before)
	}
}

// completionJob is the identifier of a job of completionPageFixture.
func completionJob(number int) string { return fmt.Sprintf("run-%06d", 100+number) }

// newCompletionPageFixture is a fixture with so many jobs, of each of which task 0 is done
// and all share a page.
func newCompletionPageFixture(t *testing.T, jobs int) *fixture {
	f := newFixture(t)
	page := storage.CompletionPage{}
	for i := range jobs {
		id := completionJob(i)
		page[storage.CompletionChunkName(id, 0)] = []byte{1}
		f.apply(storage.JobKey(id), storage.JobRecord{Spec: protocol.JobSpec{
			ID: id, Team: "red", Kind: protocol.KindArray, Priority: "normal", Tasks: 80, CPUs: 1, MemoryGB: 1,
		}})
	}
	f.apply(storage.CompletionPageKey(firstPage), page)
	f.recordsChanged()
	for i := range jobs {
		f.progressOf(completionJob(i))
	}
	return f
}

// progressOf is the progress of a job.
func (f *fixture) progressOf(id string) *jobProgress {
	_, job := f.view.Jobs.Find(id)
	return f.reconciler.progressOf(job)
}

// complete lets a task be done.
func (f *fixture) complete(id string, task int) {
	progress := f.progressOf(id)
	progress.complete(task)
	f.reconciler.writers[0].markCompleted(progress, 0)
}

// recordsCompleted reports whether a page in the store says that a task is done.
func (f *fixture) recordsCompleted(id string, task int) bool {
	for key, value := range f.values {
		if !strings.HasPrefix(key, "r/d/") {
			continue
		}
		var record storage.CompletionPage
		if err := json.Unmarshal(value, &record); err != nil {
			f.t.Fatal(err)
		}
		if storage.TaskSet(record[storage.CompletionChunkName(id, 0)]).Has(task) {
			return true
		}
	}
	return false
}

// TestOversizedCompletionPageIsEmptied is the same for a page of completed tasks: what has
// completed is in the records all the time.
func TestOversizedCompletionPageIsEmptied(t *testing.T) {
	const jobs, firstTask, laterTask = 60, 0, 5
	f := newCompletionPageFixture(t, jobs)
	writer := f.reconciler.writers[0]
	f.limitStore(1024, 4, math.MaxInt)
	if writer.oversizedValues() != 1 {
		t.Fatalf("%d pages are over the limit", writer.oversizedValues())
	}
	for _, first := range []int{0, 1} { // every other job, then the rest
		for i := first; i < jobs; i += 2 {
			f.complete(completionJob(i), laterTask)
		}
		f.flushFor(10, func() {
			t.Helper()
			for i := range jobs {
				if !f.recordsCompleted(completionJob(i), firstTask) {
					t.Fatalf("what had completed of %s is in no page", completionJob(i))
				}
			}
		})
		for i := first; i < jobs; i += 2 {
			if !f.recordsCompleted(completionJob(i), laterTask) {
				t.Errorf("what has completed of %s since is in no page", completionJob(i))
			}
		}
	}
	if writer.oversizedValues() > 0 {
		t.Errorf("%d pages are over the limit", writer.oversizedValues())
	}
}

// largeGroup is a machine group that was recorded under higher limits.
func largeGroup(machines int) storage.MachineGroupRecord {
	rec := storage.MachineGroupRecord{Type: "small", Zone: "z", FencingToken: grantToken}
	for i := range machines {
		rec.Machines = append(rec.Machines, storage.MachineEntry{Name: fleetMachineName(5000 + i), Address: fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250)})
	}
	return rec
}

// TestSplitGroupIsHeldAsBefore: the leader divides a group of machines among several that
// keep its fencing token. Every machine is held as before, under the same grant.
func TestSplitGroupIsHeldAsBefore(t *testing.T) {
	for _, machines := range []int{60, 69, 90} {
		f := newFixture(t)
		group := largeGroup(machines)
		f.apply(storage.MachineGroupKey("large"), group)
		f.recordsChanged()
		held := map[string]*agent{}
		for name, agent := range f.reconciler.agents.byName {
			held[name] = agent
		}
		entries := group.Machines
		for i, part := range slices.Collect(slices.Chunk(entries, 25)) { // the first keeps the key, and comes last
			if group.Machines = part; i > 0 {
				f.apply(storage.MachineGroupKey(fmt.Sprint("part-", i)), group)
			}
		}
		group.Machines = entries[:25]
		f.apply(storage.MachineGroupKey("large"), group)
		f.recordsChanged()
		for _, entry := range entries {
			if agent := f.reconciler.agents.find(entry.Name); agent == nil || agent != held[entry.Name] || agent.fence.granted != grantToken {
				t.Errorf("%d machines: %s is held anew", machines, entry.Name)
			}
		}
	}
}
