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

// flushForSeconds flushes the writer of the job shard for the given time, as passes do, and
// calls afterFlush after each flush.
func (f *fixture) flushForSeconds(seconds int, afterFlush func()) {
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
		afterFlush()
	}
}

// TestOversizedIntentPagesShrink guards against intent pages that can never be written again,
// because they were recorded under higher limits. Such a page used to be written without
// shrinking and was rejected on every retry, and a draining machine stayed named on the page.
// Entries must move to other pages first, no write may exceed the limits, and at all times a
// page must name each task that may be running.
func TestOversizedIntentPagesShrink(t *testing.T) {
	f := newFleetFixture(t, mediumFleet)
	f.lowerStoreLimits(512, 4, math.MaxInt)
	writer := f.reconciler.writers[0]
	before := writer.oversizedValues()
	if before < 30 {
		t.Fatalf("only %d pages are over the limit", before)
	}
	draining := f.reconciler.agents.find(fleetMachineName(17))
	draining.machine.Phase = storage.PhaseDraining
	f.reconciler.endAttempt(draining.attempts[storage.SortedTasks(draining.attempts)[0]], "stopped")
	active := f.reconciler.agents.find(fleetMachineName(200)) // still gets new tasks, so the removal is not urgent
	f.reconciler.endAttempt(active.attempts[storage.SortedTasks(active.attempts)[0]], "stopped")
	f.flushForSeconds(10, func() {
		t.Helper()
		for _, agent := range f.reconciler.agents.sorted {
			for ref, a := range agent.attempts {
				if agent.machine.Intents[ref].Attempt != a.number {
					t.Fatalf("no page names the task that may be running on %s", agent.machine.Name)
				}
			}
		}
	})
	for _, agent := range []*agent{draining, active} {
		if len(agent.machine.Intents) > 0 {
			t.Errorf("an intent page still names %s", agent.machine.Name)
		}
	}
	if left := writer.oversizedValues(); left != before-2 {
		t.Errorf("%d pages are over the limit, of %d before", left, before)
	}
}

// completionJob returns the ID of a job of newCompletionPageFixture.
func completionJob(number int) string { return fmt.Sprintf("run-%06d", 100+number) }

// newCompletionPageFixture makes a fixture with the given number of jobs. Task 0 of each job
// is completed, and all jobs share one completion page.
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

// progressOf returns the progress of a job.
func (f *fixture) progressOf(id string) *jobProgress {
	_, job := f.view.Jobs.Find(id)
	return f.reconciler.progressOf(job)
}

// complete marks a task of the job's first chunk as completed.
func (f *fixture) complete(id string, task int) {
	progress := f.progressOf(id)
	progress.complete(task)
	f.reconciler.writers[0].markCompleted(progress, 0)
}

// recordsCompleted reports whether a completion page in the store lists a task as completed.
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

// TestOversizedCompletionPageShrinks guards against the same failure with a completion page:
// the page must shrink, and at all times the records must list each completed task.
func TestOversizedCompletionPageShrinks(t *testing.T) {
	const jobs, firstTask, laterTask = 60, 0, 5
	f := newCompletionPageFixture(t, jobs)
	writer := f.reconciler.writers[0]
	f.lowerStoreLimits(1024, 4, math.MaxInt)
	if writer.oversizedValues() != 1 {
		t.Fatalf("%d pages are over the limit", writer.oversizedValues())
	}
	for _, first := range []int{0, 1} { // every other job, then the rest
		for i := first; i < jobs; i += 2 {
			f.complete(completionJob(i), laterTask)
		}
		f.flushForSeconds(10, func() {
			t.Helper()
			for i := range jobs {
				if !f.recordsCompleted(completionJob(i), firstTask) {
					t.Fatalf("no page lists the task of %s that was completed before", completionJob(i))
				}
			}
		})
		for i := first; i < jobs; i += 2 {
			if !f.recordsCompleted(completionJob(i), laterTask) {
				t.Errorf("no page lists the task of %s that was completed later", completionJob(i))
			}
		}
	}
	if writer.oversizedValues() > 0 {
		t.Errorf("%d pages are over the limit", writer.oversizedValues())
	}
}

// largeGroup returns a machine group that was recorded under higher limits.
func largeGroup(machines int) storage.MachineGroupRecord {
	record := storage.MachineGroupRecord{Type: "small", Zone: "z", FencingToken: grantToken}
	for i := range machines {
		record.Machines = append(record.Machines, storage.MachineEntry{Name: fleetMachineName(5000 + i), Address: fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250)})
	}
	return record
}

// TestSplitMachineGroupPreservesAgents guards against agent state that is lost when the leader
// splits a machine group. The parts have the group's fencing token, so every machine must keep
// its agent, under the same grant.
func TestSplitMachineGroupPreservesAgents(t *testing.T) {
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
		for i, part := range slices.Collect(slices.Chunk(entries, 25)) { // the first part keeps the key and is applied last
			if group.Machines = part; i > 0 {
				f.apply(storage.MachineGroupKey(fmt.Sprint("part-", i)), group)
			}
		}
		group.Machines = entries[:25]
		f.apply(storage.MachineGroupKey("large"), group)
		f.recordsChanged()
		for _, entry := range entries {
			if agent := f.reconciler.agents.find(entry.Name); agent == nil || agent != held[entry.Name] || agent.fence.granted != grantToken {
				t.Errorf("%d machines: the agent of %s was replaced", machines, entry.Name)
			}
		}
	}
}
