package reconcile

import (
	"cmp"
	"slices"
	"time"

	"rockrun/internal/coordination/placement"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// recordWriter writes the records of one home: pages of intents, which name every task
// that may be on a machine, and pages of completed tasks. Many tasks share a
// value and all changes of a pass share a transaction, so the number of writes follows
// the passes and not the tasks.
//
// Every write depends on the grant and on the version of the page that it
// replaces, so that at most one holder's pages can ever change, and a
// transaction that is applied late finds its condition broken by any later one.
type recordWriter struct {
	reconciler      *Reconciler
	shard           int
	intentPages     []*intentPage
	completionPages []*completionPage
	unassigned      []*attempt // not on a page yet
	nextFlushAt     time.Duration
	maxOperations   int // changes in a transaction; fewer after a refusal
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
	pageSlack             = 3 // pages for each that the entries would fill
)

// pageState is what pages of both kinds have in common.
type pageState struct {
	id              storage.PageID
	bytes           int
	dirty           bool
	dirtyAt         time.Duration // since when something may be removed or added at leisure; 0: nothing
	writeInFlight   bool
	writtenRevision uint64 // revision that must be in the cache before the next write
	retryAt         time.Duration
}

func (s *pageState) idle(h *Reconciler) bool {
	return !s.writeInFlight && h.Replica.Revision() >= s.writtenRevision && h.now() >= s.retryAt
}

// intentPage is a page of intents.
type intentPage struct {
	pageState
	attempts map[*attempt]bool
	jobs     map[*storage.Job]int // attempts by job
	// Machines that a write names whose outcome the cache does not show yet. A
	// write without an answer can be applied until the page has a new version.
	possiblyNamed  map[*agent]bool
	outcomeUnknown bool
	writtenOver    uint64
	// Attempts that no write has named yet, and those that the last one was the
	// first to name.
	newAttempts, newAttemptsSent int
	// Attempts that the page in the records names and that have gone to others, which
	// must name them before this one is written without them.
	moved []*attempt
}

// donePage is a page of completed tasks.
type completionPage struct {
	pageState
	chunks map[completionChunk]bool
	moved  []completionChunk // as of an intentPage
}

type completionChunk struct {
	progress *jobProgress
	chunk    int
}

func newRecordWriter(h *Reconciler, shard int) *recordWriter {
	d := &recordWriter{reconciler: h, shard: shard, maxOperations: maxOperationsPerWrite}
	h.View.EachIntentPage(shard, func(k, entries int) {
		p := d.intentPageAt(k)
		if entries > 0 {
			p.dirtyAt = h.now() // until its machines are taken up nobody knows what of it is wanted
		}
	})
	h.View.EachCompletionPage(shard, func(k int) { d.completionPageAt(k) })
	h.View.Jobs.All(func(_ int, j *storage.Job) {
		if j.Shard == shard && !j.Ended() {
			h.progress(j)
		}
	})
	// Jobs known before the record writer was there are read again, with their pages.
	for j, p := range h.jobs {
		if j.Shard == shard {
			d.loadCompleted(p)
		}
	}
	return d
}

// loadCompleted puts a job's completed tasks on the pages that name them.
func (d *recordWriter) loadCompleted(p *jobProgress) {
	for chunk, k := range p.job.CompletionPages {
		d.completionPageAt(k).add(p, chunk)
	}
}

func (d *recordWriter) intentPageAt(k int) *intentPage {
	for len(d.intentPages) <= k {
		id := storage.PageID{Shard: d.shard, Page: len(d.intentPages)}
		d.intentPages = append(d.intentPages, &intentPage{pageState: pageState{id: id}, attempts: map[*attempt]bool{}, jobs: map[*storage.Job]int{}, possiblyNamed: map[*agent]bool{}})
	}
	return d.intentPages[k]
}

func (d *recordWriter) completionPageAt(k int) *completionPage {
	for len(d.completionPages) <= k {
		id := storage.PageID{Shard: d.shard, Page: len(d.completionPages)}
		d.completionPages = append(d.completionPages, &completionPage{pageState: pageState{id: id}, chunks: map[completionChunk]bool{}})
	}
	return d.completionPages[k]
}

// weight is at least what an attempt takes of a page: its entry, and the name of
// its job where it is the first of that.
func (p *intentPage) entryWeight(a *attempt) int {
	w := len(a.agent.machine.Name) + a.entrySize
	if p.jobs[a.job] == 0 {
		w += len(a.job.ID) + 8 + a.progress.intentHeaderSize + 3
	}
	return w
}

func intentHeader(j *storage.Job) string {
	return storage.IntentHeader(j.Team, j.CPUs, j.GPUs, j.MemoryGB)
}

func (p *intentPage) add(a *attempt) {
	if a.page != nil {
		return
	}
	a.entrySize = len(storage.IntentEntry(a.task, "", a.number)) + 4
	p.bytes += p.entryWeight(a)
	p.jobs[a.job]++
	a.page = p
	p.attempts[a] = true
}

// remove takes an attempt off the page.
func (p *intentPage) remove(a *attempt) {
	delete(p.attempts, a)
	if p.jobs[a.job]--; p.jobs[a.job] == 0 {
		delete(p.jobs, a.job)
	}
	p.bytes -= p.entryWeight(a)
}

func (p *intentPage) drop(a *attempt, now time.Duration) {
	if !p.attempts[a] {
		return
	}
	p.remove(a)
	if p.dirtyAt == 0 {
		p.dirtyAt = now
	}
	if a.agent.machine.Phase == storage.PhaseDraining {
		p.dirty = true // the machine goes on only once no record names it
	}
}

// size is at least what a chunk takes of a page.
func (c completionChunk) size() int {
	tasks := min(c.progress.job.Tasks-c.chunk*storage.TasksPerChunk, storage.TasksPerChunk)
	return len(c.progress.job.ID) + 16 + (max(tasks, 1)/8+3)*4/3
}

func (p *completionPage) add(prog *jobProgress, chunk int) {
	if prog.completionPages[chunk] == nil {
		prog.completionPages[chunk] = p
		c := completionChunk{prog, chunk}
		p.chunks[c] = true
		p.bytes += c.size()
	}
}

// pageCapacity is how many bytes a page holds.
func (d *recordWriter) pageCapacity() int { return d.reconciler.Committer.ValueCapacity() }

// completed takes in that a task of a chunk is done.
func (d *recordWriter) markCompleted(p *jobProgress, chunk int, now time.Duration) {
	page := p.completionPages[chunk]
	if page != nil && page.bytes > d.pageCapacity() && len(page.chunks) > 1 {
		page.move(completionChunk{p, chunk}, now)
		page = nil
	}
	if page == nil {
		need := completionChunk{p, chunk}.size()
		for k := 0; page == nil; k++ {
			if q := d.completionPageAt(k); q.bytes+need <= d.pageCapacity() || len(q.chunks) == 0 {
				page = q
			}
		}
		page.add(p, chunk)
	}
	if page.dirtyAt == 0 {
		page.dirtyAt = now
	}
}

// mayName reports whether a write that is not settled names a machine.
func (d *recordWriter) mayStillName(x *agent) bool {
	return slices.ContainsFunc(d.intentPages, func(p *intentPage) bool { return p.possiblyNamed[x] })
}

// writeFor sees to it that pages which still name a machine that drains, and on which
// nothing is left, are written soon. What ended there before the drain began left its
// name to be removed at leisure, which may be never while all writes are needed for new
// tasks.
func (d *recordWriter) markPagesNaming(x *agent) {
	now := d.reconciler.now()
	if len(x.attempts) > 0 || len(x.machine.Intents) == 0 || now < x.namesCheckedAt+namesCheckInterval {
		return
	}
	x.namesCheckedAt = now
	for _, k := range d.reconciler.View.IntentPagesNaming(d.shard, x.machine) {
		d.intentPageAt(k).dirty = true
	}
}

// settle forgets what writes may have named once the cache shows how they ended.
func (d *recordWriter) resolveNamed(p *intentPage) {
	h := d.reconciler
	if len(p.possiblyNamed) == 0 || p.writeInFlight || h.Replica.Revision() < p.writtenRevision {
		return
	}
	if h.View.IntentPageVersion(p.id) != p.writtenOver {
		p.outcomeUnknown = false
	}
	if !p.outcomeUnknown {
		clear(p.possiblyNamed)
	}
}

// flush writes what is due.
func (d *recordWriter) flush() {
	h := d.reconciler
	now := h.now()
	if now < d.nextFlushAt {
		return
	}
	for _, p := range d.intentPages {
		d.resolveNamed(p)
	}
	d.shrinkOversized(now)
	d.assign()
	h.Committer.Budget.Fill(now)
	if h.Committer.Budget.Level() < min(1, h.Committer.Budget.Rate()) {
		return // nothing can be written, so nothing is encoded
	}
	b := d.dueWrites(now)
	if len(b.transaction.Operations) == 0 || !h.Committer.Budget.Take(now, len(b.transaction.Operations)) {
		return
	}
	d.nextFlushAt = now + flushPause
	for _, p := range b.intentPages {
		p.writtenOver = h.View.IntentPageVersion(p.id)
		p.newAttempts, p.newAttemptsSent = 0, p.newAttempts
		for a := range p.attempts {
			p.possiblyNamed[a.agent] = true
		}
	}
	for _, s := range b.states() {
		s.writeInFlight, s.dirty, s.dirtyAt = true, false, 0
	}
	h.Committer.Commit(b.transaction, func(revision uint64, err error) { d.onWritten(b, revision, err) })
}

// assign puts new attempts on the emptiest pages that can be written now, so
// that what has ended leaves the records with the same writes.
func (d *recordWriter) assign() {
	h := d.reconciler
	d.unassigned = slices.DeleteFunc(d.unassigned, func(a *attempt) bool { return !a.live() || a.page != nil })
	if len(d.unassigned) == 0 {
		return
	}
	var free []*intentPage
	for _, p := range d.intentPages {
		if p.idle(h) && d.intentPageWritable(p) {
			free = append(free, p)
		}
	}
	slices.SortStableFunc(free, func(a, b *intentPage) int {
		// One that is to be written soonest, or anyway, comes first.
		return cmp.Or(cmp.Compare(b.newAttempts, a.newAttempts), placement.CompareBool(b.dirty, a.dirty), cmp.Compare(a.bytes, b.bytes))
	})
	// A write costs the same however much of a page is new. Among full pages each
	// would carry the few entries that have just ended there, and where writes are
	// few, new tasks would wait for theirs while machines stand still: so there are
	// several times the pages that the entries need, and one that is more than a
	// quarter full is left to empty.
	bytes := 0
	for _, p := range d.intentPages {
		bytes += p.bytes
	}
	enough := 4 + pageSlack*(bytes/d.pageCapacity()+1)
	used := 0
	for _, a := range d.unassigned {
		a.entrySize = len(storage.IntentEntry(a.task, "", a.number)) + 4
		for len(free) > 0 && free[0].bytes+free[0].entryWeight(a) > d.pageCapacity() && len(free[0].attempts) > 0 {
			free = free[1:]
		}
		if len(free) > 0 && !free[0].dirty && free[0].bytes > d.pageCapacity()/4 && used == 0 && len(d.intentPages) < enough {
			free = nil
		}
		if len(free) == 0 {
			if used >= 4 {
				break
			}
			used++
			free = append(free, d.intentPageAt(len(d.intentPages)))
		}
		free[0].add(a)
		if !a.durable() { // one that moves from another page waits for nothing
			free[0].newAttempts++
		}
		free[0].dirty = true
	}
	d.unassigned = slices.DeleteFunc(d.unassigned, func(a *attempt) bool { return a.page != nil })
}

// intents is the change that makes a page of intents say what it should. An
// empty page stays: once it were removed, its version would be 0 again, and a
// late transaction that made it first could bring its contents back.
func (d *recordWriter) intentPageOperation(p *intentPage) protocol.Operation {
	key := storage.IntentPageKey(p.id)
	rec := storage.IntentPage{}
	for a := range p.attempts {
		rec[a.job.ID] = append(rec[a.job.ID], storage.IntentEntry(a.task, a.agent.machine.Name, a.number))
	}
	for j := range p.jobs {
		rec[j.ID] = append(rec[j.ID], intentHeader(j))
	}
	for _, entries := range rec {
		slices.Sort(entries)
	}
	return protocol.Operation{Put: key, Value: storage.Encode(rec)}
}

// completedTasks is the same for a page of completed tasks; any is false where
// there is neither a page nor a need of one.
func (d *recordWriter) completionPageOperation(p *completionPage) (op protocol.Operation, any bool) {
	key := storage.CompletionPageKey(p.id)
	rec := storage.CompletionPage{}
	d.dropEndedJobs(p)
	for c := range p.chunks {
		j := c.progress.job
		part := c.progress.completed[min(len(c.progress.completed), c.chunk*storage.TasksPerChunk/8):]
		rec[storage.CompletionChunkName(j.ID, c.chunk)] = part[:min(len(part), storage.TasksPerChunk/8)]
	}
	if len(rec) == 0 && d.reconciler.View.CompletionPageVersion(p.id) == 0 {
		p.dirtyAt = 0
		return op, false
	}
	return protocol.Operation{Put: key, Value: storage.Encode(rec)}, true
}
