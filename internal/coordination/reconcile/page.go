package reconcile

import (
	"time"

	"rockrun/internal/coordination/loop"
	"rockrun/internal/storage"
)

// pageState is what pages of both kinds have in common.
type pageState struct {
	id      storage.PageID
	bytes   int           // at least what the value takes
	dirty   bool          // to be written soon
	dirtyAt time.Duration // since when something may be removed or added at leisure; 0: nothing
	write   loop.Write
}

// touch notes that the page has something to be written at leisure.
func (s *pageState) touch(now time.Duration) {
	if s.dirtyAt == 0 {
		s.dirtyAt = now
	}
}

// intentPage is a page of intents, which names tasks that may be on a machine.
type intentPage struct {
	pageState
	attempts map[*attempt]bool
	jobs     map[*storage.Job]int // attempts by job
	// Machines that a write names whose outcome the view does not show yet. A write
	// without an answer can be applied until the page has a new version.
	possiblyNamed  map[*agent]bool
	outcomeUnknown bool
	writtenOver    uint64 // version of the page that the last write replaces
	// Attempts that no write has named yet, and those that the last one was the first to
	// name.
	newAttempts, newAttemptsSent int
	// Attempts that the page in the records names and that have gone to others, which must
	// name them before this one is written without them.
	moved []*attempt
}

func newIntentPage(id storage.PageID) *intentPage {
	return &intentPage{
		pageState:     pageState{id: id},
		attempts:      map[*attempt]bool{},
		jobs:          map[*storage.Job]int{},
		possiblyNamed: map[*agent]bool{},
	}
}

// Bytes of JSON around the parts of a page.
const (
	entryOverhead  = 4
	jobOverhead    = 8
	headerOverhead = 3
	chunkOverhead  = 16
)

// entryWeight is at least what an attempt takes of a page: its entry, and the name of its
// job where it is the first of that.
func (p *intentPage) entryWeight(a *attempt) int {
	weight := len(a.agent.machine.Name) + a.entrySize
	if p.jobs[a.job] == 0 {
		weight += len(a.job.ID) + jobOverhead + a.progress.intentHeaderSize + headerOverhead
	}
	return weight
}

// measureEntry works out what an attempt's entry takes, the machine's name aside.
func (a *attempt) measureEntry() {
	a.entrySize = len(storage.IntentEntry(a.task, "", a.number)) + entryOverhead
}

func intentHeader(job *storage.Job) string {
	return storage.IntentHeader(job.Team, job.CPUs, job.GPUs, job.MemoryGB)
}

// add puts an attempt on the page, unless it is on one.
func (p *intentPage) add(a *attempt) {
	if a.page != nil {
		return
	}
	a.measureEntry()
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

// drop takes an attempt off the page that is over.
func (p *intentPage) drop(a *attempt, now time.Duration) {
	if !p.attempts[a] {
		return
	}
	p.remove(a)
	p.touch(now)
	if a.agent.draining() {
		p.dirty = true // the machine goes on only once no record names it
	}
}

// completionPage is a page of completed tasks.
type completionPage struct {
	pageState
	chunks map[completionChunk]bool
	moved  []completionChunk // as of an intentPage
}

func newCompletionPage(id storage.PageID) *completionPage {
	return &completionPage{pageState: pageState{id: id}, chunks: map[completionChunk]bool{}}
}

// completionChunk is storage.TasksPerChunk tasks of a job.
type completionChunk struct {
	progress *jobProgress
	chunk    int
}

// size is at least what a chunk takes of a page.
func (c completionChunk) size() int {
	tasks := min(c.progress.job.Tasks-c.chunk*storage.TasksPerChunk, storage.TasksPerChunk)
	return len(c.progress.job.ID) + chunkOverhead + (max(tasks, 1)/8+3)*4/3 // bits in base 64
}

// add puts a chunk on the page, unless it is on one.
func (p *completionPage) add(progress *jobProgress, chunk int) {
	if progress.completionPages[chunk] == nil {
		progress.completionPages[chunk] = p
		c := completionChunk{progress, chunk}
		p.chunks[c] = true
		p.bytes += c.size()
	}
}

// remove takes a chunk off the page.
func (p *completionPage) remove(c completionChunk) {
	if p.chunks[c] {
		delete(p.chunks, c)
		p.bytes -= c.size()
	}
}

// move takes a chunk off a page that is too large.
func (p *completionPage) move(c completionChunk, now time.Duration) {
	p.remove(c)
	delete(c.progress.completionPages, c.chunk)
	p.moved = append(p.moved, c)
	p.touch(now)
}
