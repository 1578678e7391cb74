package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"
)

func init() { cases["restarted-machine"] = playRestartedMachine }

// playRestartedMachine runs a task on one machine and keeps room for it on another. The first
// machine restarts within a moment. After the task was started on the other machine, a late
// copy of the command that had started it arrives at the first.
func playRestartedMachine(r *rig, trouble bool) (int, string) {
	if problem := r.begin(); problem != "" {
		return exitNotRun, problem
	}
	service, filler, task := newJob(3, "standing", 1, 1, 0), newJob(6, "sweep", 1, 3, 6), newJob(9, "sweep", 1, 2, 60)
	if problem := r.runInTurn(service, filler, task); problem != "" {
		return exitNotRun, problem
	}
	first := r.check.machineOf(task.ID + "/0")
	if first == nil || first == r.check.machineOf(service.ID+"/0") {
		return exitNotRun, "the task does not have a machine of its own"
	}
	if !r.waitFor(20*time.Second, func() bool { return r.check.isDone(filler.ID + "/0") }) {
		return exitNotRun, "the room on the other machine was not freed"
	}
	time.Sleep(time.Second)
	if trouble {
		r.restartAndCopy(first, task.ID+"/0", os.Getenv("HALF"))
	}
	time.Sleep(15 * time.Second)
	r.check.sweepCancelled()
	r.check.mu.Lock()
	defer r.check.mu.Unlock()
	if len(r.check.broken) > 0 {
		return exitBroken, "broken: " + strings.Join(r.check.broken, "\n")
	}
	return exitHeld, fmt.Sprintf("held: %d starts, no task was on two machines", r.check.starts)
}

// runInTurn submits jobs of one task and of the same image, each once the one before runs.
func (r *rig) runInTurn(specs ...*jobSpec) (problem string) {
	for _, spec := range specs {
		spec.Loaner, spec.Builds, spec.Bundle = false, []string{"kvari-small"}, "img-07"
		if status, _ := r.submit(spec, 30*time.Second); status != http.StatusCreated {
			return "a job was not accepted"
		}
		if !r.waitFor(20*time.Second, func() bool { return r.check.startsOf(spec.ID) > 0 }) {
			return "a job did not start"
		}
	}
	return ""
}

// restartAndCopy restarts the machine of a task, and delivers a copy of the command that had started
// the task once it was started elsewhere. With half "restart" or "copy" it does that half only.
func (r *rig) restartAndCopy(first *worker, piece, half string) {
	if half != "copy" {
		first.restart()
	}
	moved := r.waitFor(25*time.Second, func() bool {
		machine := r.check.machineOf(piece)
		return machine != nil && machine != first
	})
	r.rec.add("rig: the task was started on another machine: %v", moved)
	time.Sleep(2 * time.Second)
	if half != "restart" {
		first.deliverCopies()
	}
}

// machineOf returns a machine that a task is on, or nil.
func (c *checker) machineOf(piece string) *worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	for w := range c.on[piece] {
		return w
	}
	return nil
}
