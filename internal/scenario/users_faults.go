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

// Users who cancel many jobs at once, and users who make requests that they should not.

const (
	// maxPausedMachines bounds the machines that are paused when many jobs are cancelled.
	maxPausedMachines = 8
	// cancelSpread is the time within which these jobs are cancelled.
	cancelSpread = 200 * time.Millisecond
	// invalidRequestPause is how often users make invalid requests.
	invalidRequestPause = 500 * time.Millisecond
)

// cancelRunning lets users cancel so many arrays that run, the last started first, and
// some of their machines pause for a while.
func (u *fakeUsers) cancelRunning(count int, pause time.Duration) {
	sim := u.sim
	running := u.runningArrays()
	paused := 0
	for _, job := range running[:min(count, len(running))] {
		for _, agent := range sim.checker.agentsOf(job.spec.ID) {
			if pause > 0 && paused < maxPausedMachines && !agent.isPaused() {
				paused++
				sim.faults.record("machine-pause", pause)
				agent.pause(pause)
			}
		}
		sim.after(sim.randomBelow(cancelSpread), func() { u.cancel(job) })
	}
}

// runningArrays are the arrays that run and that nobody has cancelled, the last started
// first.
func (u *fakeUsers) runningArrays() []*userJob {
	var running []*userJob
	for _, id := range slices.Sorted(maps.Keys(u.jobs)) {
		job := u.jobs[id]
		open := job.spec.Kind == protocol.KindArray && job.accepted && !job.cancelRequested && job.outcome == ""
		if open && len(u.sim.checker.agentsOf(id)) > 0 {
			running = append(running, job)
		}
	}
	slices.SortStableFunc(running, func(a, b *userJob) int { return int(b.startedAt - a.startedAt) })
	return running
}

// sendInvalid makes requests that users should not make, until a time: they repeat
// submissions of unfinished jobs, cancel what is done, and send what fits no machine, lacks
// a field or is malformed.
func (u *fakeUsers) sendInvalid(until time.Duration) {
	sim := u.sim
	if sim.now > until {
		return
	}
	sim.after(invalidRequestPause, func() { u.sendInvalid(until) })
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
		u.cancelEnded(job)
	}
	u.invalidRequests++
	body := u.invalidBody(job.spec, u.invalidRequests)
	u.ask(submission([]byte(body)), func(answer api.Answer) { sim.checker.invalidSubmissionAnswered(body, answer.Status) })
}

// invalidBody is a submission like that of a job, but invalid in one of several ways.
func (u *fakeUsers) invalidBody(spec protocol.JobSpec, number int) string {
	spec.ID = fmt.Sprintf("run-9%06d", number)
	valid := string(u.body(&userJob{spec: spec}))
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

// cancelEnded cancels a job that is over.
func (u *fakeUsers) cancelEnded(job *userJob) {
	outcome := job.outcome
	u.ask(cancellation(job.spec.ID), func(answer api.Answer) {
		switch answer.Status {
		case http.StatusOK:
			u.sim.checker.jobAnswered(job.spec.ID, job, outcome, answer.Body.(protocol.JobReceipt).Stage)
		case http.StatusNotFound:
			u.sim.checker.jobDenied(job, job.spec.ID, answer.Status)
		}
	})
}
