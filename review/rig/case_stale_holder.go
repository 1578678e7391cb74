package main

import (
	"encoding/json"
	"fmt"
	"time"
)

func init() { cases["stale-holder"] = playStaleHolder }

// playStaleHolder cuts the controller that leads and answers the workers from the state service
// and from the other controllers. Workers and users still reach it. It counts the answers that this
// controller gives after another one has taken its place.
func playStaleHolder(r *rig, trouble bool) (int, string) {
	const first = 0
	if err := r.startNode(first); err != nil {
		return exitNotRun, err.Error()
	}
	if !r.waitFor(20*time.Second, func() bool { return r.recordNames("r/leader", first) && r.recordNames("r/g/0", first) }) {
		return exitNotRun, "the first controller did not take its place"
	}
	for i := range r.nodes {
		if i != first {
			if err := r.startNode(i); err != nil {
				return exitNotRun, err.Error()
			}
		}
	}
	if !r.waitReady(20*time.Second, 0, 1, 2) {
		return exitNotRun, "the controllers did not become healthy"
	}
	service := newJob(1, "standing", 1, 4, 0)
	service.Loaner, service.Builds = false, []string{"kvari-small"}
	array := newJob(2, "sweep", 1, 4, 1)
	array.Loaner, array.Builds = false, []string{"kvari-small"}
	for _, spec := range []*jobSpec{service, array} {
		if status, _ := r.submit(spec, 30*time.Second); status != 201 {
			return exitNotRun, "a job was not accepted"
		}
	}
	if !r.waitFor(20*time.Second, func() bool { return r.check.startsOf(service.ID) > 0 && r.check.isDone(array.ID+"/0") }) {
		return exitNotRun, "the jobs did not run"
	}
	time.Sleep(4 * time.Second)

	var successorAt time.Time // when another controller first answered 200
	var successor uint64      // its token
	late, latest := 0, time.Duration(0)
	r.mu.Lock()
	r.onAnswer = func(w *worker, node int, sent time.Time, baton uint64) {
		switch {
		case node != first && successorAt.IsZero():
			successorAt, successor = time.Now(), baton
			r.rec.add("rig: %s is the first to answer in the place of %s, with baton %d", r.nodes[node].name, r.nodes[first].name, baton)
		case node == first && !successorAt.IsZero() && baton < successor && sent.After(successorAt.Add(time.Second)):
			late++
			latest = sent.Sub(successorAt)
			r.rec.add("rig: %s answers 200 to %s with baton %d, %.1f s after another one answered with %d", r.nodes[first].name, w.name, baton, latest.Seconds(), successor)
		}
	}
	r.mu.Unlock()
	if trouble {
		r.store.setFault(first, linkFault{cut: true})
		r.cutPeers(first, true)
		r.rec.add("rig: %s is cut from the state service and the other controllers", r.nodes[first].name)
	}
	time.Sleep(45 * time.Second)
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf("%d reports were answered 200 by the former holder after its successor had answered, the last was sent %.1f s after that", late, latest.Seconds())
	switch {
	case late > 0:
		return exitBroken, "broken: " + text
	case trouble && successorAt.IsZero():
		return exitNotRun, "no other controller took its place"
	}
	return exitHeld, "held: " + text
}

// recordNames reports whether a record of the state service names a controller; it serves to set
// the case up.
func (r *rig) recordNames(key string, node int) bool {
	item, found := r.store.get(key)
	var record struct {
		Node string `json:"node"`
	}
	return found && json.Unmarshal(item.Data, &record) == nil && record.Node == r.nodes[node].name
}
