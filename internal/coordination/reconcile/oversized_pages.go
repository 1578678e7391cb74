package reconcile

import (
	"cmp"
	"slices"
	"time"
)

// The limits of the key-value store can be lowered while the store contains larger values,
// written by a version that did not know the lower limits. Such an oversized page can be
// read but not written. When an oversized page has to change, entries move to other pages.
// The oversized page is written again once its remaining entries fit and the records contain
// all moved entries on other pages. The store thus contains, at all times, a page that names
// each task that may be running and a page that records each completed task.

// oversized reports whether the current entries of a page are too large to be written.
func (w *recordWriter) oversized(page *pageState) bool { return page.bytes > w.pageCapacity() }

// intentPageWritable reports whether an intent page may be written and get new attempts.
func (w *recordWriter) intentPageWritable(page *intentPage) bool {
	page.moved = slices.DeleteFunc(page.moved, (*attempt).recordedElsewhere)
	return !w.oversized(&page.pageState) && len(page.moved) == 0
}

// recordedElsewhere reports whether the page from which an attempt moved need not name the
// attempt any more: another page in the records names the attempt, or the attempt has ended.
func (a *attempt) recordedElsewhere() bool {
	ref := a.ref()
	if a.agent.attempts[ref] != a {
		return true
	}
	intent := a.agent.machine.Intents[ref]
	return a.page != nil && intent.Attempt == a.number && intent.Page == a.page.id.Page
}

// shrinkOversized moves attempts off an oversized page that is due, because draining machines
// wait until no page names them. It shrinks one page at a time, since new tasks need the
// writes too.
func (w *recordWriter) shrinkOversized(now time.Duration) {
	if slices.ContainsFunc(w.intentPages, func(page *intentPage) bool { return len(page.moved) > 0 }) {
		return
	}
	for _, page := range w.intentPages {
		if w.oversized(&page.pageState) && w.intentPageDue(page, now) {
			w.shrink(page)
			return
		}
	}
}

// shrink moves attempts off a page until the remaining attempts fit.
func (w *recordWriter) shrink(page *intentPage) {
	attempts := make([]*attempt, 0, len(page.attempts))
	for a := range page.attempts {
		attempts = append(attempts, a)
	}
	slices.SortFunc(attempts, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.job.Index, b.job.Index), cmp.Compare(a.task, b.task), cmp.Compare(a.number, b.number))
	})
	for _, a := range attempts {
		if !w.oversized(&page.pageState) {
			break
		}
		page.remove(a)
		a.page = nil
		page.moved = append(page.moved, a)
		w.unassigned = append(w.unassigned, a)
	}
	w.Log.Info("oversized intent page shrunk", "shard", w.shard, "page", page.id.Page, "moved", len(page.moved), "left", len(page.attempts))
}

// completionPageWritable reports whether a completion page may be written.
func (w *recordWriter) completionPageWritable(page *completionPage) bool {
	w.removeObsoleteChunks(page)
	page.moved = slices.DeleteFunc(page.moved, func(c completionChunk) bool {
		current := c.progress.completionPages[c.chunk]
		return w.obsolete(c) || current != nil && c.progress.job.CompletionPages[c.chunk] == current.id.Page
	})
	return !w.oversized(&page.pageState) && len(page.moved) == 0
}

// obsolete reports whether the completed tasks of a chunk need no record any more.
func (w *recordWriter) obsolete(c completionChunk) bool {
	return c.progress.job.Ended() || !w.tracks(c.progress)
}

// removeObsoleteChunks removes from a page the chunks of jobs that have ended or are no longer
// tracked.
func (w *recordWriter) removeObsoleteChunks(page *completionPage) {
	for c := range page.chunks {
		if w.obsolete(c) {
			page.remove(c)
		}
	}
}

// oversizedValues counts the pages of the shard that are over the size limit.
func (w *recordWriter) oversizedValues() int {
	count := 0
	for _, page := range w.intentPages {
		if w.oversized(&page.pageState) {
			count++
		}
	}
	for _, page := range w.completionPages {
		if w.oversized(&page.pageState) {
			count++
		}
	}
	return count
}
