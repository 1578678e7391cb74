package storage

import (
	"maps"
	"slices"
)

// CompletionPageVersion returns the version of a completion page, or 0 if there is no such page.
func (v *View) CompletionPageVersion(id PageID) uint64 {
	if page := v.completionPages[id]; page != nil {
		return page.version
	}
	return 0
}

// HasStaleCompletions reports whether a completion page names jobs that have ended.
func (v *View) HasStaleCompletions(id PageID) bool {
	page := v.completionPages[id]
	return page != nil && slices.ContainsFunc(page.entries, (*Job).Ended)
}

// EachCompletionPage calls visit for every completion page of a shard, in unspecified order.
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
		return // no page with a malformed key was applied
	}
	if page := v.completionPages[id]; page != nil && removal.version > page.version {
		v.setCompletionPage(id, &recordPage[*Job]{})
		delete(v.completionPages, id)
	}
}

// readCompletions adds the completions of a page to the progress of its jobs. It returns
// one job for each chunk and counts a reference to the job for each. Records are first read
// in key order, so a page can be read before the records of its jobs; its completions are
// then retained in new rows of the jobs.
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

// setCompletionPage replaces a page and releases the references that the old page counted.
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
