package placement

import (
	"cmp"
	"slices"
	"time"

	"rockrun/internal/config"
	"rockrun/internal/storage"
)

// MaxDelaySeconds limits how long a job may be ordered behind other jobs of its rank. A job
// that has waited longer without a started task is starved and goes first. A job whose time
// limit passed more than MaxDelaySeconds ago takes turns with the other jobs. Without these
// rules, large jobs would starve as long as demand exceeds capacity.
const MaxDelaySeconds = 100.0

// LongOverduePassInterval is the interval, in passes that place a task, at which long-overdue
// jobs go first.
const LongOverduePassInterval = 3

// minWeightCPUs is the least number of CPUs per task used for a job's weight. It keeps the
// weight of jobs with almost no CPU request above zero.
const minWeightCPUs = 0.1

// Candidate is a job with tasks to place, together with the values that determine its order.
type Candidate struct {
	Job             *storage.Job
	Rank            int     // the highest priority among the job and its dependents; 0 is the highest
	WithinGuarantee bool    // the job fits into its team's guaranteed quota along with the team's earlier jobs
	Starved         bool    // the job has waited longer than MaxDelaySeconds without a started task
	Late            bool    // the job is expected to miss its deadline or service-level objective
	LongOverdue     bool    // the time limit passed more than MaxDelaySeconds ago
	Weight          float64 // remaining work, reduced as the job waits; the lowest goes first
}

// Progress describes how much of a job has started and completed.
type Progress struct {
	Remaining int  // tasks that are not completed
	Begun     bool // a task is running or completed
}

// NewCandidate computes the weight of a job and whether the job is starved, late or long
// overdue. rank is the job's effective rank. The caller sets WithinGuarantee.
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
		ageSeconds = float64(nowMS-j.SubmittedAtMS) / 1000 // deadlines are relative to the submission
	}
	limitSeconds := timeLimitSeconds(j, objectives)
	candidate.Late = limitSeconds > 0 && ageSeconds+runSeconds > limitSeconds
	candidate.LongOverdue = limitSeconds > 0 && ageSeconds > limitSeconds+MaxDelaySeconds
	if candidate.LongOverdue {
		candidate.Weight = 0 // long-overdue jobs are ordered by arrival
	}
	return candidate
}

// timeLimitSeconds returns the age by which a job must finish to meet its own deadline and
// the objectives of its class, or 0 if there is no limit.
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

// ExpectedRunSeconds returns the expected run time of one task of a job, at least 1 second.
func ExpectedRunSeconds(j *storage.Job) float64 { return max(j.EstimateSeconds, 1) }

// Sort sorts jobs by Compare.
func Sort(list []Candidate, longOverdueFirst bool) {
	slices.SortStableFunc(list, func(a, b Candidate) int { return Compare(&a, &b, longOverdueFirst) })
}

// Compare defines the order in which jobs are placed: by priority, then starved jobs, then
// jobs within their team's guarantee before jobs that borrow, then jobs expected to meet
// their time limit before late ones. Ties are broken by the remaining work relative to the
// waiting time: if not all jobs can finish in time, running small jobs first lets more of
// them do so, and the waiting time keeps large jobs from starving.
//
// When demand exceeds capacity, late jobs would never run if they always came after the
// others, and every job would become late if they always came first. Long-overdue jobs
// therefore take turns with the rest, oldest first; longOverdueFirst is true in passes in
// which they go first.
func Compare(first, second *Candidate, longOverdueFirst bool) int {
	return cmp.Or(
		cmp.Compare(first.Rank, second.Rank),
		CompareBool(second.Starved, first.Starved),
		CompareBool(second.WithinGuarantee, first.WithinGuarantee),
		CompareBool(first.LongOverdue != longOverdueFirst, second.LongOverdue != longOverdueFirst),
		CompareBool(first.Late, second.Late),
		cmp.Compare(first.Weight, second.Weight),
		cmp.Compare(first.Job.ReadyAtMS(), second.Job.ReadyAtMS()),
		cmp.Compare(first.Job.ID, second.Job.ID),
	)
}

// CompareBool orders false before true. The result follows the convention of cmp.Compare.
func CompareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
