package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

func init() { cases["two-holders"] = twoHolders }

// twoHolders lets the state service refuse the leader and the holder, while the third controller
// is served.
func twoHolders(trouble bool) (Config, func(c *Cluster) int) {
	cfg := ezo()
	return cfg, func(c *Cluster) int {
		k := c.check
		if !waitFor(20*time.Second, func() bool { return c.Holder(0) >= 0 }) {
			return 2
		}
		small := []string{"kvari-small"}
		long := k.Add(&Job{ID: "run-000001", Lane: "digest-build", Crew: "ubani", Shape: "sweep", Rank: "normal", Pieces: 2, VCPUs: 4, RAM: 30,
			Bundle: "img-digest", SizeGB: 0.5, Builds: small, Loaner: true, GuessS: 200, run: 200 * time.Second})
		short := k.Add(&Job{ID: "run-000002", Lane: "digest-build", Crew: "kari", Shape: "sweep", Rank: "normal", Pieces: 4, VCPUs: 4, RAM: 30,
			Bundle: "img-digest", SizeGB: 0.5, Builds: small, Loaner: true, GuessS: 3, run: 3 * time.Second})
		if !k.SubmitUntil(long) || !k.SubmitUntil(short) {
			return 2
		}
		if !waitFor(25*time.Second, func() bool { return k.Poll(short, 0) == "done" }) {
			return 2
		}
		time.Sleep(6 * time.Second)
		leader, holder := c.Leader(), c.Holder(0)
		if leader < 0 || leader == holder {
			c.rec.Log("leader %d, holder %d: the case can't run", leader, holder)
			return 2
		}
		c.rec.Log("leader is node %d, holder of all jobs is node %d", leader, holder)
		w := &holderWatch{c: c, holder: holder}
		c.onCommand, c.onAnswer = w.onCommand, w.onAnswer
		if trouble {
			c.store.Refuse(leader, true)
			c.store.Refuse(holder, true)
		}
		time.Sleep(45 * time.Second)
		if trouble {
			c.store.Refuse(leader, false)
			c.store.Refuse(holder, false)
		}
		time.Sleep(5 * time.Second)
		return w.judge()
	}
}

// holderWatch notes the answers of the former holder beside its successor.
type holderWatch struct {
	c      *Cluster
	holder int
	mu     sync.Mutex
	top    uint64
	first  time.Time // when a command of the successor, with a higher token, first reached a worker
	late   []string  // answers 200 of the former holder to reports sent after that
	last   time.Duration
}

func (h *holderWatch) onCommand(w *Worker, body []byte) {
	var in struct{ Baton uint64 }
	if json.Unmarshal(body, &in) != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := h.c.Holder(0); n >= 0 && n != h.holder && in.Baton > h.top && h.first.IsZero() {
		h.first = time.Now()
		h.c.rec.Log("node %d is granted the jobs and commands %s with token %d", n, w.id, in.Baton)
	}
	h.top = max(h.top, in.Baton)
}

func (h *holderWatch) onAnswer(w *Worker, node, status int, sent time.Time, tasks int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.c.rec.Log("report of %s (%d tasks) at node %d: %d", w.id, tasks, node, status)
	if status == 200 && node == h.holder && !h.first.IsZero() && sent.After(h.first) {
		h.last = time.Since(h.first)
		h.late = append(h.late, fmt.Sprintf("%s after %.1f s", w.id, h.last.Seconds()))
	}
}

func (h *holderWatch) judge() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.c.rec.Log("answers 200 of node %d to reports sent after its successor's first command: %v", h.holder, h.late)
	if h.last <= 4*time.Second {
		return 0
	}
	h.c.rec.Broken("two_holders", "node %d answers %d reports with 200 while its successor acts, the last %.1f s after the successor's first command",
		h.holder, len(h.late), h.last.Seconds())
	return 1
}
