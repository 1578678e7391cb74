package reconcile

import (
	"cmp"
	"slices"
	"time"

	"rockrun/internal/coordination/loop"
	"rockrun/internal/storage"
)

// jobProgress is what the holder of a job shard knows about a job beyond its record.
type jobProgress struct {
	job              *storage.Job
	completed        storage.TaskSet // done as far as is known here, durable or not
	completedCount   int
	completionPages  map[int]*completionPage // by chunk
	nextTask         int                     // no task below it waits to be placed
	attempts         int
	attemptsByZone   []int // attempts that may be on a machine
	intentHeaderSize int   // bytes of its header in a page of intents
	withinGuarantee  bool  // fits into its team's guarantee with the team's earlier jobs
	starved          bool  // has once waited too long
	endWrite         loop.Write
	failures         failureRecord
	runTimes         runTimes
	backoffUntil     time.Duration // no starts before
}

// countInZone changes the count of attempts in a zone.
func (p *jobProgress) countInZone(zone, by int) {
	for len(p.attemptsByZone) <= zone {
		p.attemptsByZone = append(p.attemptsByZone, 0)
	}
	p.attemptsByZone[zone] += by
}

// complete takes in that a task is done, and reports whether that is news.
func (p *jobProgress) complete(task int) bool {
	if p.completed.Has(task) {
		return false
	}
	p.completed.Set(task)
	p.completedCount++
	return true
}

// done reports whether all tasks are.
func (p *jobProgress) done() bool { return p.completedCount >= p.job.Tasks }

// progressOf is the progress of a job, which is kept from then on.
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

// activeJobs lists the jobs that are neither over nor cancelled.
type activeJobs struct {
	list          []*storage.Job
	seenJobsAdded uint64 // of the view, when the list was made
}

// update returns the list, in the order in which the jobs could start.
func (l *activeJobs) update(view *storage.View) []*storage.Job {
	if l.seenJobsAdded != view.JobsAdded {
		l.seenJobsAdded = view.JobsAdded
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
