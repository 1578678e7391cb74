package main

import (
	"math/rand"
	"net"
	"net/http"
	"os"
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
	onReport func(body []byte)
	// cmdLate may hold a direct command up on its way: it is carried out later, without an answer.
	cmdLate func(body []byte) time.Duration
	// cmdDelay delays direct commands.
	cmdDelay func() time.Duration
}

type wtask struct {
	piece   string
	try     uint64
	stage   string
	cause   string
	saved   bool
	job     *Job
	endAt   time.Time // when it goes on to the next stage
	left    time.Duration
	counted bool
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
		w.endSession(now)
	}
	for _, t := range w.tasks {
		if t.endAt.IsZero() || now.Before(t.endAt) {
			continue
		}
		switch t.stage {
		case "fetching":
			w.begin(t, now)
		case "running":
			t.stage, t.cause = "ended", "done"
			w.endRun(t, "done")
			w.c.check.completed(t.piece)
			w.changed = true
		case "saving":
			t.stage, t.cause, t.saved = "ended", "stopped", true
			w.endRun(t, "stopped")
			w.changed = true
		}
	}
}

// endSession kills and forgets all tasks, since the lease is over.
func (w *Worker) endSession(now time.Time) {
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

// begin lets a task run that has its image.
func (w *Worker) begin(t *wtask, now time.Time) {
	w.images[t.job.Bundle] = true
	t.stage = "running"
	t.counted = true
	w.c.check.started(t.piece, w, t.try)
	w.changed = true
	switch {
	case t.job.Shape == "standing":
		t.endAt = time.Time{}
	case w.c.check.finished(t.piece):
		t.endAt = now
	default:
		t.endAt = now.Add(t.job.run)
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
