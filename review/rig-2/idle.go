package main

import (
	"fmt"
	"math/rand"
	"sync"
	"time"
)

func init() { cases["idle-block"] = idleBlock }

// room lists the machines on which a task of a job that allows no cheap machines would fit.
func room(c *Cluster, j *Job) (list []string) {
	for _, w := range c.cloud.Workers() {
		w.mu.Lock()
		cpus, ram := w.t.CPUs, w.t.RAM
		for _, t := range w.tasks {
			if t.stage != "ended" {
				cpus -= t.job.VCPUs
				ram -= t.job.RAM
			}
		}
		if !w.dead && (j.Loaner || !w.loaner) && cpus >= j.VCPUs && ram >= j.RAM {
			list = append(list, fmt.Sprintf("%s(%s, %.0f CPUs and %.0f GB free, %d tasks)", w.id, w.yard, cpus, ram, len(w.tasks)))
		}
		w.mu.Unlock()
	}
	return list
}

func idleBlock(trouble bool) (Config, func(c *Cluster) int) {
	cfg := ezo()
	cfg.setNodes(5)
	cfg.Pools = func(build, yard string, loaner bool) int {
		if build == "kvari-large" {
			return 1
		}
		return 3
	}
	return cfg, func(c *Cluster) int {
		k := c.check
		if !waitFor(20*time.Second, func() bool { return c.Holder(0) >= 0 && c.Holder(1) >= 0 }) {
			return 2
		}
		boards := arrivals(c, trouble, 3, func(j *Job) { j.Spread = true })
		time.Sleep(4 * time.Second)
		// Users withdraw most boards. Each large machine keeps one of those that it has.
		keep := map[string]bool{}
		for _, w := range c.cloud.Workers() {
			if w.t.Name != "kvari-large" {
				continue
			}
			w.mu.Lock()
			best := ""
			for _, t := range w.tasks {
				if t.stage == "running" && (best == "" || !keep[best] && (keep[t.job.ID] || t.job.ID < best)) {
					best = t.job.ID
				}
			}
			w.mu.Unlock()
			if best != "" {
				keep[best] = true
			}
		}
		var wg sync.WaitGroup
		for _, j := range boards {
			if keep[j.ID] {
				continue
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				for range 20 {
					if k.Cancel(j, rand.Intn(len(c.nodes))) != "" {
						return
					}
					time.Sleep(time.Second)
				}
			}()
		}
		wg.Wait()
		c.rec.Log("kept %v", keep)
		time.Sleep(time.Second)
		j := k.Add(&Job{ID: "run-900000", Lane: "digest-build", Crew: "ubani", Shape: "sweep", Rank: "normal", Pieces: 2, VCPUs: 8, RAM: 30,
			Bundle: "img-digest", SizeGB: 1.8, GuessS: 20, run: 5 * time.Second})
		if !k.SubmitUntil(j) {
			return 2
		}
		since := time.Now()
		began := false
		for time.Since(since) < 91*time.Second && !began {
			time.Sleep(time.Second)
			free := room(c, j)
			c.rec.Log("digest waits %.0f s, poll says %q, room on %v", time.Since(since).Seconds(), k.Poll(j, 0), free)
			k.mu.Lock()
			for p := range k.running {
				if id, _ := splitPiece(p); id == j.ID {
					began = true
				}
			}
			began = began || len(j.finished) > 0
			k.mu.Unlock()
			if len(free) == 0 {
				since = time.Now()
				if time.Since(c.rec.began) > 28*time.Second {
					c.rec.Log("no machine has room")
					return 2
				}
			}
		}
		if !began {
			c.rec.Broken("left_waiting", "run-900000 waits for 90 s while a machine that fits has room: %v", room(c, j))
			return 1
		}
		return 0
	}
}

// arrivals lets board-live come for 16 s: 30 a minute as the page says, or 2.5 times as often.
func arrivals(c *Cluster, trouble bool, pieces int, change func(*Job)) (list []*Job) {
	every := 2 * time.Second
	if trouble {
		every = 800 * time.Millisecond
		c.rec.Log("fault board-live comes 2.5 times as often")
	}
	var wg sync.WaitGroup
	end := time.Now().Add(16 * time.Second)
	for i := 0; time.Now().Before(end); i++ {
		j := &Job{ID: fmt.Sprintf("run-%06d", i), Lane: "board-live", Crew: c.cfg.Teams[i%4].Name, Shape: "standing", Rank: "critical", Pieces: pieces,
			VCPUs: 2, RAM: 12, Bundle: "img-board", SizeGB: 0.7}
		change(j)
		list = append(list, c.check.Add(j))
		wg.Add(1)
		go func() { defer wg.Done(); c.check.SubmitUntil(j) }()
		time.Sleep(every)
	}
	wg.Wait()
	c.rec.Log("the burst is over: %d boards came", len(list))
	return list
}
