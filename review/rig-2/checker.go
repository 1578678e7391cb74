package main

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Job is a job as a user submits it, with what the user was told.
type Job struct {
	ID      string   `json:"id"`
	Lane    string   `json:"lane"`
	Crew    string   `json:"crew"`
	Shape   string   `json:"shape"`
	Rank    string   `json:"rank"`
	Pieces  int      `json:"pieces"`
	VCPUs   float64  `json:"vcpus"`
	GPUs    float64  `json:"gpus"`
	RAM     float64  `json:"ramGb"`
	Bundle  string   `json:"bundle"`
	SizeGB  float64  `json:"sizeGb"`
	Builds  []string `json:"builds"`
	Yard    *string  `json:"yard"`
	Togeth  bool     `json:"together"`
	Spread  bool     `json:"spread"`
	Loaner  bool     `json:"loaner"`
	GuessS  float64  `json:"guessS"`
	MarkS   float64  `json:"markS"`
	StashS  float64  `json:"stashS"`
	DueS    *float64 `json:"dueS"`
	WaitsOn []string `json:"waitsOn,omitempty"`

	run time.Duration

	submitted   bool
	accepted    time.Time
	asked       time.Time // when the user first asked to cancel
	told        time.Time // when the user was told that it is cancelled
	doneTold    time.Time
	doneAt      time.Time // when its last task completed
	final       string
	finished    map[int]bool
	startsAfter int
	lastPoll    time.Time // last answered poll
}

// Checker knows what users were told and what runs, and judges the rules.
type Checker struct {
	mu      sync.Mutex
	c       *Cluster
	jobs    map[string]*Job
	order   []string
	running map[string]map[string]uint64 // piece -> machine -> attempt
	where   map[string]*Worker           // machine name -> worker
	used    map[string]float64
	client  *http.Client
	starts  int
	nodes   int
}

func newChecker(c *Cluster) *Checker {
	return &Checker{c: c, jobs: map[string]*Job{}, running: map[string]map[string]uint64{}, where: map[string]*Worker{}, used: map[string]float64{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 20}}}
}

func splitPiece(piece string) (id string, n int) {
	id, rest, _ := strings.Cut(piece, "/")
	n, _ = strconv.Atoi(rest)
	return id, n
}

func (k *Checker) jobOf(piece string) *Job {
	k.mu.Lock()
	defer k.mu.Unlock()
	id, n := splitPiece(piece)
	j := k.jobs[id]
	if j == nil || !j.submitted || n >= j.Pieces {
		return nil
	}
	return j
}

func (k *Checker) startOrder(piece string, w *Worker) {
	k.mu.Lock()
	defer k.mu.Unlock()
	id, _ := splitPiece(piece)
	j := k.jobs[id]
	if j != nil && !j.told.IsZero() {
		j.startsAfter++
		k.c.rec.Log("start of %s on %s %.3f s after its cancellation was confirmed", piece, w.id, time.Since(j.told).Seconds())
	}
}

// started is called when a task has its image and begins to run.
func (k *Checker) started(piece string, w *Worker, try uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.starts++
	id, _ := splitPiece(piece)
	j := k.jobs[id]
	k.c.rec.Log("runs %s try %d on %s", piece, try, w.id)
	if others := k.elsewhere(piece, w); len(others) > 0 {
		k.c.rec.Broken("ran_twice", "%s starts on %s while it is on %v", piece, w.id, others)
	}
	k.checkPlace(j, piece, w)
	if k.running[piece] == nil {
		k.running[piece] = map[string]uint64{}
	}
	k.running[piece][w.id] = try
	k.where[w.id] = w
	k.used[j.Crew] += j.VCPUs
	if limit := k.limit(j.Crew); limit > 0 && k.used[j.Crew] > limit+1e-6 {
		k.c.rec.Broken("quota", "%s uses %.1f of %.1f", j.Crew, k.used[j.Crew], limit)
	}
	if !j.told.IsZero() && time.Since(j.told) > k.cancelTime() {
		k.c.rec.Broken("ran_cancelled", "%s starts on %s", piece, w.id)
	}
	for _, d := range j.WaitsOn {
		if dep := k.jobs[d]; dep != nil && len(dep.finished) < dep.Pieces {
			k.c.rec.Broken("too_early", "%s starts before %s is done", piece, d)
		}
	}
}

// limit returns the most CPUs that a team may use; 0 is none.
func (k *Checker) limit(team string) float64 {
	for _, t := range k.c.cfg.Teams {
		if t.Name == team {
			return t.Max
		}
	}
	return 0
}

// elsewhere lists the machines that a task is on. A machine that hangs past its lease counts as
// having killed its tasks.
func (k *Checker) elsewhere(piece string, w *Worker) map[string]uint64 {
	others := map[string]uint64{}
	for name, attempt := range k.running[piece] {
		if o := k.where[name]; o == w || !o.hung || time.Since(o.leased) <= k.c.cfg.lease() {
			others[name] = attempt
		}
	}
	return others
}

// checkPlace checks that a job allows the place of a task, given its other tasks.
func (k *Checker) checkPlace(j *Job, piece string, w *Worker) {
	if j.Yard != nil && *j.Yard != w.yard || w.loaner && !j.Loaner {
		k.c.rec.Broken("wrong_place", "%s on %s", piece, w.id)
	}
	if !j.Togeth && !j.Spread {
		return
	}
	inZone, all := 0, 0
	for p, machines := range k.running {
		if id, _ := splitPiece(p); id != j.ID {
			continue
		}
		for name := range machines {
			all++
			if k.where[name].yard == w.yard {
				inZone++
			}
		}
	}
	if j.Togeth && all > inZone {
		k.c.rec.Broken("wrong_place", "%s starts in %s, others are elsewhere", piece, w.yard)
	}
	if j.Spread && inZone+1 > (j.Pieces+1)/2 {
		k.c.rec.Broken("wrong_place", "%s: too many in %s", piece, w.yard)
	}
}

// begun reports whether any task of a job runs or is done.
func (k *Checker) begun(j *Job) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for p, machines := range k.running {
		if id, _ := splitPiece(p); id == j.ID && len(machines) > 0 {
			return true
		}
	}
	return len(j.finished) > 0
}

// usedBy returns the CPUs that a team's tasks use.
func (k *Checker) usedBy(team string) float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.used[team]
}

func (k *Checker) cancelTime() time.Duration {
	return time.Duration(k.c.cfg.CancelS * float64(time.Second))
}

func (k *Checker) ended(piece string, w *Worker, try uint64, why string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	id, _ := splitPiece(piece)
	k.c.rec.Log("ends %s try %d on %s: %s", piece, try, w.id, why)
	if _, on := k.running[piece][w.id]; on {
		delete(k.running[piece], w.id)
		if len(k.running[piece]) == 0 {
			delete(k.running, piece)
		}
		k.used[k.jobs[id].Crew] -= k.jobs[id].VCPUs
	}
}

func (k *Checker) finished(piece string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	id, n := splitPiece(piece)
	return k.jobs[id].finished[n]
}

func (k *Checker) completed(piece string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	id, n := splitPiece(piece)
	j := k.jobs[id]
	j.finished[n] = true
	if len(j.finished) == j.Pieces && j.doneAt.IsZero() {
		j.doneAt = time.Now()
	}
}

// watch looks for tasks of cancelled jobs that are still on machines.
func (k *Checker) watch() {
	seen := map[string]bool{}
	for range time.Tick(50 * time.Millisecond) {
		k.mu.Lock()
		for p, ms := range k.running {
			id, _ := splitPiece(p)
			j := k.jobs[id]
			if len(ms) > 0 && !j.told.IsZero() && time.Since(j.told) > k.cancelTime() && !seen[p] {
				seen[p] = true
				k.c.rec.Broken("ran_cancelled", "%s is still on %v %.1f s after its user was told", p, ms, time.Since(j.told).Seconds())
			}
		}
		k.mu.Unlock()
	}
}
