package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["line-limit"] = playLineLimit }

// Limits of the case line-limit.
const (
	manyTasks    = 2400 // of the array, as the pages allow: at most 100,000
	waitingLimit = 90 * time.Second
)

// playLineLimit runs a service of one team on a machine. Then another team submits an array. With
// the trouble the array has many small tasks, all of which fit on that machine; without it has
// few large tasks that take as much in sum.
func playLineLimit(r *rig, trouble bool) (int, string) {
	if problem := r.begin(); problem != "" {
		return exitNotRun, problem
	}
	service := newJob(412, "standing", 1, 2, 0)
	service.Lane, service.Rank, service.Builds, service.Loaner = "board-live", "critical", []string{"kvari-large"}, false
	if status, _ := r.submit(service, 30*time.Second); status != 201 {
		return exitNotRun, "the service was not accepted"
	}
	if !r.waitFor(20*time.Second, func() bool { return r.check.startsOf(service.ID) > 0 }) {
		return exitNotRun, "the service did not start"
	}
	time.Sleep(2 * time.Second)
	array := newJob(413, "sweep", 24, 1, 5)
	if trouble {
		array = newJob(413, "sweep", manyTasks, 0.01, 5)
		array.RAM = 0.02
	}
	array.Lane = "poll-swarm"
	if status, _ := r.submit(array, 30*time.Second); status != 201 {
		return exitNotRun, "the array was not accepted"
	}
	accepted := time.Now()
	for time.Since(accepted) < waitingLimit+2*time.Second {
		time.Sleep(5 * time.Second)
		_, answer := r.say(0, "GET", "/submissions/"+array.ID, "")
		if stageOf(answer) == "done" {
			break
		}
	}
	r.say(1, "GET", "/submissions/"+service.ID, "")
	serviceRuns, arrayStarts := r.check.onMachine(service.ID), r.check.startsOf(array.ID)
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf("%d messages to workers over 64 KiB, the largest %d bytes; starts of the array's %d tasks in %.0f s: %d; the service is on a machine: %v, it started %d times; machines deleted: %d",
		r.oversized, r.largest, array.Pieces, time.Since(accepted).Seconds(), arrayStarts, serviceRuns, r.check.startsOf(service.ID), r.cloud.deletedCount())
	if r.largeReports > 0 {
		return exitNotRun, "a worker had to send a report over 64 KiB; " + text
	}
	if len(r.crashed) > 0 {
		return exitBroken, strings.Join(r.crashed, "; ") + "; " + text
	}
	if r.oversized > 0 && arrayStarts == 0 {
		return exitBroken, "broken: " + text
	}
	return exitHeld, "held: " + text
}
