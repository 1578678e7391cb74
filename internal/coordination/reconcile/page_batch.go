package reconcile

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"rockrun/internal/coordination/kv"
	"rockrun/internal/protocol"
)

// pageBatch is a transaction and the pages that it writes.
type pageBatch struct {
	transaction     protocol.Transaction
	intentPages     []*intentPage
	completionPages []*completionPage
}

func (b *pageBatch) states() []*pageState {
	var states []*pageState
	for _, page := range b.intentPages {
		states = append(states, &page.pageState)
	}
	for _, page := range b.completionPages {
		states = append(states, &page.pageState)
	}
	return states
}

// add adds the write of one page, conditional on the page's version, to the transaction.
func (b *pageBatch) add(version uint64, operation protocol.Operation) {
	b.transaction.Preconditions = append(b.transaction.Preconditions, protocol.Precondition{Key: operation.Put, Version: version})
	b.transaction.Operations = append(b.transaction.Operations, operation)
}

// dueWrites collects the pages that are due, completion pages first. The batch never exceeds
// the write budget that is available now: a batch that waited for several writes at once
// would starve beside other writers that use one or two as soon as they are available.
func (w *recordWriter) dueWrites(now time.Duration) *pageBatch {
	batch := &pageBatch{}
	batch.transaction.Preconditions = []protocol.Precondition{w.View.GrantPrecondition(w.shard)}
	maxOperations := min(w.Committer.Limits().Operations, w.maxOperations, max(1, int(w.Committer.Budget.Level())))
	for _, page := range w.completionPages {
		if page.pendingSince == 0 && w.View.HasStaleCompletions(page.id) {
			page.markPending(now)
		}
		full := len(batch.transaction.Operations) >= maxOperations
		if full || !w.writeReady(&page.pageState) || !w.completionPageDue(page, now) || !w.completionPageWritable(page) {
			continue
		}
		if operation, needed := w.completionPageOperation(page); needed {
			batch.completionPages = append(batch.completionPages, page)
			batch.add(w.View.CompletionPageVersion(page.id), operation)
		}
	}
	due := w.dueIntentPages(now)
	for _, page := range due[:min(len(due), max(maxOperations-len(batch.transaction.Operations), 0))] {
		batch.intentPages = append(batch.intentPages, page)
		batch.add(w.View.IntentPageVersion(page.id), w.intentPageOperation(page))
	}
	return batch
}

// completionPageDue reports whether a completion page is to be written now. Until the page
// is written, the completed tasks stay on their agents' lists, where the next holder finds
// them, and an ended job needs no completion pages. Completion pages are therefore delayed
// longer while few writes are available: when each page was written every second, completion
// pages used as many writes as new tasks.
func (w *recordWriter) completionPageDue(page *completionPage, now time.Duration) bool {
	if page.pendingSince == 0 {
		return false
	}
	age := now - page.pendingSince
	return age > maxCompletionDelay || age > completionDelay && w.hasSpareWrites()
}

// hasSpareWrites reports whether more writes are available than new tasks need.
func (w *recordWriter) hasSpareWrites() bool {
	budget := &w.Committer.Budget
	return budget.Level() > budget.Rate()/2
}

// dueIntentPages lists the intent pages that are due, pages with the most new attempts first.
// Every drained machine also makes a page due; if the pages were written in page order, a
// few dozen drained machines would delay new tasks for seconds while machines are idle.
func (w *recordWriter) dueIntentPages(now time.Duration) []*intentPage {
	var due []*intentPage
	for _, page := range w.intentPages {
		if w.intentPageDue(page, now) && w.intentPageWritable(page) {
			due = append(due, page)
		}
	}
	slices.SortStableFunc(due, func(a, b *intentPage) int { return cmp.Compare(b.newAttempts, a.newAttempts) })
	return due
}

// intentPageDue reports whether an intent page is to be written now.
func (w *recordWriter) intentPageDue(page *intentPage, now time.Duration) bool {
	overdue := page.pendingSince > 0 && w.hasSpareWrites() && now-page.pendingSince > removalDelay
	return w.writeReady(&page.pageState) && (page.urgent || overdue) &&
		(len(page.attempts) > 0 || w.View.IntentPageVersion(page.id) != 0)
}

// onWritten handles the result of a write.
func (w *recordWriter) onWritten(batch *pageBatch, revision uint64, err error) {
	if w.retired || w.Generation.Ended() {
		return
	}
	if err == nil {
		w.onBatchApplied(batch, revision)
	} else {
		w.onBatchFailed(batch, err)
	}
	w.schedulePass()
	// A pass over a large fleet takes long, so due pages do not wait for the next pass.
	w.Generation.AfterIfActive(flushInterval, w.flushIfHeld)
}

func (w *recordWriter) onBatchApplied(batch *pageBatch, revision uint64) {
	for _, state := range batch.states() {
		state.write.Written(revision)
	}
	w.maxOperations = min(w.maxOperations+1, maxOperationsPerWrite)
}

// onBatchFailed schedules the pages to be written again, in smaller transactions: when the
// controllers together request more writes than the store allows, small transactions succeed
// and large transactions starve.
func (w *recordWriter) onBatchFailed(batch *pageBatch, err error) {
	w.Log.Debug("page write failed", "shard", w.shard, "err", err)
	now := w.now()
	for _, state := range batch.states() {
		state.write.FinishAndDelayUntil(now + w.Generation.Jitter(kv.RetryDelay/2))
		state.urgent, state.pendingSince = true, max(1, now-removalDelay)
	}
	w.maxOperations = max(1, w.maxOperations/2)
	for _, page := range batch.intentPages {
		page.newAttempts += page.newAttemptsInFlight
		page.outcomeUnknown = page.outcomeUnknown || errors.Is(err, protocol.ErrOutcomeUnknown)
	}
}
