package main

import (
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"time"
)

func init() { cases["chaos"] = chaos }

// number returns a number from the environment, or a default.
func number(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

// chaosRun is a run with jobs and troubles drawn from a seed. Real time does not repeat, so a
// seed does not bring back a run.
type chaosRun struct {
	c         *Cluster
	jobs      *rand.Rand
	troubles  *rand.Rand
	end       time.Time
	quiet     time.Duration // no jobs come in the last part of this length
	gap       int           // least time between two jobs in ms
	submitted []string      // the latest arrays
}

func chaos(trouble bool) (Config, func(c *Cluster) int) {
	cfg := ezo()
	cfg.setNodes(3)
	cfg.ReportS, cfg.LeaseS, cfg.CancelS = 0.8, 8, 16
	cfg.Teams = []Team{{"sakhli", 8, 20}, {"ubani", 8, 24}, {"mtsvane", 8, 24}, {"kari", 8, 0}}
	cfg.Capacity = 20
	if os.Getenv("SITE") == "repechage" {
		cfg.Store = StoreLimits{200, 20, 4, 8}
		cfg.CloudRPS, cfg.ListLagS = 10, 10
	}
	seed := int64(number("SEED", 1))
	run := &chaosRun{
		jobs: rand.New(rand.NewSource(seed)), troubles: rand.New(rand.NewSource(seed + 1)),
		quiet: time.Duration(number("QUIET", 15)) * time.Second, gap: number("GAP", 300),
	}
	return cfg, func(c *Cluster) int {
		run.c = c
		if !granted(c) {
			return 2
		}
		run.end = time.Now().Add(time.Duration(number("SECS", 90)) * time.Second)
		go run.submitJobs()
		if share := number("SHARE", 0); share > 0 {
			for _, n := range c.nodes {
				go n.Throttle(share, run.end)
			}
		}
		time.Sleep(8 * time.Second)
		for trouble && time.Now().Before(run.end.Add(-run.quiet-15*time.Second)) {
			run.makeTrouble()
			time.Sleep(time.Duration(1000+run.troubles.Intn(6000)) * time.Millisecond)
		}
		run.watchWaiting()
		run.report(seed)
		return min(len(c.rec.broken), 1)
	}
}

func (r *chaosRun) submitJobs() {
	for n := 1; time.Now().Before(r.end.Add(-r.quiet)); n++ {
		j := r.draw(n)
		cancel := r.jobs.Intn(3) == 0 || j.Shape == "standing"
		after := time.Duration(r.jobs.Intn(9000)) * time.Millisecond
		r.c.check.Add(j)
		go r.follow(j, cancel, after)
		time.Sleep(time.Duration(r.gap+r.jobs.Intn(3*r.gap)) * time.Millisecond)
	}
}

// draw draws a job.
func (r *chaosRun) draw(n int) *Job {
	rnd := r.jobs
	ranks := []string{"critical", "urgent", "normal", "best_effort"}
	j := &Job{ID: fmt.Sprintf("run-%06d", n), Lane: "digest-build", Crew: r.c.cfg.Teams[rnd.Intn(4)].Name, Shape: "sweep", Rank: ranks[rnd.Intn(4)],
		Pieces: 1 + rnd.Intn(5), VCPUs: float64(1 + rnd.Intn(3)), RAM: 2, Bundle: "img-" + itoa(rnd.Intn(3)), SizeGB: 0.2, Loaner: rnd.Intn(2) == 0,
		GuessS: 4, run: time.Duration(500+rnd.Intn(6000)) * time.Millisecond}
	if rnd.Intn(4) == 0 {
		j.Shape, j.GuessS, j.Loaner, j.Lane = "standing", 0, false, "board-live"
	}
	switch rnd.Intn(6) {
	case 0:
		j.Spread = true
	case 1:
		j.Togeth = true
	}
	r.c.check.mu.Lock()
	defer r.c.check.mu.Unlock()
	if prev := r.submitted; j.Shape == "sweep" && len(prev) > 0 && rnd.Intn(3) == 0 {
		j.WaitsOn = []string{prev[rnd.Intn(len(prev))]}
	}
	return j
}

// follow is the user of a job: it submits, repeats, asks and perhaps cancels.
func (r *chaosRun) follow(j *Job, cancel bool, after time.Duration) {
	k := r.c.check
	if !k.SubmitUntil(j) {
		return
	}
	if j.Shape == "sweep" {
		k.mu.Lock()
		r.submitted = append(r.submitted, j.ID)
		r.submitted = r.submitted[max(0, len(r.submitted)-6):]
		k.mu.Unlock()
	}
	go r.ask(j)
	if rand.Intn(3) == 0 {
		k.Submit(j, rand.Intn(len(r.c.nodes)))
	}
	if !cancel {
		return
	}
	time.Sleep(after)
	for time.Now().Before(r.end) && k.Cancel(j, rand.Intn(len(r.c.nodes))) == "" {
		time.Sleep(time.Second)
	}
}

// ask polls at all controllers, and now and then goes on after the end.
func (r *chaosRun) ask(j *Job) {
	for time.Now().Before(r.end) {
		stage := r.c.check.Poll(j, rand.Intn(len(r.c.nodes)))
		time.Sleep(time.Duration(200+rand.Intn(800)) * time.Millisecond)
		if (stage == "done" || stage == "withdrawn") && rand.Intn(30) == 0 {
			return
		}
	}
}

func (r *chaosRun) report(seed int64) {
	k := r.c.check
	k.mu.Lock()
	defer k.mu.Unlock()
	stages, after := map[string]int{}, 0
	for _, j := range k.jobs {
		stages[j.final]++
		after += j.startsAfter
		if j.final == "" && !j.accepted.IsZero() {
			r.c.rec.Log("open: %s %s %s accepted %.0f s ago, %d of %d done, waits on %v", j.ID, j.Crew, j.Rank, time.Since(j.accepted).Seconds(), len(j.finished), j.Pieces, j.WaitsOn)
		}
	}
	fmt.Printf("seed %d: starts %d, done %d, withdrawn %d, open %d, starts after cancel %d, broken %v\n",
		seed, k.starts, stages["done"], stages["withdrawn"], stages[""], after, r.c.rec.broken)
}
