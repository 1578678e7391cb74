package reconcile

import (
	"cmp"
	"slices"
	"time"
)

// The key-value store's limits can become lower while larger values lie there, written by
// a version that knew nothing of it. Such a page stays readable and can't be written. What
// must change on it moves to other pages, and it is written again once what is left of it
// fits and the records name elsewhere all that has moved: at no time does the store hold no
// page that names a task that may be running, or one that has completed.

// oversized reports whether what a page should say is too large to be written.
func (w *recordWriter) oversized(page *pageState) bool { return page.bytes > w.pageCapacity() }

// intentPageWritable reports whether a page of intents may be written, and take new
// attempts.
func (w *recordWriter) intentPageWritable(page *intentPage) bool {
	page.moved = slices.DeleteFunc(page.moved, (*attempt).recordedElsewhere)
	return !w.oversized(&page.pageState) && len(page.moved) == 0
}

// recordedElsewhere reports whether the page that an attempt is not on any more need not
// name it: the records name it on another one, or it is over.
func (a *attempt) recordedElsewhere() bool {
	ref := a.ref()
	if a.agent.attempts[ref] != a {
		return true
	}
	intent := a.agent.machine.Intents[ref]
	return a.page != nil && intent.Attempt == a.number && intent.Page == a.page.id.Page
}

// shrinkOversized moves attempts from a page that is too large and due to be written:
// machines that drain wait for the names that it still holds. One page at a time is
// enough, since new tasks need the writes too.
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

// shrink moves attempts off a page until the rest fits.
func (w *recordWriter) shrink(page *intentPage) {
	list := make([]*attempt, 0, len(page.attempts))
	for a := range page.attempts {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.job.Index, b.job.Index), cmp.Compare(a.task, b.task), cmp.Compare(a.number, b.number))
	})
	for _, a := range list {
		if !w.oversized(&page.pageState) {
			break
		}
		page.remove(a)
		a.page = nil
		page.moved = append(page.moved, a)
		w.unassigned = append(w.unassigned, a)
	}
	w.Log.Info("page of intents over the limit", "shard", w.shard, "page", page.id.Page, "moved", len(page.moved), "left", len(page.attempts))
}

// completionPageWritable reports whether a page of completed tasks may be written.
func (w *recordWriter) completionPageWritable(page *completionPage) bool {
	w.dropEndedJobs(page)
	page.moved = slices.DeleteFunc(page.moved, func(c completionChunk) bool {
		present := c.progress.completionPages[c.chunk]
		return w.obsolete(c) || present != nil && c.progress.job.CompletionPages[c.chunk] == present.id.Page
	})
	return !w.oversized(&page.pageState) && len(page.moved) == 0
}

// obsolete reports whether nobody needs to know any more which tasks of a chunk are done.
func (w *recordWriter) obsolete(c completionChunk) bool {
	return c.progress.job.Ended() || !w.tracks(c.progress)
}

// dropEndedJobs takes the chunks of jobs that are over off a page.
func (w *recordWriter) dropEndedJobs(page *completionPage) {
	for c := range page.chunks {
		if w.obsolete(c) {
			page.remove(c)
		}
	}
}

// oversizedValues counts the values of the shard that are over the limit.
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
