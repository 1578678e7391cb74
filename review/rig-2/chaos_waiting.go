package main

import "time"

// watchWaiting looks, after the troubles, for jobs that wait beside room. It does not look at the
// zones of jobs with spread or together.
func (r *chaosRun) watchWaiting() {
	since := map[string]time.Time{}
	for time.Now().Before(r.end) {
		time.Sleep(time.Second)
		beside := map[string]time.Time{}
		for _, j := range r.c.check.waiting() {
			if r.besideRoom(j, since[j.ID]) {
				beside[j.ID] = time.Now()
				if began, known := since[j.ID]; known {
					beside[j.ID] = began
				}
			}
		}
		since = beside
	}
}

// besideRoom reports whether a machine has room for a job, and judges a job that has waited beside
// room since the given time.
func (r *chaosRun) besideRoom(j *Job, since time.Time) bool {
	free := room(r.c, j)
	if len(free) == 0 {
		return false
	}
	if since.IsZero() {
		return true
	}
	wait := time.Since(since)
	if wait > 30*time.Second {
		r.c.rec.Log("%s %s %s has waited for %.0f s beside room on %v", j.ID, j.Crew, j.Shape, wait.Seconds(), free)
	}
	if wait > 90*time.Second && wait < 92*time.Second && !j.Spread && !j.Togeth {
		r.c.rec.Broken("left_waiting", "%s waits beside %v", j.ID, free)
	}
	return true
}

// waiting lists the jobs that could start and of which nothing runs, while their team is under its
// limit.
func (k *Checker) waiting() (list []*Job) {
	k.mu.Lock()
	defer k.mu.Unlock()
	running := map[string]bool{}
	for p := range k.running {
		id, _ := splitPiece(p)
		running[id] = true
	}
	for _, j := range k.jobs {
		limit := k.limit(j.Crew)
		within := limit == 0 || k.used[j.Crew]+j.VCPUs <= limit
		open := !j.accepted.IsZero() && j.asked.IsZero() && j.final == "" && len(j.finished) < j.Pieces
		if open && within && !running[j.ID] && k.released(j) {
			list = append(list, j)
		}
	}
	return list
}

// released reports whether all jobs that a job waits on are done.
func (k *Checker) released(j *Job) bool {
	for _, d := range j.WaitsOn {
		if dep := k.jobs[d]; len(dep.finished) < dep.Pieces {
			return false
		}
	}
	return true
}
