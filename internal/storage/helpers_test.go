package storage

import (
	"slices"
	"testing"

	"rockrun/internal/protocol"
)

// testView is a view with the teams red and blue that is told of records as the changes
// of the store would.
type testView struct {
	*View
	t       *testing.T
	version uint64 // of the last record written or removed
}

func newTestView(t *testing.T, shards int) *testView {
	t.Helper()
	return &testView{View: NewView([]Team{{Name: "red", GuaranteedCPUs: 64, MaxCPUs: 128}, {Name: "blue"}}, shards), t: t}
}

// put takes in a record under the next version.
func (v *testView) put(key string, record any) {
	v.t.Helper()
	v.version++
	if err := v.Apply(key, Encode(record), v.version); err != nil {
		v.t.Fatal(err)
	}
}

// remove takes in the removal of a record under the next version.
func (v *testView) remove(key string) {
	v.version++
	v.Remove(key, v.version)
}

func spec(id string, tasks int) protocol.JobSpec {
	return protocol.JobSpec{ID: id, Team: "red", Kind: protocol.KindArray, Priority: "normal", Tasks: tasks, CPUs: 1}
}

// accept takes in a job of one task.
func (v *testView) accept(id string, dependencies ...string) {
	v.t.Helper()
	s := spec(id, 1)
	s.Dependencies = dependencies
	v.put(JobKey(id), JobRecord{SubmittedAtMS: 1000, Spec: s})
}

// end takes in that a job's record was removed, without a word of how it ended.
func (v *testView) end(id string) { v.remove(JobKey(id)) }

// final takes in the final record of a job.
func (v *testView) final(id, stage string, atMS int64) (released, cancelled []string) {
	releasedJobs, cancelledJobs := v.SetOutcome(id, FinalRecord{Stage: stage, EndedAtMS: atMS})
	return ids(releasedJobs), ids(cancelledJobs)
}

// ids are the IDs of jobs in their order.
func ids(jobs []*Job) []string {
	var list []string
	for _, j := range jobs {
		list = append(list, j.ID)
	}
	slices.Sort(list)
	return list
}

// state is where a job stands in its life.
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

// findJob returns a job's row, which must exist.
func (v *testView) findJob(id string) *Job {
	v.t.Helper()
	_, j := v.Jobs.Find(id)
	if j == nil {
		v.t.Fatalf("%s has no row", id)
	}
	return j
}

// findMachine returns a machine's row, which must exist.
func (v *testView) findMachine(name string) *Machine {
	v.t.Helper()
	_, m := v.Machines.Find(name)
	if m == nil {
		v.t.Fatalf("%s has no row", name)
	}
	return m
}
