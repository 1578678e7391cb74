package coordination

import (
	"cmp"
	"slices"
	"time"

	"rockrun/internal/bookkeeping"
	"rockrun/internal/protocol"
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
	h          *holder
	shard      int
	pages      []*intentPage
	done       []*donePage
	unassigned []*attempt // not on a page yet
	flushAt    time.Duration
	most       int // changes in a transaction; fewer after a refusal
}

// Times of a record writer. Removals and completed tasks wait for company; new intents
// don't, but for the pause that the budget of writes asks for.
const (
	flushPause = 40 * time.Millisecond
	doneAfter  = time.Second
	doneLatest = 6 * time.Second // while all writes are needed for new tasks
	staleAfter = 2 * time.Second
	namesEvery = 2 * time.Second // between two looks for the pages that name a machine which drains

	mostChanges = 4
	looseness   = 3 // pages for each that the entries would fill
)

// pageState is what pages of both kinds have in common.
type pageState struct {
	id      bookkeeping.PageID
	bytes   int
	dirty   bool
	dirtyAt time.Duration // since when something may be removed or added at leisure; 0: nothing
	writing bool
	wroteAt uint64 // revision that must be in the cache before the next write
	retryAt time.Duration
}

func (s *pageState) idle(n *Node) bool {
	return !s.writing && n.revision >= s.wroteAt && n.now() >= s.retryAt
}

// intentPage is a page of intents.
type intentPage struct {
	pageState
	attempts map[*attempt]bool
	jobs     map[*bookkeeping.Job]int // attempts by job
	// Machines that a write names whose outcome the cache does not show yet. A
	// write without an answer can be applied until the page has a new version.
	named   map[*holding]bool
	unknown bool
	cond    uint64
	// Attempts that no write has named yet, and those that the last one was the
	// first to name.
	fresh, freshSent int
	// Attempts that the page in the records names and that have gone to others, which
	// must name them before this one is written without them.
	moved []*attempt
}

// donePage is a page of completed tasks.
type donePage struct {
	pageState
	chunks map[doneChunk]bool
	moved  []doneChunk // as of an intentPage
}

type doneChunk struct {
	p     *progress
	chunk int
}

func newRecordWriter(h *holder, shard int) *recordWriter {
	d := &recordWriter{h: h, shard: shard, most: mostChanges}
	h.n.cache.IntentPages(shard, func(k, entries int) {
		p := d.intentPageAt(k)
		if entries > 0 {
			p.dirtyAt = h.n.now() // until its machines are taken up nobody knows what of it is wanted
		}
	})
	h.n.cache.DonePages(shard, func(k int) { d.donePageAt(k) })
	h.n.cache.Jobs.All(func(_ int, j *bookkeeping.Job) {
		if j.Home == shard && !j.Over() {
			h.progress(j)
		}
	})
	// Jobs known before the record writer was there are read again, with their pages.
	for j, p := range h.jobs {
		if j.Home == shard {
			d.loadCompleted(p)
		}
	}
	return d
}

// loadCompleted puts a job's completed tasks on the pages that name them.
func (d *recordWriter) loadCompleted(p *progress) {
	for chunk, k := range p.job.DonePage {
		d.donePageAt(k).put(p, chunk)
	}
}

func (d *recordWriter) intentPageAt(k int) *intentPage {
	for len(d.pages) <= k {
		id := bookkeeping.PageID{Shard: d.shard, Page: len(d.pages)}
		d.pages = append(d.pages, &intentPage{pageState: pageState{id: id}, attempts: map[*attempt]bool{}, jobs: map[*bookkeeping.Job]int{}, named: map[*holding]bool{}})
	}
	return d.pages[k]
}

func (d *recordWriter) donePageAt(k int) *donePage {
	for len(d.done) <= k {
		id := bookkeeping.PageID{Shard: d.shard, Page: len(d.done)}
		d.done = append(d.done, &donePage{pageState: pageState{id: id}, chunks: map[doneChunk]bool{}})
	}
	return d.done[k]
}

// weight is at least what an attempt takes of a page: its entry, and the name of
// its job where it is the first of that.
func (p *intentPage) weight(a *attempt) int {
	w := len(a.on.m.Name) + a.width
	if p.jobs[a.job] == 0 {
		w += len(a.job.ID) + 8 + a.prog.head + 3
	}
	return w
}

func intentHead(j *bookkeeping.Job) string {
	return bookkeeping.IntentHead(j.Team, j.CPUs, j.GPUs, j.MemoryGB)
}

func (p *intentPage) put(a *attempt) {
	if a.page != nil {
		return
	}
	a.width = len(bookkeeping.IntentEntry(a.task, "", a.try)) + 4
	p.bytes += p.weight(a)
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
	p.bytes -= p.weight(a)
}

func (p *intentPage) drop(a *attempt, now time.Duration) {
	if !p.attempts[a] {
		return
	}
	p.remove(a)
	if p.dirtyAt == 0 {
		p.dirtyAt = now
	}
	if a.on.m.Phase == bookkeeping.PhaseDrain {
		p.dirty = true // the machine goes on only once no record names it
	}
}

// size is at least what a chunk takes of a page.
func (c doneChunk) size() int {
	tasks := min(c.p.job.Tasks-c.chunk*bookkeeping.ChunkTasks, bookkeeping.ChunkTasks)
	return len(c.p.job.ID) + 16 + (max(tasks, 1)/8+3)*4/3
}

func (p *donePage) put(prog *progress, chunk int) {
	if prog.pages[chunk] == nil {
		prog.pages[chunk] = p
		c := doneChunk{prog, chunk}
		p.chunks[c] = true
		p.bytes += c.size()
	}
}

// pageCapacity is how many bytes a page holds.
func (d *recordWriter) pageCapacity() int { return d.h.n.capacity() }

// completed takes in that a task of a chunk is done.
func (d *recordWriter) completed(p *progress, chunk int, now time.Duration) {
	page := p.pages[chunk]
	if page != nil && page.bytes > d.pageCapacity() && len(page.chunks) > 1 {
		page.move(doneChunk{p, chunk}, now)
		page = nil
	}
	if page == nil {
		need := doneChunk{p, chunk}.size()
		for k := 0; page == nil; k++ {
			if q := d.donePageAt(k); q.bytes+need <= d.pageCapacity() || len(q.chunks) == 0 {
				page = q
			}
		}
		page.put(p, chunk)
	}
	if page.dirtyAt == 0 {
		page.dirtyAt = now
	}
}

// mayName reports whether a write that is not settled names a machine.
func (d *recordWriter) mayName(x *holding) bool {
	return slices.ContainsFunc(d.pages, func(p *intentPage) bool { return p.named[x] })
}

// writeFor sees to it that pages which still name a machine that drains, and on which
// nothing is left, are written soon. What ended there before the drain began left its
// name to be removed at leisure, which may be never while all writes are needed for new
// tasks.
func (d *recordWriter) writeFor(x *holding) {
	now := d.h.n.now()
	if len(x.attempts) > 0 || len(x.m.Intents) == 0 || now < x.namesWrittenAt+namesEvery {
		return
	}
	x.namesWrittenAt = now
	for _, k := range d.h.n.cache.PagesNaming(d.shard, x.m) {
		d.intentPageAt(k).dirty = true
	}
}

// settle forgets what writes may have named once the cache shows how they ended.
func (d *recordWriter) settle(p *intentPage) {
	n := d.h.n
	if len(p.named) == 0 || p.writing || n.revision < p.wroteAt {
		return
	}
	if n.cache.IntentVersion(p.id) != p.cond {
		p.unknown = false
	}
	if !p.unknown {
		clear(p.named)
	}
}

// flush writes what is due.
func (d *recordWriter) flush() {
	n := d.h.n
	now := n.now()
	if now < d.flushAt {
		return
	}
	for _, p := range d.pages {
		d.settle(p)
	}
	d.shrinkOversized(now)
	d.assign()
	n.budget.fill(now)
	if n.budget.level < min(1, n.budget.rate) {
		return // nothing can be written, so nothing is encoded
	}
	b := d.dueWrites(now)
	if len(b.txn.Then) == 0 || !n.budget.take(now, len(b.txn.Then)) {
		return
	}
	d.flushAt = now + flushPause
	for _, p := range b.pages {
		p.cond = n.cache.IntentVersion(p.id)
		p.fresh, p.freshSent = 0, p.fresh
		for a := range p.attempts {
			p.named[a.on] = true
		}
	}
	for _, s := range b.states() {
		s.writing, s.dirty, s.dirtyAt = true, false, 0
	}
	n.txn(b.txn, func(revision uint64, err error) { d.written(b, revision, err) })
}

// assign puts new attempts on the emptiest pages that can be written now, so
// that what has ended leaves the records with the same writes.
func (d *recordWriter) assign() {
	n := d.h.n
	d.unassigned = slices.DeleteFunc(d.unassigned, func(a *attempt) bool { return !a.live() || a.page != nil })
	if len(d.unassigned) == 0 {
		return
	}
	var free []*intentPage
	for _, p := range d.pages {
		if p.idle(n) && d.writable(p) {
			free = append(free, p)
		}
	}
	slices.SortStableFunc(free, func(a, b *intentPage) int {
		// One that is to be written soonest, or anyway, comes first.
		return cmp.Or(cmp.Compare(b.fresh, a.fresh), compareBool(b.dirty, a.dirty), cmp.Compare(a.bytes, b.bytes))
	})
	// A write costs the same however much of a page is new. Among full pages each
	// would carry the few entries that have just ended there, and where writes are
	// few, new tasks would wait for theirs while machines stand still: so there are
	// several times the pages that the entries need, and one that is more than a
	// quarter full is left to empty.
	bytes := 0
	for _, p := range d.pages {
		bytes += p.bytes
	}
	enough := 4 + looseness*(bytes/d.pageCapacity()+1)
	used := 0
	for _, a := range d.unassigned {
		a.width = len(bookkeeping.IntentEntry(a.task, "", a.try)) + 4
		for len(free) > 0 && free[0].bytes+free[0].weight(a) > d.pageCapacity() && len(free[0].attempts) > 0 {
			free = free[1:]
		}
		if len(free) > 0 && !free[0].dirty && free[0].bytes > d.pageCapacity()/4 && used == 0 && len(d.pages) < enough {
			free = nil
		}
		if len(free) == 0 {
			if used >= 4 {
				break
			}
			used++
			free = append(free, d.intentPageAt(len(d.pages)))
		}
		free[0].put(a)
		if !a.durable() { // one that moves from another page waits for nothing
			free[0].fresh++
		}
		free[0].dirty = true
	}
	d.unassigned = slices.DeleteFunc(d.unassigned, func(a *attempt) bool { return a.page != nil })
}

// intents is the change that makes a page of intents say what it should. An
// empty page stays: once it were removed, its version would be 0 again, and a
// late transaction that made it first could bring its contents back.
func (d *recordWriter) intents(p *intentPage) protocol.Op {
	key := bookkeeping.IntentKey(p.id)
	rec := bookkeeping.IntentPage{}
	for a := range p.attempts {
		rec[a.job.ID] = append(rec[a.job.ID], bookkeeping.IntentEntry(a.task, a.on.m.Name, a.try))
	}
	for j := range p.jobs {
		rec[j.ID] = append(rec[j.ID], intentHead(j))
	}
	for _, entries := range rec {
		slices.Sort(entries)
	}
	return protocol.Op{Put: key, Value: bookkeeping.Encode(rec)}
}

// completedTasks is the same for a page of completed tasks; any is false where
// there is neither a page nor a need of one.
func (d *recordWriter) completedTasks(p *donePage) (op protocol.Op, any bool) {
	key := bookkeeping.DoneKey(p.id)
	rec := bookkeeping.DonePage{}
	d.forgetOver(p)
	for c := range p.chunks {
		j := c.p.job
		part := c.p.done[min(len(c.p.done), c.chunk*bookkeeping.ChunkTasks/8):]
		rec[bookkeeping.DoneName(j.ID, c.chunk)] = part[:min(len(part), bookkeeping.ChunkTasks/8)]
	}
	if len(rec) == 0 && d.h.n.cache.DoneVersion(p.id) == 0 {
		p.dirtyAt = 0
		return op, false
	}
	return protocol.Op{Put: key, Value: bookkeeping.Encode(rec)}, true
}
