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

// fakeUsers are the stand-in for the users: they submit jobs, poll them and cancel some.
type fakeUsers struct {
	sim  *simulation
	jobs map[string]*userJob // by id, those that were submitted

	healthyControllersOnly  bool    // users come to controllers that the store serves
	cancelOnCompletionShare float64 // of jobs that are cancelled at the moment of their end
	invalidRequests         int     // so far

	probeUntil          time.Duration // until then users probe, see probe
	cancelOnAcceptShare float64       // of them that cancel an accepted job at once
	probeAnswers        int           // so far
}

// Times of the users.
const (
	userTimeout           = 5 * time.Second
	submitPatience        = time.Minute // for how long an undecided submission is repeated
	retryPause            = time.Second
	maxResubmissionPause  = 30 * time.Second
	pollPause             = 5 * time.Second
	pollPauseAfterOutcome = 40 * time.Second
)

// request is a call of a controller by a user.
type request func(controller *coordination.Controller, reply func(api.Answer))

// submission is the request to accept a job.
func submission(body []byte) request {
	return func(controller *coordination.Controller, reply func(api.Answer)) { controller.Submit(body, reply) }
}

// statusOf is the request for the status of a job.
func statusOf(id string) request {
	return func(controller *coordination.Controller, reply func(api.Answer)) { controller.Status(id, reply) }
}

// cancellation is the request to cancel a job.
func cancellation(id string) request {
	return func(controller *coordination.Controller, reply func(api.Answer)) { controller.Cancel(id, reply) }
}

// ask makes a request to some controller that is up; done is called once, with status 0
// when no answer came.
func (u *fakeUsers) ask(call request, done func(api.Answer)) {
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
	u.askAt(serving[sim.rand.IntN(len(serving))].process, call, done)
}

// askAt is ask at a certain controller.
func (u *fakeUsers) askAt(process *process, call request, done func(api.Answer)) {
	sim := u.sim
	over := false
	once := func(answer api.Answer) {
		if !over {
			over = true
			done(answer)
		}
	}
	sim.after(userTimeout, func() { once(api.Answer{}) })
	sim.after(sim.latency(), process.guard(func() {
		call(process.controller, func(answer api.Answer) {
			sim.trace.recordAnswer(process.host.name, kindUserAnswer, answer)
			sim.after(sim.latency(), func() { once(answer) })
		})
	}))
}

// body is a submission with all fields that must be there, also those that the type leaves
// out when they are zero.
func (u *fakeUsers) body(job *userJob) []byte {
	data := mustMarshal(job.spec)
	fields := map[string]any{}
	if err := json.Unmarshal(data, &fields); err != nil {
		panic(fmt.Sprintf("scenario: decode a job of our own: %v", err))
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

// mustMarshal encodes what can always be encoded.
func mustMarshal(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("scenario: encode %T: %v", value, err))
	}
	return data
}

// submitFirst submits a job for the first time.
func (u *fakeUsers) submitFirst(job *userJob) {
	job.submittedAt = u.sim.now
	u.jobs[job.spec.ID] = job
	u.submit(job)
}

// submit repeats a submission until it is decided, for a minute.
func (u *fakeUsers) submit(job *userJob) {
	sim := u.sim
	accepted, outcome := job.accepted, job.outcome // what the user knew when it asked
	allAccepted := u.dependenciesAccepted(job)
	u.ask(submission(u.body(job)), func(answer api.Answer) {
		if answer.Status != 0 {
			job.status = answer.Status
		}
		sim.checker.checkDependencyAnswer(job, answer.Status, allAccepted)
		switch answer.Status {
		case http.StatusOK, http.StatusCreated:
			u.accepted(job)
			sim.checker.jobAnswered(job.spec.ID, job, outcome, answer.Body.(protocol.JobReceipt).Stage)
			u.resubmit(job)
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			if accepted {
				sim.checker.jobDenied(job, job.spec.ID, answer.Status)
			}
		default:
			if sim.now-job.submittedAt < submitPatience {
				sim.after(max(retryPause, answer.RetryAfter), func() { u.submit(job) })
			}
		}
	})
}

// accepted is called when a user is told that its job is accepted; the first time it
// begins to poll.
func (u *fakeUsers) accepted(job *userJob) {
	sim := u.sim
	if job.accepted {
		return
	}
	job.accepted, job.acceptedAt = true, sim.now
	u.poll(job)
	u.probe(job)
	if sim.now < u.probeUntil && sim.rand.Float64() < u.cancelOnAcceptShare {
		u.cancel(job)
	}
}

// resubmit submits an accepted job again after a while, if its user does that.
func (u *fakeUsers) resubmit(job *userJob) {
	if job.resubmissions > 0 {
		job.resubmissions--
		u.sim.after(u.sim.randomBelow(maxResubmissionPause), func() { u.submit(job) })
	}
}

// poll asks about a job again and again, seldom after its end.
func (u *fakeUsers) poll(job *userJob) {
	outcome := job.outcome
	u.ask(statusOf(job.spec.ID), func(answer api.Answer) {
		if job.answersLost {
			answer = api.Answer{}
		}
		u.polled(job, outcome, answer)
		pause := pollPause
		if job.outcome != "" {
			pause = pollPauseAfterOutcome
		}
		u.sim.after(pause, func() { u.poll(job) })
	})
}

// polled takes in the answer to a poll; outcome is what the user knew when it asked.
func (u *fakeUsers) polled(job *userJob, outcome string, answer api.Answer) {
	sim := u.sim
	switch answer.Status {
	case http.StatusOK:
		job.unansweredSince, job.answeredAt = 0, sim.now
		before := job.outcome
		sim.checker.jobAnswered(job.spec.ID, job, outcome, answer.Body.(*protocol.JobStatus).Stage)
		if before == "" && job.outcome != "" {
			job.outcomeAt = sim.now
			u.probe(job)
		}
	case http.StatusNotFound:
		sim.checker.jobDenied(job, job.spec.ID, answer.Status)
	default:
		if job.unansweredSince == 0 {
			job.unansweredSince = sim.now
		}
	}
}

// cancel repeats a cancellation until it is answered.
func (u *fakeUsers) cancel(job *userJob) {
	sim := u.sim
	job.cancelRequested = true
	accepted, outcome := job.accepted, job.outcome
	u.ask(cancellation(job.spec.ID), func(answer api.Answer) {
		switch answer.Status {
		case http.StatusOK:
			sim.checker.jobAnswered(job.spec.ID, job, outcome, answer.Body.(protocol.JobReceipt).Stage)
			if outcome == "" {
				u.probe(job)
			}
		case http.StatusNotFound:
			if accepted {
				sim.checker.jobDenied(job, job.spec.ID, answer.Status)
			}
		default:
			sim.after(retryPause, func() { u.cancel(job) })
		}
	})
}

// completed is called when the last task of a job completes: some users cancel the job and
// repeat its submission at that very moment.
func (u *fakeUsers) completed(job *userJob) {
	if u.cancelOnCompletionShare > 0 && u.sim.rand.Float64() < u.cancelOnCompletionShare && !job.cancelRequested {
		u.sim.faults.record("cancel-on-completion", time.Second)
		u.cancel(job)
		u.submit(job)
	}
}
