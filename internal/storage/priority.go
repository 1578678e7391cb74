package storage

// inheritedRank is a job's effective rank as last worked out.
type inheritedRank struct {
	revision uint64 // of the jobs that it follows from, see Revisions.jobsRevision
	rank     int
}

// jobsRevision changes with every job that comes, ends or is cancelled; it is never 0.
func (r *Revisions) jobsRevision() uint64 { return r.JobsAdded + r.JobsEnded + 1 }

// EffectiveRank is a job's effective priority as a number of which 0 is the highest: the
// highest priority of the job itself and of all active jobs that depend on it, directly
// or through others. Users set the priority on the last job of a pipeline only, and it
// may come long after the first.
func (v *View) EffectiveRank(j *Job) int {
	revision := v.jobsRevision()
	if j.inherited.revision == revision {
		return j.inherited.rank
	}
	rank := j.Rank()
	for _, dependent := range j.dependents {
		if dependent.Active() {
			rank = min(rank, v.EffectiveRank(dependent))
		}
	}
	j.inherited = inheritedRank{revision, rank}
	return rank
}
