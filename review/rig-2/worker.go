package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"sort"
	"sync"
	"time"
)

// Worker is a stand-in for the worker of one machine.
type Worker struct {
	mu     sync.Mutex
	c      *Cluster
	id     string
	t      *MachineType
	yard   string
	loaner bool
	addr   string
	lis    net.Listener

	up, dead bool
	shift    uint64
	tick     uint64
	baton    uint64
	leased   time.Time // when the last answered report was sent, or the session began
	tasks    map[string]*wtask
	images   map[string]bool
	changed  bool
	node     int
	lastHint time.Time // when a higher token last counted as a change

	hung bool // executes nothing
	mute bool // reaches no controller
	deaf bool // answers and direct commands are lost
	cutN map[int]bool
	// onReport may hold a report back: called with the body before it is sent.
	onReport func(node int, body []byte)
	// cmdLate may hold a direct command up on its way: it is carried out later, without an answer.
	cmdLate func(body []byte) time.Duration
	// cmdDelay delays direct commands.
	cmdDelay func() time.Duration
}

type wtask struct {
	piece    string
	try      uint64
	stage    string
	cause    string
	saved    bool
	job      *Job
	endAt    time.Time // when it goes on to the next stage
	left     time.Duration
	counted  bool
	imageAt  time.Time
	startRun time.Time
}

func newWorker(c *Cluster, id string, t *MachineType, yard string, loaner bool) *Worker {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	w := &Worker{c: c, id: id, t: t, yard: yard, loaner: loaner, addr: l.Addr().String(), lis: l,
		tasks: map[string]*wtask{}, images: map[string]bool{}, cutN: map[int]bool{}, shift: 1}
	return w
}

// Start begins to report and to serve commands.
func (w *Worker) Start() {
	w.mu.Lock()
	if w.dead {
		w.mu.Unlock()
		return
	}
	w.up = true
	w.leased = time.Now()
	w.node = rand.Intn(len(w.c.nodes))
	w.changed = true
	w.mu.Unlock()
	w.c.rec.Log("worker %s up", w.id)
	go http.Serve(w.lis, http.HandlerFunc(w.handle))
	go w.run()
	go w.reportLoop()
}

// Die ends the machine with all that is on it.
func (w *Worker) Die(why string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		return
	}
	w.dead = true
	w.lis.Close()
	w.c.rec.Log("machine %s gone (%s)", w.id, why)
	for _, t := range w.tasks {
		w.endRun(t, why)
	}
	w.tasks = map[string]*wtask{}
}

func (w *Worker) endRun(t *wtask, why string) {
	if t.counted {
		t.counted = false
		w.c.check.ended(t.piece, w, t.try, why)
	}
}

// run moves the tasks on and ends sessions.
func (w *Worker) run() {
	for range time.Tick(10 * time.Millisecond) {
		w.mu.Lock()
		if w.dead {
			w.mu.Unlock()
			return
		}
		if !w.hung {
			w.step()
		}
		w.mu.Unlock()
	}
}

func (w *Worker) step() {
	now := time.Now()
	if now.Sub(w.leased) > w.c.cfg.lease() {
		if len(w.tasks) > 0 {
			w.c.rec.Log("worker %s lease over, session %d ends with %d tasks", w.id, w.shift, len(w.tasks))
		}
		for _, t := range w.tasks {
			w.endRun(t, "lease")
		}
		w.tasks = map[string]*wtask{}
		w.shift++
		w.leased = now
		w.changed = true
	}
	for _, t := range w.tasks {
		switch t.stage {
		case "fetching":
			if now.After(t.endAt) {
				w.images[t.job.Bundle] = true
				t.stage = "running"
				t.counted = true
				t.startRun = now
				w.c.check.started(t.piece, w, t.try)
				w.changed = true
				t.endAt = time.Time{}
				if t.job.Shape != "standing" {
					run := t.job.run
					if w.c.check.finished(t.piece) {
						run = 0
					}
					t.endAt = now.Add(run)
				}
			}
		case "running":
			if !t.endAt.IsZero() && now.After(t.endAt) {
				t.stage, t.cause = "ended", "done"
				w.endRun(t, "done")
				w.c.check.completed(t.piece)
				w.changed = true
			}
		case "saving":
			if now.After(t.endAt) {
				t.stage, t.cause, t.saved = "ended", "stopped", true
				w.endRun(t, "stopped")
				w.changed = true
			}
		}
	}
}

// Hang stops everything on the machine, or lets it go on.
func (w *Worker) Hang(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.hung == on {
		return
	}
	w.c.rec.Log("fault worker %s hangs=%v", w.id, on)
	w.hung = on
	now := time.Now()
	for _, t := range w.tasks {
		if t.endAt.IsZero() {
			continue
		}
		if on {
			t.left = t.endAt.Sub(now)
		} else {
			t.endAt = now.Add(t.left)
		}
	}
	if !on {
		w.step() // the lease is looked at before anything else
	}
}

func (w *Worker) report() []byte {
	w.tick++
	pieces := []m{}
	var keys []string
	for k := range w.tasks {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		t := w.tasks[k]
		e := m{"piece": t.piece, "try": t.try, "stage": t.stage}
		if t.stage == "ended" {
			e["cause"] = t.cause
			if t.cause == "stopped" {
				e["saved"] = t.saved
			}
		}
		pieces = append(pieces, e)
	}
	data, _ := json.Marshal(m{"host": w.id, "address": w.addr, "build": w.t.Name, "yard": w.yard, "loaner": w.loaner,
		"shift": w.shift, "tick": w.tick, "baton": w.baton, "warnS": nil, "pieces": pieces})
	return data
}

func (w *Worker) reportLoop() {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	next := time.Now()
	last := time.Time{}
	for {
		time.Sleep(20 * time.Millisecond)
		w.mu.Lock()
		if w.dead {
			w.mu.Unlock()
			return
		}
		now := time.Now()
		due := now.After(next) || w.changed && now.Sub(last) > 500*time.Millisecond
		if !due || w.hung {
			w.mu.Unlock()
			continue
		}
		last = now
		iv := w.c.cfg.ReportS * (0.75 + 0.5*rand.Float64())
		next = now.Add(time.Duration(iv * float64(time.Second)))
		w.changed = false
		body := w.report()
		node, shift, sent := w.node, w.shift, now
		blocked := w.mute || w.cutN[node]
		hook := w.onReport
		w.mu.Unlock()
		if hook != nil {
			hook(node, body)
		}
		var status int
		var answer []byte
		if blocked {
			time.Sleep(time.Second) // a connection that hangs, given up
		} else {
			ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
			req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+w.c.nodes[node].public+"/hello", bytes.NewReader(body))
			req.Header.Set("Content-Type", "application/json")
			resp, err := client.Do(req)
			if err == nil {
				status = resp.StatusCode
				answer, err = io.ReadAll(resp.Body)
				resp.Body.Close()
				if err != nil {
					status = 0
				}
			}
			cancel()
		}
		w.mu.Lock()
		for w.hung && !w.dead {
			w.mu.Unlock()
			time.Sleep(20 * time.Millisecond)
			w.mu.Lock()
			if time.Since(sent) > 4*time.Second {
				status = 0
			}
		}
		if w.dead {
			w.mu.Unlock()
			return
		}
		if w.deaf || w.cutN[node] || w.mute {
			status = 0
		}
		if f := w.c.onAnswer; f != nil && status != 0 {
			f(w, node, status, sent, len(w.tasks))
		}
		switch status {
		case 200:
			var in struct {
				Baton  *uint64
				Orders []order
			}
			if json.Unmarshal(answer, &in) == nil && in.Baton != nil && *in.Baton >= w.baton && shift == w.shift {
				w.seen(*in.Baton)
				w.leased = sent
				w.execute(in.Orders, "answer of node "+itoa(node))
			}
		case 421:
			var in struct{ Boss string }
			json.Unmarshal(answer, &in)
			to := w.c.nodeIndex(in.Boss)
			client.CloseIdleConnections()
			if to >= 0 && to != node {
				w.node = to
				next = time.Now()
			} else {
				w.node = (node + 1) % len(w.c.nodes)
				next = time.Now().Add(time.Second)
				w.changed = false
			}
		default:
			w.node = (node + 1) % len(w.c.nodes)
			client.CloseIdleConnections()
			w.mu.Unlock()
			time.Sleep(time.Second)
			w.mu.Lock()
			next = time.Now()
		}
		w.mu.Unlock()
	}
}

func (w *Worker) seen(baton uint64) {
	if baton > w.baton {
		w.baton = baton
		if time.Since(w.lastHint) > w.c.cfg.lease()/2 {
			w.lastHint = time.Now()
			w.changed = true
		}
	}
}

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
		switch o.Verb {
		case "start":
			if t != nil {
				continue
			}
			w.c.rec.Log("worker %s starts %s try %d by %s", w.id, o.Piece, o.Try, by)
			w.c.check.startOrder(o.Piece, w)
			w.changed = true
			t = &wtask{piece: o.Piece, try: o.Try, stage: "ended"}
			w.tasks[key] = t
			job := w.c.check.jobOf(o.Piece)
			if job == nil {
				t.cause = "no_such"
				continue
			}
			t.job = job
			cpus, ram := job.VCPUs, job.RAM
			busy := false
			for _, other := range w.tasks {
				if other == t || other.stage == "ended" {
					continue
				}
				cpus += other.job.VCPUs
				ram += other.job.RAM
				busy = busy || other.piece == o.Piece
			}
			switch {
			case busy:
				t.cause = "in_use"
			case cpus > w.t.CPUs+1e-6 || ram > w.t.RAM+1e-6:
				t.cause = "full"
			default:
				t.stage = "fetching"
				fetch := time.Duration(0)
				if !w.images[job.Bundle] {
					fetch = time.Duration(job.SizeGB / w.t.FetchGBPerS * float64(time.Second))
				}
				t.endAt = time.Now().Add(fetch)
			}
		case "halt":
			if t == nil || t.stage == "ended" {
				continue
			}
			w.changed = true
			if t.stage == "running" && t.job.MarkS > 0 && o.LeewayS >= t.job.StashS {
				t.stage = "saving"
				t.endAt = time.Now().Add(time.Duration(t.job.StashS * float64(time.Second)))
				continue
			}
			if t.stage == "saving" && o.LeewayS > 0 {
				continue
			}
			w.c.rec.Log("worker %s halts %s try %d by %s", w.id, o.Piece, o.Try, by)
			t.stage, t.cause = "ended", "stopped"
			w.endRun(t, "stopped")
		case "reap":
			if t != nil && t.stage == "ended" {
				delete(w.tasks, key)
				w.changed = true
			}
		}
	}
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
	for w.hung && !w.dead {
		w.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		w.mu.Lock()
	}
	defer w.mu.Unlock()
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

// Restart brings the machine back at once with nothing on it; session, token and sequence go on.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.c.rec.Log("fault machine %s restarts with %d tasks", w.id, len(w.tasks))
	for _, t := range w.tasks {
		w.endRun(t, "restart")
	}
	w.tasks = map[string]*wtask{}
	if os.Getenv("IMAGES") != "kept" {
		w.images = map[string]bool{}
	}
	w.changed = true
}
