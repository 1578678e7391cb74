package reconcile

import (
	"slices"
	"time"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// recordWriter writes the records of one job shard: intent pages, which name every task
// that may be on a machine, and completion pages, which list the completed tasks. Many
// tasks share a page and all changes of a pass share a transaction, so the number of writes
// grows with the number of passes, not of tasks.
//
// Every write is conditional on the grant and on the version of each page that it replaces.
// At most one holder can therefore change the pages, and the preconditions of a delayed
// transaction fail once a later transaction has been applied.
type recordWriter struct {
	*Config
	shard           int
	intentPages     []*intentPage
	completionPages []*completionPage
	unassigned      []*attempt // attempts without an intent page
	nextFlushAt     time.Duration
	maxOperations   int                     // operations in a transaction; fewer after a failed write
	retired         bool                    // the shard is no longer held
	grantVersion    uint64                  // View.HeldSince when the shard was acquired
	tracks          func(*jobProgress) bool // whether the reconciler still tracks a job's progress
	schedulePass    func()
}

// Intervals of a record writer. Removals and completions are delayed so that they share
// writes. New intents wait only for the flush interval and the write budget.
const (
	flushInterval          = 40 * time.Millisecond
	completionDelay        = time.Second
	maxCompletionDelay     = 6 * time.Second // while new tasks use the whole write budget
	removalDelay           = 2 * time.Second
	drainPageCheckInterval = 2 * time.Second // between two searches for the pages that name a draining machine

	maxOperationsPerWrite = 4
)

// newRecordWriter returns the writer of a shard, with the pages that the records contain.
func newRecordWriter(config *Config, shard int) *recordWriter {
	w := &recordWriter{Config: config, shard: shard, maxOperations: maxOperationsPerWrite, grantVersion: config.View.HeldSince(shard)}
	w.View.EachIntentPage(shard, func(number, entries int) {
		page := w.intentPageAt(number)
		if entries > 0 {
			page.pendingSince = w.now() // some entries may be obsolete, which is known only once the machines are acquired
		}
	})
	w.View.EachCompletionPage(shard, func(number int) { w.completionPageAt(number) })
	return w
}

// loadCompleted adds the chunks of a job's completed tasks to the pages that record them.
func (w *recordWriter) loadCompleted(progress *jobProgress) {
	for chunk, number := range progress.job.CompletionPages {
		w.completionPageAt(number).add(progress, chunk)
	}
}

func (w *recordWriter) intentPageAt(number int) *intentPage {
	for len(w.intentPages) <= number {
		w.intentPages = append(w.intentPages, newIntentPage(storage.PageID{Shard: w.shard, Page: len(w.intentPages)}))
	}
	return w.intentPages[number]
}

func (w *recordWriter) completionPageAt(number int) *completionPage {
	for len(w.completionPages) <= number {
		w.completionPages = append(w.completionPages, newCompletionPage(storage.PageID{Shard: w.shard, Page: len(w.completionPages)}))
	}
	return w.completionPages[number]
}

// pageCapacity is the maximum size of a page in bytes.
func (w *recordWriter) pageCapacity() int { return w.Committer.ValueCapacity() }

// writeReady reports whether a page may be written: no write is in flight and the view
// shows the last write.
func (w *recordWriter) writeReady(page *pageState) bool {
	return page.write.Ready(w.now(), w.Replica.Revision())
}

// markCompleted schedules the write of a chunk in which a task has been completed. A chunk
// on an oversized page moves to another page.
func (w *recordWriter) markCompleted(progress *jobProgress, chunk int) {
	now := w.now()
	page := progress.completionPages[chunk]
	if page != nil && page.bytes > w.pageCapacity() && len(page.chunks) > 1 {
		page.beginMove(completionChunk{progress, chunk}, now)
		page = nil
	}
	if page == nil {
		page = w.completionPageFor(completionChunk{progress, chunk}.size())
		page.add(progress, chunk)
	}
	page.markPending(now)
}

// completionPageFor returns the first completion page with room for the given number of
// bytes, or an empty page.
func (w *recordWriter) completionPageFor(bytes int) *completionPage {
	for number := 0; ; number++ {
		page := w.completionPageAt(number)
		if page.bytes+bytes <= w.pageCapacity() || len(page.chunks) == 0 {
			return page
		}
	}
}

// unresolvedWriteMayName reports whether a write whose outcome is unknown names a machine.
func (w *recordWriter) unresolvedWriteMayName(a *agent) bool {
	return slices.ContainsFunc(w.intentPages, func(page *intentPage) bool { return page.possiblyNamed[a] })
}

// markPagesNaming marks as urgent the pages that still name a draining machine without
// attempts. If an attempt ended before the drain began, its removal from the page is not
// urgent and may never be written while new tasks use the whole write budget.
func (w *recordWriter) markPagesNaming(a *agent) {
	now := w.now()
	if len(a.attempts) > 0 || len(a.machine.Intents) == 0 || now < a.intentPagesCheckedAt+drainPageCheckInterval {
		return
	}
	a.intentPagesCheckedAt = now
	for _, number := range w.View.IntentPagesNaming(w.shard, a.machine) {
		w.intentPageAt(number).urgent = true
	}
}

// resolvePossiblyNamed clears the set of possibly named machines once the view shows the
// outcome of the writes that name them.
func (w *recordWriter) resolvePossiblyNamed(page *intentPage) {
	if len(page.possiblyNamed) == 0 || page.write.InFlight() || w.Replica.Revision() < page.write.Revision() {
		return
	}
	if w.View.IntentPageVersion(page.id) != page.replacedVersion {
		page.outcomeUnknown = false
	}
	if !page.outcomeUnknown {
		clear(page.possiblyNamed)
	}
}

// flushIfHeld writes the due pages outside of a pass, if the shard is still held.
func (w *recordWriter) flushIfHeld() {
	if !w.retired && !w.Generation.Ended() && w.Leases.MayActFor(w.shard) {
		w.flush()
	}
}

// flush writes the due pages.
func (w *recordWriter) flush() {
	now := w.now()
	if now < w.nextFlushAt {
		return
	}
	for _, page := range w.intentPages {
		w.resolvePossiblyNamed(page)
	}
	w.shrinkOversized(now)
	w.assignPages()
	budget := &w.Committer.Budget
	budget.Refill(now)
	if budget.Level() < min(1, budget.Rate()) {
		return // no write is possible, so skip the encoding
	}
	batch := w.dueWrites(now)
	operations := len(batch.transaction.Operations)
	if operations == 0 || !budget.TryConsume(now, operations) {
		return
	}
	w.nextFlushAt = now + flushInterval
	w.beginWrites(batch)
	w.Committer.Commit(batch.transaction, func(revision uint64, err error) { w.onWritten(batch, revision, err) })
}

// beginWrites marks the pages of a batch as being written.
func (w *recordWriter) beginWrites(batch *pageBatch) {
	for _, page := range batch.intentPages {
		page.replacedVersion = w.View.IntentPageVersion(page.id)
		page.newAttempts, page.newAttemptsInFlight = 0, page.newAttempts
		for a := range page.attempts {
			page.possiblyNamed[a.agent] = true
		}
	}
	for _, state := range batch.states() {
		state.write.Begin()
		state.urgent, state.pendingSince = false, 0
	}
}

// intentPageOperation returns the operation that writes the current entries of an intent
// page. An empty page is written, not deleted: deleting the page would reset its version to
// 0, and the delayed transaction that created the page could then restore its old entries.
func (w *recordWriter) intentPageOperation(page *intentPage) protocol.Operation {
	record := storage.IntentPage{}
	for a := range page.attempts {
		record[a.job.ID] = append(record[a.job.ID], storage.IntentEntry(a.task, a.agent.machine.Name, a.number))
	}
	for job := range page.jobs {
		record[job.ID] = append(record[job.ID], intentHeader(job))
	}
	for _, entries := range record {
		slices.Sort(entries)
	}
	return protocol.Operation{Put: storage.IntentPageKey(page.id), Value: storage.Encode(record)}
}

// completionPageOperation returns the operation that writes a completion page. needed is
// false if the page has no content and does not exist in the store.
func (w *recordWriter) completionPageOperation(page *completionPage) (operation protocol.Operation, needed bool) {
	const chunkBytes = storage.TasksPerChunk / 8
	record := storage.CompletionPage{}
	w.removeObsoleteChunks(page)
	for c := range page.chunks {
		completed := c.progress.completed
		part := completed[min(len(completed), c.chunk*chunkBytes):]
		record[storage.CompletionChunkName(c.progress.job.ID, c.chunk)] = part[:min(len(part), chunkBytes)]
	}
	if len(record) == 0 && w.View.CompletionPageVersion(page.id) == 0 {
		page.pendingSince = 0
		return operation, false
	}
	return protocol.Operation{Put: storage.CompletionPageKey(page.id), Value: storage.Encode(record)}, true
}
