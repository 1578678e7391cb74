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
func (u *fakeUsers) cancelRunning(count int, hang time.Duration) {
	sim := u.sim
	var running []*userJob
	for _, id := range slices.Sorted(maps.Keys(u.jobs)) {
		if j := u.jobs[id]; j.spec.Kind == protocol.KindArray && j.accepted && !j.cancelRequested && j.outcome == "" && len(sim.checker.machinesOf(id)) > 0 {
			running = append(running, j)
		}
	}
	slices.SortStableFunc(running, func(a, b *userJob) int { return int(b.startedAt - a.startedAt) })
	hung := 0
	for _, j := range running[:min(count, len(running))] {
		for _, x := range sim.checker.machinesOf(j.spec.ID) {
			if hang > 0 && hung < 8 && !x.isPaused() {
				hung++
				sim.noteFault("machine-pause", hang)
				x.pause(hang)
			}
		}
		sim.after(time.Duration(sim.rand.Int64N(int64(200*time.Millisecond))), func() { u.cancel(j) })
	}
}

// lastEnded is called when the last task of a job completes: some users call the
// job off, or repeat its submission, at that very moment.
func (u *fakeUsers) completed(j *userJob) {
	if u.cancelOnCompletionShare > 0 && u.sim.rand.Float64() < u.cancelOnCompletionShare && !j.cancelRequested {
		u.sim.noteFault("cancel-on-completion", time.Second)
		u.cancel(j)
		u.submit(j)
	}
}

// odd makes requests that users should not make: they repeat submissions of
// unfinished jobs, call off what is done, and send what fits no machine, lacks a
// field or is malformed.
func (u *fakeUsers) sendInvalid(until time.Duration) {
	sim := u.sim
	if sim.now > until {
		return
	}
	sim.after(500*time.Millisecond, func() { u.sendInvalid(until) })
	ids := slices.Sorted(maps.Keys(u.jobs))
	if len(ids) == 0 {
		return
	}
	j := u.jobs[ids[sim.rand.IntN(len(ids))]]
	switch {
	case !j.accepted:
	case j.outcome == "":
		u.submit(j)
	default:
		u.cancelEnded(j)
	}
	u.invalidRequests++
	good := userJob{spec: j.spec}
	good.spec.ID = fmt.Sprintf("run-9%06d", u.invalidRequests)
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
	}[u.invalidRequests%8]
	u.request(func(n *coordination.Controller, reply func(api.Answer)) { n.Submit([]byte(bad), reply) }, func(a api.Answer) {
		sim.checker.invalidAnswered(bad, a.Status)
	})
}

// withdrawOver calls off a job that is over.
func (u *fakeUsers) cancelEnded(j *userJob) {
	final := j.outcome
	u.request(func(n *coordination.Controller, reply func(api.Answer)) { n.Cancel(j.spec.ID, reply) }, func(a api.Answer) {
		switch a.Status {
		case http.StatusOK:
			u.sim.checker.jobAnswered(j.spec.ID, j, final, a.Body.(protocol.JobReceipt).Stage)
		case http.StatusNotFound:
			u.sim.checker.jobDenied(j.spec.ID, j, a.Status)
		}
	})
}

// Of a close look: how many rounds there are, and the longest time between two.
const (
	probeRounds = 4
	maxProbePause  = 30 * time.Millisecond
)

// lookClosely lets the user of a job that was just accepted, ended or cancelled ask
// at every controller, again and again within milliseconds, and repeat the
// submission. No answer may be older than what the user knows.
func (u *fakeUsers) probe(j *userJob) {
	sim := u.sim
	if sim.now >= u.probeUntil {
		return
	}
	for range probeRounds {
		for _, h := range sim.hosts {
			sim.after(time.Duration(sim.rand.Int64N(int64(maxProbePause))), func() {
				if h.process == nil {
					return
				}
				u.probeStatus(h.process, j)
				u.probeResubmission(h.process, j)
				if j.outcome == protocol.StageCancelled {
					u.probeDependents(h.process, j)
				}
			})
		}
	}
}

// lookAtDependants asks a controller about the jobs that need one that is cancelled.
func (u *fakeUsers) probeDependents(p *process, j *userJob) {
	for _, id := range slices.Sorted(maps.Keys(u.jobs)) {
		if d := u.jobs[id]; d.accepted && slices.Contains(u.sim.checker.dependenciesOf(d), j) {
			u.probeStatus(p, d)
		}
	}
}

// look asks a controller about a job once.
func (u *fakeUsers) probeStatus(p *process, j *userJob) {
	id, final := j.spec.ID, j.outcome
	u.requestAt(p, func(n *coordination.Controller, reply func(api.Answer)) { n.Status(id, reply) }, func(a api.Answer) {
		u.probeAnswers++
		switch a.Status {
		case http.StatusOK:
			u.sim.checker.jobAnswered(id, j, final, a.Body.(*protocol.JobStatus).Stage)
		case http.StatusNotFound:
			u.sim.checker.jobDenied(id, j, a.Status)
		}
	})
}

// repeat submits a job again, at a certain controller.
func (u *fakeUsers) probeResubmission(p *process, j *userJob) {
	id, final, body := j.spec.ID, j.outcome, u.body(j)
	u.requestAt(p, func(n *coordination.Controller, reply func(api.Answer)) { n.Submit(body, reply) }, func(a api.Answer) {
		u.probeAnswers++
		switch a.Status {
		case http.StatusOK, http.StatusCreated:
			u.sim.checker.jobAnswered(id, j, final, a.Body.(protocol.JobReceipt).Stage)
		case http.StatusBadRequest, http.StatusUnprocessableEntity, http.StatusNotFound:
			u.sim.checker.jobDenied(id, j, a.Status)
		}
	})
}
