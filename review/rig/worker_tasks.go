package main

import (
	"strconv"
	"strings"
	"time"
)

func (w *worker) find(piece string, try uint64) (int, *workerTask) {
	for i, t := range w.tasks {
		if t.Piece == piece && t.Try == try {
			return i, t
		}
	}
	return -1, nil
}

func (w *worker) execute(orders []order, from string) {
	for _, o := range orders {
		i, task := w.find(o.Piece, o.Try)
		w.rig.rec.add("%s: order %s %s/%d from %s", w.name, o.Verb, o.Piece, o.Try, from)
		switch {
		case o.Verb == "start" && task == nil:
			w.startTask(o)
		case o.Verb == "halt" && task != nil && task.Stage != "ended":
			w.halt(task, o.Leeway)
		case o.Verb == "reap" && task != nil && task.Stage == "ended":
			w.tasks = append(w.tasks[:i:i], w.tasks[i+1:]...)
			w.notify()
		}
	}
}

// startTask begins an attempt, or refuses it.
func (w *worker) startTask(o order) {
	task := &workerTask{taskReport: taskReport{Piece: o.Piece, Try: o.Try}, spec: w.rig.jobs[jobOf(o.Piece)]}
	cause := w.refusal(task)
	w.tasks = append(w.tasks, task)
	w.notify()
	if cause != "" {
		task.Stage, task.Cause = "ended", cause
		w.rig.rec.add("%s: start of %s/%d refused: %s", w.name, o.Piece, o.Try, cause)
		return
	}
	w.rig.check.startOrdered(w, task)
	task.Stage = "fetching"
	fetch := time.Duration(0)
	if !w.images[task.spec.Bundle] {
		fetch = w.rig.seconds(task.spec.Size / w.host.kind.Fetch)
	}
	w.after(task, fetch, func() { w.run(task) })
}

// refusal returns why a start is refused, or "" if it is not.
func (w *worker) refusal(task *workerTask) string {
	_, number, _ := strings.Cut(task.Piece, "/")
	n, err := strconv.Atoi(number)
	if task.spec == nil || err != nil || n < 0 || n >= task.spec.Pieces {
		return "no_such"
	}
	cpus, ram := task.spec.CPUs, task.spec.RAM
	for _, other := range w.tasks {
		if other.Piece == task.Piece {
			return "in_use"
		}
		if other.Stage != "ended" {
			cpus += other.spec.CPUs
			ram += other.spec.RAM
		}
	}
	if cpus > w.host.kind.CPUs+1e-6 || ram > w.host.kind.RAM+1e-6 {
		return "full"
	}
	return ""
}

// after calls f later unless the task has ended; a machine that hangs delays it.
func (w *worker) after(task *workerTask, d time.Duration, f func()) {
	w.endTimer(task)
	task.timer = time.AfterFunc(d, func() {
		w.rig.mu.Lock()
		defer w.rig.mu.Unlock()
		if _, found := w.find(task.Piece, task.Try); found != task || !w.alive || task.Stage == "ended" {
			return
		}
		if time.Now().Before(w.frozen) {
			w.after(task, time.Until(w.frozen)+time.Millisecond, f)
			return
		}
		f()
	})
}

func (w *worker) run(task *workerTask) {
	w.images[task.spec.Bundle] = true
	task.Stage = "running"
	w.rig.check.started(w, task)
	w.notify()
	switch {
	case w.rig.check.isDone(task.Piece):
		w.end(task, "done")
	case task.spec.Shape == "sweep":
		w.after(task, w.rig.seconds(task.spec.runS), func() {
			w.rig.check.done(task.Piece)
			w.end(task, "done")
		})
	}
}

func (w *worker) halt(task *workerTask, leeway *float64) {
	savable := task.Stage == "running" && task.spec.Mark > 0
	switch {
	case savable && leeway != nil && *leeway >= task.spec.Stash:
		task.Stage = "saving"
		w.notify()
		w.after(task, w.rig.seconds(task.spec.Stash), func() {
			task.Saved = true
			w.end(task, "stopped")
		})
	case task.Stage != "saving" || leeway != nil && *leeway == 0:
		w.end(task, "stopped")
	}
}

func (w *worker) end(task *workerTask, cause string) {
	w.endTimer(task)
	if task.Stage == "running" || task.Stage == "saving" {
		w.rig.check.left(w, task)
	}
	task.Stage, task.Cause = "ended", cause
	w.rig.rec.add("%s: %s/%d ended: %s", w.name, task.Piece, task.Try, cause)
	w.notify()
}
