package storage

import (
	"fmt"
	"testing"

	"rockrun/internal/protocol"
)

// TestJobRetainedWhileReferenced: the row of a job is deleted only when nothing refers to
// it any more. If it were deleted earlier, two jobs could use one index at the same time.
func TestJobRetainedWhileReferenced(t *testing.T) {
	v := newTestView(t, 1)
	v.put(JobKey("run-1"), JobRecord{Spec: spec("run-1", 2)})
	v.put(CompletionPageKey(PageID{}), CompletionPage{CompletionChunkName("run-1", 0): {1}})
	v.put(IntentPageKey(PageID{}), IntentPage{"run-1": {IntentEntry(1, "m-1", 5)}})
	j := v.findJob("run-1")
	j.References++
	v.removeJobRecord("run-1")
	if !j.Ended() || !v.HasStaleCompletions(PageID{}) {
		t.Fatalf("ended %t, stale %t", j.Ended(), v.HasStaleCompletions(PageID{}))
	}
	v.remove(CompletionPageKey(PageID{}))
	v.remove(IntentPageKey(PageID{}))
	if _, found := v.Jobs.Find("run-1"); found != j {
		t.Fatal("row was deleted while an attempt refers to it")
	}
	j.References--
	v.DeleteJobIfUnreferenced(j)
	if id, _ := v.Jobs.Find("run-1"); id >= 0 {
		t.Error("row was not deleted with the last reference")
	}
}

// TestJobRow: names in a record are converted to indices. An empty zone becomes -1 and an
// empty list of machine types becomes nil.
func TestJobRow(t *testing.T) {
	v := newTestView(t, 1)
	v.addJob("run-1")
	if j := v.findJob("run-1"); j.TeamIndex != 0 || j.ZoneIndex != -1 || j.MachineTypeIndices != nil || j.SubmittedAtMS != 1000 || j.Shard != -1 {
		t.Errorf("%+v", j)
	}
	full := spec("run-2", 3)
	full.Team, full.Zone, full.Types, full.Image = "none", "north", []string{"small", "large"}, "tools"
	v.put(JobKey("run-2"), JobRecord{Spec: full})
	j := v.findJob("run-2")
	if j.TeamIndex != -1 || v.ZoneNames.Name(j.ZoneIndex) != "north" || v.ImageNames.Name(j.ImageIndex) != "tools" || len(j.MachineTypeIndices) != 2 {
		t.Errorf("%+v", j)
	}
	if v.JobOrderRevision != 2 || v.InactiveJobsRevision != 0 {
		t.Errorf("job order revision %d, inactive jobs revision %d, want 2 and 0", v.JobOrderRevision, v.InactiveJobsRevision)
	}
}

// TestTaskProgress: tasks are counted as unplaced, running or completed, in any order in
// which their intents and completions are added and removed.
func TestTaskProgress(t *testing.T) {
	j := &Job{JobSpec: spec("run-1", 4), TaskProgress: newTaskProgress()}
	check := func(step string, unplaced, running, completed int) {
		t.Helper()
		if j.UnplacedTasks() != unplaced || j.RunningTasks() != running || j.CompletedCount != completed {
			t.Errorf("%s: %d unplaced, %d running, %d completed", step, j.UnplacedTasks(), j.RunningTasks(), j.CompletedCount)
		}
	}
	check("new job", 4, 0, 0)
	j.countIntent(1, 1)
	j.countIntent(1, 1)
	check("two intents for a task", 3, 1, 0)
	j.countIntent(1, -1)
	check("one of two intents removed", 3, 1, 0)
	j.addCompleted(0, TaskSet{1 << 1})
	check("completed while an intent names the task", 3, 0, 1)
	j.countIntent(1, -1)
	check("completed, last intent removed", 3, 0, 1)
	j.addCompleted(0, TaskSet{1<<1 | 1<<3})
	check("another task completed", 2, 0, 2)
	j.countIntent(3, 1)
	check("intent for a completed task", 2, 0, 2)
	j.addCompleted(protocol.MaxTasks/TasksPerChunk, make(TaskSet, TasksPerChunk))
	check("empty chunk", 2, 0, 2)
}

// TestJobShard: arrays belong to the batch shard and services to the other job shards by
// their IDs. No job belongs to a shard before the number of job shards is decided.
func TestJobShard(t *testing.T) {
	v := newTestView(t, 4)
	const services = 60
	for i := range services {
		service := spec(fmt.Sprintf("svc-%d", i), 1)
		service.Kind = protocol.KindService
		v.put(JobKey(service.ID), JobRecord{Spec: service})
	}
	v.addJob("run-1")
	unknownTeam := spec("run-2", 1)
	unknownTeam.Team = "none"
	v.put(JobKey("run-2"), JobRecord{Spec: unknownTeam})
	v.Jobs.All(func(_ int, j *Job) {
		if j.Shard != -1 {
			t.Errorf("%s belongs to shard %d before the number of job shards is decided", j.ID, j.Shard)
		}
	})
	v.put(KeyJobShards, JobShardsRecord{JobShards: 4})
	byShard := make([]int, 4)
	v.Jobs.All(func(_ int, j *Job) {
		switch {
		case j.TeamIndex < 0:
			if j.Shard != -1 {
				t.Errorf("%s of an unknown team belongs to shard %d", j.ID, j.Shard)
			}
		case j.IsService():
			byShard[j.Shard]++
		case j.Shard != BatchShard:
			t.Errorf("%s belongs to shard %d", j.ID, j.Shard)
		}
	})
	if byShard[BatchShard] != 0 || byShard[1] == 0 || byShard[2] == 0 || byShard[3] == 0 {
		t.Errorf("services by shard: %v", byShard)
	}
}

// TestEffectiveRank: a job inherits the highest priority of its direct and indirect
// dependents while they are active.
func TestEffectiveRank(t *testing.T) {
	v := newTestView(t, 1)
	v.addJob("run-1")
	v.addJob("run-2", "run-1")
	first := v.findJob("run-1")
	own := first.Rank()
	if got := v.EffectiveRank(first); got != own {
		t.Errorf("rank %d, own rank is %d", got, own)
	}
	urgent := spec("run-3", 1)
	urgent.Priority, urgent.Dependencies = "critical", []string{"run-2"}
	if urgent.Rank() >= own {
		t.Fatalf("priority %q ranks %d, not above %d", urgent.Priority, urgent.Rank(), own)
	}
	v.put(JobKey("run-3"), JobRecord{Spec: urgent})
	if got := v.EffectiveRank(first); got != urgent.Rank() {
		t.Errorf("rank %d, rank of the last job of the pipeline is %d", got, urgent.Rank())
	}
	if got := v.EffectiveRank(first); got != urgent.Rank() {
		t.Errorf("rank %d when computed again", got)
	}
	v.MarkCancelled("run-3")
	v.addJob("run-4") // the cached rank is recomputed after the next change of the view
	if got := v.EffectiveRank(first); got != own {
		t.Errorf("rank %d after the urgent job was cancelled, own rank is %d", got, own)
	}
	v.removeJobRecord("run-3")
	if got := v.EffectiveRank(first); got != own {
		t.Errorf("rank %d after the urgent job ended, own rank is %d", got, own)
	}
}
