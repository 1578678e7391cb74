package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// checker keeps to the rules of PROTOCOL. Its own lock is taken after rig.mu.
type checker struct {
	rig       *rig
	mu        sync.Mutex
	on        map[string]map[*worker]bool // machines that a task is on
	finished  map[string]bool             // completed tasks
	specs     map[string]*jobSpec
	acceptedA map[string]time.Time
	askedA    map[string]time.Time // a user asked to cancel
	final     map[string]string    // done or withdrawn, as a user was told
	toldAt    map[string]time.Time // the cancellation was confirmed
	broken    []string
	notes     []string
	starts    int

	startsByJob map[string]int
}

func newChecker(r *rig) *checker {
	return &checker{
		rig: r, startsByJob: map[string]int{}, on: map[string]map[*worker]bool{}, finished: map[string]bool{}, specs: map[string]*jobSpec{},
		acceptedA: map[string]time.Time{}, askedA: map[string]time.Time{}, final: map[string]string{}, toldAt: map[string]time.Time{},
	}
}

func (c *checker) fail(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.broken = append(c.broken, text)
	c.rig.rec.add("BROKEN %s", text)
}

func jobOf(piece string) string {
	job, _, _ := strings.Cut(piece, "/")
	return job
}

func (c *checker) submitted(spec *jobSpec) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.specs[spec.ID] = spec
}

func (c *checker) accepted(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.acceptedA[id].IsZero() {
		c.acceptedA[id] = time.Now()
	}
}

func (c *checker) cancelAsked(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.askedA[id].IsZero() {
		c.askedA[id] = time.Now()
	}
}

// told notes what a user was told about the end of a job.
func (c *checker) told(id, stage string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.final[id] != "" && stage != c.final[id] {
		c.fail("went_back: %s was %s and is called %s", id, c.final[id], stage)
	}
	if stage != "done" && stage != "withdrawn" {
		return
	}
	if c.final[id] == "" {
		c.final[id] = stage
	}
	if stage == "withdrawn" && c.toldAt[id].IsZero() {
		c.toldAt[id] = time.Now()
		if c.askedA[id].IsZero() && !c.upstreamAsked(id) {
			c.fail("went_back: %s is called withdrawn and its user didn't cancel it", id)
		}
	}
	if spec := c.specs[id]; stage == "done" && spec != nil {
		for n := range spec.Pieces {
			if piece := fmt.Sprintf("%s/%d", id, n); !c.finished[piece] {
				c.fail("not_done: %s is called done before %s is", id, piece)
			}
		}
	}
}

func (c *checker) upstreamAsked(id string) bool {
	spec := c.specs[id]
	if spec == nil {
		return false
	}
	for _, before := range spec.WaitsOn {
		if !c.askedA[before].IsZero() || c.upstreamAsked(before) {
			return true
		}
	}
	return false
}

// polled judges the answer to a question that was sent at the given time.
func (c *checker) polled(id string, sent time.Time, status int, answer string) {
	c.mu.Lock()
	accepted, final := c.acceptedA[id], c.final[id]
	known := !accepted.IsZero() && accepted.Before(sent)
	if status == 404 && known {
		c.fail("forgotten: %s gets 404", id)
	}
	if status == 200 && c.specs[id] == nil {
		c.fail("invented: 200 for %s", id)
	}
	_ = final
	c.mu.Unlock()
	if status == 200 {
		c.told(id, stageOf(answer))
	}
}

func (c *checker) startOrdered(w *worker, t *workerTask) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := jobOf(t.Piece)
	if told := c.toldAt[id]; !told.IsZero() {
		late := time.Since(told)
		c.notes = append(c.notes, fmt.Sprintf("start command for %s on %s %.3f s after its cancellation was confirmed", t.Piece, w.name, late.Seconds()))
		c.rig.rec.add("NOTE start of %s executed %.3f s after its cancellation was confirmed", t.Piece, late.Seconds())
	}
	for _, before := range t.spec.WaitsOn {
		if spec := c.specs[before]; spec != nil {
			for n := range spec.Pieces {
				if !c.finished[fmt.Sprintf("%s/%d", before, n)] {
					c.fail("too_early: %s starts before %s is done", t.Piece, before)
					break
				}
			}
		}
	}
}

func (c *checker) started(w *worker, t *workerTask) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	c.startsByJob[jobOf(t.Piece)]++
	c.rig.rec.add("%s: %s/%d runs", w.name, t.Piece, t.Try)
	machines := c.on[t.Piece]
	if machines == nil {
		machines = map[*worker]bool{}
		c.on[t.Piece] = machines
	}
	for other := range machines {
		if other != w {
			c.fail("ran_twice: %s starts on %s while it is on %s", t.Piece, w.name, other.name)
		}
	}
	machines[w] = true
	id := jobOf(t.Piece)
	if told := c.toldAt[id]; !told.IsZero() && time.Since(told) > c.rig.seconds(c.rig.set.cancel) {
		c.fail("ran_cancelled: %s starts %.1f s after its cancellation", t.Piece, time.Since(told).Seconds())
	}
	c.checkPlace(w, t)
	c.checkQuota()
}

// checkPlace checks the machine of a task that starts.
func (c *checker) checkPlace(w *worker, t *workerTask) {
	spec := t.spec
	if w.host.spot && !spec.Loaner || spec.Yard != nil && *spec.Yard != w.host.zone {
		c.fail("wrong_place: %s on %s", t.Piece, w.name)
	}
	inZone, elsewhere := 0, 0
	for piece, machines := range c.on {
		if jobOf(piece) != spec.ID {
			continue
		}
		for m := range machines {
			if m.host.zone == w.host.zone {
				inZone++
			} else {
				elsewhere++
			}
		}
	}
	if spec.Same && elsewhere > 0 || spec.Spread && inZone > (spec.Pieces+1)/2 {
		c.fail("wrong_place: %s in zone %s", t.Piece, w.host.zone)
	}
}

// checkQuota checks what the teams use.
func (c *checker) checkQuota() {
	used := map[string]float64{}
	for piece, machines := range c.on {
		if spec := c.rig.jobs[jobOf(piece)]; spec != nil {
			used[spec.Crew] += spec.CPUs * float64(len(machines))
		}
	}
	for _, team := range teams {
		if used[team.name] > team.cpuMax+1e-6 {
			c.fail("quota: %s uses %.1f of %.1f", team.name, used[team.name], team.cpuMax)
		}
	}
}

func (c *checker) left(w *worker, t *workerTask) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.on[t.Piece], w)
}

func (c *checker) done(piece string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finished[piece] = true
}

func (c *checker) isDone(piece string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.finished[piece]
}

// sweepCancelled looks for tasks of cancelled jobs that are still on a machine.
func (c *checker) sweepCancelled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for piece, machines := range c.on {
		told := c.toldAt[jobOf(piece)]
		if len(machines) > 0 && !told.IsZero() && time.Since(told) > c.rig.seconds(c.rig.set.cancel) {
			c.fail("ran_cancelled: %s is on a machine %.1f s after its cancellation", piece, time.Since(told).Seconds())
		}
	}
}

// startsOf returns how often tasks of a job have started.
func (c *checker) startsOf(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.startsByJob[id]
}

// onMachine reports whether a task of a job is on a machine.
func (c *checker) onMachine(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for piece, machines := range c.on {
		if jobOf(piece) == id && len(machines) > 0 {
			return true
		}
	}
	return false
}
