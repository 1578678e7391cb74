package scenario

import (
	"encoding/json"
	"net/http"
	"time"

	"rockrun/internal/coordination"
	"rockrun/internal/coordination/api"
	"rockrun/internal/protocol"
)

// users submit jobs, poll them and withdraw some.
type fakeUsers struct {
	sim    *simulation
	jobs map[string]*userJob

	cancelOnCompletionShare float64 // share of jobs that are called off at the moment of their end
	invalidRequests int     // odd submissions so far

	probeUntil   time.Duration // until then users look closely, see lookClosely
	cancelOnAcceptShare float64       // share of them that cancel an accepted job at once

	probeAnswers int // answers to close looks

	healthyControllersOnly bool // users come to controllers that the state service serves
}

type userJob struct {
	spec        protocol.JobSpec
	runSeconds         float64 // what a task really takes
	taskRunSeconds        []float64
	failsEverywhere      bool // fails wherever it runs
	submittedAt   time.Duration
	accepted    bool
	acceptedAt  time.Duration
	status      int // last answer to the submission
	cancelRequested       bool
	cancelledAt time.Duration
	outcome       string
	outcomeAt     time.Duration
	unansweredSince     time.Duration // since when no poll was answered
	answeredAt       time.Duration // last answered poll
	answersLost       bool          // answers to its polls are lost on purpose
	startedAt     time.Duration // first task started
	waitingSince   time.Duration // since when it waits though there is room; 0: not so
	resubmissions     int
	completedAt  time.Duration // when its last task completed
}

// ask makes a request to some node that is up; answer is called once, with
// status 0 when no answer came.
func (u *fakeUsers) request(call func(n *coordination.Controller, reply func(api.Answer)), answer func(api.Answer)) {
	sim := u.sim
	var serving []*host
	for _, h := range sim.hosts {
		if h.process != nil && (!u.healthyControllersOnly || !sim.store.refuses(h)) {
			serving = append(serving, h)
		}
	}
	if len(serving) == 0 {
		sim.after(time.Millisecond, func() { answer(api.Answer{}) })
		return
	}
	u.requestAt(serving[sim.rand.IntN(len(serving))].process, call, answer)
}

// askNode is ask at a certain controller.
func (u *fakeUsers) requestAt(process *process, call func(n *coordination.Controller, reply func(api.Answer)), answer func(api.Answer)) {
	sim := u.sim
	told := false
	once := func(a api.Answer) {
		if !told {
			told = true
			answer(a)
		}
	}
	sim.after(5*time.Second, func() { once(api.Answer{}) })
	sim.after(sim.delay(), process.guard(func() {
		call(process.controller, func(a api.Answer) {
			sim.trace.answered(process.host.name, "user", a)
			sim.after(sim.delay(), func() { once(a) })
		})
	}))
}

func (u *fakeUsers) body(j *userJob) []byte {
	fields := map[string]any{}
	data, err := json.Marshal(j.spec)
	if err == nil {
		err = json.Unmarshal(data, &fields)
	}
	if err != nil {
		panic(err) // the spec is our own
	}
	for _, f := range []string{"together", "spread", "loaner"} {
		if fields[f] == nil {
			fields[f] = false
		}
	}
	for _, f := range []string{"guessS", "markS", "stashS"} {
		if fields[f] == nil {
			fields[f] = 0
		}
	}
	if data, err = json.Marshal(fields); err != nil {
		panic(err)
	}
	return data
}

// submit repeats a submission until it is decided, for a minute.
func (u *fakeUsers) submit(j *userJob) {
	sim := u.sim
	body := u.body(j)
	accepted, final := j.accepted, j.outcome // what the user knew when it asked
	allAccepted := u.allAccepted(j)
	u.request(func(n *coordination.Controller, reply func(api.Answer)) { n.Submit(body, reply) }, func(answer api.Answer) {
		if answer.Status != 0 {
			j.status = answer.Status
		}
		sim.checker.checkDependencyAnswer(j, answer.Status, allAccepted)
		switch answer.Status {
		case http.StatusOK, http.StatusCreated:
			if !j.accepted {
				j.accepted, j.acceptedAt = true, sim.now
				u.poll(j)
				u.probe(j)
				if sim.now < u.probeUntil && sim.rand.Float64() < u.cancelOnAcceptShare {
					u.cancel(j)
				}
			}
			sim.checker.jobAnswered(j.spec.ID, j, final, answer.Body.(protocol.JobReceipt).Stage)
			if j.resubmissions > 0 {
				j.resubmissions--
				sim.after(time.Duration(sim.rand.Int64N(int64(30*time.Second))), func() { u.submit(j) })
			}
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			if accepted {
				sim.checker.jobDenied(j.spec.ID, j, answer.Status)
			}
		default:
			if sim.now-j.submittedAt < time.Minute {
				sim.after(max(time.Second, answer.RetryAfter), func() { u.submit(j) })
			}
		}
	})
}

// poll asks about a job every 5 s, and now and then after its end.
func (u *fakeUsers) poll(j *userJob) {
	sim := u.sim
	id, final := j.spec.ID, j.outcome
	u.request(func(n *coordination.Controller, reply func(api.Answer)) { n.Status(id, reply) }, func(answer api.Answer) {
		if j.answersLost {
			answer = api.Answer{}
		}
		switch answer.Status {
		case http.StatusOK:
			j.unansweredSince, j.answeredAt = 0, sim.now
			v := answer.Body.(*protocol.JobStatus)
			before := j.outcome
			sim.checker.jobAnswered(id, j, final, v.Stage)
			if before == "" && j.outcome != "" {
				j.outcomeAt = sim.now
				u.probe(j)
			}
		case http.StatusNotFound:
			sim.checker.jobDenied(id, j, answer.Status)
		default:
			if j.unansweredSince == 0 {
				j.unansweredSince = sim.now
			}
		}
		pause := 5 * time.Second
		if j.outcome != "" {
			pause = 40 * time.Second
		}
		sim.after(pause, func() { u.poll(j) })
	})
}

// withdraw repeats a withdrawal until it is answered.
func (u *fakeUsers) cancel(j *userJob) {
	sim := u.sim
	j.cancelRequested = true
	id, accepted, final := j.spec.ID, j.accepted, j.outcome
	u.request(func(n *coordination.Controller, reply func(api.Answer)) { n.Cancel(id, reply) }, func(answer api.Answer) {
		switch answer.Status {
		case http.StatusOK:
			sim.checker.jobAnswered(id, j, final, answer.Body.(protocol.JobReceipt).Stage)
			if final == "" {
				u.probe(j)
			}
		case http.StatusNotFound:
			if accepted {
				sim.checker.jobDenied(id, j, answer.Status)
			}
		default:
			sim.after(time.Second, func() { u.cancel(j) })
		}
	})
}

// takes is how long a task of the job really runs.
func (j *userJob) runSecondsOf(name string) float64 {
	if _, task, err := protocol.ParseTaskName(name); err == nil && task < len(j.taskRunSeconds) {
		return j.taskRunSeconds[task]
	}
	return j.runSeconds
}
