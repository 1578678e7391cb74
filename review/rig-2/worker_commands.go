package main

import (
	"encoding/json"
	"io"
	"net/http"
	"time"
)

type order struct {
	Verb    string
	Piece   string
	Try     uint64
	LeewayS float64
}

func (w *Worker) execute(orders []order, by string) {
	for _, o := range orders {
		key := o.Piece + " " + utoa(o.Try)
		t := w.tasks[key]
		switch {
		case o.Verb == "start" && t == nil:
			w.tasks[key] = w.admit(o, by)
		case o.Verb == "halt" && t != nil && t.stage != "ended":
			w.halt(t, o, by)
		case o.Verb == "reap" && t != nil && t.stage == "ended":
			delete(w.tasks, key)
			w.changed = true
		}
	}
}

func (w *Worker) admit(o order, by string) *wtask {
	w.c.rec.Log("worker %s starts %s try %d by %s", w.id, o.Piece, o.Try, by)
	w.c.check.startOrder(o.Piece, w)
	w.changed = true
	t := &wtask{piece: o.Piece, try: o.Try, stage: "ended"}
	t.job = w.c.check.jobOf(o.Piece)
	if t.job == nil {
		t.cause = "no_such"
		return t
	}
	cpus, ram, busy := w.booked(o.Piece)
	switch {
	case busy:
		t.cause = "in_use"
	case cpus+t.job.VCPUs > w.t.CPUs+1e-6 || ram+t.job.RAM > w.t.RAM+1e-6:
		t.cause = "full"
	default:
		t.stage = "fetching"
		t.endAt = time.Now()
		if !w.images[t.job.Bundle] {
			t.endAt = t.endAt.Add(time.Duration(t.job.SizeGB / w.t.FetchGBPerS * float64(time.Second)))
		}
	}
	return t
}

// booked returns what the tasks on the machine take, and whether one of them is an attempt at a
// piece.
func (w *Worker) booked(piece string) (cpus, ram float64, busy bool) {
	for _, t := range w.tasks {
		if t.stage == "ended" {
			continue
		}
		cpus += t.job.VCPUs
		ram += t.job.RAM
		busy = busy || t.piece == piece
	}
	return cpus, ram, busy
}

func (w *Worker) halt(t *wtask, o order, by string) {
	w.changed = true
	if t.stage == "saving" && o.LeewayS > 0 {
		return
	}
	if t.stage == "running" && t.job.MarkS > 0 && o.LeewayS >= t.job.StashS {
		t.stage = "saving"
		t.endAt = time.Now().Add(time.Duration(t.job.StashS * float64(time.Second)))
		return
	}
	w.c.rec.Log("worker %s halts %s try %d by %s", w.id, o.Piece, o.Try, by)
	t.stage, t.cause = "ended", "stopped"
	w.endRun(t, "stopped")
}

func (w *Worker) handle(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.mu.Lock()
	d, late := w.cmdDelay, w.cmdLate
	w.mu.Unlock()
	if f := w.c.onCommand; f != nil && r.URL.Path == "/commands" {
		f(w, body)
	}
	if late != nil && r.URL.Path == "/commands" {
		if hold := late(body); hold > 0 {
			time.AfterFunc(hold, func() { w.command(body) })
			drop(rw, r)
		}
	}
	if d != nil {
		time.Sleep(d())
	}
	if r.URL.Path == "/inspect" {
		w.mu.Lock()
		defer w.mu.Unlock()
		rw.WriteHeader(200)
		rw.Write(w.report())
		return
	}
	status, out := w.command(body)
	if status == 0 {
		drop(rw, r)
	}
	rw.WriteHeader(status)
	rw.Write(out)
}

// command carries a direct command out; status 0 means that there is no answer.
func (w *Worker) command(body []byte) (status int, answer []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waitWhileHung()
	if w.dead || w.deaf {
		return 0, nil
	}
	var in struct {
		Baton, Shift *uint64
		Orders       []order
	}
	if json.Unmarshal(body, &in) != nil || in.Baton == nil || in.Shift == nil {
		return 400, []byte(`{"error":"baton or shift missing"}`)
	}
	w.step() // a lease that is over ends the session first
	if *in.Baton < w.baton || *in.Shift != w.shift {
		return 409, w.report()
	}
	w.seen(*in.Baton)
	w.execute(in.Orders, "command with token "+utoa(*in.Baton))
	return 200, w.report()
}
