package main

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["search"] = playSearch }

// search plays random jobs and troubles. It is no case: it looks for broken rules.
type search struct {
	rig  *rig
	end  time.Time // of new jobs
	old  string    // the program of an earlier version, with which the controllers begin; "": none
	mu   sync.Mutex
	ids  []string // accepted jobs
	last int      // number of the last job
	work sync.WaitGroup
}

func playSearch(r *rig, trouble bool) (int, string) {
	s := &search{rig: r, old: os.Getenv("OLD")}
	for _, n := range r.nodes {
		n.oldProgram = s.old
	}
	if err := r.startAll(); err != nil {
		return exitNotRun, err.Error()
	}
	if !r.waitReady(20*time.Second, 0, 1) {
		return exitNotRun, "the controllers did not become healthy"
	}
	s.end = time.Now().Add(58 * time.Second)
	for range 2 {
		s.work.Go(s.submitJobs)
	}
	stop := make(chan struct{})
	go s.poll(stop)
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	if trouble {
		s.troubles(rand.New(rand.NewPCG(seed, 9)))
	}
	s.work.Wait()
	r.rec.add("rig: troubles over")
	left := s.awaitEnds(30 * time.Second)
	close(stop)
	r.check.mu.Lock()
	defer r.check.mu.Unlock()
	summary := fmt.Sprintf("seed %d: %d jobs, %d starts, %d left, %d broken, %d notes, crashed %v",
		seed, len(s.ids), r.check.starts, left, len(r.check.broken), len(r.check.notes), r.crashed)
	code := exitHeld
	if len(r.check.broken) > 0 || len(r.crashed) > 0 {
		code = exitBroken
	}
	return code, summary + "\n" + strings.Join(append(r.check.broken, r.check.notes...), "\n")
}

// randomJob draws a job. With waiting jobs it may wait for one of the last that were accepted.
func (s *search) randomJob() *jobSpec {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	shape, pieces, run := "sweep", 1+rand.IntN(12), 0.3+4*rand.Float64()
	if rand.IntN(5) == 0 {
		run = 12
	}
	if rand.IntN(5) == 0 {
		shape, pieces = "standing", 1+rand.IntN(3)
	}
	spec := newJob(s.last, shape, pieces, float64(1+rand.IntN(4)), run)
	spec.Same, spec.Loaner = rand.IntN(6) == 0, rand.IntN(2) == 0
	spec.Spread = !spec.Same && rand.IntN(6) == 0
	spec.Rank = []string{"critical", "urgent", "normal", "best_effort"}[rand.IntN(4)]
	if rand.IntN(3) == 0 {
		spec.Mark, spec.Stash = 1, 0.5
	}
	if s.old == "" && len(s.ids) > 0 && rand.IntN(3) == 0 {
		before := s.ids[len(s.ids)-1-rand.IntN(min(len(s.ids), 5))]
		if s.rig.job(before).Shape == "sweep" {
			spec.WaitsOn = []string{before}
		}
	}
	return spec
}

// submitJobs is a user that submits jobs and cancels some.
func (s *search) submitJobs() {
	r := s.rig
	for time.Now().Before(s.end) {
		spec := s.randomJob()
		if status, _ := r.submit(spec, 30*time.Second); status == http.StatusCreated || status == http.StatusOK {
			s.mu.Lock()
			s.ids = append(s.ids, spec.ID)
			s.mu.Unlock()
			r.looks(spec.ID)
			if spec.Shape == "standing" || rand.IntN(4) == 0 {
				s.work.Go(func() {
					time.Sleep(time.Duration(rand.IntN(15000)) * time.Millisecond)
					r.cancel(spec.ID, 40*time.Second, rand.IntN(len(r.nodes)), rand.IntN(len(r.nodes)), 0, 1, 2)
					r.looks(spec.ID)
				})
			}
		}
		time.Sleep(time.Duration(rand.IntN(2000)) * time.Millisecond)
	}
}

// poll asks about the jobs until it is told to stop.
func (s *search) poll(stop <-chan struct{}) {
	r := s.rig
	for {
		select {
		case <-stop:
			return
		case <-time.After(300 * time.Millisecond):
		}
		if ids := s.accepted(); len(ids) > 0 {
			go r.look(rand.IntN(len(r.nodes)), ids[rand.IntN(len(ids))])
		}
		r.check.sweepCancelled()
	}
}

func (s *search) accepted() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string{}, s.ids...)
}

// awaitEnds waits until all arrays have ended and returns how many have not.
func (s *search) awaitEnds(limit time.Duration) (left int) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		left = 0
		for _, id := range s.accepted() {
			if s.rig.check.finalOf(id) == "" && s.rig.job(id).Shape == "sweep" {
				s.rig.look(0, id)
				left++
			}
		}
		if left == 0 {
			return 0
		}
	}
	return left
}

// job returns a job as its user uploaded it.
func (r *rig) job(id string) *jobSpec {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.jobs[id]
}

// look asks one controller about a job.
func (r *rig) look(i int, id string) {
	sent := time.Now()
	status, answer := r.ask(i, "GET", "/submissions/"+id, "")
	r.check.polled(id, sent, status, answer)
}

// looks asks all controllers at once, and repeats the submission at each.
func (r *rig) looks(id string) {
	var all sync.WaitGroup
	for i := range r.nodes {
		all.Go(func() {
			r.look(i, id)
			final := r.check.finalOf(id)
			status, answer := r.ask(i, "POST", "/submissions", encode(r.job(id)))
			r.check.repeated(id, final, status, stageOf(answer))
		})
	}
	all.Wait()
}

// finalOf returns the end of a job as its user was told, or "".
func (c *checker) finalOf(id string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.final[id]
}

// repeated judges the answer to a repeated submission. final is what the user was told before.
func (c *checker) repeated(id, final string, status int, stage string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case status == http.StatusBadRequest || status == http.StatusUnprocessableEntity || status == http.StatusCreated:
		c.fail("forgotten: repeated %s gets %d", id, status)
	case status == http.StatusOK && final != "" && stage != final:
		c.fail("went_back: %s was %s and is called %s", id, final, cmp.Or(stage, "nothing"))
	}
}
