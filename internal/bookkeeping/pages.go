package bookkeeping

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"rockrun/internal/protocol"
)

// Intent is an attempt that may be on a machine.
type Intent struct {
	Try   uint64
	Page  int
	count int // entries that say so
}

// intent is one entry of a page, with names turned into indices.
type intent struct {
	m   *Machine
	ref TaskRef
	try uint64
}

// pageOf is a page as last read.
type pageOf[T any] struct {
	version uint64
	entries []T
}

// IntentVersion returns the version of a page of intents, 0 if there is none.
func (b *Cache) IntentVersion(id PageID) uint64 {
	if p := b.intents[id]; p != nil {
		return p.version
	}
	return 0
}

// PagesNaming lists the pages of a shard that name a machine.
func (b *Cache) PagesNaming(shard int, m *Machine) (pages []int) {
	for id, p := range b.intents {
		if id.Shard == shard && slices.ContainsFunc(p.entries, func(e intent) bool { return e.m == m }) {
			pages = append(pages, id.Page)
		}
	}
	return pages
}

// IntentPages calls f for every page of intents of a shard with the number of
// its entries.
func (b *Cache) IntentPages(shard int, f func(page, entries int)) {
	for id, p := range b.intents {
		if id.Shard == shard {
			f(id.Page, len(p.entries))
		}
	}
}

// DoneVersion returns the version of a page of completed tasks, 0 if there is
// none.
func (b *Cache) DoneVersion(id PageID) uint64 {
	if p := b.done[id]; p != nil {
		return p.version
	}
	return 0
}

// StaleDone reports whether a page of completed tasks names jobs that are over.
func (b *Cache) StaleDone(id PageID) bool {
	p := b.done[id]
	return p != nil && slices.ContainsFunc(p.entries, (*Job).Over)
}

// DonePages calls f for every page of completed tasks of a shard.
func (b *Cache) DonePages(shard int, f func(page int)) {
	for id := range b.done {
		if id.Shard == shard {
			f(id.Page)
		}
	}
}

// setIntents replaces a page of intents. What both pages name is never missing
// in between. An intent can outlive its job, and a job of which only intents are
// known counts as over.
func (b *Cache) setIntents(id PageID, r IntentPage, version uint64) error {
	next, err := b.readIntents(r)
	if err != nil {
		return err
	}
	for _, e := range next {
		b.addIntent(e, id.Page)
	}
	old := b.intents[id]
	b.intents[id] = &pageOf[intent]{version, next}
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
func (b *Cache) readIntents(r IntentPage) (list []intent, err error) {
	for _, name := range slices.Sorted(maps.Keys(r)) {
		if !protocol.ValidJobID(name) {
			return nil, fmt.Errorf("intents of %q", name)
		}
		for _, e := range r[name] {
			if strings.HasPrefix(e, headMark) {
				if err := b.readHead(name, e); err != nil {
					return nil, err
				}
				continue
			}
			task, machine, try, err := splitIntent(e)
			if err != nil {
				return nil, err
			}
			list = append(list, intent{b.machine(machine), TaskRef{b.job(name).Index, task}, try})
		}
	}
	return list, nil
}

func (b *Cache) readHead(name, head string) error {
	team, amounts, err := splitHead(head)
	if err != nil {
		return err
	}
	if j := b.job(name); j.Over() && j.TeamIdx < 0 {
		j.Team, j.TeamIdx = team, b.TeamNames.Lookup(team)
		j.CPUs, j.GPUs, j.MemoryGB = amounts[0], amounts[1], amounts[2]
	}
	return nil
}

// addIntent counts an entry of a page. A page that is left to empty can name an attempt
// long after it is over, and be read after the one that names the next at the same task
// there. Attempts rise, so the higher one is the one that may be running: taken for the
// other, its task would be started a second time.
func (b *Cache) addIntent(e intent, page int) {
	b.Jobs.Get(e.ref.Job).intend(e.ref.Task, 1)
	i := e.m.Intents[e.ref]
	if i.Try > e.try {
		return
	}
	if i.Try != e.try {
		i = Intent{Try: e.try}
	}
	i.Page = page
	i.count++
	e.m.Intents[e.ref] = i
}

// removeIntent takes back an entry of a page that was replaced.
func (b *Cache) removeIntent(e intent) {
	j := b.Jobs.Get(e.ref.Job)
	j.intend(e.ref.Task, -1)
	if i := e.m.Intents[e.ref]; i.Try == e.try {
		if i.count--; i.count <= 0 {
			delete(e.m.Intents, e.ref)
			b.dropMachine(e.m)
		} else {
			e.m.Intents[e.ref] = i
		}
	}
	b.DropJob(j)
}

// setDone replaces a page of completed tasks. Records are read in the order of
// their keys, so a page can come before its jobs; what it says is kept for them.
func (b *Cache) setDone(id PageID, r DonePage, version uint64) error {
	var next []*Job
	for _, name := range slices.Sorted(maps.Keys(r)) {
		bits := r[name]
		job, chunk, ok := splitDone(name)
		if !ok || !protocol.ValidJobID(job) {
			return fmt.Errorf("completed tasks of %q", name)
		}
		j := b.job(job)
		j.addDone(chunk, bits)
		j.DonePage[chunk] = id.Page
		j.Refs++
		next = append(next, j)
	}
	old := b.done[id]
	b.done[id] = &pageOf[*Job]{version, next}
	if old != nil {
		for _, j := range old.entries {
			j.Refs--
			b.DropJob(j)
		}
	}
	return nil
}
