package storage

import "rockrun/internal/protocol"

// Job is the state of a job according to the durable records. The package comment
// describes its life cycle.
type Job struct {
	protocol.JobSpec
	TaskProgress
	jobRelations

	Index         int    // in View.Jobs
	Version       uint64 // of its record; 0 if the job has ended or its record has not been read yet
	SubmittedAtMS int64
	Shard         int // the job shard that owns it; -1 while not decided, see ShardAssignment.shardOf
	// References counts the attempts and completion page chunks that refer to the row. The
	// index is not reused while the count is above 0; see View.DeleteJobIfUnreferenced.
	References int
	// CancellationConfirmed is set when the controller that made the cancellation durable
	// has reported it. The change stream reports the removal of the job's record later,
	// with no bound on the delay.
	CancellationConfirmed bool

	// Indices of the names in the specification.
	TeamIndex          int   // -1 for a team that is not in the settings
	MachineTypeIndices []int // allowed machine types; nil for any
	ZoneIndex          int   // -1 for any
	ImageIndex         int
}

// Ended reports whether the job is done or cancelled and its record has been removed. It
// is also true for a row whose record has not been read yet.
func (j *Job) Ended() bool { return j.Version == 0 }

// Active reports whether the job has neither ended nor been cancelled. Its tasks may run
// once all its dependencies are done.
func (j *Job) Active() bool { return !j.Ended() && !j.cancelled() }

// Runnable reports whether the job's tasks may start now. Only runnable jobs count for
// quota, scheduling order and demand.
func (j *Job) Runnable() bool { return j.Active() && !j.AwaitsDependencies() }

// UnplacedTasks returns the number of tasks that are neither completed nor named by an intent.
func (j *Job) UnplacedTasks() int { return max(j.Tasks-j.CompletedCount-j.runningTasks, 0) }

// IsService reports whether the job's tasks run until it is cancelled.
func (j *Job) IsService() bool { return j.Kind == protocol.KindService }

// findOrAddJob returns the row of a job, and adds one if the ID is new.
func (v *View) findOrAddJob(id string) *Job {
	if _, j := v.Jobs.Find(id); j != nil {
		return j
	}
	j := &Job{TaskProgress: newTaskProgress(), TeamIndex: -1, ZoneIndex: -1, Shard: -1}
	j.ID = id
	j.Index = v.Jobs.Add(id, j)
	return j
}

func (v *View) applyJob(stored storedRecord) error {
	j := v.findOrAddJob(stored.name)
	record, newer, err := decodeNewer[JobRecord](stored, j.Version)
	if newer {
		v.setJob(j, record, stored.version)
	}
	return err
}

func (v *View) setJob(j *Job, record JobRecord, version uint64) {
	spec := &record.Spec
	j.JobSpec, j.SubmittedAtMS, j.Version = *spec, record.SubmittedAtMS, version
	j.TeamIndex = v.TeamNames.Lookup(spec.Team)
	j.ImageIndex = v.ImageNames.Index(spec.Image)
	j.ZoneIndex = -1
	if spec.Zone != "" {
		j.ZoneIndex = v.ZoneNames.Index(spec.Zone)
	}
	j.MachineTypeIndices = nil
	for _, name := range spec.Types {
		j.MachineTypeIndices = append(j.MachineTypeIndices, v.MachineTypeIndex(name))
	}
	j.Shard = v.shardOf(j)
	v.JobOrderRevision++
	v.linkDependencies(j, spec.Dependencies)
}

func (v *View) removeJob(removal storedRecord) {
	_, j := v.Jobs.Find(removal.name)
	if j == nil || j.Ended() || removal.version <= j.Version {
		return
	}
	j.Version = 0
	v.InactiveJobsRevision++
	v.endJob(j)
	v.DeleteJobIfUnreferenced(j)
}

// DeleteJobIfUnreferenced deletes the row of a job that has ended if no record, attempt or
// dependent refers to the job any more. Callers that decrement Job.References must call it.
func (v *View) DeleteJobIfUnreferenced(j *Job) {
	if j.Ended() && len(j.IntentCounts) == 0 && j.References == 0 && !j.HasDependents() {
		v.Jobs.Delete(j.ID)
	}
}
