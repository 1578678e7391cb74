package storage

import (
	"fmt"
	"testing"

	"rockrun/internal/protocol"
)

// TestJobIsForgottenLast: a job is forgotten only once nothing names it, so that no index
// is used for two jobs at a time.
func TestJobIsForgottenLast(t *testing.T) {
	v := newTestView(t, 1)
	v.put(JobKey("run-1"), JobRecord{Spec: spec("run-1", 2)})
	v.put(CompletionPageKey(PageID{}), CompletionPage{CompletionChunkName("run-1", 0): {1}})
	v.put(IntentPageKey(PageID{}), IntentPage{"run-1": {IntentEntry(1, "m-1", 5)}})
	j := v.findJob("run-1")
	j.References++
	v.end("run-1")
	if !j.Ended() || !v.HasStaleCompletions(PageID{}) {
		t.Fatalf("ended %t, stale %t", j.Ended(), v.HasStaleCompletions(PageID{}))
	}
	v.remove(CompletionPageKey(PageID{}))
	v.remove(IntentPageKey(PageID{}))
	if _, still := v.Jobs.Find("run-1"); still != j {
		t.Fatal("forgotten while an attempt refers to it")
	}
	j.References--
	v.ForgetJob(j)
	if id, _ := v.Jobs.Find("run-1"); id >= 0 {
		t.Error("never forgotten")
	}
}

// TestJobRow: a record's names become indices, and an empty zone or list of types none.
func TestJobRow(t *testing.T) {
	v := newTestView(t, 1)
	v.accept("run-1")
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
	if v.JobsAdded != 2 || v.JobsEnded != 0 {
		t.Errorf("added %d, ended %d", v.JobsAdded, v.JobsEnded)
	}
}

// TestTaskProgress: a task is open, running or completed, in whichever order its intents
// and its completion come and go.
func TestTaskProgress(t *testing.T) {
	j := &Job{JobSpec: spec("run-1", 4), TaskProgress: newTaskProgress()}
	check := func(step string, open, running, completed int) {
		t.Helper()
		if j.OpenTasks() != open || j.RunningTasks() != running || j.CompletedCount != completed {
			t.Errorf("%s: %d open, %d running, %d completed", step, j.OpenTasks(), j.RunningTasks(), j.CompletedCount)
		}
	}
	check("new", 4, 0, 0)
	j.countIntent(1, 1)
	j.countIntent(1, 1)
	check("one task named twice", 3, 1, 0)
	j.countIntent(1, -1)
	check("and once again", 3, 1, 0)
	j.addCompleted(0, TaskSet{1 << 1})
	check("completed while named", 3, 0, 1)
	j.countIntent(1, -1)
	check("completed", 3, 0, 1)
	j.addCompleted(0, TaskSet{1<<1 | 1<<3})
	check("another completed", 2, 0, 2)
	j.countIntent(3, 1)
	check("an intent of a completed task", 2, 0, 2)
	j.addCompleted(protocol.MaxTasks/TasksPerChunk, make(TaskSet, TasksPerChunk))
	check("an empty chunk", 2, 0, 2)
}

// TestJobShard: arrays belong to the batch shard, services to the others by their IDs,
// and no job to any before the number of job shards is settled.
func TestJobShard(t *testing.T) {
	v := newTestView(t, 4)
	const services = 60
	for i := range services {
		service := spec(fmt.Sprintf("svc-%d", i), 1)
		service.Kind = protocol.KindService
		v.put(JobKey(service.ID), JobRecord{Spec: service})
	}
	v.accept("run-1")
	stranger := spec("run-2", 1)
	stranger.Team = "none"
	v.put(JobKey("run-2"), JobRecord{Spec: stranger})
	v.Jobs.All(func(_ int, j *Job) {
		if j.Shard != -1 {
			t.Errorf("%s belongs to %d before it is settled", j.ID, j.Shard)
		}
	})
	v.put(KeyJobShards, JobShardsRecord{JobShards: 4})
	byShard := make([]int, 4)
	v.Jobs.All(func(_ int, j *Job) {
		switch {
		case j.TeamIndex < 0:
			if j.Shard != -1 {
				t.Errorf("%s of no team belongs to %d", j.ID, j.Shard)
			}
		case j.IsService():
			byShard[j.Shard]++
		case j.Shard != BatchShard:
			t.Errorf("%s belongs to %d", j.ID, j.Shard)
		}
	})
	if byShard[BatchShard] != 0 || byShard[1] == 0 || byShard[2] == 0 || byShard[3] == 0 {
		t.Errorf("services by shard: %v", byShard)
	}
}

// TestEffectiveRank: a job has the highest priority of those that wait for it, for as
// long as they are active.
func TestEffectiveRank(t *testing.T) {
	v := newTestView(t, 1)
	v.accept("run-1")
	v.accept("run-2", "run-1")
	first := v.findJob("run-1")
	own := first.Rank()
	if got := v.EffectiveRank(first); got != own {
		t.Errorf("rank %d, its own is %d", got, own)
	}
	urgent := spec("run-3", 1)
	urgent.Priority, urgent.Dependencies = "critical", []string{"run-2"}
	if urgent.Rank() >= own {
		t.Fatalf("priority %q ranks %d, not above %d", urgent.Priority, urgent.Rank(), own)
	}
	v.put(JobKey("run-3"), JobRecord{Spec: urgent})
	if got := v.EffectiveRank(first); got != urgent.Rank() {
		t.Errorf("rank %d, that of the last of the pipeline is %d", got, urgent.Rank())
	}
	if got := v.EffectiveRank(first); got != urgent.Rank() {
		t.Errorf("rank %d when asked again", got)
	}
	v.MarkCancelled("run-3")
	v.accept("run-4") // from the next change on
	if got := v.EffectiveRank(first); got != own {
		t.Errorf("rank %d after that one was cancelled, its own is %d", got, own)
	}
	v.end("run-3")
	if got := v.EffectiveRank(first); got != own {
		t.Errorf("rank %d after that one ended, its own is %d", got, own)
	}
}
