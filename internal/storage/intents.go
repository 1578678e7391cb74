package storage

import (
	"maps"
	"slices"
	"strings"

	"rockrun/internal/protocol"
)

// Intent is an attempt that may be on a machine.
type Intent struct {
	Attempt    uint64
	Page       int // number of the last applied page, written by the shard's holder, that names the attempt
	entryCount int // number of page entries that name the attempt
}

// intentEntry is an entry of an IntentPage, with names resolved to rows and indices.
type intentEntry struct {
	machine *Machine
	task    TaskRef
	attempt uint64
}

// IntentPageVersion returns the version of an intent page, or 0 if there is no such page.
func (v *View) IntentPageVersion(id PageID) uint64 {
	if page := v.intentPages[id]; page != nil {
		return page.version
	}
	return 0
}

// IntentPagesNaming returns the intent pages of a shard that name a machine, in unspecified
// order.
func (v *View) IntentPagesNaming(shard int, m *Machine) (pages []int) {
	for id, page := range v.intentPages {
		if id.Shard == shard && slices.ContainsFunc(page.entries, func(e intentEntry) bool { return e.machine == m }) {
			pages = append(pages, id.Page)
		}
	}
	return pages
}

// EachIntentPage calls visit for every intent page of a shard with the number of its
// entries, in unspecified order.
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
		return // no page with a malformed key was applied
	}
	if page := v.intentPages[id]; page != nil && removal.version > page.version {
		v.setIntentPage(id, &recordPage[intentEntry]{})
		delete(v.intentPages, id)
	}
}

// setIntentPage replaces an intent page. It adds the new entries before it removes the old
// entries, so that an attempt that both pages name is never missing in between.
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

// readIntents decodes the entries of a page. An intent can outlive its job, so a job that is
// known only from intents counts as ended.
func (v *View) readIntents(record IntentPage) (entries []intentEntry, err error) {
	for _, jobID := range slices.Sorted(maps.Keys(record)) {
		if !protocol.ValidJobID(jobID) {
			return nil, &MalformedError{What: "job ID", Text: jobID}
		}
		for _, text := range record[jobID] {
			if strings.HasPrefix(text, headerPrefix) {
				if err := v.readIntentHeader(jobID, text); err != nil {
					return nil, err
				}
				continue
			}
			parsed, err := parseIntentEntry(text)
			if err != nil {
				return nil, err
			}
			task := TaskRef{v.findOrAddJob(jobID).Index, parsed.task}
			entries = append(entries, intentEntry{v.findOrAddMachine(parsed.machine), task, parsed.attempt})
		}
	}
	return entries, nil
}

// readIntentHeader sets a job's team and the resources of its tasks from a header, unless
// the job's own record was read.
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

// addIntent adds a page entry to the job and the machine. A page that receives no new entries
// can name an attempt long after the attempt has ended, and can be read after the page that
// names the next attempt of the same task on the same machine. Attempt numbers increase, so
// the attempt with the highest number is the one that may be running. If a lower number
// replaced it, the task would be started a second time.
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
	intent.entryCount++
	entry.machine.Intents[entry.task] = intent
}

// removeIntent removes an entry of a replaced page from the job and the machine.
func (v *View) removeIntent(entry intentEntry) {
	j := v.Jobs.Get(entry.task.Job)
	j.countIntent(entry.task.Task, -1)
	if intent := entry.machine.Intents[entry.task]; intent.Attempt == entry.attempt {
		intent.entryCount--
		if intent.entryCount <= 0 {
			delete(entry.machine.Intents, entry.task)
			v.deleteMachineIfUnreferenced(entry.machine)
		} else {
			entry.machine.Intents[entry.task] = intent
		}
	}
	v.DeleteJobIfUnreferenced(j)
}
