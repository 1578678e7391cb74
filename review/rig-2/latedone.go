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
		copied := &copiedCommand{}
		c.onCommand = copied.note
		job := func(id, build string, pieces int, run time.Duration) *Job {
			j := k.Add(&Job{ID: id, Lane: "digest-build", Crew: "kari", Shape: "sweep", Rank: "normal", Pieces: pieces, VCPUs: 4, RAM: 20,
				Bundle: "img-digest", SizeGB: 0.5, Builds: []string{build}, Loaner: true, GuessS: run.Seconds(), run: run})
			k.SubmitUntil(j)
			return j
		}
		job("run-000001", "kvari-large", 33, 200*time.Second)
		short := job("run-000002", "kvari-small", 1, 8*time.Second)
		if !waitFor(40*time.Second, func() bool { return k.isOn("run-000002/0") && k.isOn("run-000001/32") }) {
			return 2
		}
		job("run-000003", "kvari-large", 1, 200*time.Second)
		if !waitFor(40*time.Second, func() bool { return !short.doneAt.IsZero() && k.isOn("run-000003/0") }) {
			return 2
		}
		c.rec.Log("kari uses %.0f of 136 CPUs, command %s", k.usedBy("kari"), copied.body)
		if copied.body == nil {
			return 2
		}
		if trouble {
			copied.machine.Restart()
			time.Sleep(time.Second)
			status, out := copied.machine.command(copied.body)
			c.rec.Log("late copy of the command: %d %s", status, out)
		}
		time.Sleep(10 * time.Second)
		return min(c.rec.Count("quota"), 1)
	}
}

// copiedCommand is a copy of the direct command that started the short task.
type copiedCommand struct {
	mu      sync.Mutex
	body    []byte
	machine *Worker
}

func (d *copiedCommand) note(w *Worker, body []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.body == nil && bytes.Contains(body, []byte(`"verb":"start","piece":"run-000002/0"`)) {
		d.body, d.machine = bytes.Clone(body), w
	}
}

// isOn reports whether a task is on a machine.
func (k *Checker) isOn(piece string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.running[piece]) > 0
}
