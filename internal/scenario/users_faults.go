package scenario

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"rockrun/internal/coordination"
	"rockrun/internal/coordination/api"
	"rockrun/internal/protocol"
)

// cancelNow lets users call off so many arrays that run, the last begun first, and
// up to eight of their machines hang for a while.
func (u *users) cancelNow(count int, hang time.Duration) {
	s := u.s
	var running []*userJob
	for _, id := range slices.Sorted(maps.Keys(u.jobs)) {
		if j := u.jobs[id]; j.spec.Kind == protocol.KindArray && j.accepted && !j.asked && j.final == "" && len(s.check.machinesOf(id)) > 0 {
			running = append(running, j)
		}
	}
	slices.SortStableFunc(running, func(a, b *userJob) int { return int(b.beganAt - a.beganAt) })
	hung := 0
	for _, j := range running[:min(count, len(running))] {
		for _, x := range s.check.machinesOf(j.spec.ID) {
			if hang > 0 && hung < 8 && !x.hangs() {
				hung++
				s.noteFault("machine-pause", hang)
				x.hang(hang)
			}
		}
		s.after(time.Duration(s.rand.Int64N(int64(200*time.Millisecond))), func() { u.withdraw(j) })
	}
}

// lastEnded is called when the last task of a job completes: some users call the
// job off, or repeat its submission, at that very moment.
func (u *users) lastEnded(j *userJob) {
	if u.atEnd > 0 && u.s.rand.Float64() < u.atEnd && !j.asked {
		u.s.noteFault("cancel-on-completion", time.Second)
		u.withdraw(j)
		u.submit(j)
	}
}

// odd makes requests that users should not make: they repeat submissions of
// unfinished jobs, call off what is done, and send what fits no machine, lacks a
// field or is malformed.
func (u *users) odd(until time.Duration) {
	s := u.s
	if s.now > until {
		return
	}
	s.after(500*time.Millisecond, func() { u.odd(until) })
	ids := slices.Sorted(maps.Keys(u.jobs))
	if len(ids) == 0 {
		return
	}
	j := u.jobs[ids[s.rand.IntN(len(ids))]]
	switch {
	case !j.accepted:
	case j.final == "":
		u.submit(j)
	default:
		u.withdrawOver(j)
	}
	u.oddID++
	good := userJob{spec: j.spec}
	good.spec.ID = fmt.Sprintf("run-9%06d", u.oddID)
	body := string(u.body(&good))
	bad := []string{
		strings.Replace(body, `"vcpus":`, `"vcpus":9000,"x":`, 1),
		strings.Replace(body, `"rank":`, `"rang":`, 1),
		strings.Replace(body, `"pieces":`, `"pieces":0,"x":`, 1),
		strings.Replace(body, `"crew":`, `"crew":"nobody","x":`, 1),
		strings.Replace(body, good.spec.ID, "job "+good.spec.ID, 1),
		body[:len(body)/2],
		"[" + body + "]",
		strings.Repeat(" ", protocol.MaxBody) + body,
	}[u.oddID%8]
	u.ask(func(n *coordination.Controller, reply func(api.Answer)) { n.Submit([]byte(bad), reply) }, func(a api.Answer) {
		s.check.answeredBad(bad, a.Status)
	})
}

// withdrawOver calls off a job that is over.
func (u *users) withdrawOver(j *userJob) {
	final := j.final
	u.ask(func(n *coordination.Controller, reply func(api.Answer)) { n.Cancel(j.spec.ID, reply) }, func(a api.Answer) {
		switch a.Status {
		case http.StatusOK:
			u.s.check.told(j.spec.ID, j, final, a.Body.(protocol.JobReceipt).Stage)
		case http.StatusNotFound:
			u.s.check.refused(j.spec.ID, j, a.Status)
		}
	})
}

// Of a close look: how many rounds there are, and the longest time between two.
const (
	closeRounds = 4
	closePause  = 30 * time.Millisecond
)

// lookClosely lets the user of a job that was just accepted, ended or cancelled ask
// at every controller, again and again within milliseconds, and repeat the
// submission. No answer may be older than what the user knows.
func (u *users) lookClosely(j *userJob) {
	s := u.s
	if s.now >= u.closeLooks {
		return
	}
	for range closeRounds {
		for _, h := range s.hosts {
			s.after(time.Duration(s.rand.Int64N(int64(closePause))), func() {
				if h.p == nil {
					return
				}
				u.look(h.p, j)
				u.repeat(h.p, j)
				if j.final == protocol.StageCancelled {
					u.lookAtDependants(h.p, j)
				}
			})
		}
	}
}

// lookAtDependants asks a controller about the jobs that need one that is cancelled.
func (u *users) lookAtDependants(p *process, j *userJob) {
	for _, id := range slices.Sorted(maps.Keys(u.jobs)) {
		if d := u.jobs[id]; d.accepted && slices.Contains(u.s.check.before(d), j) {
			u.look(p, d)
		}
	}
}

// look asks a controller about a job once.
func (u *users) look(p *process, j *userJob) {
	id, final := j.spec.ID, j.final
	u.askNode(p, func(n *coordination.Controller, reply func(api.Answer)) { n.Status(id, reply) }, func(a api.Answer) {
		u.looks++
		switch a.Status {
		case http.StatusOK:
			u.s.check.told(id, j, final, a.Body.(*protocol.JobStatus).Stage)
		case http.StatusNotFound:
			u.s.check.refused(id, j, a.Status)
		}
	})
}

// repeat submits a job again, at a certain controller.
func (u *users) repeat(p *process, j *userJob) {
	id, final, body := j.spec.ID, j.final, u.body(j)
	u.askNode(p, func(n *coordination.Controller, reply func(api.Answer)) { n.Submit(body, reply) }, func(a api.Answer) {
		u.looks++
		switch a.Status {
		case http.StatusOK, http.StatusCreated:
			u.s.check.told(id, j, final, a.Body.(protocol.JobReceipt).Stage)
		case http.StatusBadRequest, http.StatusUnprocessableEntity, http.StatusNotFound:
			u.s.check.refused(id, j, a.Status)
		}
	})
}
