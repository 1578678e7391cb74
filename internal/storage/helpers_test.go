package storage

import (
	"slices"
	"testing"

	"rockrun/internal/protocol"
)

// testView is a view with the teams red and blue. Its methods apply records as the change
// stream of the store does.
type testView struct {
	*View
	t       *testing.T
	version uint64 // of the last record that was written or removed
}

func newTestView(t *testing.T, shards int) *testView {
	t.Helper()
	return &testView{View: NewView([]Team{{Name: "red", GuaranteedCPUs: 64, MaxCPUs: 128}, {Name: "blue"}}, shards), t: t}
}

// put applies a record with the next version.
func (v *testView) put(key string, record any) {
	v.t.Helper()
	v.version++
	if err := v.Apply(key, Encode(record), v.version); err != nil {
		v.t.Fatal(err)
	}
}

// remove applies the removal of a record with the next version.
func (v *testView) remove(key string) {
	v.version++
	v.Remove(key, v.version)
}

func spec(id string, tasks int) protocol.JobSpec {
	return protocol.JobSpec{ID: id, Team: "red", Kind: protocol.KindArray, Priority: "normal", Tasks: tasks, CPUs: 1}
}

// addJob applies the record of a job with one task.
func (v *testView) addJob(id string, dependencies ...string) {
	v.t.Helper()
	s := spec(id, 1)
	s.Dependencies = dependencies
	v.put(JobKey(id), JobRecord{SubmittedAtMS: 1000, Spec: s})
}

// removeJobRecord applies the removal of a job's record without a final record.
func (v *testView) removeJobRecord(id string) { v.remove(JobKey(id)) }

// applyFinal applies the final record of a job and returns the sorted IDs of the jobs that it
// releases and cancels.
func (v *testView) applyFinal(id, stage string, atMS int64) (released, cancelled []string) {
	releasedJobs, cancelledJobs := v.SetOutcome(id, FinalRecord{Stage: stage, EndedAtMS: atMS})
	return jobIDs(releasedJobs), jobIDs(cancelledJobs)
}

// jobIDs returns the IDs of jobs, sorted.
func jobIDs(jobs []*Job) []string {
	var list []string
	for _, j := range jobs {
		list = append(list, j.ID)
	}
	slices.Sort(list)
	return list
}

// state describes the state of a job in its life cycle.
func (v *testView) state(id string) string {
	_, j := v.Jobs.Find(id)
	switch {
	case j == nil || j.Ended():
		return "ended"
	case j.CancelledBy() != nil:
		return "cancelled with " + j.CancelledBy().ID
	case j.AwaitsDependencies():
		return "awaits dependencies"
	case j.Runnable():
		return "runnable"
	}
	return "cancelled"
}

// findJob returns a job's row and fails the test if there is none.
func (v *testView) findJob(id string) *Job {
	v.t.Helper()
	_, j := v.Jobs.Find(id)
	if j == nil {
		v.t.Fatalf("%s has no row", id)
	}
	return j
}

// findMachine returns a machine's row and fails the test if there is none.
func (v *testView) findMachine(name string) *Machine {
	v.t.Helper()
	_, m := v.Machines.Find(name)
	if m == nil {
		v.t.Fatalf("%s has no row", name)
	}
	return m
}
