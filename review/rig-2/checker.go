package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand"
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
	others := map[string]uint64{}
	for name, a := range k.running[piece] {
		// A machine that hangs past its lease counts as having killed its tasks.
		if o := k.where[name]; o == w || !(o.hung && time.Since(o.leased) > k.c.cfg.lease()) {
			others[name] = a
		}
	}
	if len(others) > 0 {
		k.c.rec.Broken("ran_twice", "%s starts on %s while it is on %v", piece, w.id, others)
	}
	inZone, all := 0, 0
	if j.Togeth || j.Spread {
		for p, ms := range k.running {
			if oid, _ := splitPiece(p); oid != id {
				continue
			}
			for name := range ms {
				all++
				if k.where[name].yard == w.yard {
					inZone++
				}
			}
		}
	}
	if j.Togeth && all > inZone {
		k.c.rec.Broken("wrong_place", "%s starts in %s, others are elsewhere", piece, w.yard)
	}
	if j.Spread && inZone+1 > (j.Pieces+1)/2 {
		k.c.rec.Broken("wrong_place", "%s: too many in %s", piece, w.yard)
	}
	if j.Yard != nil && *j.Yard != w.yard || w.loaner && !j.Loaner {
		k.c.rec.Broken("wrong_place", "%s on %s", piece, w.id)
	}
	if k.running[piece] == nil {
		k.running[piece] = map[string]uint64{}
	}
	k.running[piece][w.id] = try
	k.where[w.id] = w
	k.used[j.Crew] += j.VCPUs
	for _, t := range k.c.cfg.Teams {
		if t.Name == j.Crew && t.Max > 0 && k.used[j.Crew] > t.Max+1e-6 {
			k.c.rec.Broken("quota", "%s uses %.1f of %.1f", t.Name, k.used[j.Crew], t.Max)
		}
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
func (k *Checker) watch(stop chan bool) {
	seen := map[string]bool{}
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
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

func (k *Checker) call(node int, method, path string, body any, wait time.Duration) (int, m) {
	var rd io.Reader
	if body != nil {
		data, _ := json.Marshal(body)
		rd = bytes.NewReader(data)
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+k.c.nodes[node].public+path, rd)
	resp, err := k.client.Do(req)
	if err != nil {
		k.c.rec.Log("%s %s at node %d: no answer: %v", method, path, node, err)
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	var out m
	json.Unmarshal(data, &out)
	k.c.rec.Log("%s %s at node %d: %d %s", method, path, node, resp.StatusCode, data)
	return resp.StatusCode, out
}

// Add makes a job known to the workers.
func (k *Checker) Add(j *Job) *Job {
	k.mu.Lock()
	defer k.mu.Unlock()
	j.finished = map[int]bool{}
	j.submitted = true
	k.jobs[j.ID] = j
	k.order = append(k.order, j.ID)
	return j
}

// Submit submits a job once and returns the status.
func (k *Checker) Submit(j *Job, node int) int {
	status, out := k.call(node, "POST", "/submissions", j, 5*time.Second)
	if status == 200 || status == 201 {
		k.c.rec.Log("%s is accepted, answer %v", j.ID, out)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	switch status {
	case 200, 201:
		if j.accepted.IsZero() {
			j.accepted = time.Now()
		}
	case 400, 422:
		if !j.accepted.IsZero() {
			k.c.rec.Broken("forgotten", "repeated submission of %s gets %d", j.ID, status)
		}
	}
	return status
}

// SubmitUntil repeats a submission as a user does, for up to 60 s.
func (k *Checker) SubmitUntil(j *Job) bool {
	end := time.Now().Add(60 * time.Second)
	for time.Now().Before(end) {
		switch k.Submit(j, rand.Intn(len(k.c.nodes))) {
		case 200, 201:
			return true
		case 400, 422:
			return false
		}
		time.Sleep(time.Second)
	}
	return false
}

// Cancel cancels a job once and returns the stage in the answer.
func (k *Checker) Cancel(j *Job, node int) string {
	k.mu.Lock()
	if j.asked.IsZero() {
		j.asked = time.Now()
	}
	k.mu.Unlock()
	status, out := k.call(node, "POST", "/submissions/"+j.ID+"/withdraw", nil, 5*time.Second)
	k.mu.Lock()
	defer k.mu.Unlock()
	if status == 404 && !j.accepted.IsZero() {
		k.c.rec.Broken("forgotten", "%s gets 404", j.ID)
	}
	if status != 200 {
		return ""
	}
	stage, _ := out["stage"].(string)
	k.learn(j, stage)
	return stage
}

// learn notes a final stage that a user was told; the caller holds the lock.
func (k *Checker) learn(j *Job, stage string) {
	switch stage {
	case "withdrawn":
		if j.final == "done" {
			k.c.rec.Broken("went_back", "%s was done, is withdrawn", j.ID)
		}
		if j.asked.IsZero() && !k.upstreamAsked(j) {
			k.c.rec.Broken("went_back", "%s is called withdrawn and nobody asked for that", j.ID)
		}
		j.final = stage
		if j.told.IsZero() {
			j.told = time.Now()
		}
	case "done":
		if j.final == "withdrawn" {
			k.c.rec.Broken("went_back", "%s was withdrawn, is done", j.ID)
		}
		if len(j.finished) < j.Pieces {
			k.c.rec.Broken("not_done", "%s is called done with %d of %d tasks", j.ID, len(j.finished), j.Pieces)
		}
		j.final = stage
		if j.doneTold.IsZero() {
			j.doneTold = time.Now()
		}
	}
}

func (k *Checker) upstreamAsked(j *Job) bool {
	for _, d := range j.WaitsOn {
		if dep := k.jobs[d]; dep != nil && (!dep.asked.IsZero() || k.upstreamAsked(dep)) {
			return true
		}
	}
	return false
}

// Poll asks once and judges the answer by what the user knew when asking.
func (k *Checker) Poll(j *Job, node int) string {
	k.mu.Lock()
	wasAccepted, wasFinal := !j.accepted.IsZero(), j.final
	k.mu.Unlock()
	status, out := k.call(node, "GET", "/submissions/"+j.ID, nil, 2*time.Second)
	k.mu.Lock()
	defer k.mu.Unlock()
	stage, _ := out["stage"].(string)
	switch {
	case status == 404 && wasAccepted:
		k.c.rec.Broken("forgotten", "%s gets 404 at node %d", j.ID, node)
	case status == 200:
		j.lastPoll = time.Now()
		if id, _ := out["id"].(string); id != j.ID {
			k.c.rec.Broken("foreign", "asked for %s, got %s", j.ID, id)
		}
		if wasFinal != "" && stage != wasFinal {
			k.c.rec.Broken("went_back", "%s was %s, node %d says %s", j.ID, wasFinal, node, stage)
		}
		if !j.told.IsZero() || j.final != "" || stage == "done" || stage == "withdrawn" {
			if stage == "done" || stage == "withdrawn" {
				k.learn(j, stage)
			}
		}
	}
	return stage
}

func field(data json.RawMessage, name string) string {
	var out m
	json.Unmarshal(data, &out)
	s, _ := out[name].(string)
	return s
}
