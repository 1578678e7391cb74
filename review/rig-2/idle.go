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
		cpus, ram, _ := w.booked("")
		cpus, ram = w.t.CPUs-cpus, w.t.RAM-ram
		if !w.dead && (j.Loaner || !w.loaner) && cpus >= j.VCPUs && ram >= j.RAM {
			list = append(list, fmt.Sprintf("%s(%s, %.0f CPUs and %.0f GB free, %d tasks)", w.id, w.yard, cpus, ram, len(w.tasks)))
		}
		w.mu.Unlock()
	}
	return list
}

// smallPools is the capacity of the small size of ezo-boards-grown.
func smallPools(build string) int {
	if build == "kvari-large" {
		return 1
	}
	return 3
}

// granted waits until the first shards are granted.
func granted(c *Cluster) bool {
	return waitFor(20*time.Second, func() bool { return c.Holder(0) >= 0 && c.Holder(1) >= 0 })
}

func idleBlock(trouble bool) (Config, func(c *Cluster) int) {
	cfg := ezo()
	cfg.setNodes(5)
	cfg.Pools = smallPools
	return cfg, func(c *Cluster) int {
		if !granted(c) {
			return 2
		}
		boards := arrivals(c, trouble, 6, func(j *Job) { j.Spread = true })
		time.Sleep(4 * time.Second)
		keep := map[string]bool{}
		for _, w := range c.cloud.Workers() {
			if board := oneBoard(w, keep); w.t.Name == "kvari-large" && board != "" {
				keep[board] = true
			}
		}
		withdraw(c, boards, keep)
		c.rec.Log("kept %v", keep)
		time.Sleep(time.Second)
		j := c.check.Add(&Job{ID: "run-900000", Lane: "digest-build", Crew: "ubani", Shape: "sweep", Rank: "normal", Pieces: 2, VCPUs: 8, RAM: 30,
			Bundle: "img-digest", SizeGB: 1.8, GuessS: 20, run: 5 * time.Second})
		if !c.check.SubmitUntil(j) {
			return 2
		}
		return leftWaiting(c, j, 176)
	}
}

// oneBoard returns a job that runs on a machine, one that is kept already if there is one.
func oneBoard(w *Worker, keep map[string]bool) (best string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.tasks {
		better := best == "" || !keep[best] && (keep[t.job.ID] || t.job.ID < best)
		if t.stage == "running" && better {
			best = t.job.ID
		}
	}
	return best
}

// withdraw lets users withdraw all boards but those to be kept.
func withdraw(c *Cluster, boards []*Job, keep map[string]bool) {
	var wg sync.WaitGroup
	for _, j := range boards {
		if keep[j.ID] {
			continue
		}
		wg.Go(func() {
			for tries := 0; tries < 20 && c.check.Cancel(j, rand.Intn(len(c.nodes))) == ""; tries++ {
				time.Sleep(time.Second)
			}
		})
	}
	wg.Wait()
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
		wg.Go(func() { c.check.SubmitUntil(j) })
		time.Sleep(every)
	}
	wg.Wait()
	c.rec.Log("the burst is over: %d boards came", len(list))
	return list
}
