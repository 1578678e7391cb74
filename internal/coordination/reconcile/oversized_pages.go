package reconcile

import (
	"cmp"
	"slices"
	"time"
)

// The state service's limits can become lower while larger values lie there, written
// by a version that knew nothing of it. Such a page stays readable and can't be
// written. What must change on it moves to other pages, and it is written again once
// what is left of it fits and the records name elsewhere all that has moved: at no
// time does the state service hold no page that names a task that may be running, or
// one that has completed.

// oversized reports whether what a page should say is too large to be written.
func (d *recordWriter) oversized(p *intentPage) bool { return p.bytes > d.pageCapacity() }

// writable reports whether a page of intents may be written, and take new attempts.
func (d *recordWriter) intentPageWritable(p *intentPage) bool {
	p.moved = slices.DeleteFunc(p.moved, (*attempt).recordedElsewhere)
	return !d.oversized(p) && len(p.moved) == 0
}

// namedElsewhere reports whether the page that an attempt is not on any more need not
// name it: the records name it on another one, or it is over.
func (a *attempt) recordedElsewhere() bool {
	if a.agent.attempts[a.ref()] != a {
		return true
	}
	intent := a.agent.machine.Intents[a.ref()]
	return a.page != nil && intent.Attempt == a.number && intent.Page == a.page.id.Page
}

// shrinkOversized moves attempts from a page that is too large and due to be written:
// machines that drain wait for the names that it still holds. One page at a time is
// enough, since new tasks need the writes too.
func (d *recordWriter) shrinkOversized(now time.Duration) {
	if slices.ContainsFunc(d.intentPages, func(p *intentPage) bool { return len(p.moved) > 0 }) {
		return
	}
	for _, p := range d.intentPages {
		if d.oversized(p) && d.intentPageDue(p, now) {
			d.shrink(p)
			return
		}
	}
}

// shrink moves attempts off a page until the rest fits.
func (d *recordWriter) shrink(p *intentPage) {
	list := make([]*attempt, 0, len(p.attempts))
	for a := range p.attempts {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.job.Index, b.job.Index), cmp.Compare(a.task, b.task), cmp.Compare(a.number, b.number))
	})
	for _, a := range list {
		if !d.oversized(p) {
			break
		}
		p.remove(a)
		a.page = nil
		p.moved = append(p.moved, a)
		d.unassigned = append(d.unassigned, a)
	}
	d.reconciler.Log.Info("page of intents over the limit", "shard", d.shard, "page", p.id.Page, "moved", len(p.moved), "left", len(p.attempts))
}

// move takes a chunk off a page that is too large.
func (p *completionPage) move(c completionChunk, now time.Duration) {
	p.remove(c)
	delete(c.progress.completionPages, c.chunk)
	p.moved = append(p.moved, c)
	if p.dirtyAt == 0 {
		p.dirtyAt = now
	}
}

// writableDone reports whether a page of completed tasks may be written.
func (d *recordWriter) completionPageWritable(p *completionPage) bool {
	d.dropEndedJobs(p)
	p.moved = slices.DeleteFunc(p.moved, func(c completionChunk) bool {
		page := c.progress.completionPages[c.chunk]
		return d.chunkObsolete(c) || page != nil && c.progress.job.CompletionPages[c.chunk] == page.id.Page
	})
	return p.bytes <= d.pageCapacity() && len(p.moved) == 0
}

// forgotten reports whether nobody needs to know any more which tasks of a chunk are
// done.
func (d *recordWriter) chunkObsolete(c completionChunk) bool {
	return c.progress.job.Ended() || d.reconciler.jobs[c.progress.job] != c.progress
}

// forgetOver takes the chunks of jobs that are over off a page.
func (d *recordWriter) dropEndedJobs(p *completionPage) {
	for c := range p.chunks {
		if d.chunkObsolete(c) {
			p.remove(c)
		}
	}
}

func (p *completionPage) remove(c completionChunk) {
	if p.chunks[c] {
		delete(p.chunks, c)
		p.bytes -= c.size()
	}
}

// oversizedValues counts the values of a home that are over the limit.
func (d *recordWriter) oversizedValues() int {
	count := 0
	for _, p := range d.intentPages {
		if d.oversized(p) {
			count++
		}
	}
	for _, p := range d.completionPages {
		if p.bytes > d.pageCapacity() {
			count++
		}
	}
	return count
}
