package reconcile

import (
	"cmp"
	"slices"
	"time"

	"rockrun/internal/coordination/loop"
	"rockrun/internal/storage"
)

// jobProgress is the state of a job that its holder tracks in addition to the job's record.
type jobProgress struct {
	job              *storage.Job
	completed        storage.TaskSet // tasks done according to this holder, durable or not
	completedCount   int
	completionPages  map[int]*completionPage // by chunk
	nextTask         int                     // no task below it is unplaced
	attempts         int
	attemptsByZone   []int // live attempts by zone index
	intentHeaderSize int   // bytes of the job's header in an intent page
	withinGuarantee  bool  // the job fits into the team's guarantee beside the team's earlier jobs
	starved          bool  // the job has been a starved candidate at least once
	finalRecordWrite loop.Write
	failures         failureRecord
	runTimes         runTimes
	backoffUntil     time.Duration // no task is placed before
}

// addAttemptsInZone changes the number of live attempts in a zone by delta.
func (p *jobProgress) addAttemptsInZone(zone, delta int) {
	for len(p.attemptsByZone) <= zone {
		p.attemptsByZone = append(p.attemptsByZone, 0)
	}
	p.attemptsByZone[zone] += delta
}

// complete records that a task is done, and reports whether it was not recorded before.
func (p *jobProgress) complete(task int) bool {
	if p.completed.Has(task) {
		return false
	}
	p.completed.Set(task)
	p.completedCount++
	return true
}

// done reports whether all tasks are done.
func (p *jobProgress) done() bool { return p.completedCount >= p.job.Tasks }

// progressOf returns the progress of a job, which it begins to track on the first call.
func (r *Reconciler) progressOf(job *storage.Job) *jobProgress {
	if progress := r.jobs[job]; progress != nil {
		return progress
	}
	progress := &jobProgress{
		job:              job,
		completed:        job.Completed.Clone(),
		completedCount:   job.CompletedCount,
		completionPages:  map[int]*completionPage{},
		intentHeaderSize: len(intentHeader(job)),
	}
	r.jobs[job] = progress
	if writer := r.writers[job.Shard]; writer != nil {
		writer.loadCompleted(progress)
	}
	if !job.Ended() && !job.IsService() && progress.done() {
		r.completions.jobs = append(r.completions.jobs, progress)
	}
	return progress
}

// activeJobs caches the list of active jobs: those that have neither ended nor been
// cancelled.
type activeJobs struct {
	list         []*storage.Job
	seenJobOrder uint64 // View.JobOrderRevision when the list was built
}

// update returns the active jobs, sorted by the time from which they could start, then by ID.
func (l *activeJobs) update(view *storage.View) []*storage.Job {
	if l.seenJobOrder != view.JobOrderRevision {
		l.seenJobOrder = view.JobOrderRevision
		l.list = l.list[:0]
		view.Jobs.All(func(_ int, job *storage.Job) {
			if job.Active() {
				l.list = append(l.list, job)
			}
		})
		slices.SortFunc(l.list, func(a, b *storage.Job) int {
			return cmp.Or(cmp.Compare(a.ReadyAtMS(), b.ReadyAtMS()), cmp.Compare(a.ID, b.ID))
		})
	}
	l.list = slices.DeleteFunc(l.list, func(job *storage.Job) bool { return !job.Active() })
	return l.list
}
