package reconcile

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"rockrun/internal/coordination/kv"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// batch is a transaction with the pages that it writes.
type pageBatch struct {
	transaction     protocol.Transaction
	intentPages     []*intentPage
	completionPages []*completionPage
}

func (b *pageBatch) states() []*pageState {
	var states []*pageState
	for _, p := range b.intentPages {
		states = append(states, &p.pageState)
	}
	for _, p := range b.completionPages {
		states = append(states, &p.pageState)
	}
	return states
}

// add puts one changed page into the transaction.
func (b *pageBatch) add(key string, version uint64, op protocol.Operation) {
	b.transaction.Conditions = append(b.transaction.Conditions, protocol.Condition{Key: key, Version: version})
	b.transaction.Operations = append(b.transaction.Operations, op)
}

// dueWrites collects the pages that are to be written now: completed tasks first.
// There are never more than there are writes for: waiting for a few at once, this
// would starve beside others that take one or two as they come.
func (d *recordWriter) dueWrites(now time.Duration) *pageBatch {
	h := d.reconciler
	b := &pageBatch{}
	b.transaction.Conditions = []protocol.Condition{{Key: storage.GrantKey(d.shard), Version: h.View.Grants[d.shard].Version}}
	most := min(h.Committer.Limits().Operations, d.maxOperations, max(1, int(h.Committer.Budget.Level())))
	for _, p := range d.completionPages {
		if p.dirtyAt == 0 && h.View.HasStaleCompletions(p.id) {
			p.dirtyAt = now
		}
		if len(b.transaction.Operations) >= most || !p.idle(h) || !d.completionPageDue(p, now) || !d.completionPageWritable(p) {
			continue
		}
		if op, any := d.completionPageOperation(p); any {
			b.completionPages = append(b.completionPages, p)
			b.add(storage.CompletionPageKey(p.id), h.View.CompletionPageVersion(p.id), op)
		}
	}
	due := d.duePages(now)
	for _, p := range due[:min(len(due), max(most-len(b.transaction.Operations), 0))] {
		b.intentPages = append(b.intentPages, p)
		b.add(storage.IntentPageKey(p.id), h.View.IntentPageVersion(p.id), d.intentPageOperation(p))
	}
	return b
}

// doneDue reports whether a page of completed tasks is to be written now. They stay on
// their machines' lists until it is, where the next holder finds them, and a job that
// is over needs no page of them: so while writes are short these wait longer. Where
// each page was written every second, they took as many writes as new tasks did.
func (d *recordWriter) completionPageDue(p *completionPage, now time.Duration) bool {
	if p.dirtyAt == 0 {
		return false
	}
	waited := now - p.dirtyAt
	return waited > completionMaxDelay || waited > completionDelay && d.spareWrites()
}

// spareWrites reports whether there are writes beyond those that new tasks need.
func (d *recordWriter) spareWrites() bool {
	budget := &d.reconciler.Committer.Budget
	return budget.Level() > budget.Rate()/2
}

// duePages lists the pages of intents that are to be written, those with most new
// tasks first. Every drained machine makes a page due as well; written in turn, a few
// dozen of those would keep new tasks waiting for seconds while machines stand idle.
func (d *recordWriter) duePages(now time.Duration) []*intentPage {
	var due []*intentPage
	for _, p := range d.intentPages {
		if d.intentPageDue(p, now) && d.intentPageWritable(p) {
			due = append(due, p)
		}
	}
	slices.SortStableFunc(due, func(a, b *intentPage) int { return cmp.Compare(b.newAttempts, a.newAttempts) })
	return due
}

// due reports whether a page of intents is to be written now.
func (d *recordWriter) intentPageDue(p *intentPage, now time.Duration) bool {
	h := d.reconciler
	stale := p.dirtyAt > 0 && d.spareWrites() && now-p.dirtyAt > removalDelay
	return p.idle(h) && (p.dirty || stale) && (len(p.attempts) > 0 || h.View.IntentPageVersion(p.id) != 0)
}

// written takes in how a write ended.
func (d *recordWriter) onWritten(b *pageBatch, revision uint64, err error) {
	h := d.reconciler
	if h.Generation.Ended() || h.writers[d.shard] != d {
		return
	}
	for _, s := range b.states() {
		s.writeInFlight = false
		if err == nil {
			s.writtenRevision = revision
		} else {
			s.dirty, s.dirtyAt, s.retryAt = true, max(1, h.now()-removalDelay), h.now()+h.Generation.Jitter(kv.RetryPause/2)
		}
	}
	if err == nil {
		d.maxOperations = min(d.maxOperations+1, maxOperationsPerWrite)
	} else {
		h.Log.Debug("pages not written", "shard", d.shard, "err", err)
		// Where all controllers together ask for more writes than there are, small
		// transactions get through and large ones starve.
		d.maxOperations = max(1, d.maxOperations/2)
		for _, p := range b.intentPages {
			p.newAttempts += p.newAttemptsSent
			p.outcomeUnknown = p.outcomeUnknown || errors.Is(err, protocol.ErrOutcomeUnknown)
		}
	}
	h.SchedulePass()
	// A pass over a large fleet takes long, and what is to be written need not wait
	// for the next.
	h.Generation.Later(flushPause, d.flushSoon)
}

// flushSoon writes what is due outside of a pass.
func (d *recordWriter) flushSoon() {
	if d.reconciler.writers[d.shard] == d && !d.reconciler.Generation.Ended() && d.reconciler.Leases.MayActFor(d.shard) {
		d.flush()
	}
}
