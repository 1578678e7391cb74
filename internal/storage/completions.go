package storage

import (
	"maps"
	"slices"
)

// CompletionPageVersion returns the version of a page of completions, 0 if there is none.
func (v *View) CompletionPageVersion(id PageID) uint64 {
	if page := v.completionPages[id]; page != nil {
		return page.version
	}
	return 0
}

// HasStaleCompletions reports whether a page of completions names jobs that have ended.
func (v *View) HasStaleCompletions(id PageID) bool {
	page := v.completionPages[id]
	return page != nil && slices.ContainsFunc(page.entries, (*Job).Ended)
}

// EachCompletionPage calls visit for every page of completions of a shard, in no order.
func (v *View) EachCompletionPage(shard int, visit func(page int)) {
	for id := range v.completionPages {
		if id.Shard == shard {
			visit(id.Page)
		}
	}
}

func (v *View) applyCompletionPage(stored storedRecord) error {
	id, err := parsePagePath(stored.name)
	if err != nil {
		return err
	}
	record, newer, err := decodeNewer[CompletionPage](stored, v.CompletionPageVersion(id))
	if !newer {
		return err
	}
	jobs, err := v.readCompletions(id, record)
	if err != nil {
		return err
	}
	v.setCompletionPage(id, &recordPage[*Job]{stored.version, jobs})
	return nil
}

func (v *View) removeCompletionPage(removal storedRecord) {
	id, err := parsePagePath(removal.name)
	if err != nil {
		return // no such page was read
	}
	if page := v.completionPages[id]; page != nil && removal.version > page.version {
		v.setCompletionPage(id, &recordPage[*Job]{})
		delete(v.completionPages, id)
	}
}

// readCompletions takes in what a page says and returns its jobs, each once for every
// chunk, with a reference counted for it. Records are read in the order of their keys, so
// that a page can come before its jobs; what it says is kept for them.
func (v *View) readCompletions(id PageID, record CompletionPage) (jobs []*Job, err error) {
	for _, name := range slices.Sorted(maps.Keys(record)) {
		jobID, chunk, err := parseCompletionChunkName(name)
		if err != nil {
			return nil, err
		}
		j := v.findOrAddJob(jobID)
		j.addCompleted(chunk, record[name])
		j.CompletionPages[chunk] = id.Page
		j.References++
		jobs = append(jobs, j)
	}
	return jobs, nil
}

// setCompletionPage replaces a page and gives up the references of the old one.
func (v *View) setCompletionPage(id PageID, page *recordPage[*Job]) {
	old := v.completionPages[id]
	v.completionPages[id] = page
	if old == nil {
		return
	}
	for _, j := range old.entries {
		j.References--
		v.DeleteJobIfUnreferenced(j)
	}
}
