package jobs

import (
	"time"

	"rockrun/internal/storage"
)

// maxFinalRecords is how many final records are remembered; others are read when asked
// for.
const maxFinalRecords = 20_000

// finalRecords are final records by job, of which any may be forgotten. What they say
// never changes. The zero value is empty.
type finalRecords struct {
	byJob map[string]storage.FinalRecord
}

func (r *finalRecords) get(job string) (final storage.FinalRecord, found bool) {
	final, found = r.byJob[job]
	return final, found
}

func (r *finalRecords) add(job string, final storage.FinalRecord) {
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

// recentPeriod is for how long at least a submission is remembered: far longer than the
// changes take to bring the job's record.
const recentPeriod = 10 * time.Second

// recentSubmissions remembers the kinds of jobs that were accepted here a moment ago: the
// next job of a pipeline often comes before the changes bring the record of the one that
// it depends on. The zero value is empty.
type recentSubmissions struct {
	recent, earlier map[string]string // kinds by job
	rotatedAt       time.Duration
}

func (m *recentSubmissions) add(job, kind string, now time.Duration) {
	if m.recent == nil || now-m.rotatedAt > recentPeriod {
		m.recent, m.earlier, m.rotatedAt = map[string]string{}, m.recent, now
	}
	m.recent[job] = kind
}

func (m *recentSubmissions) kind(job string) (kind string, found bool) {
	if kind, found = m.recent[job]; !found {
		kind, found = m.earlier[job]
	}
	return kind, found
}
