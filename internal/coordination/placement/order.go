package placement

import (
	"cmp"
	"slices"
	"time"

	"rockrun/internal/config"
	"rockrun/internal/storage"
)

// MaxDelaySeconds is how long a job may be put behind others of its rank. A job of which
// nothing has begun by then goes first, and one that has been late for so long takes turns
// with those that are not: else large jobs would starve for as long as more is asked for
// than can be done.
const MaxDelaySeconds = 100.0

// LongLateTurn is in how many passes that place something work that has been late for
// long goes first once.
const LongLateTurn = 3

// minWeightCPUs keeps jobs that take next to no CPU from weighing nothing.
const minWeightCPUs = 0.1

// Candidate is a job with tasks to place, with what decides its turn.
type Candidate struct {
	Job             *storage.Job
	Rank            int     // priority, 0 the highest: the highest of its own and of those of the jobs that depend on it
	WithinGuarantee bool    // fits into its team's guarantee with the team's earlier jobs
	Starved         bool    // none of its tasks has begun for too long
	Late            bool    // too late for its deadline or service-level objective
	LongLate        bool    // and has been for MaxDelaySeconds
	Weight          float64 // work left by the time it has waited; the least goes first
}

// Progress is how far a job has come.
type Progress struct {
	Remaining int  // tasks that are not completed
	Begun     bool // a task of it runs or is completed
}

// NewCandidate works out a job's weight, and whether it is late or starves. Rank is its
// effective rank. Whether it is within its team's guarantee is the caller's to add.
func NewCandidate(j *storage.Job, rank int, progress Progress, objectives []config.Objective, now time.Time) Candidate {
	candidate := Candidate{Job: j, Rank: rank}
	nowMS := now.UnixMilli()
	ageSeconds := float64(nowMS-j.ReadyAtMS()) / 1000
	candidate.Starved = !progress.Begun && ageSeconds > MaxDelaySeconds
	if j.IsService() {
		return candidate
	}
	runSeconds := ExpectedRunSeconds(j)
	candidate.Weight = float64(progress.Remaining) * max(j.CPUs, minWeightCPUs) * runSeconds / (ageSeconds + runSeconds)
	if j.DeadlineSeconds > 0 {
		ageSeconds = float64(nowMS-j.SubmittedAtMS) / 1000 // a deadline counts from the submission
	}
	limitSeconds := timeLimitSeconds(j, objectives)
	candidate.Late = limitSeconds > 0 && ageSeconds+runSeconds > limitSeconds
	candidate.LongLate = limitSeconds > 0 && ageSeconds > limitSeconds+MaxDelaySeconds
	if candidate.LongLate {
		candidate.Weight = 0 // by arrival
	}
	return candidate
}

// timeLimitSeconds is the age until which it is of use that a job is done, by its own
// deadline and the objectives of its class; 0 where there is no limit.
func timeLimitSeconds(j *storage.Job, objectives []config.Objective) float64 {
	limitSeconds := j.DeadlineSeconds
	for _, o := range objectives {
		switch {
		case o.Class != j.Class:
		case o.Kind == config.ObjectiveFinished && j.DeadlineSeconds == 0:
			limitSeconds = o.WithinSeconds
		case o.Kind == config.ObjectiveDeadline && j.DeadlineSeconds > 0:
			limitSeconds = max(limitSeconds, j.DeadlineSeconds*o.DeadlineFactor)
		}
	}
	return limitSeconds
}

// ExpectedRunSeconds is how long a task of a job is expected to run.
func ExpectedRunSeconds(j *storage.Job) float64 { return max(j.EstimateSeconds, 1) }

// Sort puts jobs into the order of Compare.
func Sort(list []Candidate, longLateFirst bool) {
	slices.SortStableFunc(list, func(a, b Candidate) int { return Compare(&a, &b, longLateFirst) })
}

// Compare orders jobs as they get machines: by priority, work within a guarantee before
// borrowed share, jobs that can still be in time before those that can't. Among equals it
// is the work left, weighed against the time waited: where not all can be in time, small
// jobs let more of them be, and no large one waits for ever.
//
// Where more is asked for than can be done, work that is late would wait for ever behind
// what is not, or all would be late if it went first. So what has been late for long takes
// turns with the rest, the oldest first; longLateFirst says that it is its turn.
func Compare(first, second *Candidate, longLateFirst bool) int {
	return cmp.Or(
		cmp.Compare(first.Rank, second.Rank),
		CompareBool(second.Starved, first.Starved),
		CompareBool(second.WithinGuarantee, first.WithinGuarantee),
		CompareBool(first.LongLate != longLateFirst, second.LongLate != longLateFirst),
		CompareBool(first.Late, second.Late),
		cmp.Compare(first.Weight, second.Weight),
		cmp.Compare(first.Job.ReadyAtMS(), second.Job.ReadyAtMS()),
		cmp.Compare(first.Job.ID, second.Job.ID),
	)
}

// CompareBool orders false before true, as cmp.Compare orders numbers.
func CompareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
