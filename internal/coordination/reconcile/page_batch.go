package reconcile

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"rockrun/internal/coordination/kv"
	"rockrun/internal/protocol"
)

// pageBatch is a transaction with the pages that it writes.
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

// add puts one changed page into the transaction.
func (b *pageBatch) add(version uint64, operation protocol.Operation) {
	b.transaction.Conditions = append(b.transaction.Conditions, protocol.Condition{Key: operation.Put, Version: version})
	b.transaction.Operations = append(b.transaction.Operations, operation)
}

// dueWrites collects the pages that are to be written now: completed tasks first. There are
// never more than there are writes for: waiting for a few at once, this would starve beside
// others that take one or two as they come.
func (w *recordWriter) dueWrites(now time.Duration) *pageBatch {
	batch := &pageBatch{}
	batch.transaction.Conditions = []protocol.Condition{w.View.GrantCondition(w.shard)}
	most := min(w.Committer.Limits().Operations, w.maxOperations, max(1, int(w.Committer.Budget.Level())))
	for _, page := range w.completionPages {
		if page.dirtyAt == 0 && w.View.HasStaleCompletions(page.id) {
			page.touch(now)
		}
		full := len(batch.transaction.Operations) >= most
		if full || !w.idle(&page.pageState) || !w.completionPageDue(page, now) || !w.completionPageWritable(page) {
			continue
		}
		if operation, needed := w.completionPageOperation(page); needed {
			batch.completionPages = append(batch.completionPages, page)
			batch.add(w.View.CompletionPageVersion(page.id), operation)
		}
	}
	due := w.dueIntentPages(now)
	for _, page := range due[:min(len(due), max(most-len(batch.transaction.Operations), 0))] {
		batch.intentPages = append(batch.intentPages, page)
		batch.add(w.View.IntentPageVersion(page.id), w.intentPageOperation(page))
	}
	return batch
}

// completionPageDue reports whether a page of completed tasks is to be written now. They
// stay on their machines' lists until it is, where the next holder finds them, and a job
// that is over needs no page of them: so while writes are short these wait longer. Where
// each page was written every second, they took as many writes as new tasks did.
func (w *recordWriter) completionPageDue(page *completionPage, now time.Duration) bool {
	if page.dirtyAt == 0 {
		return false
	}
	waited := now - page.dirtyAt
	return waited > completionMaxDelay || waited > completionDelay && w.spareWrites()
}

// spareWrites reports whether there are writes beyond those that new tasks need.
func (w *recordWriter) spareWrites() bool {
	budget := &w.Committer.Budget
	return budget.Level() > budget.Rate()/2
}

// dueIntentPages lists the pages of intents that are to be written, those with most new
// tasks first. Every drained machine makes a page due as well; written in turn, a few dozen
// of those would keep new tasks waiting for seconds while machines stand idle.
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

// intentPageDue reports whether a page of intents is to be written now.
func (w *recordWriter) intentPageDue(page *intentPage, now time.Duration) bool {
	stale := page.dirtyAt > 0 && w.spareWrites() && now-page.dirtyAt > removalDelay
	return w.idle(&page.pageState) && (page.dirty || stale) &&
		(len(page.attempts) > 0 || w.View.IntentPageVersion(page.id) != 0)
}

// onWritten takes in how a write ended.
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
	// A pass over a large fleet takes long, and what is to be written need not wait for
	// the next.
	w.Generation.Later(flushPause, w.flushSoon)
}

func (w *recordWriter) onBatchApplied(batch *pageBatch, revision uint64) {
	for _, state := range batch.states() {
		state.write.Written(revision)
	}
	w.maxOperations = min(w.maxOperations+1, maxOperationsPerWrite)
}

// onBatchFailed has the pages written again. Where all controllers together ask for more
// writes than there are, small transactions get through and large ones starve.
func (w *recordWriter) onBatchFailed(batch *pageBatch, err error) {
	w.Log.Debug("pages not written", "shard", w.shard, "err", err)
	now := w.now()
	for _, state := range batch.states() {
		state.write.Done(now + w.Generation.Jitter(kv.RetryPause/2))
		state.dirty, state.dirtyAt = true, max(1, now-removalDelay)
	}
	w.maxOperations = max(1, w.maxOperations/2)
	for _, page := range batch.intentPages {
		page.newAttempts += page.newAttemptsSent
		page.outcomeUnknown = page.outcomeUnknown || errors.Is(err, protocol.ErrOutcomeUnknown)
	}
}
