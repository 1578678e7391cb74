package storage

import (
	"hash/fnv"

	"rockrun/internal/protocol"
)

// BatchShard is the job shard of all jobs that end by themselves. Services belong to the
// other job shards where there are any.
const BatchShard = 0

// Job is an unfinished job, or one that is over while something still names it.
type Job struct {
	protocol.JobSpec
	jobRelations
	Index              int
	Version            uint64 // of the record; 0 once the job is over
	SubmittedAtMS      int64
	TeamIndex          int
	MachineTypeIndices []int // allowed machine types, nil for any
	ZoneIndex          int   // -1 for any
	ImageIndex         int
	Shard              int     // shard that works on it, -1 while there are no homes
	Completed          TaskSet // durably completed
	CompletedCount     int
	CompletionPages    map[int]int // page that holds a chunk of the completed tasks
	IntendedTasks      map[int]int // tasks that intents name, with how many do
	References         int         // attempts and pages that name it; they keep the index in use
	// Cancelled: the controller that confirmed the cancellation has said so. The
	// record's removal follows with the changes, however late.
	CancellationConfirmed bool

	intendedUncompleted int // intended tasks that are not done
}

// Over reports whether the job is done or cancelled.
func (j *Job) Ended() bool { return j.Version == 0 }

// Wanted reports whether the job's tasks may run, once all that it needs is done.
func (j *Job) Active() bool { return !j.Ended() && !j.cancelled() }

// MarkCancelled takes in that a job's cancellation is durable, ahead of the changes. It
// returns the jobs that are cancelled with it.
func (b *View) MarkCancelled(id string) []*Job {
	_, j := b.Jobs.Find(id)
	if j == nil {
		return nil
	}
	j.CancellationConfirmed = true
	return b.cancelDependents(j)
}

// Open returns how many tasks are neither done nor named by an intent.
func (j *Job) OpenTasks() int { return max(j.Tasks-j.CompletedCount-j.intendedUncompleted, 0) }

// Running returns how many tasks that are not done intents name.
func (j *Job) RunningTasks() int { return j.intendedUncompleted }

// Standing reports whether the job's tasks run until it is cancelled.
func (j *Job) IsService() bool { return j.Kind == protocol.KindService }

// addDone takes in a part of the completed tasks; completed tasks stay so.
func (j *Job) addCompleted(chunk int, bits TaskSet) {
	for i := range min(TasksPerChunk, len(bits)*8) {
		task := chunk*TasksPerChunk + i
		if bits.Has(i) && task < protocol.MaxTasks && !j.Completed.Has(task) {
			j.Completed.Set(task)
			j.CompletedCount++
			if j.IntendedTasks[task] > 0 {
				j.intendedUncompleted--
			}
		}
	}
}

// intend counts an entry that names a task, or one less.
func (j *Job) countIntent(task, by int) {
	before := j.IntendedTasks[task]
	if before+by <= 0 {
		delete(j.IntendedTasks, task)
	} else {
		j.IntendedTasks[task] = before + by
	}
	if !j.Completed.Has(task) && (before > 0) != (before+by > 0) {
		j.intendedUncompleted += by
	}
}

func (b *View) job(id string) *Job {
	if _, j := b.Jobs.Find(id); j != nil {
		return j
	}
	j := &Job{CompletionPages: map[int]int{}, IntendedTasks: map[int]int{}, TeamIndex: -1, ZoneIndex: -1, Shard: -1}
	j.ID = id
	j.Index = b.Jobs.Add(id, j)
	return j
}

func (b *View) setJob(j *Job, r JobRecord, version uint64) {
	j.JobSpec, j.SubmittedAtMS, j.Version = r.Spec, r.SubmittedAtMS, version
	j.TeamIndex = b.TeamNames.Lookup(r.Spec.Team)
	j.ImageIndex = b.ImageNames.ID(r.Spec.Image)
	j.ZoneIndex = -1
	if r.Spec.Zone != "" {
		j.ZoneIndex = b.ZoneNames.ID(r.Spec.Zone)
	}
	j.MachineTypeIndices = nil
	for _, t := range r.Spec.Types {
		j.MachineTypeIndices = append(j.MachineTypeIndices, b.MachineTypeID(t))
	}
	j.Shard = b.shardOf(j)
	b.JobsAdded++
	b.link(j, r.Spec.Dependencies)
}

// homeOf is the home of a job. Work that ends shares one home, where machines
// that one job leaves serve the next; services, which stay, are spread over the
// others by their names.
func (b *View) shardOf(j *Job) int {
	switch {
	case b.JobShards == 0 || j.TeamIndex < 0:
		return -1
	case b.JobShards == 1 || !j.IsService():
		return 0
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(j.ID)) // a hash takes everything
	return 1 + int(h.Sum32()%uint32(b.JobShards-1))
}

// DropJob forgets a job that is over once nothing names it any more.
func (b *View) ForgetJob(j *Job) {
	if j.Ended() && len(j.IntendedTasks) == 0 && j.References == 0 && !j.HasDependents() {
		b.Jobs.Drop(j.ID)
	}
}
