package scenario

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"rockrun/internal/coordination/api"
	"rockrun/internal/protocol"
)

// Read-your-writes probes: users ask every controller right after an answer.

// Of the probes after an answer: how many rounds there are, and within what time.
const (
	probeRounds   = 4
	maxProbePause = 30 * time.Millisecond
)

// probe lets the user of a job that was just accepted, ended or cancelled ask
// at every controller, again and again within milliseconds, and repeat the
// submission. No answer may be older than what the user knows.
func (u *fakeUsers) probe(job *userJob) {
	sim := u.sim
	if sim.now >= u.probeUntil {
		return
	}
	for range probeRounds {
		for _, h := range sim.hosts {
			sim.after(sim.randomBelow(maxProbePause), func() { u.probeAt(h.process, job) })
		}
	}
}

// probeAt asks a process about a job, and about those that depend on it once it is
// cancelled; without one it does nothing.
func (u *fakeUsers) probeAt(p *process, job *userJob) {
	if p == nil {
		return
	}
	u.probeStatus(p, job)
	u.probeResubmission(p, job)
	if job.outcome == protocol.StageCancelled {
		u.probeDependents(p, job)
	}
}

// probeDependents asks a process about the jobs that depend on one that is cancelled.
func (u *fakeUsers) probeDependents(p *process, job *userJob) {
	for _, id := range slices.Sorted(maps.Keys(u.jobs)) {
		if dependent := u.jobs[id]; dependent.accepted && slices.Contains(u.sim.checker.dependenciesOf(dependent), job) {
			u.probeStatus(p, dependent)
		}
	}
}

// probeStatus asks a process about a job once.
func (u *fakeUsers) probeStatus(p *process, job *userJob) {
	id, outcome := job.spec.ID, job.outcome
	u.askAt(p, statusOf(id), func(answer api.Answer) {
		u.probeAnswers++
		switch answer.Status {
		case http.StatusOK:
			u.sim.checker.jobAnswered(id, job, outcome, answer.Body.(*protocol.JobStatus).Stage)
		case http.StatusNotFound:
			u.sim.checker.jobDenied(job, id, answer.Status)
		}
	})
}

// probeResubmission submits a job again, at a certain process.
func (u *fakeUsers) probeResubmission(p *process, job *userJob) {
	id, outcome := job.spec.ID, job.outcome
	u.askAt(p, submission(u.body(job)), func(answer api.Answer) {
		u.probeAnswers++
		switch answer.Status {
		case http.StatusOK, http.StatusCreated:
			u.sim.checker.jobAnswered(id, job, outcome, answer.Body.(protocol.JobReceipt).Stage)
		case http.StatusBadRequest, http.StatusUnprocessableEntity, http.StatusNotFound:
			u.sim.checker.jobDenied(job, id, answer.Status)
		}
	})
}
