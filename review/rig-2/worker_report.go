package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand"
	"net/http"
	"slices"
	"time"
)

func (w *Worker) report() []byte {
	w.tick++
	pieces := []m{}
	var keys []string
	for k := range w.tasks {
		keys = append(keys, k)
	}
	slices.Sort(keys)
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

// reportLoop reports to one controller at a time, with one report in flight.
func (w *Worker) reportLoop() {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	var next, last time.Time
	for {
		time.Sleep(20 * time.Millisecond)
		now := time.Now()
		w.mu.Lock()
		due := !w.hung && (now.After(next) || w.changed && now.Sub(last) > 500*time.Millisecond)
		dead := w.dead
		w.mu.Unlock()
		if dead {
			return
		}
		if due {
			last = now
			interval := w.c.cfg.ReportS * (0.75 + 0.5*rand.Float64())
			next = now.Add(time.Duration(interval * float64(time.Second)))
			if pause := w.reportOnce(client, now); pause >= 0 {
				client.CloseIdleConnections()
				time.Sleep(pause)
				next = time.Now()
			}
		}
	}
}

// reportOnce sends a report and applies the answer. If the worker has to turn to another
// controller, it returns how long to wait before, and a negative time otherwise.
func (w *Worker) reportOnce(client *http.Client, sent time.Time) (pause time.Duration) {
	w.mu.Lock()
	w.changed = false
	body := w.report()
	node, shift, hook := w.node, w.shift, w.onReport
	blocked := w.mute || w.cutN[node]
	w.mu.Unlock()
	if hook != nil {
		hook(body)
	}
	status, answer := 0, []byte(nil)
	if blocked {
		time.Sleep(time.Second) // a connection that hangs, given up
	} else {
		status, answer = w.post(client, node, body)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waitWhileHung()
	if time.Since(sent) > 4*time.Second || w.deaf || w.mute || w.cutN[node] || w.dead {
		status = 0
	}
	if f := w.c.onAnswer; f != nil && status != 0 {
		f(w, node, status, sent, len(w.tasks))
	}
	return w.applyAnswer(node, shift, sent, status, answer)
}

// waitWhileHung waits until the machine goes on; the caller holds the lock.
func (w *Worker) waitWhileHung() {
	for w.hung && !w.dead {
		w.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		w.mu.Lock()
	}
}

func (w *Worker) post(client *http.Client, node int, body []byte) (status int, answer []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.c.nodes[node].public+"/hello", bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	if answer, err = io.ReadAll(resp.Body); err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

func (w *Worker) applyAnswer(node int, shift uint64, sent time.Time, status int, answer []byte) (pause time.Duration) {
	const stay = -1
	switch status {
	case http.StatusOK:
		var in struct {
			Baton  *uint64
			Orders []order
		}
		if json.Unmarshal(answer, &in) == nil && in.Baton != nil && *in.Baton >= w.baton && shift == w.shift {
			w.seen(*in.Baton)
			w.leased = sent
			w.execute(in.Orders, "answer of node "+itoa(node))
		}
		return stay
	case http.StatusMisdirectedRequest:
		var in struct{ Boss string }
		_ = json.Unmarshal(answer, &in)
		if to := w.c.nodeIndex(in.Boss); to >= 0 && to != node {
			w.node = to
			return 0
		}
	}
	w.node = (node + 1) % len(w.c.nodes)
	return time.Second
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
