package main

import (
	"fmt"
	"strings"
	"time"
)

func init() {
	cases["line-limit-cancel"] = playLineLimitCancel
	cases["unknown-field-more"] = playUnknownFieldMore
}

// playLineLimitCancel is no case of its own: an array whose tasks just fit into a report is cancelled.
func playLineLimitCancel(r *rig, trouble bool) (int, string) {
	if problem := r.begin(); problem != "" {
		return exitNotRun, problem
	}
	service := newJob(412, "standing", 1, 2, 0)
	service.Lane, service.Rank, service.Builds, service.Loaner = "board-live", "critical", []string{"kvari-large"}, false
	array := newJob(413, "sweep", 930, 0.01, 300)
	array.RAM = 0.02
	r.submit(service, 30*time.Second)
	if !r.waitFor(20*time.Second, func() bool { return r.check.startsOf(service.ID) > 0 }) {
		return exitNotRun, "the service did not start"
	}
	time.Sleep(2 * time.Second)
	r.submit(array, 30*time.Second)
	if !r.waitFor(30*time.Second, func() bool { return r.check.startsOf(array.ID) == array.Pieces }) {
		return exitNotRun, "the array did not start"
	}
	time.Sleep(5 * time.Second)
	if trouble {
		r.cancel(array.ID, 30*time.Second)
	}
	time.Sleep(45 * time.Second)
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf("%d messages over 64 KiB, the largest %d bytes; %d reports over 64 KiB; the service started %d times, and is on a machine: %v; the array's tasks are on a machine: %v",
		r.oversized, r.largest, r.largeReports, r.check.startsOf(service.ID), r.check.onMachine(service.ID), r.check.onMachine(array.ID))
	if r.oversized > 0 {
		return exitBroken, text
	}
	return exitHeld, text
}

// playUnknownFieldMore is no case of its own: further fields that differ from known ones in case only.
func playUnknownFieldMore(r *rig, _ bool) (int, string) {
	if problem := r.begin(); problem != "" {
		return exitNotRun, problem
	}
	r.submit(newJob(1, "sweep", 1, 1, 1), 30*time.Second)
	send := func(number int, change func(string) string) {
		spec := newJob(number, "sweep", 2, 1, 1)
		r.upload(spec)
		r.say(0, "POST", "/submissions", change(encode(spec)))
	}
	add := func(member string) func(string) string {
		return func(body string) string { return strings.TrimSuffix(body, "}") + "," + member + "}" }
	}
	send(201, add(`"Id":"A-17"`))
	send(202, add(`"Pieces":4`))
	send(203, add(`"Crew":"kari"`))
	send(204, func(body string) string { return strings.Replace(body, `"lane"`, `"Lane"`, 1) })
	time.Sleep(12 * time.Second)
	for n := 201; n <= 204; n++ {
		r.say(0, "GET", fmt.Sprintf("/submissions/run-%06d", n), "")
	}
	return exitHeld, "see the record"
}
