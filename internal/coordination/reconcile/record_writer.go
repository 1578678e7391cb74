package reconcile

import (
	"slices"
	"time"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// recordWriter writes the records of one job shard: pages of intents, which name every
// task that may be on a machine, and pages of completed tasks. Many tasks share a value and
// all changes of a pass share a transaction, so the number of writes follows the passes and
// not the tasks.
//
// Every write depends on the grant and on the version of the page that it replaces, so that
// at most one holder's pages can ever change, and a transaction that is applied late finds
// its condition broken by any later one.
type recordWriter struct {
	*Config
	shard           int
	intentPages     []*intentPage
	completionPages []*completionPage
	unassigned      []*attempt // not on a page yet
	nextFlushAt     time.Duration
	maxOperations   int                     // operations in a transaction; fewer after a refusal
	retired         bool                    // the shard is not held any more
	heldSince       uint64                  // View.HeldSince when the shard was taken up
	tracks          func(*jobProgress) bool // whether a job's progress is still kept
	schedulePass    func()
}

// Times of a record writer. Removals and completed tasks wait for company; new intents
// don't, but for the pause that the budget of writes asks for.
const (
	flushPause         = 40 * time.Millisecond
	completionDelay    = time.Second
	completionMaxDelay = 6 * time.Second // while all writes are needed for new tasks
	removalDelay       = 2 * time.Second
	namesCheckInterval = 2 * time.Second // between two looks for the pages that name a machine which drains

	maxOperationsPerWrite = 4
)

// newRecordWriter makes the writer of a shard, with the pages that the records have.
func newRecordWriter(config *Config, shard int) *recordWriter {
	w := &recordWriter{Config: config, shard: shard, maxOperations: maxOperationsPerWrite, heldSince: config.View.HeldSince(shard)}
	w.View.EachIntentPage(shard, func(number, entries int) {
		page := w.intentPageAt(number)
		if entries > 0 {
			page.dirtyAt = w.now() // until its machines are taken up nobody knows what of it is wanted
		}
	})
	w.View.EachCompletionPage(shard, func(number int) { w.completionPageAt(number) })
	return w
}

// loadCompleted puts a job's completed tasks on the pages that name them.
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

// pageCapacity is how many bytes a page holds.
func (w *recordWriter) pageCapacity() int { return w.Committer.ValueCapacity() }

// idle reports whether a page may be written: no write is under way, and the view shows
// the last.
func (w *recordWriter) idle(page *pageState) bool {
	return page.write.Ready(w.now(), w.Replica.Revision())
}

// markCompleted takes in that a task of a chunk is done.
func (w *recordWriter) markCompleted(progress *jobProgress, chunk int) {
	now := w.now()
	page := progress.completionPages[chunk]
	if page != nil && page.bytes > w.pageCapacity() && len(page.chunks) > 1 {
		page.move(completionChunk{progress, chunk}, now)
		page = nil
	}
	if page == nil {
		page = w.completionPageFor(completionChunk{progress, chunk}.size())
		page.add(progress, chunk)
	}
	page.touch(now)
}

// completionPageFor is the first page with room for so many bytes, or an empty one.
func (w *recordWriter) completionPageFor(bytes int) *completionPage {
	for number := 0; ; number++ {
		page := w.completionPageAt(number)
		if page.bytes+bytes <= w.pageCapacity() || len(page.chunks) == 0 {
			return page
		}
	}
}

// mayStillName reports whether a write whose outcome is not known names a machine.
func (w *recordWriter) mayStillName(a *agent) bool {
	return slices.ContainsFunc(w.intentPages, func(page *intentPage) bool { return page.possiblyNamed[a] })
}

// markPagesNaming sees to it that pages which still name a machine that drains, and on
// which nothing is left, are written soon. What ended there before the drain began left its
// name to be removed at leisure, which may be never while all writes are needed for new
// tasks.
func (w *recordWriter) markPagesNaming(a *agent) {
	now := w.now()
	if len(a.attempts) > 0 || len(a.machine.Intents) == 0 || now < a.namesCheckedAt+namesCheckInterval {
		return
	}
	a.namesCheckedAt = now
	for _, number := range w.View.IntentPagesNaming(w.shard, a.machine) {
		w.intentPageAt(number).dirty = true
	}
}

// resolveNamed forgets what writes may have named once the view shows how they ended.
func (w *recordWriter) resolveNamed(page *intentPage) {
	if len(page.possiblyNamed) == 0 || page.write.InFlight() || w.Replica.Revision() < page.write.Revision() {
		return
	}
	if w.View.IntentPageVersion(page.id) != page.writtenOver {
		page.outcomeUnknown = false
	}
	if !page.outcomeUnknown {
		clear(page.possiblyNamed)
	}
}

// flushSoon writes what is due outside of a pass.
func (w *recordWriter) flushSoon() {
	if !w.retired && !w.Generation.Ended() && w.Leases.MayActFor(w.shard) {
		w.flush()
	}
}

// flush writes what is due.
func (w *recordWriter) flush() {
	now := w.now()
	if now < w.nextFlushAt {
		return
	}
	for _, page := range w.intentPages {
		w.resolveNamed(page)
	}
	w.shrinkOversized(now)
	w.assign()
	budget := &w.Committer.Budget
	budget.Fill(now)
	if budget.Level() < min(1, budget.Rate()) {
		return // nothing can be written, so nothing is encoded
	}
	batch := w.dueWrites(now)
	operations := len(batch.transaction.Operations)
	if operations == 0 || !budget.Take(now, operations) {
		return
	}
	w.nextFlushAt = now + flushPause
	w.beginWrites(batch)
	w.Committer.Commit(batch.transaction, func(revision uint64, err error) { w.onWritten(batch, revision, err) })
}

// beginWrites notes what is being written with a batch.
func (w *recordWriter) beginWrites(batch *pageBatch) {
	for _, page := range batch.intentPages {
		page.writtenOver = w.View.IntentPageVersion(page.id)
		page.newAttempts, page.newAttemptsSent = 0, page.newAttempts
		for a := range page.attempts {
			page.possiblyNamed[a.agent] = true
		}
	}
	for _, state := range batch.states() {
		state.write.Begin()
		state.dirty, state.dirtyAt = false, 0
	}
}

// intentPageOperation is the change that makes a page of intents say what it should. An
// empty page stays: once it were removed, its version would be 0 again, and a late
// transaction that made it first could bring its contents back.
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

// completionPageOperation is the same for a page of completed tasks; needed is false where
// there is neither a page nor a need of one.
func (w *recordWriter) completionPageOperation(page *completionPage) (operation protocol.Operation, needed bool) {
	const chunkBytes = storage.TasksPerChunk / 8
	record := storage.CompletionPage{}
	w.dropEndedJobs(page)
	for c := range page.chunks {
		completed := c.progress.completed
		part := completed[min(len(completed), c.chunk*chunkBytes):]
		record[storage.CompletionChunkName(c.progress.job.ID, c.chunk)] = part[:min(len(part), chunkBytes)]
	}
	if len(record) == 0 && w.View.CompletionPageVersion(page.id) == 0 {
		page.dirtyAt = 0
		return operation, false
	}
	return protocol.Operation{Put: storage.CompletionPageKey(page.id), Value: storage.Encode(record)}, true
}
