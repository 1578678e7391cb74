package main

import (
	"time"
)

func init() { cases["quota-split"] = quotaSplit }

func quotaSplit(trouble bool) (Config, func(c *Cluster) int) {
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
		// A long digest of another team runs all the time.
		long := k.Add(&Job{ID: "run-800000", Lane: "digest-build", Crew: "ubani", Shape: "sweep", Rank: "normal", Pieces: 2, VCPUs: 8, RAM: 30,
			Bundle: "img-digest", SizeGB: 1.8, Loaner: true, GuessS: 200, run: 200 * time.Second})
		if !k.SubmitUntil(long) {
			return 2
		}
		yard := "vake"
		arrivals(c, trouble, 6, func(j *Job) { j.Crew, j.Yard = "kari", &yard })
		time.Sleep(2 * time.Second)
		j := k.Add(&Job{ID: "run-900000", Lane: "digest-build", Crew: "kari", Shape: "sweep", Rank: "normal", Pieces: 2, VCPUs: 8, RAM: 30,
			Bundle: "img-digest", SizeGB: 1.8, Loaner: true, GuessS: 20, run: 5 * time.Second})
		if !k.SubmitUntil(j) {
			return 2
		}
		since := time.Now()
		for time.Since(since) < 91*time.Second {
			time.Sleep(time.Second)
			free := room(c, j)
			stage := k.Poll(j, 0)
			k.mu.Lock()
			used := k.used["kari"]
			began := len(j.finished) > 0
			for p := range k.running {
				if id, _ := splitPiece(p); id == j.ID {
					began = true
				}
			}
			k.mu.Unlock()
			c.rec.Log("digest waits %.0f s, poll says %q, kari uses %.0f of 136 CPUs, room on %v", time.Since(since).Seconds(), stage, used, free)
			if began {
				return 0
			}
			if len(free) == 0 || used+j.VCPUs > 136 {
				since = time.Now()
				if time.Since(c.rec.began) > 28*time.Second {
					c.rec.Log("no machine has room, or the team is at its limit")
					return 2
				}
			}
		}
		c.rec.Broken("left_waiting", "run-900000 waits for 90 s, kari uses %.0f of 136 CPUs, room on %v", k.used["kari"], room(c, j))
		return 1
	}
}
