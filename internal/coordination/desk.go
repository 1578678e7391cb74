package coordination

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"rockrun/internal/bookkeeping"
	"rockrun/internal/protocol"
)

// desk writes the records of one home: pages of intents, which name every task
// that may be on a machine, and pages of completed tasks. Many tasks share a
// value and a beat's changes share a transaction, so the writes follow the
// beats and not the number of tasks.
//
// Every write depends on the grant and on the version of the page that it
// replaces, so that at most one holder's pages can ever change, and a
// transaction that is applied late finds its condition broken by any later one.
type desk struct {
	h       *holder
	shard   int
	pages   []*page
	done    []*donePage
	adds    []*attempt // not on a page yet
	flushAt time.Duration
	most    int // changes in a transaction; fewer after a refusal
}

// Times of a desk. Removals and completed tasks wait for company; new intents
// don't, but for the pause that the budget of writes asks for.
const (
	flushPause = 40 * time.Millisecond
	doneAfter  = time.Second
	staleAfter = 2 * time.Second

	mostChanges = 4
	looseness   = 3 // pages for each that the entries would fill
)

// sheet is what pages of both kinds have in common.
type sheet struct {
	id      bookkeeping.PageID
	bytes   int
	dirty   bool
	dirtyAt time.Duration // since when something may be removed or added at leisure; 0: nothing
	writing bool
	wroteAt uint64 // revision that must be in the book before the next write
	retryAt time.Duration
}

func (s *sheet) idle(n *Node) bool {
	return !s.writing && n.revision >= s.wroteAt && n.now() >= s.retryAt
}

// page is a page of intents.
type page struct {
	sheet
	attempts map[*attempt]bool
	jobs     map[*bookkeeping.Job]int // attempts by job
	// Machines that a write names whose outcome the book does not show yet. A
	// write without an answer can be applied until the page has a new version.
	named   map[*holding]bool
	unknown bool
	cond    uint64
}

// donePage is a page of completed tasks.
type donePage struct {
	sheet
	chunks map[doneChunk]bool
}

type doneChunk struct {
	p     *progress
	chunk int
}

func newDesk(h *holder, shard int) *desk {
	d := &desk{h: h, shard: shard, most: mostChanges}
	h.n.book.IntentPages(shard, func(k, entries int) {
		p := d.page(k)
		if entries > 0 {
			p.dirtyAt = h.n.now() // until its machines are taken up nobody knows what of it is wanted
		}
	})
	h.n.book.DonePages(shard, func(k int) { d.donePage(k) })
	h.n.book.Jobs.All(func(_ int, j *bookkeeping.Job) {
		if j.Home == shard && !j.Over() {
			h.progress(j)
		}
	})
	// Jobs known before the desk was there are read again, with their pages.
	for j, p := range h.jobs {
		if j.Home == shard {
			d.takeUp(p)
		}
	}
	return d
}

// takeUp puts a job's completed tasks on the pages that name them.
func (d *desk) takeUp(p *progress) {
	for chunk, k := range p.job.DonePage {
		d.donePage(k).put(p, chunk)
	}
}

func (d *desk) page(k int) *page {
	for len(d.pages) <= k {
		id := bookkeeping.PageID{Shard: d.shard, Page: len(d.pages)}
		d.pages = append(d.pages, &page{sheet: sheet{id: id}, attempts: map[*attempt]bool{}, jobs: map[*bookkeeping.Job]int{}, named: map[*holding]bool{}})
	}
	return d.pages[k]
}

func (d *desk) donePage(k int) *donePage {
	for len(d.done) <= k {
		id := bookkeeping.PageID{Shard: d.shard, Page: len(d.done)}
		d.done = append(d.done, &donePage{sheet: sheet{id: id}, chunks: map[doneChunk]bool{}})
	}
	return d.done[k]
}

// weight is at least what an attempt takes of a page: its entry, and the name of
// its job where it is the first of that.
func (p *page) weight(a *attempt) int {
	w := len(a.on.m.Name) + a.width
	if p.jobs[a.job] == 0 {
		w += len(a.job.ID) + 8 + a.prog.head + 3
	}
	return w
}

func intentHead(j *bookkeeping.Job) string {
	return bookkeeping.IntentHead(j.Team, j.CPUs, j.GPUs, j.MemoryGB)
}

func (p *page) put(a *attempt) {
	if a.page != nil {
		return
	}
	a.width = len(bookkeeping.IntentEntry(a.task, "", a.try)) + 4
	p.bytes += p.weight(a)
	p.jobs[a.job]++
	a.page = p
	p.attempts[a] = true
}

func (p *page) drop(a *attempt, now time.Duration) {
	if !p.attempts[a] {
		return
	}
	delete(p.attempts, a)
	if p.jobs[a.job]--; p.jobs[a.job] == 0 {
		delete(p.jobs, a.job)
	}
	p.bytes -= p.weight(a)
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

// room is how many bytes a page holds.
func (d *desk) room() int { return int(d.h.n.Settings.Cluster.State.ValueKB*1024) - 128 }

// completed takes in that a task of a chunk is done.
func (d *desk) completed(p *progress, chunk int, now time.Duration) {
	page := p.pages[chunk]
	if page == nil {
		need := doneChunk{p, chunk}.size()
		for k := 0; page == nil; k++ {
			if q := d.donePage(k); q.bytes+need <= d.room() || len(q.chunks) == 0 {
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
func (d *desk) mayName(x *holding) bool {
	return slices.ContainsFunc(d.pages, func(p *page) bool { return p.named[x] })
}

// settle forgets what writes may have named once the book shows how they ended.
func (d *desk) settle(p *page) {
	n := d.h.n
	if len(p.named) == 0 || p.writing || n.revision < p.wroteAt {
		return
	}
	if n.book.IntentVersion(p.id) != p.cond {
		p.unknown = false
	}
	if !p.unknown {
		clear(p.named)
	}
}

// flush writes what is due.
func (d *desk) flush() {
	h := d.h
	n := h.n
	now := n.now()
	if now < d.flushAt {
		return
	}
	for _, p := range d.pages {
		d.settle(p)
	}
	d.assign()
	spare := n.budget.level > n.budget.rate/2 // removals alone wait until others need no writes
	t := protocol.Txn{If: []protocol.Cond{{Key: bookkeeping.GrantKey(d.shard), Version: n.book.Grants[d.shard].Version}}}
	var pages []*page
	var done []*donePage
	// Never more than there are writes for: waiting for a few at once, this would
	// starve beside others that take one or two as they come.
	n.budget.fill(now)
	most := min(n.Settings.Cluster.State.TxnOps, d.most, max(1, int(n.budget.level)))
	for _, p := range d.done {
		if p.dirtyAt == 0 && n.book.StaleDone(p.id) {
			p.dirtyAt = now
		}
		if len(t.Then) < most && p.idle(n) && p.dirtyAt > 0 && now-p.dirtyAt > doneAfter {
			if op, any := d.completedTasks(p); any {
				done = append(done, p)
				t.If = append(t.If, protocol.Cond{Key: bookkeeping.DoneKey(p.id), Version: n.book.DoneVersion(p.id)})
				t.Then = append(t.Then, op)
			}
		}
	}
	for _, p := range d.pages {
		stale := p.dirtyAt > 0 && spare && now-p.dirtyAt > staleAfter
		if len(t.Then) < most && p.idle(n) && (p.dirty || stale) && (len(p.attempts) > 0 || n.book.IntentVersion(p.id) != 0) {
			pages = append(pages, p)
			t.If = append(t.If, protocol.Cond{Key: bookkeeping.IntentKey(p.id), Version: n.book.IntentVersion(p.id)})
			t.Then = append(t.Then, d.intents(p))
		}
	}
	if len(t.Then) == 0 || !n.budget.take(now, len(t.Then)) {
		return
	}
	d.flushAt = now + flushPause
	var sheets []*sheet
	for _, p := range pages {
		sheets = append(sheets, &p.sheet)
		p.cond = n.book.IntentVersion(p.id)
		for a := range p.attempts {
			p.named[a.on] = true
		}
	}
	for _, p := range done {
		sheets = append(sheets, &p.sheet)
	}
	for _, s := range sheets {
		s.writing, s.dirty, s.dirtyAt = true, false, 0
	}
	n.State.Txn(t, func(revision uint64, err error) {
		if n.hold != h || h.desks[d.shard] != d {
			return
		}
		for _, s := range sheets {
			s.writing = false
			if err == nil {
				s.wroteAt = revision
			} else {
				s.dirty, s.dirtyAt, s.retryAt = true, max(1, n.now()-staleAfter), n.now()+n.jitter(retryPause/2)
			}
		}
		if err == nil {
			d.most = min(d.most+1, mostChanges)
		}
		if err != nil {
			n.Log.Debug("pages not written", "shard", d.shard, "err", err)
			// Where all controllers together ask for more writes than there are,
			// small transactions get through and large ones starve.
			d.most = max(1, d.most/2)
			for _, p := range pages {
				p.unknown = p.unknown || errors.Is(err, protocol.ErrUnknown)
			}
		}
		h.kick()
	})
}

// assign puts new attempts on the emptiest pages that can be written now, so
// that what has ended leaves the records with the same writes.
func (d *desk) assign() {
	n := d.h.n
	d.adds = slices.DeleteFunc(d.adds, func(a *attempt) bool { return !a.live() || a.page != nil })
	if len(d.adds) == 0 {
		return
	}
	var free []*page
	for _, p := range d.pages {
		if p.idle(n) {
			free = append(free, p)
		}
	}
	slices.SortStableFunc(free, func(a, b *page) int {
		// One that is to be written anyway comes first.
		return cmp.Or(compareBool(b.dirty, a.dirty), cmp.Compare(a.bytes, b.bytes))
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
	enough := 4 + looseness*(bytes/d.room()+1)
	used := 0
	for _, a := range d.adds {
		a.width = len(bookkeeping.IntentEntry(a.task, "", a.try)) + 4
		for len(free) > 0 && free[0].bytes+free[0].weight(a) > d.room() && len(free[0].attempts) > 0 {
			free = free[1:]
		}
		if len(free) > 0 && !free[0].dirty && free[0].bytes > d.room()/4 && used == 0 && len(d.pages) < enough {
			free = nil
		}
		if len(free) == 0 {
			if used >= 4 {
				break
			}
			used++
			free = append(free, d.page(len(d.pages)))
		}
		free[0].put(a)
		free[0].dirty = true
	}
	d.adds = slices.DeleteFunc(d.adds, func(a *attempt) bool { return a.page != nil })
}

// intents is the change that makes a page of intents say what it should. An
// empty page stays: once it were removed, its version would be 0 again, and a
// late transaction that made it first could bring its contents back.
func (d *desk) intents(p *page) protocol.Op {
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
func (d *desk) completedTasks(p *donePage) (op protocol.Op, any bool) {
	key := bookkeeping.DoneKey(p.id)
	rec := bookkeeping.DonePage{}
	for c := range p.chunks {
		j := c.p.job
		if j.Over() || d.h.jobs[j] != c.p {
			delete(p.chunks, c)
			p.bytes -= c.size()
			continue
		}
		part := c.p.done[min(len(c.p.done), c.chunk*bookkeeping.ChunkTasks/8):]
		rec[bookkeeping.DoneName(j.ID, c.chunk)] = part[:min(len(part), bookkeeping.ChunkTasks/8)]
	}
	if len(rec) == 0 && d.h.n.book.DoneVersion(p.id) == 0 {
		p.dirtyAt = 0
		return op, false
	}
	return protocol.Op{Put: key, Value: bookkeeping.Encode(rec)}, true
}
