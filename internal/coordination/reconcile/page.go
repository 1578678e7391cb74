package reconcile

import (
	"time"

	"rockrun/internal/coordination/loop"
	"rockrun/internal/storage"
)

// pageState is the state that intent pages and completion pages have in common.
type pageState struct {
	id           storage.PageID
	bytes        int           // upper bound of the encoded size, without the outer braces
	urgent       bool          // write at the next possible flush
	pendingSince time.Duration // time of the oldest unwritten change that may be delayed; 0: none
	write        loop.Write
}

// markPending notes a change that may be written with a delay.
func (s *pageState) markPending(now time.Duration) {
	if s.pendingSince == 0 {
		s.pendingSince = now
	}
}

// intentPage is an intent page, which names the attempts that may be on a machine.
type intentPage struct {
	pageState
	attempts map[*attempt]bool
	jobs     map[*storage.Job]int // number of attempts by job
	// Machines named by a write whose outcome the view does not show yet. An unanswered write
	// can still be applied until the page has a new version.
	possiblyNamed   map[*agent]bool
	outcomeUnknown  bool
	replacedVersion uint64 // page version that the last write replaces
	// Number of attempts that no write has named yet, and of attempts that the last write
	// was the first to name.
	newAttempts, newAttemptsInFlight int
	// Attempts that the page in the records names and that have moved to other pages. Those
	// pages must be written before this page is written without the attempts.
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

// JSON overhead of the parts of a page, in bytes.
const (
	entryOverhead  = 4
	jobOverhead    = 8
	headerOverhead = 3
	chunkOverhead  = 16
)

// entryBytes is an upper bound of the bytes that an attempt adds to a page: its entry and,
// for the first attempt of a job on the page, the ID and the header of the job.
func (p *intentPage) entryBytes(a *attempt) int {
	size := len(a.agent.machine.Name) + a.entrySize
	if p.jobs[a.job] == 0 {
		size += len(a.job.ID) + jobOverhead + a.progress.intentHeaderSize + headerOverhead
	}
	return size
}

// measureEntry sets the size of an attempt's entry, without the machine's name.
func (a *attempt) measureEntry() {
	a.entrySize = len(storage.IntentEntry(a.task, "", a.number)) + entryOverhead
}

func intentHeader(job *storage.Job) string {
	return storage.IntentHeader(job.Team, job.CPUs, job.GPUs, job.MemoryGB)
}

// add puts an attempt on the page, unless the attempt already has a page.
func (p *intentPage) add(a *attempt) {
	if a.page != nil {
		return
	}
	a.measureEntry()
	p.bytes += p.entryBytes(a)
	p.jobs[a.job]++
	a.page = p
	p.attempts[a] = true
}

// remove removes an attempt from the page.
func (p *intentPage) remove(a *attempt) {
	delete(p.attempts, a)
	if p.jobs[a.job]--; p.jobs[a.job] == 0 {
		delete(p.jobs, a.job)
	}
	p.bytes -= p.entryBytes(a)
}

// removeEnded removes an ended attempt from the page.
func (p *intentPage) removeEnded(a *attempt, now time.Duration) {
	if !p.attempts[a] {
		return
	}
	p.remove(a)
	p.markPending(now)
	if a.agent.draining() {
		p.urgent = true // a drain completes only once no record names the machine
	}
}

// completionPage is a page that records completed tasks.
type completionPage struct {
	pageState
	chunks map[completionChunk]bool
	moved  []completionChunk // to other pages, as in intentPage
}

func newCompletionPage(id storage.PageID) *completionPage {
	return &completionPage{pageState: pageState{id: id}, chunks: map[completionChunk]bool{}}
}

// completionChunk identifies storage.TasksPerChunk consecutive tasks of a job.
type completionChunk struct {
	progress *jobProgress
	chunk    int
}

// size is an upper bound of the bytes that a chunk adds to a page.
func (c completionChunk) size() int {
	tasks := min(c.progress.job.Tasks-c.chunk*storage.TasksPerChunk, storage.TasksPerChunk)
	return len(c.progress.job.ID) + chunkOverhead + (max(tasks, 1)/8+3)*4/3 // a bitmap in base64
}

// add puts a chunk on the page, unless the chunk already has a page.
func (p *completionPage) add(progress *jobProgress, chunk int) {
	if progress.completionPages[chunk] == nil {
		progress.completionPages[chunk] = p
		c := completionChunk{progress, chunk}
		p.chunks[c] = true
		p.bytes += c.size()
	}
}

// remove removes a chunk from the page.
func (p *completionPage) remove(c completionChunk) {
	if p.chunks[c] {
		delete(p.chunks, c)
		p.bytes -= c.size()
	}
}

// beginMove removes a chunk from an oversized page. The page may be written without the
// chunk only once the records contain the chunk on another page.
func (p *completionPage) beginMove(c completionChunk, now time.Duration) {
	p.remove(c)
	delete(c.progress.completionPages, c.chunk)
	p.moved = append(p.moved, c)
	p.markPending(now)
}
