package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// taskReport is a task in a worker's report.
type taskReport struct {
	Piece string `json:"piece"`
	Try   uint64 `json:"try"`
	Stage string `json:"stage"`
	Cause string `json:"cause,omitempty"`
	Saved bool   `json:"saved,omitempty"`
}

type workerTask struct {
	taskReport
	spec  *jobSpec
	timer *time.Timer
	since time.Time
}

type order struct {
	Verb   string   `json:"verb"`
	Piece  string   `json:"piece"`
	Try    uint64   `json:"try"`
	Leeway *float64 `json:"leewayS"`
}

// worker is a stand-in for the worker of PROTOCOL. All its state is guarded by rig.mu.
type worker struct {
	rig     *rig
	host    *hostEntry
	name    string
	address string
	server  *http.Server
	client  *http.Client

	alive      bool
	shift      uint64
	tick       uint64
	baton      uint64
	leaseFrom  time.Time
	tasks      []*workerTask
	images     map[string]bool
	node       int
	changed    chan struct{}
	lastReport time.Time
	lastHigher time.Time

	deaf       bool          // answers and direct commands are lost
	mute       bool          // reports reach no controller
	frozen     time.Time     // the machine hangs until then
	extra      func() string // further JSON members of a report, each with a comma in front
	commandLag time.Duration // direct commands are carried out that much later
	lastAnswer struct {
		node  int
		baton uint64
		at    time.Time
	}
}

func newWorker(r *rig, host *hostEntry) *worker {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	w := &worker{
		rig: r, host: host, name: host.name, address: listener.Addr().String(), images: map[string]bool{},
		changed: make(chan struct{}, 1), node: rand.IntN(len(r.nodes)),
		client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 2}},
	}
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func() { _ = w.server.Serve(listener) }()
	return w
}

// start boots the worker.
func (w *worker) start() {
	w.rig.mu.Lock()
	if w.server == nil {
		w.rig.mu.Unlock()
		return
	}
	w.alive, w.shift, w.leaseFrom = true, 1, time.Now()
	w.rig.mu.Unlock()
	go w.watchLease()
	go w.reportLoop()
}

// stop removes the machine with all that is on it.
func (w *worker) stop() {
	w.rig.mu.Lock()
	w.alive = false
	w.clear()
	server := w.server
	w.server = nil
	w.rig.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

func (w *worker) clear() {
	for _, t := range w.tasks {
		w.endTimer(t)
		if t.Stage == "running" || t.Stage == "saving" {
			w.rig.check.left(w, t)
		}
	}
	w.tasks = nil
}

func (w *worker) endTimer(t *workerTask) {
	if t.timer != nil {
		t.timer.Stop()
	}
}

func (w *worker) watchLease() {
	lease := w.rig.seconds(w.rig.set.lease)
	for range time.Tick(20 * time.Millisecond) {
		w.rig.mu.Lock()
		if !w.alive {
			w.rig.mu.Unlock()
			return
		}
		if time.Since(w.leaseFrom) > lease {
			w.rig.rec.add("%s: lease expired, session %d ends with %d tasks", w.name, w.shift, len(w.tasks))
			w.clear()
			w.shift++
			w.leaseFrom = time.Now()
			w.notify()
		}
		w.rig.mu.Unlock()
	}
}

func (w *worker) notify() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

func (w *worker) isFrozen() bool { return time.Now().Before(w.frozen) }

// report encodes the worker's state; rig.mu must be held.
func (w *worker) report() []byte {
	w.tick++
	tasks := []taskReport{}
	for _, t := range w.tasks {
		tasks = append(tasks, t.taskReport)
	}
	body := encode(map[string]any{
		"host": w.name, "address": w.address, "build": w.host.kind.Name, "yard": w.host.zone, "loaner": w.host.spot,
		"shift": w.shift, "tick": w.tick, "baton": w.baton, "warnS": nil, "pieces": tasks,
	})
	if w.extra != nil {
		body = strings.TrimSuffix(body, "}") + w.extra() + "}"
	}
	return []byte(body)
}

func (w *worker) reportLoop() {
	for {
		wait := w.sendReport()
		if wait < 0 {
			return
		}
		if wait == 0 {
			w.rig.mu.Lock()
			interval := w.rig.seconds(w.rig.set.report * (0.75 + 0.5*rand.Float64()))
			since := w.lastReport
			w.rig.mu.Unlock()
			select {
			case <-time.After(time.Until(since.Add(interval))):
			case <-w.changed:
				time.Sleep(time.Until(since.Add(500 * time.Millisecond)))
			}
			continue
		}
		time.Sleep(wait)
	}
}

// sendReport sends a report and returns the wait before the next one: 0 is the usual interval, and
// a negative time ends the worker.
func (w *worker) sendReport() time.Duration {
	r := w.rig
	r.mu.Lock()
	for w.alive && w.isFrozen() {
		r.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		r.mu.Lock()
	}
	if !w.alive {
		r.mu.Unlock()
		return -1
	}
	if w.mute {
		w.lastReport = time.Now()
		w.node = (w.node + 1) % len(r.nodes)
		r.mu.Unlock()
		return time.Second
	}
	sent, shift, node := time.Now(), w.shift, w.node
	w.lastReport = sent
	body := w.report()
	sentBaton := w.baton
	url := "http://" + r.nodes[node].public + "/hello"
	if len(body) > maxMessage {
		r.largeReports++
		r.rec.add("%s: a report has %d bytes", w.name, len(body))
	}
	r.mu.Unlock()
	status, answer, err := w.post(url, body)
	r.mu.Lock()
	defer r.mu.Unlock()
	for w.alive && w.isFrozen() {
		r.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		r.mu.Lock()
	}
	if !w.alive {
		return -1
	}
	if w.deaf {
		w.node = (node + 1) % len(r.nodes)
		return time.Second
	}
	if err != nil || status != 200 && status != 421 || time.Since(sent) > 4*time.Second {
		w.node = (node + 1) % len(r.nodes)
		return time.Second
	}
	if status == 421 {
		var body struct {
			Boss string `json:"boss"`
		}
		_ = json.Unmarshal(answer, &body)
		for i := range r.nodes {
			if r.nodes[i].name == body.Boss && i != node {
				w.node = i
				return time.Duration(1 + rand.Int64N(int64(500*time.Millisecond)))
			}
		}
		w.node = (node + 1) % len(r.nodes)
		return time.Second
	}
	var commands struct {
		Baton  uint64  `json:"baton"`
		Orders []order `json:"orders"`
	}
	_ = json.Unmarshal(answer, &commands)
	r.rec.add("%s: report to %s (baton %d, %d tasks) answered 200 with baton %d and %d orders", w.name, r.nodes[node].name, sentBaton, len(w.tasks), commands.Baton, len(commands.Orders))
	if commands.Baton >= w.baton && shift == w.shift {
		w.leaseFrom = sent
		w.lastAnswer.node, w.lastAnswer.baton, w.lastAnswer.at = node, commands.Baton, time.Now()
		if r.onAnswer != nil {
			r.onAnswer(w, node, sent, commands.Baton)
		}
		w.see(commands.Baton)
		w.execute(commands.Orders, r.nodes[node].name)
	}
	return 0
}

func (w *worker) post(url string, body []byte) (int, []byte, error) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := w.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	for _, line := range bytes.Split(answer, []byte("\n")) {
		if len(line) > maxMessage {
			w.rig.rec.add("%s: an answer with a line of %d bytes is dropped: %.150s...", w.name, len(line), line)
			w.rig.mu.Lock()
			w.rig.noteOversized(len(line))
			w.rig.mu.Unlock()
			return 0, nil, errLineTooLong
		}
	}
	return response.StatusCode, answer, err
}

var errLineTooLong = errors.New("a line of the answer is too long")

// see stores a token; a higher one is a change once per half a lease.
func (w *worker) see(baton uint64) {
	if baton > w.baton {
		w.baton = baton
		if time.Since(w.lastHigher) > w.rig.seconds(w.rig.set.lease/2) {
			w.lastHigher = time.Now()
			w.notify()
		}
	}
}

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

func (w *worker) startTask(o order) {
	job, number, _ := strings.Cut(o.Piece, "/")
	spec := w.rig.jobs[job]
	task := &workerTask{taskReport: taskReport{Piece: o.Piece, Try: o.Try}, spec: spec, since: time.Now()}
	n, err := strconv.Atoi(number)
	cause := ""
	cpus, ram := 0.0, 0.0
	if spec == nil || err != nil || n < 0 || n >= spec.Pieces {
		cause = "no_such"
	} else {
		cpus, ram = spec.CPUs, spec.RAM
	}
	for _, t := range w.tasks {
		if t.Stage == "ended" {
			if t.Piece == o.Piece {
				cause = "in_use"
			}
			continue
		}
		if t.Piece == o.Piece {
			cause = "in_use"
		}
		cpus += t.spec.CPUs
		ram += t.spec.RAM
	}
	if cause == "" && (cpus > w.host.kind.CPUs+1e-6 || ram > w.host.kind.RAM+1e-6) {
		cause = "full"
	}
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
	if !w.images[spec.Bundle] {
		fetch = w.rig.seconds(spec.Size / w.host.kind.Fetch)
	}
	w.after(task, fetch, func() { w.run(task) })
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
		if w.isFrozen() {
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

// serve answers direct commands.
func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil || len(body) > maxMessage {
		w.rig.rec.add("%s: a direct command of %d bytes is refused: %.150s...", w.name, len(body), body)
		w.rig.mu.Lock()
		w.rig.noteOversized(len(body))
		w.rig.mu.Unlock()
		reply(rw, 400, `{"error":"malformed"}`)
		return
	}
	w.rig.mu.Lock()
	lag, lost := w.commandLag, !w.alive || w.deaf
	w.rig.mu.Unlock()
	if lost {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if lag > 0 {
		time.Sleep(lag)
	}
	w.rig.mu.Lock()
	for w.alive && w.isFrozen() {
		w.rig.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		w.rig.mu.Lock()
	}
	defer w.rig.mu.Unlock()
	if !w.alive {
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == "/inspect" {
		reply(rw, 200, string(w.report()))
		return
	}
	var command struct {
		Baton  *uint64 `json:"baton"`
		Shift  *uint64 `json:"shift"`
		Orders []order `json:"orders"`
	}
	if json.Unmarshal(body, &command) != nil || command.Baton == nil || command.Shift == nil {
		reply(rw, 400, `{"error":"malformed"}`)
		return
	}
	if *command.Baton < w.baton || *command.Shift != w.shift {
		reply(rw, 409, string(w.report()))
		return
	}
	w.see(*command.Baton)
	w.execute(command.Orders, "direct baton "+strconv.FormatUint(*command.Baton, 10))
	reply(rw, 200, string(w.report()))
}
