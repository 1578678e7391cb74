package coordination

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"rockrun/internal/bookkeeping"
	"rockrun/internal/protocol"
)

// batch is a transaction with the pages that it writes.
type batch struct {
	txn   protocol.Txn
	pages []*intentPage
	done  []*donePage
}

func (b *batch) states() []*pageState {
	var states []*pageState
	for _, p := range b.pages {
		states = append(states, &p.pageState)
	}
	for _, p := range b.done {
		states = append(states, &p.pageState)
	}
	return states
}

// add puts one changed page into the transaction.
func (b *batch) add(key string, version uint64, op protocol.Op) {
	b.txn.If = append(b.txn.If, protocol.Cond{Key: key, Version: version})
	b.txn.Then = append(b.txn.Then, op)
}

// dueWrites collects the pages that are to be written now: completed tasks first.
// There are never more than there are writes for: waiting for a few at once, this
// would starve beside others that take one or two as they come.
func (d *recordWriter) dueWrites(now time.Duration) *batch {
	n := d.h.n
	b := &batch{}
	b.txn.If = []protocol.Cond{{Key: bookkeeping.GrantKey(d.shard), Version: n.cache.Grants[d.shard].Version}}
	most := min(n.limits.Changes, d.most, max(1, int(n.budget.level)))
	for _, p := range d.done {
		if p.dirtyAt == 0 && n.cache.StaleDone(p.id) {
			p.dirtyAt = now
		}
		if len(b.txn.Then) >= most || !p.idle(n) || !d.doneDue(p, now) || !d.writableDone(p) {
			continue
		}
		if op, any := d.completedTasks(p); any {
			b.done = append(b.done, p)
			b.add(bookkeeping.DoneKey(p.id), n.cache.DoneVersion(p.id), op)
		}
	}
	due := d.duePages(now)
	for _, p := range due[:min(len(due), max(most-len(b.txn.Then), 0))] {
		b.pages = append(b.pages, p)
		b.add(bookkeeping.IntentKey(p.id), n.cache.IntentVersion(p.id), d.intents(p))
	}
	return b
}

// doneDue reports whether a page of completed tasks is to be written now. They stay on
// their machines' lists until it is, where the next holder finds them, and a job that
// is over needs no page of them: so while writes are short these wait longer. Where
// each page was written every second, they took as many writes as new tasks did.
func (d *recordWriter) doneDue(p *donePage, now time.Duration) bool {
	if p.dirtyAt == 0 {
		return false
	}
	waited := now - p.dirtyAt
	return waited > doneLatest || waited > doneAfter && d.spareWrites()
}

// spareWrites reports whether there are writes beyond those that new tasks need.
func (d *recordWriter) spareWrites() bool {
	budget := &d.h.n.budget
	return budget.level > budget.rate/2
}

// duePages lists the pages of intents that are to be written, those with most new
// tasks first. Every drained machine makes a page due as well; written in turn, a few
// dozen of those would keep new tasks waiting for seconds while machines stand idle.
func (d *recordWriter) duePages(now time.Duration) []*intentPage {
	var due []*intentPage
	for _, p := range d.pages {
		if d.due(p, now) && d.writable(p) {
			due = append(due, p)
		}
	}
	slices.SortStableFunc(due, func(a, b *intentPage) int { return cmp.Compare(b.fresh, a.fresh) })
	return due
}

// due reports whether a page of intents is to be written now.
func (d *recordWriter) due(p *intentPage, now time.Duration) bool {
	n := d.h.n
	stale := p.dirtyAt > 0 && d.spareWrites() && now-p.dirtyAt > staleAfter
	return p.idle(n) && (p.dirty || stale) && (len(p.attempts) > 0 || n.cache.IntentVersion(p.id) != 0)
}

// written takes in how a write ended.
func (d *recordWriter) written(b *batch, revision uint64, err error) {
	h, n := d.h, d.h.n
	if n.hold != h || h.writers[d.shard] != d {
		return
	}
	for _, s := range b.states() {
		s.writing = false
		if err == nil {
			s.wroteAt = revision
		} else {
			s.dirty, s.dirtyAt, s.retryAt = true, max(1, n.now()-staleAfter), n.now()+n.jitter(retryPause/2)
		}
	}
	if err == nil {
		d.most = min(d.most+1, mostChanges)
	} else {
		n.Log.Debug("pages not written", "shard", d.shard, "err", err)
		// Where all controllers together ask for more writes than there are, small
		// transactions get through and large ones starve.
		d.most = max(1, d.most/2)
		for _, p := range b.pages {
			p.fresh += p.freshSent
			p.unknown = p.unknown || errors.Is(err, protocol.ErrUnknown)
		}
	}
	h.schedulePass()
	// A pass over a large fleet takes long, and what is to be written need not wait
	// for the next.
	n.later(flushPause, d.flushSoon)
}

// flushSoon writes what is due outside of a pass.
func (d *recordWriter) flushSoon() {
	if d.h.writers[d.shard] == d && d.h.n.hold == d.h && d.h.n.entitled(d.shard) {
		d.flush()
	}
}
