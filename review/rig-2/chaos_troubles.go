package main

import (
	"encoding/json"
	"math/rand"
	"syscall"
	"time"
)

// target is what one trouble hits: a controller, and a share of the workers.
type target struct {
	c       *Cluster
	node    int
	workers []*Worker
	length  time.Duration
}

// troubles are all troubles that a run may draw.
var troubles = []func(*target){
	func(t *target) { t.restart(t.length / 4) },
	func(t *target) {
		t.c.nodes[t.node].Signal(syscall.SIGSTOP)
		t.after(func() { t.c.nodes[t.node].Signal(syscall.SIGCONT) })
	},
	func(t *target) {
		t.c.nodes[t.node].Signal(syscall.SIGTERM)
		t.after(func() { t.restart(0) })
	},
	func(t *target) { t.onOff(t.c.store.SetOutage) },
	func(t *target) { t.onOff(func(on bool) { t.c.store.Refuse(t.node, on) }) },
	func(t *target) { t.onOff(t.isolate) },
	func(t *target) { t.onOff(func(on bool) { t.c.CutPeers(t.node, on) }) },
	func(t *target) { t.onOff(func(on bool) { t.c.RefusePeers(t.node, on) }) },
	(*target).restartAll,
	(*target).changeLeaders,
	func(t *target) { t.onOff(func(on bool) { t.c.store.SetRates(onOffRate(on), 0) }) },
	func(t *target) { t.onOff(func(on bool) { t.c.store.SetRates(0, onOffRate(on)) }) },
	func(t *target) { t.onOff(func(on bool) { t.c.store.Slow(t.node, on) }) },
	func(t *target) { t.eachWorker(func(w *Worker, on bool) { w.Hang(on) }) },
	func(t *target) { t.set("mute", func(w *Worker, on bool) { w.mute = on }) },
	func(t *target) { t.set("deaf", func(w *Worker, on bool) { w.deaf = on }) },
	func(t *target) { t.set("late commands", lateCommands) },
	func(t *target) { t.set("late reports", lateReports) },
	func(t *target) { t.set("cut from a controller", func(w *Worker, on bool) { w.cutN[t.node] = on }) },
	func(t *target) {
		t.eachWorker(func(w *Worker, on bool) {
			if on {
				w.Restart()
			}
		})
	},
	func(t *target) {
		if len(t.workers) > 0 {
			t.workers[0].Die("crash")
		}
	},
	(*target).cutZone,
}

func onOffRate(on bool) float64 {
	if on {
		return 0.3
	}
	return 0
}

// makeTrouble draws a trouble and what it hits. Half of the time it is the leader, a quarter the
// holder of the first shard.
func (r *chaosRun) makeTrouble() {
	rnd := r.troubles
	t := &target{c: r.c, node: rnd.Intn(len(r.c.nodes)), length: time.Duration(1000+rnd.Intn(9000)) * time.Millisecond}
	preferred := []int{r.c.Leader(), r.c.Leader(), r.c.Holder(0), -1}[rnd.Intn(4)]
	if preferred >= 0 {
		t.node = preferred
	}
	for _, w := range r.c.cloud.Workers() {
		if rnd.Intn(3) == 0 {
			t.workers = append(t.workers, w)
		}
	}
	troubles[rnd.Intn(len(troubles))](t)
}

func (t *target) after(f func()) { time.AfterFunc(t.length, f) }

func (t *target) onOff(f func(on bool)) {
	f(true)
	t.after(func() { f(false) })
}

func (t *target) eachWorker(f func(w *Worker, on bool)) {
	t.onOff(func(on bool) {
		for _, w := range t.workers {
			f(w, on)
		}
	})
}

// set changes a field of workers under their locks.
func (t *target) set(name string, f func(w *Worker, on bool)) {
	t.eachWorker(func(w *Worker, on bool) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.c.rec.Log("fault worker %s %s: %v", w.id, name, on)
		f(w, on)
	})
}

func (t *target) restart(pause time.Duration) {
	n := t.c.nodes[t.node]
	n.Kill()
	time.AfterFunc(pause, n.Start)
}

func (t *target) restartAll() {
	for _, n := range t.c.nodes {
		n.Kill()
	}
	for i, n := range t.c.nodes {
		time.AfterFunc(time.Duration(rand.Intn(3000)+100*i)*time.Millisecond, n.Start)
	}
}

func (t *target) changeLeaders() {
	go func() {
		for range 6 {
			if leader := t.c.Leader(); leader >= 0 {
				t.c.nodes[leader].Kill()
				time.Sleep(time.Duration(50+rand.Intn(2500)) * time.Millisecond)
				t.c.nodes[leader].Start()
			}
			time.Sleep(time.Duration(rand.Intn(2000)) * time.Millisecond)
		}
	}()
}

// isolate cuts a controller from the state service and its siblings.
func (t *target) isolate(on bool) {
	t.c.store.Cut(t.node, on)
	t.c.CutPeers(t.node, on)
}

// cutZone cuts off a zone with a controller and the workers of two yards.
func (t *target) cutZone() {
	t.workers = nil
	for _, w := range t.c.cloud.Workers() {
		if w.yard == "mtkvari" || w.yard == "batumi" {
			t.workers = append(t.workers, w)
		}
	}
	t.onOff(t.isolate)
	t.set("in the zone that is cut off", func(w *Worker, on bool) {
		for i := range t.c.nodes {
			w.cutN[i] = on && i != t.node
		}
	})
}

func lateCommands(w *Worker, on bool) {
	w.cmdLate = nil
	if on {
		w.cmdLate = func([]byte) time.Duration {
			if rand.Intn(2) == 0 {
				return 0
			}
			return time.Duration(2000+rand.Intn(14000)) * time.Millisecond
		}
	}
}

func lateReports(w *Worker, on bool) {
	w.onReport = nil
	if on {
		w.onReport = func(body []byte) {
			time.AfterFunc(time.Duration(2000+rand.Intn(14000))*time.Millisecond, func() {
				w.c.check.call(rand.Intn(len(w.c.nodes)), "POST", "/hello", json.RawMessage(body), 4*time.Second)
			})
		}
	}
}
