package storage

import (
	"maps"
	"slices"
	"strings"

	"rockrun/internal/protocol"
)

// Intent is an attempt at a task that may be on a machine.
type Intent struct {
	Attempt uint64
	Page    int // of the shard's holder, the last read that names the attempt
	entries int // that name it
}

// intentEntry is an entry of an IntentPage, with names turned into rows and indices.
type intentEntry struct {
	machine *Machine
	task    TaskRef
	attempt uint64
}

// IntentPageVersion returns the version of a page of intents, 0 if there is none.
func (v *View) IntentPageVersion(id PageID) uint64 {
	if page := v.intentPages[id]; page != nil {
		return page.version
	}
	return 0
}

// IntentPagesNaming lists the pages of a shard that name a machine, in no order.
func (v *View) IntentPagesNaming(shard int, m *Machine) (pages []int) {
	for id, page := range v.intentPages {
		if id.Shard == shard && slices.ContainsFunc(page.entries, func(e intentEntry) bool { return e.machine == m }) {
			pages = append(pages, id.Page)
		}
	}
	return pages
}

// EachIntentPage calls visit for every page of intents of a shard, in no order, with the
// number of its entries.
func (v *View) EachIntentPage(shard int, visit func(page, entries int)) {
	for id, page := range v.intentPages {
		if id.Shard == shard {
			visit(id.Page, len(page.entries))
		}
	}
}

func (v *View) applyIntentPage(stored storedRecord) error {
	id, err := parsePagePath(stored.name)
	if err != nil {
		return err
	}
	record, newer, err := decodeNewer[IntentPage](stored, v.IntentPageVersion(id))
	if !newer {
		return err
	}
	entries, err := v.readIntents(record)
	if err != nil {
		return err
	}
	v.setIntentPage(id, &recordPage[intentEntry]{stored.version, entries})
	return nil
}

func (v *View) removeIntentPage(removal storedRecord) {
	id, err := parsePagePath(removal.name)
	if err != nil {
		return // no such page was read
	}
	if page := v.intentPages[id]; page != nil && removal.version > page.version {
		v.setIntentPage(id, &recordPage[intentEntry]{})
		delete(v.intentPages, id)
	}
}

// setIntentPage replaces a page of intents. What both pages name is never missing in
// between.
func (v *View) setIntentPage(id PageID, page *recordPage[intentEntry]) {
	for _, entry := range page.entries {
		v.addIntent(entry, id.Page)
	}
	old := v.intentPages[id]
	v.intentPages[id] = page
	if old == nil {
		return
	}
	for _, entry := range old.entries {
		v.removeIntent(entry)
	}
}

// readIntents reads the entries of a page. An intent can outlive its job, and a job of
// which only intents are known counts as ended.
func (v *View) readIntents(record IntentPage) (entries []intentEntry, err error) {
	for _, jobID := range slices.Sorted(maps.Keys(record)) {
		if !protocol.ValidJobID(jobID) {
			return nil, &MalformedError{What: "job ID", Text: jobID}
		}
		for _, text := range record[jobID] {
			if strings.HasPrefix(text, headerMark) {
				if err := v.readIntentHeader(jobID, text); err != nil {
					return nil, err
				}
				continue
			}
			planned, err := parseIntentEntry(text)
			if err != nil {
				return nil, err
			}
			task := TaskRef{v.findOrAddJob(jobID).Index, planned.task}
			entries = append(entries, intentEntry{v.findOrAddMachine(planned.machine), task, planned.attempt})
		}
	}
	return entries, nil
}

// readIntentHeader takes from a header what a job's tasks take, and of whose quota, where
// nothing else tells.
func (v *View) readIntentHeader(jobID, text string) error {
	header, err := parseIntentHeader(text)
	if err != nil {
		return err
	}
	if j := v.findOrAddJob(jobID); j.Ended() && j.TeamIndex < 0 {
		j.Team, j.TeamIndex = header.team, v.TeamNames.Lookup(header.team)
		j.CPUs, j.GPUs, j.MemoryGB = header.cpus, header.gpus, header.memoryGB
	}
	return nil
}

// addIntent counts an entry of a page. A page that is left to empty can name an attempt
// long after it has ended, and be read after the one that names the next attempt at the
// same task there. Attempts rise, so the higher one is the one that may be running: taken
// for the other, its task would be started a second time.
func (v *View) addIntent(entry intentEntry, page int) {
	v.Jobs.Get(entry.task.Job).countIntent(entry.task.Task, 1)
	intent := entry.machine.Intents[entry.task]
	if intent.Attempt > entry.attempt {
		return
	}
	if intent.Attempt != entry.attempt {
		intent = Intent{Attempt: entry.attempt}
	}
	intent.Page = page
	intent.entries++
	entry.machine.Intents[entry.task] = intent
}

// removeIntent takes back an entry of a page that was replaced.
func (v *View) removeIntent(entry intentEntry) {
	j := v.Jobs.Get(entry.task.Job)
	j.countIntent(entry.task.Task, -1)
	if intent := entry.machine.Intents[entry.task]; intent.Attempt == entry.attempt {
		intent.entries--
		if intent.entries <= 0 {
			delete(entry.machine.Intents, entry.task)
			v.deleteMachineIfUnreferenced(entry.machine)
		} else {
			entry.machine.Intents[entry.task] = intent
		}
	}
	v.DeleteJobIfUnreferenced(j)
}
