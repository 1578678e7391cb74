package bookkeeping

import (
	"hash/fnv"

	"rockrun/internal/protocol"
)

// Job is an unfinished job, or one that is over while something still names it.
type Job struct {
	protocol.Spec
	dependencies
	Index    int
	Version  uint64 // of the record; 0 once the job is over
	AtMS     int64
	TeamIdx  int
	TypeIdx  []int // allowed machine types, nil for any
	ZoneIdx  int   // -1 for any
	ImageIdx int
	Home     int  // shard that works on it, -1 while there are no homes
	Done     Bits // durably completed
	DoneN    int
	DonePage map[int]int // page that holds a chunk of the completed tasks
	Intended map[int]int // tasks that intents name, with how many do
	Refs     int         // attempts and pages that name it; they keep the index in use
	// Cancelled: the controller that confirmed the cancellation has said so. The
	// record's removal follows with the changes, however late.
	Cancelled bool

	intendedOpen int // intended tasks that are not done
}

// Over reports whether the job is done or cancelled.
func (j *Job) Over() bool { return j.Version == 0 }

// Wanted reports whether the job's tasks may run, once all that it needs is done.
func (j *Job) Wanted() bool { return !j.Over() && !j.cancelled() }

// MarkCancelled takes in that a job's cancellation is durable, ahead of the changes. It
// returns the jobs that are cancelled with it.
func (b *Cache) MarkCancelled(id string) []*Job {
	_, j := b.Jobs.Find(id)
	if j == nil {
		return nil
	}
	j.Cancelled = true
	return b.cancelDependants(j)
}

// Open returns how many tasks are neither done nor named by an intent.
func (j *Job) Open() int { return max(j.Tasks-j.DoneN-j.intendedOpen, 0) }

// Running returns how many tasks that are not done intents name.
func (j *Job) Running() int { return j.intendedOpen }

// Standing reports whether the job's tasks run until it is cancelled.
func (j *Job) Standing() bool { return j.Kind == protocol.KindService }

// addDone takes in a part of the completed tasks; completed tasks stay so.
func (j *Job) addDone(chunk int, bits Bits) {
	for i := range min(ChunkTasks, len(bits)*8) {
		task := chunk*ChunkTasks + i
		if bits.Has(i) && task < protocol.MaxTasks && !j.Done.Has(task) {
			j.Done.Set(task)
			j.DoneN++
			if j.Intended[task] > 0 {
				j.intendedOpen--
			}
		}
	}
}

// intend counts an entry that names a task, or one less.
func (j *Job) intend(task, by int) {
	before := j.Intended[task]
	if before+by <= 0 {
		delete(j.Intended, task)
	} else {
		j.Intended[task] = before + by
	}
	if !j.Done.Has(task) && (before > 0) != (before+by > 0) {
		j.intendedOpen += by
	}
}

func (b *Cache) job(id string) *Job {
	if _, j := b.Jobs.Find(id); j != nil {
		return j
	}
	j := &Job{DonePage: map[int]int{}, Intended: map[int]int{}, TeamIdx: -1, ZoneIdx: -1, Home: -1}
	j.ID = id
	j.Index = b.Jobs.Add(id, j)
	return j
}

func (b *Cache) setJob(j *Job, r JobRecord, version uint64) {
	j.Spec, j.AtMS, j.Version = r.Spec, r.AtMS, version
	j.TeamIdx = b.TeamNames.Lookup(r.Spec.Team)
	j.ImageIdx = b.ImageNames.ID(r.Spec.Image)
	j.ZoneIdx = -1
	if r.Spec.Zone != "" {
		j.ZoneIdx = b.ZoneNames.ID(r.Spec.Zone)
	}
	j.TypeIdx = nil
	for _, t := range r.Spec.Types {
		j.TypeIdx = append(j.TypeIdx, b.TypeID(t))
	}
	j.Home = b.homeOf(j)
	b.JobsSeen++
	b.link(j, r.Spec.Needs)
}

// homeOf is the home of a job. Work that ends shares one home, where machines
// that one job leaves serve the next; services, which stay, are spread over the
// others by their names.
func (b *Cache) homeOf(j *Job) int {
	switch {
	case b.Homes == 0 || j.TeamIdx < 0:
		return -1
	case b.Homes == 1 || !j.Standing():
		return 0
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(j.ID)) // a hash takes everything
	return 1 + int(h.Sum32()%uint32(b.Homes-1))
}

// DropJob forgets a job that is over once nothing names it any more.
func (b *Cache) DropJob(j *Job) {
	if j.Over() && len(j.Intended) == 0 && j.Refs == 0 && !j.Needed() {
		b.Jobs.Drop(j.ID)
	}
}
