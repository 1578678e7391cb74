package scenario

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"rockrun/internal/coordination/api"
	"rockrun/internal/protocol"
)

// Read-your-writes probes: users query every controller right after an answer.

// Number of probe rounds after an answer, and the time within which they are sent.
const (
	probeRounds   = 4
	maxProbeDelay = 30 * time.Millisecond
)

// scheduleProbes schedules several rounds of status queries and resubmissions to every
// controller within milliseconds. It is called when a job has just been accepted, ended or
// cancelled. No answer may be older than the state that the user already knows.
func (u *fakeUsers) scheduleProbes(job *userJob) {
	sim := u.sim
	if sim.now >= u.probeUntil {
		return
	}
	for range probeRounds {
		for _, h := range sim.hosts {
			sim.after(sim.randomBelow(maxProbeDelay), func() { u.probeController(h.process, job) })
		}
	}
}

// probeController sends the probes for a job to one process. If the job is cancelled, it also
// queries the job's dependents. It does nothing if p is nil.
func (u *fakeUsers) probeController(p *process, job *userJob) {
	if p == nil {
		return
	}
	u.probeStatus(p, job)
	u.probeResubmission(p, job)
	if job.outcome == protocol.StageCancelled {
		u.probeDependents(p, job)
	}
}

// probeDependents queries the status of the dependents of a cancelled job.
func (u *fakeUsers) probeDependents(p *process, job *userJob) {
	for _, id := range slices.Sorted(maps.Keys(u.jobs)) {
		if dependent := u.jobs[id]; dependent.accepted && slices.Contains(u.sim.checker.dependenciesOf(dependent), job) {
			u.probeStatus(p, dependent)
		}
	}
}

// probeStatus queries the status of a job once.
func (u *fakeUsers) probeStatus(p *process, job *userJob) {
	id, outcome := job.spec.ID, job.outcome
	u.sendRequestTo(p, statusRequest(id), func(answer api.Answer) {
		u.probeAnswers++
		switch answer.Status {
		case http.StatusOK:
			u.sim.checker.jobAnswered(id, job, outcome, answer.Body.(*protocol.JobStatus).Stage)
		case http.StatusNotFound:
			u.sim.checker.jobDenied(job, id, answer.Status)
		}
	})
}

// probeResubmission resubmits a job once.
func (u *fakeUsers) probeResubmission(p *process, job *userJob) {
	id, outcome := job.spec.ID, job.outcome
	u.sendRequestTo(p, submitRequest(u.submissionBody(job)), func(answer api.Answer) {
		u.probeAnswers++
		switch answer.Status {
		case http.StatusOK, http.StatusCreated:
			u.sim.checker.jobAnswered(id, job, outcome, answer.Body.(protocol.JobReceipt).Stage)
		case http.StatusBadRequest, http.StatusUnprocessableEntity, http.StatusNotFound:
			u.sim.checker.jobDenied(job, id, answer.Status)
		}
	})
}
