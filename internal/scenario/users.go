package scenario

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"rockrun/internal/coordination"
	"rockrun/internal/coordination/api"
	"rockrun/internal/protocol"
)

// fakeUsers simulates the users, who submit jobs, poll their status and cancel some of them.
type fakeUsers struct {
	sim  *simulation
	jobs map[string]*userJob // submitted jobs by ID

	healthyControllersOnly  bool    // send requests only to controllers that the store serves
	cancelOnCompletionShare float64 // share of jobs cancelled when their last task completes
	invalidRequests         int     // invalid submissions sent so far

	probeUntil          time.Duration // end of the read-your-writes probes, see scheduleProbes
	cancelOnAcceptShare float64       // share of jobs cancelled on acceptance while probes run
	probeAnswers        int           // answers to probes so far, including timeouts
}

// Timeouts, delays and intervals of the users.
const (
	userTimeout              = 5 * time.Second
	submitTimeout            = time.Minute // limit for retries of an undecided submission
	retryDelay               = time.Second
	maxResubmissionDelay     = 30 * time.Second
	pollInterval             = 5 * time.Second
	pollIntervalAfterOutcome = 40 * time.Second
)

// userRequest sends a user's request to a controller.
type userRequest func(controller *coordination.Controller, reply func(api.Answer))

// submitRequest returns the request to submit a job.
func submitRequest(body []byte) userRequest {
	return func(controller *coordination.Controller, reply func(api.Answer)) { controller.Submit(body, reply) }
}

// statusRequest returns the request for the status of a job.
func statusRequest(id string) userRequest {
	return func(controller *coordination.Controller, reply func(api.Answer)) { controller.Status(id, reply) }
}

// cancelRequest returns the request to cancel a job.
func cancelRequest(id string) userRequest {
	return func(controller *coordination.Controller, reply func(api.Answer)) { controller.Cancel(id, reply) }
}

// sendRequest sends a request to a random running controller. It calls done exactly once, with
// status 0 if no answer arrives within userTimeout or no controller runs.
func (u *fakeUsers) sendRequest(request userRequest, done func(api.Answer)) {
	sim := u.sim
	var serving []*host
	for _, h := range sim.hosts {
		if h.process != nil && (!u.healthyControllersOnly || !sim.store.isUnavailableTo(h)) {
			serving = append(serving, h)
		}
	}
	if len(serving) == 0 {
		sim.after(time.Millisecond, func() { done(api.Answer{}) })
		return
	}
	u.sendRequestTo(serving[sim.rand.IntN(len(serving))].process, request, done)
}

// sendRequestTo is like sendRequest, but sends the request to a given process.
func (u *fakeUsers) sendRequestTo(process *process, request userRequest, done func(api.Answer)) {
	sim := u.sim
	finished := false
	finish := func(answer api.Answer) {
		if !finished {
			finished = true
			done(answer)
		}
	}
	sim.after(userTimeout, func() { finish(api.Answer{}) })
	sim.after(sim.latency(), process.guard(func() {
		request(process.controller, func(answer api.Answer) {
			sim.trace.recordAnswer(process.host.name, kindUserAnswer, answer)
			sim.after(sim.latency(), func() { finish(answer) })
		})
	}))
}

// submissionBody encodes a submission with all required fields, including those that
// protocol.JobSpec omits when they are zero.
func (u *fakeUsers) submissionBody(job *userJob) []byte {
	data := mustMarshal(job.spec)
	fields := map[string]any{}
	if err := json.Unmarshal(data, &fields); err != nil {
		panic(fmt.Sprintf("scenario: decode submission of %s: %v", job.spec.ID, err))
	}
	for _, name := range []string{"together", "spread", "loaner"} {
		if fields[name] == nil {
			fields[name] = false
		}
	}
	for _, name := range []string{"guessS", "markS", "stashS"} {
		if fields[name] == nil {
			fields[name] = 0
		}
	}
	return mustMarshal(fields)
}

// mustMarshal encodes a value as JSON and panics if that fails.
func mustMarshal(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("scenario: encode %T: %v", value, err))
	}
	return data
}

// submitNew submits a job for the first time.
func (u *fakeUsers) submitNew(job *userJob) {
	job.submittedAt = u.sim.now
	u.jobs[job.spec.ID] = job
	u.submit(job)
}

// submit sends a submission and retries it until it is decided, for at most submitTimeout
// after the first submission.
func (u *fakeUsers) submit(job *userJob) {
	sim := u.sim
	accepted, outcome := job.accepted, job.outcome // known to the user before the request
	allAccepted := u.dependenciesAccepted(job)
	u.sendRequest(submitRequest(u.submissionBody(job)), func(answer api.Answer) {
		if answer.Status != 0 {
			job.submissionStatus = answer.Status
		}
		sim.checker.checkSubmissionAnswer(job, answer.Status, allAccepted)
		switch answer.Status {
		case http.StatusOK, http.StatusCreated:
			u.onAccepted(job)
			sim.checker.jobAnswered(job.spec.ID, job, outcome, answer.Body.(protocol.JobReceipt).Stage)
			u.scheduleResubmission(job)
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			if accepted {
				sim.checker.jobDenied(job, job.spec.ID, answer.Status)
			}
		default:
			if sim.now-job.submittedAt < submitTimeout {
				sim.after(max(retryDelay, answer.RetryAfter), func() { u.submit(job) })
			}
		}
	})
}

// onAccepted handles the acceptance of a job. Polling starts at the first acceptance.
func (u *fakeUsers) onAccepted(job *userJob) {
	sim := u.sim
	if job.accepted {
		return
	}
	job.accepted, job.acceptedAt = true, sim.now
	u.poll(job)
	u.scheduleProbes(job)
	if sim.now < u.probeUntil && sim.rand.Float64() < u.cancelOnAcceptShare {
		u.cancel(job)
	}
}

// scheduleResubmission schedules the next resubmission of an accepted job, if any remain.
func (u *fakeUsers) scheduleResubmission(job *userJob) {
	if job.resubmissions > 0 {
		job.resubmissions--
		u.sim.after(u.sim.randomBelow(maxResubmissionDelay), func() { u.submit(job) })
	}
}

// poll queries the status of a job periodically, at a longer interval once its outcome is
// known.
func (u *fakeUsers) poll(job *userJob) {
	outcome := job.outcome
	u.sendRequest(statusRequest(job.spec.ID), func(answer api.Answer) {
		if job.pollAnswersLost {
			answer = api.Answer{}
		}
		u.onPollAnswer(job, outcome, answer)
		interval := pollInterval
		if job.outcome != "" {
			interval = pollIntervalAfterOutcome
		}
		u.sim.after(interval, func() { u.poll(job) })
	})
}

// onPollAnswer handles the answer to a poll. outcome is the outcome that the user knew when
// it sent the poll.
func (u *fakeUsers) onPollAnswer(job *userJob, outcome string, answer api.Answer) {
	sim := u.sim
	switch answer.Status {
	case http.StatusOK:
		job.unansweredSince, job.answeredAt = 0, sim.now
		before := job.outcome
		sim.checker.jobAnswered(job.spec.ID, job, outcome, answer.Body.(*protocol.JobStatus).Stage)
		if before == "" && job.outcome != "" {
			job.outcomeAt = sim.now
			u.scheduleProbes(job)
		}
	case http.StatusNotFound:
		sim.checker.jobDenied(job, job.spec.ID, answer.Status)
	default:
		if job.unansweredSince == 0 {
			job.unansweredSince = sim.now
		}
	}
}

// cancel sends a cancellation and retries it until it is answered.
func (u *fakeUsers) cancel(job *userJob) {
	sim := u.sim
	job.cancelRequested = true
	accepted, outcome := job.accepted, job.outcome
	u.sendRequest(cancelRequest(job.spec.ID), func(answer api.Answer) {
		switch answer.Status {
		case http.StatusOK:
			sim.checker.jobAnswered(job.spec.ID, job, outcome, answer.Body.(protocol.JobReceipt).Stage)
			if outcome == "" {
				u.scheduleProbes(job)
			}
		case http.StatusNotFound:
			if accepted {
				sim.checker.jobDenied(job, job.spec.ID, answer.Status)
			}
		default:
			sim.after(retryDelay, func() { u.cancel(job) })
		}
	})
}

// onJobCompleted is called when the last task of a job completes. A share of the users cancels
// and resubmits the job at that moment.
func (u *fakeUsers) onJobCompleted(job *userJob) {
	if u.cancelOnCompletionShare > 0 && u.sim.rand.Float64() < u.cancelOnCompletionShare && !job.cancelRequested {
		u.sim.faults.record("cancel-on-completion", time.Second)
		u.cancel(job)
		u.submit(job)
	}
}
