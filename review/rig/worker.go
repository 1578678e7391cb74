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
	frozen     time.Time     // the machine hangs until then
	life       int           // rises when the machine restarts
	carriedOut []command     // direct commands with starts, for late copies
	commandLag time.Duration // direct commands are carried out that much later
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

// restart ends all that is on the machine, which is back within a moment. What PROTOCOL says of the
// worker's numbers holds over the restart: the session ends with the lease only, messages are counted
// on, and the highest token seen is kept.
func (w *worker) restart() {
	w.rig.mu.Lock()
	defer w.rig.mu.Unlock()
	w.rig.rec.add("%s: the machine restarts in session %d, after message %d; its tasks are gone", w.name, w.shift, w.tick)
	w.clear()
	w.life++
	w.notify()
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

// report encodes the worker's state; rig.mu must be held.
func (w *worker) report() []byte {
	w.tick++
	tasks := []taskReport{}
	for _, t := range w.tasks {
		tasks = append(tasks, t.taskReport)
	}
	return []byte(encode(map[string]any{
		"host": w.name, "address": w.address, "build": w.host.kind.Name, "yard": w.host.zone, "loaner": w.host.spot,
		"shift": w.shift, "tick": w.tick, "baton": w.baton, "warnS": nil, "pieces": tasks,
	}))
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
	defer r.mu.Unlock()
	if !w.awaitThaw() {
		return -1
	}
	sent, shift, node, baton, life := time.Now(), w.shift, w.node, w.baton, w.life
	w.lastReport = sent
	body := w.report()
	if len(body) > maxMessage {
		r.largeReports++
		r.rec.add("%s: a report has %d bytes", w.name, len(body))
	}
	url := "http://" + r.nodes[node].public + "/hello"
	r.mu.Unlock()
	status, answer, err := w.post(url, body)
	r.mu.Lock()
	switch {
	case !w.awaitThaw():
		return -1
	case life != w.life: // the answer was for the worker before the restart
		return time.Millisecond
	case err == nil && status == http.StatusMisdirectedRequest && !w.deaf:
		return w.redirect(node, answer)
	case err != nil || status != http.StatusOK || w.deaf || time.Since(sent) > 4*time.Second:
		w.node = (node + 1) % len(r.nodes)
		return time.Second
	}
	var commands struct {
		Baton  uint64  `json:"baton"`
		Orders []order `json:"orders"`
	}
	_ = json.Unmarshal(answer, &commands)
	r.rec.add("%s: report to %s (baton %d, %d tasks) answered 200 with baton %d and %d orders", w.name, r.nodes[node].name, baton, len(w.tasks), commands.Baton, len(commands.Orders))
	if commands.Baton >= w.baton && shift == w.shift {
		w.leaseFrom = sent
		if r.onAnswer != nil {
			r.onAnswer(w, node, sent, commands.Baton)
		}
		w.see(commands.Baton)
		w.execute(commands.Orders, r.nodes[node].name)
	}
	return 0
}

// awaitThaw waits until the machine no longer hangs, and reports whether it is still there. rig.mu
// must be held; it is released meanwhile.
func (w *worker) awaitThaw() bool {
	for w.alive && time.Now().Before(w.frozen) {
		w.rig.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		w.rig.mu.Lock()
	}
	return w.alive
}

// redirect follows a 421 and returns the wait before the next report.
func (w *worker) redirect(node int, answer []byte) time.Duration {
	var body struct {
		Boss string `json:"boss"`
	}
	_ = json.Unmarshal(answer, &body)
	for i := range w.rig.nodes {
		if w.rig.nodes[i].name == body.Boss && i != node {
			w.node = i
			return time.Duration(1 + rand.Int64N(int64(500*time.Millisecond)))
		}
	}
	w.node = (node + 1) % len(w.rig.nodes)
	return time.Second
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
