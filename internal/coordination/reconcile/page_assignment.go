package reconcile

import (
	"cmp"
	"slices"

	"rockrun/internal/coordination/placement"
)

const (
	// pageSlack is the number of pages for each page that the entries would fill, and
	// minPages is the minimum number of pages.
	pageSlack = 3
	minPages  = 4
	// maxNewPages limits the pages that one flush adds.
	maxNewPages = 4
)

// assignPages puts new attempts on the emptiest pages that can be written now, so that the
// same writes also remove ended attempts from the records.
//
// A write costs the same however much of the page is new. If the pages were full, each
// write would replace only the few entries that have just ended on that page, and with few
// writes available, new tasks would wait for their intents while machines are idle. There
// are therefore several times as many pages as the entries need, and a page that is more
// than a quarter full gets no new attempts, so that it can empty.
func (w *recordWriter) assignPages() {
	w.unassigned = slices.DeleteFunc(w.unassigned, func(a *attempt) bool { return !a.live() || a.page != nil })
	if len(w.unassigned) == 0 {
		return
	}
	candidates := w.assignablePages()
	desired := w.desiredPages()
	newPages := 0
	for _, attempt := range w.unassigned {
		attempt.measureEntry()
		for len(candidates) > 0 && !w.hasRoomFor(candidates[0], attempt) {
			candidates = candidates[1:]
		}
		if len(candidates) > 0 && !candidates[0].urgent && candidates[0].bytes > w.pageCapacity()/4 && newPages == 0 && len(w.intentPages) < desired {
			candidates = nil
		}
		if len(candidates) == 0 {
			if newPages >= maxNewPages {
				break
			}
			newPages++
			candidates = append(candidates, w.intentPageAt(len(w.intentPages)))
		}
		page := candidates[0]
		page.add(attempt)
		if !attempt.durable() { // an attempt that moves from another page is already recorded
			page.newAttempts++
		}
		page.urgent = true
	}
	w.unassigned = slices.DeleteFunc(w.unassigned, func(a *attempt) bool { return a.page != nil })
}

// assignablePages lists the pages that can be written now: pages with the most new attempts
// first, then urgent pages, then the smallest pages.
func (w *recordWriter) assignablePages() []*intentPage {
	var free []*intentPage
	for _, page := range w.intentPages {
		if w.writeReady(&page.pageState) && w.intentPageWritable(page) {
			free = append(free, page)
		}
	}
	slices.SortStableFunc(free, func(a, b *intentPage) int {
		return cmp.Or(
			cmp.Compare(b.newAttempts, a.newAttempts),
			placement.CompareBool(b.urgent, a.urgent),
			cmp.Compare(a.bytes, b.bytes),
		)
	})
	return free
}

// desiredPages is the number of intent pages for the current entries, including slack.
func (w *recordWriter) desiredPages() int {
	bytes := 0
	for _, page := range w.intentPages {
		bytes += page.bytes
	}
	return minPages + pageSlack*(bytes/w.pageCapacity()+1)
}

// hasRoomFor reports whether a page has room for an attempt. An empty page accepts any attempt.
func (w *recordWriter) hasRoomFor(page *intentPage, a *attempt) bool {
	return page.bytes+page.entryBytes(a) <= w.pageCapacity() || len(page.attempts) == 0
}
