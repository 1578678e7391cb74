package jobs

import (
	"time"

	"rockrun/internal/storage"
)

// maxFinalRecords bounds the cached final records; others are read from the store on
// request.
const maxFinalRecords = 20_000

// finalRecordCache caches final records by job. Final records never change, so entries are
// always valid and any of them may be evicted. The zero value is empty.
type finalRecordCache struct {
	byJob map[string]storage.FinalRecord
}

func (r *finalRecordCache) get(job string) (final storage.FinalRecord, found bool) {
	final, found = r.byJob[job]
	return final, found
}

func (r *finalRecordCache) add(job string, final storage.FinalRecord) {
	if r.byJob == nil {
		r.byJob = map[string]storage.FinalRecord{}
	}
	if len(r.byJob) >= maxFinalRecords {
		for other := range r.byJob {
			delete(r.byJob, other)
			break
		}
	}
	r.byJob[job] = final
}

// minSubmissionRetention is the shortest time for which a submission is retained: far
// longer than the job's record takes to reach the view.
const minSubmissionRetention = 10 * time.Second

// recentSubmissions retains the kinds of the jobs that this controller accepted recently:
// the next job of a pipeline is often submitted before the record of its dependency
// reaches the view. The zero value is empty.
type recentSubmissions struct {
	current, previous map[string]string // kind by job ID
	rotatedAt         time.Duration
}

func (r *recentSubmissions) add(job, kind string, now time.Duration) {
	if r.current == nil || now-r.rotatedAt > minSubmissionRetention {
		r.current, r.previous, r.rotatedAt = map[string]string{}, r.current, now
	}
	r.current[job] = kind
}

func (r *recentSubmissions) kind(job string) (kind string, found bool) {
	if kind, found = r.current[job]; !found {
		kind, found = r.previous[job]
	}
	return kind, found
}
