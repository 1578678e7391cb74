package jobs

import (
	"time"

	"rockrun/internal/coordination/kv"
	"rockrun/internal/coordination/loop"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// operationsPerJob is the number of operations that end a job, see
// storage.EndJobOperations.
const operationsPerJob = 2

// dependentsWriter writes the final records of jobs that are cancelled because a dependency
// was cancelled. It lasts for one generation.
type dependentsWriter struct {
	Config
	GenerationConfig
	recordOutcome func(job string, final storage.FinalRecord) // called once a final record is durable
	writes        map[*storage.Job]*loop.Write
}

func newDependentsWriter(c Config, g GenerationConfig, recordOutcome func(string, storage.FinalRecord)) *dependentsWriter {
	return &dependentsWriter{Config: c, GenerationConfig: g, recordOutcome: recordOutcome, writes: map[*storage.Job]*loop.Write{}}
}

// writeDueRecords writes the final records that are due, several jobs to a transaction.
// Until they are written, the answers to users are derived from the dependencies, so
// nothing waits for these writes. They yield to the writes for new tasks: they use only the
// write budget that a reconcile pass leaves.
func (w *dependentsWriter) writeDueRecords() {
	now := w.Generation.Now()
	var batch []*storage.Job
	for _, job := range w.View.CancelledDependents() {
		if !w.isDue(job, now) {
			continue
		}
		if !w.Committer.Budget.TryConsume(now, operationsPerJob) {
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

// isDue reports whether the final record of a job may be written now: this controller may
// act for the job's shard, and no earlier write is in progress, in its retry delay or not
// yet visible in the view.
func (w *dependentsWriter) isDue(job *storage.Job, now time.Duration) bool {
	write := w.writes[job]
	return w.Leases.MayActFor(job.Shard) &&
		(write == nil || write.Ready(now, w.Replica.Revision()))
}

func (w *dependentsWriter) commit(batch []*storage.Job) {
	final := storage.FinalRecord{Stage: protocol.StageCancelled, EndedAtMS: w.Generation.Wall().UnixMilli()}
	var transaction protocol.Transaction
	for _, job := range batch {
		transaction.Preconditions = append(transaction.Preconditions, protocol.Precondition{Key: storage.JobKey(job.ID), Version: job.Version})
		transaction.Operations = append(transaction.Operations, storage.EndJobOperations(job.ID, final)...)
		if w.writes[job] == nil {
			w.writes[job] = &loop.Write{}
		}
		w.writes[job].Begin()
	}
	w.Committer.Commit(transaction, func(revision uint64, err error) {
		if w.Generation.Ended() {
			return
		}
		for _, job := range batch {
			w.finishWrite(job, final, revision, err)
		}
		if err != nil {
			w.Log.Debug("final record write for cancelled dependents failed", "jobs", len(batch), "err", err)
		}
	})
}

// finishWrite handles the result of writing a job's final record.
func (w *dependentsWriter) finishWrite(job *storage.Job, final storage.FinalRecord, revision uint64, err error) {
	write := w.writes[job]
	switch {
	case write == nil: // the view already shows that the job ended
	case err != nil:
		write.FinishAndDelayUntil(w.Generation.Now() + w.Generation.Jitter(kv.RetryDelay))
	default:
		write.Written(revision)
		w.recordOutcome(job.ID, final)
	}
}
