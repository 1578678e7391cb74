package reconcile

import (
	"cmp"
	"slices"

	"rockrun/internal/coordination/placement"
)

const (
	// pageSlack is how many pages there are for each that the entries would fill, and
	// minPages how many there are at least.
	pageSlack = 3
	minPages  = 4
	// maxNewPages bounds the pages that one flush adds.
	maxNewPages = 4
)

// assign puts new attempts on the emptiest pages that can be written now, so that what has
// ended leaves the records with the same writes.
//
// A write costs the same however much of a page is new. Among full pages each would carry
// the few entries that have just ended there, and where writes are few, new tasks would
// wait for theirs while machines stand idle: so there are several times the pages that the
// entries need, and one that is more than a quarter full is left to empty.
func (w *recordWriter) assign() {
	w.unassigned = slices.DeleteFunc(w.unassigned, func(a *attempt) bool { return !a.live() || a.page != nil })
	if len(w.unassigned) == 0 {
		return
	}
	free := w.assignablePages()
	enough := w.pagesEnough()
	added := 0
	for _, attempt := range w.unassigned {
		attempt.measureEntry()
		for len(free) > 0 && !w.takes(free[0], attempt) {
			free = free[1:]
		}
		if len(free) > 0 && !free[0].dirty && free[0].bytes > w.pageCapacity()/4 && added == 0 && len(w.intentPages) < enough {
			free = nil
		}
		if len(free) == 0 {
			if added >= maxNewPages {
				break
			}
			added++
			free = append(free, w.intentPageAt(len(w.intentPages)))
		}
		page := free[0]
		page.add(attempt)
		if !attempt.durable() { // one that moves from another page waits for nothing
			page.newAttempts++
		}
		page.dirty = true
	}
	w.unassigned = slices.DeleteFunc(w.unassigned, func(a *attempt) bool { return a.page != nil })
}

// assignablePages lists the pages that can be written now, those first that are to be
// written soonest, or anyway.
func (w *recordWriter) assignablePages() []*intentPage {
	var free []*intentPage
	for _, page := range w.intentPages {
		if w.idle(&page.pageState) && w.intentPageWritable(page) {
			free = append(free, page)
		}
	}
	slices.SortStableFunc(free, func(a, b *intentPage) int {
		return cmp.Or(
			cmp.Compare(b.newAttempts, a.newAttempts),
			placement.CompareBool(b.dirty, a.dirty),
			cmp.Compare(a.bytes, b.bytes),
		)
	})
	return free
}

// pagesEnough is how many pages of intents the entries need, with slack.
func (w *recordWriter) pagesEnough() int {
	bytes := 0
	for _, page := range w.intentPages {
		bytes += page.bytes
	}
	return minPages + pageSlack*(bytes/w.pageCapacity()+1)
}

// takes reports whether a page has room for an attempt; an empty one takes any.
func (w *recordWriter) takes(page *intentPage, a *attempt) bool {
	return page.bytes+page.entryWeight(a) <= w.pageCapacity() || len(page.attempts) == 0
}
