package storage

import "rockrun/internal/protocol"

// Job is a job as the durable records tell of it; see the package's comment for its life.
type Job struct {
	protocol.JobSpec
	TaskProgress
	jobRelations

	Index         int    // in View.Jobs
	Version       uint64 // of its record; 0 where it has none: it has ended, or is not read yet
	SubmittedAtMS int64
	Shard         int // the job shard that owns it, -1 while that is not settled
	// References counts the attempts and pages of completions that refer to the row. They
	// keep the index in use; see View.ForgetJob.
	References int
	// CancellationConfirmed: the controller that made the cancellation durable has said
	// so. The record's removal follows with the changes, however late.
	CancellationConfirmed bool

	// The indices of what the specification names.
	TeamIndex          int   // -1 for a team that the settings do not have
	MachineTypeIndices []int // allowed machine types, nil for any
	ZoneIndex          int   // -1 for any
	ImageIndex         int
}

// Ended reports whether the job is done or cancelled and its record is gone. It is also
// true of a row that has no record yet.
func (j *Job) Ended() bool { return j.Version == 0 }

// Active reports whether the job has neither ended nor been cancelled: its tasks may run
// once all its dependencies are done.
func (j *Job) Active() bool { return !j.Ended() && !j.cancelled() }

// Runnable reports whether the job's tasks may start now. Only such a job counts for
// quota, order and demand.
func (j *Job) Runnable() bool { return j.Active() && !j.AwaitsDependencies() }

// OpenTasks returns how many tasks are neither completed nor named by an intent.
func (j *Job) OpenTasks() int { return max(j.Tasks-j.CompletedCount-j.intendedUncompleted, 0) }

// IsService reports whether the job's tasks run until it is cancelled.
func (j *Job) IsService() bool { return j.Kind == protocol.KindService }

// job returns the row of a job, making one for a new ID.
func (v *View) job(id string) *Job {
	if _, j := v.Jobs.Find(id); j != nil {
		return j
	}
	j := &Job{TaskProgress: newTaskProgress(), TeamIndex: -1, ZoneIndex: -1, Shard: -1}
	j.ID = id
	j.Index = v.Jobs.Add(id, j)
	return j
}

func (v *View) applyJob(stored storedRecord) error {
	j := v.job(stored.name)
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
	j.ImageIndex = v.ImageNames.ID(spec.Image)
	j.ZoneIndex = -1
	if spec.Zone != "" {
		j.ZoneIndex = v.ZoneNames.ID(spec.Zone)
	}
	j.MachineTypeIndices = nil
	for _, name := range spec.Types {
		j.MachineTypeIndices = append(j.MachineTypeIndices, v.MachineTypeID(name))
	}
	j.Shard = v.shardOf(j)
	v.JobsAdded++
	v.linkDependencies(j, spec.Dependencies)
}

func (v *View) removeJob(removal storedRecord) {
	_, j := v.Jobs.Find(removal.name)
	if j == nil || j.Ended() || removal.version <= j.Version {
		return
	}
	j.Version = 0
	v.JobsEnded++
	v.endJob(j)
	v.ForgetJob(j)
}

// ForgetJob drops the row of a job that has ended once nothing names it any more. Whoever
// lowers Job.References calls it.
func (v *View) ForgetJob(j *Job) {
	if j.Ended() && len(j.IntendedTasks) == 0 && j.References == 0 && !j.HasDependents() {
		v.Jobs.Drop(j.ID)
	}
}
