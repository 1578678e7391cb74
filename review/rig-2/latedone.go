package main

import (
	"bytes"
	"sync"
	"time"
)

func init() { cases["late-done"] = lateDone }

// lateDone restarts the machine of a task that is done, and then delivers a copy of the command
// that started it, while the team is at its limit.
func lateDone(trouble bool) (Config, func(c *Cluster) int) {
	cfg := ezo()
	return cfg, func(c *Cluster) int {
		k := c.check
		if !waitFor(20*time.Second, func() bool { return c.Holder(0) >= 0 }) {
			return 2
		}
		var mu sync.Mutex
		var copied []byte
		var machine *Worker
		c.onCommand = func(w *Worker, body []byte) {
			mu.Lock()
			defer mu.Unlock()
			if copied == nil && bytes.Contains(body, []byte(`"verb":"start","piece":"run-000002/0"`)) {
				copied, machine = bytes.Clone(body), w
			}
		}
		job := func(id, build string, pieces int, run time.Duration) *Job {
			j := k.Add(&Job{ID: id, Lane: "digest-build", Crew: "kari", Shape: "sweep", Rank: "normal", Pieces: pieces, VCPUs: 4, RAM: 20,
				Bundle: "img-digest", SizeGB: 0.5, Builds: []string{build}, Loaner: true, GuessS: run.Seconds(), run: run})
			k.SubmitUntil(j)
			return j
		}
		job("run-000001", "kvari-large", 33, 200*time.Second)
		short := job("run-000002", "kvari-small", 1, 8*time.Second)
		runs := func(piece string) bool {
			k.mu.Lock()
			defer k.mu.Unlock()
			return len(k.running[piece]) > 0
		}
		if !waitFor(40*time.Second, func() bool { return runs("run-000002/0") && runs("run-000001/32") }) {
			return 2
		}
		job("run-000003", "kvari-large", 1, 200*time.Second)
		if !waitFor(40*time.Second, func() bool { return !short.doneAt.IsZero() && runs("run-000003/0") }) {
			return 2
		}
		mu.Lock()
		defer mu.Unlock()
		k.mu.Lock()
		c.rec.Log("kari uses %.0f of 136 CPUs, command %s", k.used["kari"], copied)
		k.mu.Unlock()
		if copied == nil {
			return 2
		}
		if trouble {
			machine.Restart()
			time.Sleep(time.Second)
			status, out := machine.command(copied)
			c.rec.Log("late copy of the command: %d %s", status, out)
		}
		time.Sleep(10 * time.Second)
		return min(c.rec.Count("quota"), 1)
	}
}
