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
type users struct {
	s    *sim
	jobs map[string]*userJob

	atEnd float64 // share of jobs that are called off at the moment of their end
	oddID int     // odd submissions so far

	closeLooks   time.Duration // until then users look closely, see lookClosely
	cancelAtOnce float64       // share of them that cancel an accepted job at once

	looks int // answers to close looks

	onlyWell bool // users come to controllers that the state service serves
}

type userJob struct {
	spec        protocol.JobSpec
	run         float64 // what a task really takes
	runs        []float64
	broken      bool // fails wherever it runs
	submitted   time.Duration
	accepted    bool
	acceptedAt  time.Duration
	status      int // last answer to the submission
	asked       bool
	withdrawnAt time.Duration
	final       string
	finalAt     time.Duration
	unheard     time.Duration // since when no poll was answered
	heard       time.Duration // last answered poll
	muted       bool          // answers to its polls are lost on purpose
	beganAt     time.Duration // first task started
	idleSince   time.Duration // since when it waits though there is room; 0: not so
	repeats     int
	completeAt  time.Duration // when its last task completed
}

// ask makes a request to some node that is up; answer is called once, with
// status 0 when no answer came.
func (u *users) ask(call func(n *coordination.Controller, reply func(api.Answer)), answer func(api.Answer)) {
	s := u.s
	var up []*host
	for _, h := range s.hosts {
		if h.p != nil && (!u.onlyWell || !s.store.down(h)) {
			up = append(up, h)
		}
	}
	if len(up) == 0 {
		s.after(time.Millisecond, func() { answer(api.Answer{}) })
		return
	}
	u.askNode(up[s.rand.IntN(len(up))].p, call, answer)
}

// askNode is ask at a certain controller.
func (u *users) askNode(p *process, call func(n *coordination.Controller, reply func(api.Answer)), answer func(api.Answer)) {
	s := u.s
	told := false
	once := func(a api.Answer) {
		if !told {
			told = true
			answer(a)
		}
	}
	s.after(5*time.Second, func() { once(api.Answer{}) })
	s.after(s.delay(), p.guard(func() {
		call(p.controller, func(a api.Answer) {
			s.trace.answered(p.h.name, "user", a)
			s.after(s.delay(), func() { once(a) })
		})
	}))
}

func (u *users) body(j *userJob) []byte {
	m := map[string]any{}
	data, err := json.Marshal(j.spec)
	if err == nil {
		err = json.Unmarshal(data, &m)
	}
	if err != nil {
		panic(err) // the spec is our own
	}
	for _, f := range []string{"together", "spread", "loaner"} {
		if m[f] == nil {
			m[f] = false
		}
	}
	for _, f := range []string{"guessS", "markS", "stashS"} {
		if m[f] == nil {
			m[f] = 0
		}
	}
	if data, err = json.Marshal(m); err != nil {
		panic(err)
	}
	return data
}

// submit repeats a submission until it is decided, for a minute.
func (u *users) submit(j *userJob) {
	s := u.s
	body := u.body(j)
	accepted, final := j.accepted, j.final // what the user knew when it asked
	allAccepted := u.allAccepted(j)
	u.ask(func(n *coordination.Controller, reply func(api.Answer)) { n.Submit(body, reply) }, func(a api.Answer) {
		if a.Status != 0 {
			j.status = a.Status
		}
		s.check.acceptedNeeds(j, a.Status, allAccepted)
		switch a.Status {
		case http.StatusOK, http.StatusCreated:
			if !j.accepted {
				j.accepted, j.acceptedAt = true, s.now
				u.poll(j)
				u.lookClosely(j)
				if s.now < u.closeLooks && s.rand.Float64() < u.cancelAtOnce {
					u.withdraw(j)
				}
			}
			s.check.told(j.spec.ID, j, final, a.Body.(protocol.JobReceipt).Stage)
			if j.repeats > 0 {
				j.repeats--
				s.after(time.Duration(s.rand.Int64N(int64(30*time.Second))), func() { u.submit(j) })
			}
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			if accepted {
				s.check.refused(j.spec.ID, j, a.Status)
			}
		default:
			if s.now-j.submitted < time.Minute {
				s.after(max(time.Second, a.RetryAfter), func() { u.submit(j) })
			}
		}
	})
}

// poll asks about a job every 5 s, and now and then after its end.
func (u *users) poll(j *userJob) {
	s := u.s
	id, final := j.spec.ID, j.final
	u.ask(func(n *coordination.Controller, reply func(api.Answer)) { n.Status(id, reply) }, func(a api.Answer) {
		if j.muted {
			a = api.Answer{}
		}
		switch a.Status {
		case http.StatusOK:
			j.unheard, j.heard = 0, s.now
			v := a.Body.(*protocol.JobStatus)
			before := j.final
			s.check.told(id, j, final, v.Stage)
			if before == "" && j.final != "" {
				j.finalAt = s.now
				u.lookClosely(j)
			}
		case http.StatusNotFound:
			s.check.refused(id, j, a.Status)
		default:
			if j.unheard == 0 {
				j.unheard = s.now
			}
		}
		pause := 5 * time.Second
		if j.final != "" {
			pause = 40 * time.Second
		}
		s.after(pause, func() { u.poll(j) })
	})
}

// withdraw repeats a withdrawal until it is answered.
func (u *users) withdraw(j *userJob) {
	s := u.s
	j.asked = true
	id, accepted, final := j.spec.ID, j.accepted, j.final
	u.ask(func(n *coordination.Controller, reply func(api.Answer)) { n.Cancel(id, reply) }, func(a api.Answer) {
		switch a.Status {
		case http.StatusOK:
			s.check.told(id, j, final, a.Body.(protocol.JobReceipt).Stage)
			if final == "" {
				u.lookClosely(j)
			}
		case http.StatusNotFound:
			if accepted {
				s.check.refused(id, j, a.Status)
			}
		default:
			s.after(time.Second, func() { u.withdraw(j) })
		}
	})
}

// takes is how long a task of the job really runs.
func (j *userJob) takes(name string) float64 {
	if _, task, err := protocol.ParseTaskName(name); err == nil && task < len(j.runs) {
		return j.runs[task]
	}
	return j.run
}
