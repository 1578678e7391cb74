package storage

// inheritedRank is a cached result of EffectiveRank.
type inheritedRank struct {
	revision uint64 // of the jobs from which the rank was computed; see Revisions.jobsRevision
	rank     int
}

// jobsRevision returns a number that increases when a job is read or ends, when a job's last
// dependency is done, and when jobs are cancelled with another. It is never 0, which marks
// an inheritedRank that has not been computed.
func (r *Revisions) jobsRevision() uint64 { return r.JobOrderRevision + r.InactiveJobsRevision + 1 }

// EffectiveRank returns a job's effective priority as a number, with 0 for the highest
// priority. It is the highest priority of the job itself and of all active jobs that depend
// on it, directly or transitively: users set the priority only on the last job of a
// pipeline, which may be submitted long after the first job.
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
