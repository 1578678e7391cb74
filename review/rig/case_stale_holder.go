package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["stale-holder"] = playStaleHolder }

// formerHolder is the controller that is cut off.
const formerHolder = 0

// successionWatch follows who answers the workers' reports. It is used under rig.mu.
type successionWatch struct {
	rig         *rig
	successorAt time.Time // when another controller first answered 200
	baton       uint64    // its token
	late        int       // later 200s of the former holder, with a lower token
	latest      time.Duration
}

// playStaleHolder cuts the controller that leads and answers the workers from the state service
// and from the other controllers. Workers and users still reach it. It counts the answers that this
// controller gives after another one has taken its place.
func playStaleHolder(r *rig, trouble bool) (int, string) {
	if problem := r.beginWith(formerHolder); problem != "" {
		return exitNotRun, problem
	}
	if problem := r.occupyOneOfTwoMachines(); problem != "" {
		return exitNotRun, problem
	}
	watch := &successionWatch{rig: r}
	r.mu.Lock()
	r.onAnswer = watch.observe
	r.mu.Unlock()
	if trouble {
		r.store.setFault(formerHolder, linkFault{cut: true})
		r.cutPeers(formerHolder, true)
		r.rec.add("rig: %s is cut from the state service and the other controllers", r.nodes[formerHolder].name)
	}
	time.Sleep(45 * time.Second)
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf("%d reports were answered 200 by the former holder after its successor had answered, the last was sent %.1f s after that",
		watch.late, watch.latest.Seconds())
	switch {
	case watch.late > 0:
		return exitBroken, "broken: " + text
	case trouble && watch.successorAt.IsZero():
		return exitNotRun, "no other controller took its place"
	}
	return exitHeld, "held: " + text
}

// beginWith starts one controller, waits until it leads and answers the workers, and starts the others.
func (r *rig) beginWith(first int) (problem string) {
	if err := r.startNode(first); err != nil {
		return err.Error()
	}
	if !r.waitFor(20*time.Second, func() bool { return r.recordNames("r/leader", first) && r.recordNames("r/g/0", first) }) {
		return "the first controller did not take its place"
	}
	for i := range r.nodes {
		if i == first {
			continue
		}
		if err := r.startNode(i); err != nil {
			return err.Error()
		}
	}
	return r.awaitHealth()
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

// occupyOneOfTwoMachines has a service run on one machine, and an array that ends on another.
func (r *rig) occupyOneOfTwoMachines() (problem string) {
	service, array := newJob(1, "standing", 1, 4, 0), newJob(2, "sweep", 1, 4, 1)
	for _, spec := range []*jobSpec{service, array} {
		spec.Loaner, spec.Builds = false, []string{"kvari-small"}
		if status, _ := r.submit(spec, 30*time.Second); status != http.StatusCreated {
			return "a job was not accepted"
		}
	}
	if !r.waitFor(20*time.Second, func() bool { return r.check.startsOf(service.ID) > 0 && r.check.isDone(array.ID+"/0") }) {
		return "the jobs did not run"
	}
	time.Sleep(4 * time.Second)
	return ""
}

// observe is called for every 200 that a worker accepts.
func (s *successionWatch) observe(w *worker, node int, sent time.Time, baton uint64) {
	former := s.rig.nodes[formerHolder].name
	switch {
	case node != formerHolder && s.successorAt.IsZero():
		s.successorAt, s.baton = time.Now(), baton
		s.rig.rec.add("rig: %s is the first to answer in the place of %s, with baton %d", s.rig.nodes[node].name, former, baton)
	case node == formerHolder && !s.successorAt.IsZero() && baton < s.baton && sent.After(s.successorAt.Add(time.Second)):
		s.late++
		s.latest = sent.Sub(s.successorAt)
		s.rig.rec.add("rig: %s answers 200 to %s with baton %d, %.1f s after another one answered with %d", former, w.name, baton, s.latest.Seconds(), s.baton)
	}
}
