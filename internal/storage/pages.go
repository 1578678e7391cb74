package storage

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"rockrun/internal/protocol"
)

// Intent is an attempt that may be on a machine.
type Intent struct {
	Attempt uint64
	Page    int
	count   int // entries that say so
}

// intent is one entry of a page, with names turned into indices.
type intentEntry struct {
	machine *Machine
	task    TaskRef
	attempt uint64
}

// pageOf is a page as last read.
type recordPage[T any] struct {
	version uint64
	entries []T
}

// IntentVersion returns the version of a page of intents, 0 if there is none.
func (b *View) IntentPageVersion(id PageID) uint64 {
	if p := b.intentPages[id]; p != nil {
		return p.version
	}
	return 0
}

// PagesNaming lists the pages of a shard that name a machine.
func (b *View) IntentPagesNaming(shard int, m *Machine) (pages []int) {
	for id, p := range b.intentPages {
		if id.Shard == shard && slices.ContainsFunc(p.entries, func(e intentEntry) bool { return e.machine == m }) {
			pages = append(pages, id.Page)
		}
	}
	return pages
}

// IntentPages calls f for every page of intents of a shard with the number of
// its entries.
func (b *View) EachIntentPage(shard int, f func(page, entries int)) {
	for id, p := range b.intentPages {
		if id.Shard == shard {
			f(id.Page, len(p.entries))
		}
	}
}

// DoneVersion returns the version of a page of completed tasks, 0 if there is
// none.
func (b *View) CompletionPageVersion(id PageID) uint64 {
	if p := b.completionPages[id]; p != nil {
		return p.version
	}
	return 0
}

// StaleDone reports whether a page of completed tasks names jobs that are over.
func (b *View) HasStaleCompletions(id PageID) bool {
	p := b.completionPages[id]
	return p != nil && slices.ContainsFunc(p.entries, (*Job).Ended)
}

// DonePages calls f for every page of completed tasks of a shard.
func (b *View) EachCompletionPage(shard int, f func(page int)) {
	for id := range b.completionPages {
		if id.Shard == shard {
			f(id.Page)
		}
	}
}

// setIntents replaces a page of intents. What both pages name is never missing
// in between. An intent can outlive its job, and a job of which only intents are
// known counts as over.
func (b *View) setIntents(id PageID, r IntentPage, version uint64) error {
	next, err := b.readIntents(r)
	if err != nil {
		return err
	}
	for _, e := range next {
		b.addIntent(e, id.Page)
	}
	old := b.intentPages[id]
	b.intentPages[id] = &recordPage[intentEntry]{version, next}
	if old == nil {
		return nil
	}
	for _, e := range old.entries {
		b.removeIntent(e)
	}
	return nil
}

// readIntents reads the entries of a page. Its heads say of jobs that are not known
// otherwise what their tasks take, and of whose quota.
func (b *View) readIntents(r IntentPage) (list []intentEntry, err error) {
	for _, name := range slices.Sorted(maps.Keys(r)) {
		if !protocol.ValidJobID(name) {
			return nil, fmt.Errorf("intents of %q", name)
		}
		for _, e := range r[name] {
			if strings.HasPrefix(e, headerMark) {
				if err := b.readIntentHeader(name, e); err != nil {
					return nil, err
				}
				continue
			}
			task, machine, try, err := parseIntentEntry(e)
			if err != nil {
				return nil, err
			}
			list = append(list, intentEntry{b.machine(machine), TaskRef{b.job(name).Index, task}, try})
		}
	}
	return list, nil
}

func (b *View) readIntentHeader(name, head string) error {
	team, amounts, err := parseIntentHeader(head)
	if err != nil {
		return err
	}
	if j := b.job(name); j.Ended() && j.TeamIndex < 0 {
		j.Team, j.TeamIndex = team, b.TeamNames.Lookup(team)
		j.CPUs, j.GPUs, j.MemoryGB = amounts[0], amounts[1], amounts[2]
	}
	return nil
}

// addIntent counts an entry of a page. A page that is left to empty can name an attempt
// long after it is over, and be read after the one that names the next at the same task
// there. Attempts rise, so the higher one is the one that may be running: taken for the
// other, its task would be started a second time.
func (b *View) addIntent(e intentEntry, page int) {
	b.Jobs.Get(e.task.Job).countIntent(e.task.Task, 1)
	i := e.machine.Intents[e.task]
	if i.Attempt > e.attempt {
		return
	}
	if i.Attempt != e.attempt {
		i = Intent{Attempt: e.attempt}
	}
	i.Page = page
	i.count++
	e.machine.Intents[e.task] = i
}

// removeIntent takes back an entry of a page that was replaced.
func (b *View) removeIntent(e intentEntry) {
	j := b.Jobs.Get(e.task.Job)
	j.countIntent(e.task.Task, -1)
	if i := e.machine.Intents[e.task]; i.Attempt == e.attempt {
		if i.count--; i.count <= 0 {
			delete(e.machine.Intents, e.task)
			b.forgetMachine(e.machine)
		} else {
			e.machine.Intents[e.task] = i
		}
	}
	b.ForgetJob(j)
}

// setDone replaces a page of completed tasks. Records are read in the order of
// their keys, so a page can come before its jobs; what it says is kept for them.
func (b *View) setCompletions(id PageID, r CompletionPage, version uint64) error {
	var next []*Job
	for _, name := range slices.Sorted(maps.Keys(r)) {
		bits := r[name]
		job, chunk, ok := parseCompletionChunkName(name)
		if !ok || !protocol.ValidJobID(job) {
			return fmt.Errorf("completed tasks of %q", name)
		}
		j := b.job(job)
		j.addCompleted(chunk, bits)
		j.CompletionPages[chunk] = id.Page
		j.References++
		next = append(next, j)
	}
	old := b.completionPages[id]
	b.completionPages[id] = &recordPage[*Job]{version, next}
	if old != nil {
		for _, j := range old.entries {
			j.References--
			b.ForgetJob(j)
		}
	}
	return nil
}
