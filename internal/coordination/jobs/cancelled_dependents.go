package jobs

import (
	"time"

	"rockrun/internal/coordination/kv"
	"rockrun/internal/coordination/loop"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// operationsPerJob is how many operations end a job, see storage.EndJobOperations.
const operationsPerJob = 2

// dependentsWriter writes the final records of jobs that are cancelled with a dependency,
// for one generation.
type dependentsWriter struct {
	Config
	GenerationConfig
	remember func(job string, final storage.FinalRecord) // told of final records that are durable
	writes   map[*storage.Job]*loop.Write
}

func newDependentsWriter(c Config, g GenerationConfig, remember func(string, storage.FinalRecord)) *dependentsWriter {
	return &dependentsWriter{Config: c, GenerationConfig: g, remember: remember, writes: map[*storage.Job]*loop.Write{}}
}

// write writes what is due, a few jobs to a transaction. Answers follow from the
// dependencies in the meantime, so nobody waits for these writes, and they never keep new
// tasks from theirs.
func (w *dependentsWriter) write() {
	now := w.Generation.Now()
	var batch []*storage.Job
	for _, job := range w.View.CancelledDependents() {
		if !w.due(job, now) {
			continue
		}
		if !w.Committer.Budget.Take(now, operationsPerJob) {
			break
		}
		batch = append(batch, job)
		if len(batch) >= w.Committer.Limits().Operations/operationsPerJob {
			w.commit(batch)
			batch = nil
		}
	}
	if len(batch) > 0 {
		w.commit(batch)
	}
	for job := range w.writes {
		if job.Ended() {
			delete(w.writes, job)
		}
	}
}

// due reports whether the final record of a job may be written now.
func (w *dependentsWriter) due(job *storage.Job, now time.Duration) bool {
	write := w.writes[job]
	return w.Leases.MayActFor(job.Shard) &&
		(write == nil || write.Ready(now, w.Replica.Revision()))
}

func (w *dependentsWriter) commit(batch []*storage.Job) {
	final := storage.FinalRecord{Stage: protocol.StageCancelled, EndedAtMS: w.Generation.Wall().UnixMilli()}
	var t protocol.Transaction
	for _, job := range batch {
		t.Conditions = append(t.Conditions, protocol.Condition{Key: storage.JobKey(job.ID), Version: job.Version})
		t.Operations = append(t.Operations, storage.EndJobOperations(job.ID, final)...)
		if w.writes[job] == nil {
			w.writes[job] = &loop.Write{}
		}
		w.writes[job].Begin()
	}
	w.Committer.Commit(t, func(revision uint64, err error) {
		if w.Generation.Ended() {
			return
		}
		for _, job := range batch {
			w.committed(job, final, revision, err)
		}
		if err != nil {
			w.Log.Debug("final records of cancelled dependents not written", "jobs", len(batch), "err", err)
		}
	})
}

// committed takes in how the write of a job's final record ended.
func (w *dependentsWriter) committed(job *storage.Job, final storage.FinalRecord, revision uint64, err error) {
	write := w.writes[job]
	switch {
	case write == nil: // the view has seen the end of the job by now
	case err != nil:
		write.Done(w.Generation.Now() + w.Generation.Jitter(kv.RetryPause))
	default:
		write.Written(revision)
		w.remember(job.ID, final)
	}
}
