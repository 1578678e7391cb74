package main

import (
	"time"
)

func init() { cases["drained-room"] = drainedRoom }

func drainedRoom(trouble bool) (Config, func(c *Cluster) int) {
	cfg := ezo()
	return cfg, func(c *Cluster) int {
		k := c.check
		if !waitFor(20*time.Second, func() bool { return c.Holder(0) >= 0 }) {
			return 2
		}
		const actual = 170
		guess := float64(actual)
		if trouble {
			guess = 100
			c.rec.Log("fault the owner's estimate is 100 s, the tasks run 170 s")
		}
		first := k.Add(&Job{ID: "run-000001", Lane: "digest-build", Crew: "ubani", Shape: "sweep", Rank: "normal", Pieces: 5, VCPUs: 8, RAM: 30,
			Bundle: "img-digest", SizeGB: 0.5, GuessS: guess, run: actual * time.Second})
		if !k.SubmitUntil(first) {
			return 2
		}
		if !waitFor(10*time.Second, func() bool {
			k.mu.Lock()
			defer k.mu.Unlock()
			return len(k.running) == 5
		}) {
			return 2
		}
		time.Sleep(13 * time.Second)
		j := k.Add(&Job{ID: "run-900000", Lane: "digest-build", Crew: "kari", Shape: "sweep", Rank: "normal", Pieces: 1, VCPUs: 8, RAM: 30,
			Bundle: "img-digest", SizeGB: 0.5, GuessS: 10, run: 10 * time.Second})
		if !k.SubmitUntil(j) {
			return 2
		}
		return leftWaiting(c, j, 136)
	}
}

// leftWaiting watches a job that waits. It judges only the time in which a machine that fits has
// room and the team is under its limit.
func leftWaiting(c *Cluster, j *Job, limit float64) int {
	k := c.check
	since := time.Now()
	for time.Since(since) < 91*time.Second {
		time.Sleep(time.Second)
		free := room(c, j)
		stage := k.Poll(j, 0)
		used, began := k.usedBy(j.Crew), k.begun(j)
		c.rec.Log("%s waits %.0f s, poll says %q, %s uses %.0f of %.0f CPUs, room on %v", j.ID, time.Since(since).Seconds(), stage, j.Crew, used, limit, free)
		if began {
			return 0
		}
		if len(free) == 0 || used+j.VCPUs > limit {
			since = time.Now()
			if time.Since(c.rec.began) > 28*time.Second {
				c.rec.Log("no machine has room, or the team is at its limit")
				return 2
			}
		}
	}
	c.rec.Broken("left_waiting", "%s waits for 90 s, %s uses %.0f of %.0f CPUs, room on %v", j.ID, j.Crew, k.usedBy(j.Crew), limit, room(c, j))
	return 1
}
