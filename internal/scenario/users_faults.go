package scenario

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"rockrun/internal/coordination/api"
	"rockrun/internal/protocol"
)

// Users that cancel many jobs at once, and users that send invalid requests.

const (
	// maxPausedMachines limits the machines paused by one cancelRunning.
	maxPausedMachines = 8
	// cancelWindow is the time within which cancelRunning sends its cancellations.
	cancelWindow = 200 * time.Millisecond
	// invalidRequestInterval is the time between invalid requests.
	invalidRequestInterval = 500 * time.Millisecond
)

// cancelRunning cancels up to count running arrays, the most recently started first, and
// pauses some of their machines.
func (u *fakeUsers) cancelRunning(count int, pauseDuration time.Duration) {
	sim := u.sim
	running := u.runningArrays()
	paused := 0
	for _, job := range running[:min(count, len(running))] {
		for _, agent := range sim.checker.agentsOf(job.spec.ID) {
			if pauseDuration > 0 && paused < maxPausedMachines && !agent.isPaused() {
				paused++
				sim.faults.record("machine-pause", pauseDuration)
				agent.pause(pauseDuration)
			}
		}
		sim.after(sim.randomBelow(cancelWindow), func() { u.cancel(job) })
	}
}

// runningArrays returns the running arrays without a cancellation request, the most recently
// started first.
func (u *fakeUsers) runningArrays() []*userJob {
	var running []*userJob
	for _, id := range slices.Sorted(maps.Keys(u.jobs)) {
		job := u.jobs[id]
		active := job.spec.Kind == protocol.KindArray && job.accepted && !job.cancelRequested && job.outcome == ""
		if active && len(u.sim.checker.agentsOf(id)) > 0 {
			running = append(running, job)
		}
	}
	slices.SortStableFunc(running, func(a, b *userJob) int { return int(b.startedAt - a.startedAt) })
	return running
}

// sendInvalidRequests sends invalid requests periodically until a given time. It resubmits
// unfinished jobs, cancels ended jobs, and submits jobs that fit no machine, lack a field or
// are malformed.
func (u *fakeUsers) sendInvalidRequests(until time.Duration) {
	sim := u.sim
	if sim.now > until {
		return
	}
	sim.after(invalidRequestInterval, func() { u.sendInvalidRequests(until) })
	ids := slices.Sorted(maps.Keys(u.jobs))
	if len(ids) == 0 {
		return
	}
	job := u.jobs[ids[sim.rand.IntN(len(ids))]]
	switch {
	case !job.accepted:
	case job.outcome == "":
		u.submit(job)
	default:
		u.cancelEndedJob(job)
	}
	u.invalidRequests++
	body := u.invalidBody(job.spec, u.invalidRequests)
	u.sendRequest(submitRequest([]byte(body)), func(answer api.Answer) { sim.checker.invalidSubmissionAnswered(body, answer.Status) })
}

// invalidBody returns the submission of a job, made invalid in one of several ways that
// number selects.
func (u *fakeUsers) invalidBody(spec protocol.JobSpec, number int) string {
	spec.ID = fmt.Sprintf("run-9%06d", number)
	valid := string(u.submissionBody(&userJob{spec: spec}))
	invalid := []string{
		strings.Replace(valid, `"vcpus":`, `"vcpus":9000,"x":`, 1),
		strings.Replace(valid, `"rank":`, `"rang":`, 1),
		strings.Replace(valid, `"pieces":`, `"pieces":0,"x":`, 1),
		strings.Replace(valid, `"crew":`, `"crew":"nobody","x":`, 1),
		strings.Replace(valid, spec.ID, "job "+spec.ID, 1),
		valid[:len(valid)/2],
		"[" + valid + "]",
		strings.Repeat(" ", protocol.MaxBody) + valid,
	}
	return invalid[number%len(invalid)]
}

// cancelEndedJob sends a cancellation of an ended job, without retries.
func (u *fakeUsers) cancelEndedJob(job *userJob) {
	outcome := job.outcome
	u.sendRequest(cancelRequest(job.spec.ID), func(answer api.Answer) {
		switch answer.Status {
		case http.StatusOK:
			u.sim.checker.jobAnswered(job.spec.ID, job, outcome, answer.Body.(protocol.JobReceipt).Stage)
		case http.StatusNotFound:
			u.sim.checker.jobDenied(job, job.spec.ID, answer.Status)
		}
	})
}
