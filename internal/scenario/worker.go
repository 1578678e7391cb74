package scenario

import (
	"net/http"
	"slices"
	"time"

	"rockrun/internal/coordination/api"
	"rockrun/internal/protocol"
)

// worker is the stand-in for a machine's worker.
type agent struct {
	s       *sim
	r       *rented
	t       *protocol.MachineType
	dead    bool
	cut     bool // no message gets through; direct commands are held back
	held    []func()
	deaf    bool // its reports arrive, but neither answers nor commands reach it
	mute    bool // it reaches no controller; direct commands reach it
	faulty  bool
	slow    float64
	session uint64
	seq     uint64
	token   uint64
	leaseAt time.Duration // when the last answered report was sent
	tasks   []*agentTask
	images  map[string]bool
	node    int
	flying  bool
	last    time.Duration // last report
	dirty   bool
	warn    time.Duration // when the cloud takes it; 0: not announced
	wakes   time.Duration // until then the machine hangs
}

// onWorker is an attempt on a worker.
type agentTask struct {
	protocol.TaskStatus
	spec  *protocol.JobSpec
	round int // stale timers of an earlier state are ignored
}

func newAgent(s *sim, r *rented, t *protocol.MachineType) {
	w := &agent{s: s, r: r, t: t, session: 1, leaseAt: s.now, images: map[string]bool{}, slow: 1, node: s.rand.IntN(len(s.hosts))}
	s.agents[r.Name] = w
	w.report()
	w.watchLease()
}

// hangs reports whether the machine stands still now.
func (w *agent) hangs() bool { return w.s.now < w.wakes }

// hang lets the machine stand still for a while: its tasks don't go on, it says
// nothing, and what is sent to it is read afterwards. Its lease runs on.
func (w *agent) hang(d time.Duration) {
	w.wakes = w.s.now + d
	w.s.after(d, func() {
		if w.dead || w.hangs() {
			return
		}
		w.flying = false
		w.heal()
		w.report()
	})
}

func (w *agent) kill() {
	w.dead = true
	for _, t := range w.tasks {
		w.s.check.left(w, t)
	}
	w.tasks = nil
	delete(w.s.agents, w.r.Name)
}

func (w *agent) watchLease() {
	lease := w.s.cluster.Agents.Lease()
	w.s.after(max(w.leaseAt+lease-w.s.now, time.Millisecond), func() {
		if w.dead {
			return
		}
		if w.s.now >= w.leaseAt+lease {
			w.restart()
		}
		w.watchLease()
	})
}

func (w *agent) status() *protocol.AgentHeartbeat {
	w.seq++
	r := &protocol.AgentHeartbeat{
		Machine: w.r.Name, Address: w.r.Address, MachineType: w.r.Type, Zone: w.r.Zone, Spot: w.r.Spot,
		Epoch: w.session, Sequence: w.seq, FencingToken: w.token,
	}
	if w.warn > 0 {
		left := (w.warn - w.s.now).Seconds()
		r.TerminationSeconds = &left
	}
	for _, t := range w.tasks {
		r.Tasks = append(r.Tasks, t.TaskStatus)
	}
	return r
}

// changed asks for a report soon.
func (w *agent) changed() {
	if w.dirty || w.dead {
		return
	}
	w.dirty = true
	w.s.after(w.last+500*time.Millisecond-w.s.now, w.report)
}

// report sends a report and sees to the next one.
func (w *agent) report() {
	if w.dead || w.flying || w.hangs() {
		return
	}
	w.flying, w.dirty, w.last = true, false, w.s.now
	x := &exchange{w: w, sent: w.s.now, session: w.session}
	r := w.status()
	h := w.s.hosts[w.node]
	w.s.after(answerPatience, func() { x.finish(api.Answer{}, false) })
	if h.p == nil {
		w.s.after(w.s.delay(), func() { x.finish(api.Answer{}, false) })
		return
	}
	if w.mute {
		return // it can't even connect
	}
	w.s.copyReport(r)
	p := h.p
	deliver := func() {
		if p.dead || !w.s.reach(h, w) {
			return
		}
		p.guard(func() {
			p.controller.OnAgentHeartbeat(r, func(a api.Answer) {
				w.s.trace.answered(p.h.name, "report", a)
				w.s.after(w.s.delay(), func() {
					if !w.cut && !w.deaf && w.s.reach(h, w) {
						x.finish(a, true)
					}
				})
			})
		})()
	}
	if w.cut {
		w.held = append(w.held, deliver) // the report arrives late
		return
	}
	w.s.after(w.s.delay(), deliver)
}

// Times of a worker's reports, by the protocol.
const (
	answerPatience = 4 * time.Second // how long it waits for an answer
	redirectPause  = 200 * time.Millisecond
	nextNodePause  = time.Second
)

// exchange is a report under way.
type exchange struct {
	w        *agent
	sent     time.Duration
	session  uint64
	answered bool
}

// finish takes in the answer, or that none came, and sees to the next report.
func (x *exchange) finish(a api.Answer, came bool) {
	w, s := x.w, x.w.s
	if x.answered || w.dead || w.hangs() || s.now-x.sent > answerPatience+time.Millisecond {
		return // it waits no longer for this answer
	}
	x.answered, w.flying = true, false
	untilNext := time.Duration((0.75 + 0.5*s.rand.Float64()) * float64(s.cluster.Agents.HeartbeatInterval()))
	pause := nextNodePause
	switch {
	case came && a.Status == http.StatusOK:
		x.accept(a.Body.(protocol.AgentHeartbeatAnswer))
		pause = untilNext
	case came && a.Status == http.StatusMisdirectedRequest:
		if w.redirect(a.Body.(protocol.Redirect).Controller) {
			pause = redirectPause
		}
	default:
		w.next()
	}
	if w.dirty {
		w.dirty = false
		w.changed()
	}
	seq := w.seq
	s.after(pause, func() {
		if w.seq == seq || s.now-w.last >= s.cluster.Agents.HeartbeatInterval()/2 {
			w.report()
		}
	})
}

// accept carries out an answer 200, unless it is of a lower token or session.
func (x *exchange) accept(o protocol.AgentHeartbeatAnswer) {
	w := x.w
	if o.FencingToken < w.token || x.session != w.session {
		return
	}
	if o.FencingToken > w.token {
		w.token = o.FencingToken
		w.changed()
	}
	w.leaseAt = x.sent
	w.obey(o.Commands)
}

// redirect turns to the controller named, or to the next where that is none other.
func (w *agent) redirect(boss string) bool {
	i := slices.IndexFunc(w.s.hosts, func(h *host) bool { return h.name == boss })
	if i < 0 || i == w.node {
		w.next()
		return false
	}
	w.node = i
	return true
}

func (w *agent) next() { w.node = (w.node + 1) % len(w.s.hosts) }

// heal ends a cut and delivers what was held back.
func (w *agent) heal() {
	w.cut = false
	for _, f := range w.held {
		f()
	}
	w.held = nil
}

// restart ends everything on the machine; its worker is back at once.
func (w *agent) restart() {
	for _, t := range w.tasks {
		w.s.check.left(w, t)
	}
	w.tasks = nil
	w.session++
	w.leaseAt = w.s.now
	w.changed()
}

// direct carries out commands sent straight to the worker.
func (w *agent) direct(o protocol.CommandRequest) (*protocol.AgentHeartbeat, bool) {
	if o.FencingToken < w.token || o.Epoch != w.session {
		return w.status(), false
	}
	if o.FencingToken > w.token {
		w.token = o.FencingToken
		w.changed()
	}
	w.obey(o.Commands)
	return w.status(), true
}

func (w *agent) find(task string, try uint64) (int, *agentTask) {
	for i, t := range w.tasks {
		if t.Task == task && t.Attempt == try {
			return i, t
		}
	}
	return -1, nil
}

func (w *agent) obey(cmds []protocol.Command) {
	for _, c := range cmds {
		i, t := w.find(c.Task, c.Attempt)
		switch c.Verb {
		case protocol.VerbStart:
			if t == nil {
				w.start(c)
			}
		case protocol.VerbStop:
			if t == nil || t.State == protocol.TaskEnded {
				continue
			}
			if t.State == protocol.TaskRunning && t.spec.CheckpointSeconds > 0 && c.GraceSeconds != nil && *c.GraceSeconds >= t.spec.SaveSeconds {
				w.state(t, protocol.TaskSaving)
				w.timer(t, t.spec.SaveSeconds, func() { t.Saved = true; w.end(t, protocol.CauseStopped) })
			} else if t.State != protocol.TaskSaving || c.GraceSeconds != nil && *c.GraceSeconds == 0 {
				w.end(t, protocol.CauseStopped)
			}
		case protocol.VerbReap:
			if t != nil && t.State == protocol.TaskEnded {
				w.tasks = slices.Delete(w.tasks, i, i+1)
			}
		}
	}
}

func (w *agent) timer(t *agentTask, s float64, f func()) {
	t.round++
	round, session := t.round, w.session
	var run func()
	run = func() {
		switch {
		case w.dead || t.round != round || session != w.session:
		case w.hangs():
			w.s.after(w.wakes-w.s.now+time.Millisecond, run)
		default:
			f()
		}
	}
	w.s.after(time.Duration(s*float64(time.Second)), run)
}

func (w *agent) state(t *agentTask, state string) {
	t.State = state
	w.changed()
}

func (w *agent) end(t *agentTask, cause string) {
	if t.State == protocol.TaskRunning || t.State == protocol.TaskSaving {
		w.s.check.left(w, t)
	}
	t.round++
	t.Cause = cause
	w.state(t, protocol.TaskEnded)
}

func (w *agent) start(c protocol.Command) {
	t := &agentTask{TaskStatus: protocol.TaskStatus{Task: c.Task, Attempt: c.Attempt}}
	id, _, err := protocol.ParseTaskName(c.Task)
	job := w.s.users.jobs[id]
	w.tasks = append(w.tasks, t)
	if err != nil || job == nil {
		w.end(t, protocol.CauseJobUnknown)
		return
	}
	t.spec = &job.spec
	cpus, mem := t.spec.CPUs, t.spec.MemoryGB
	for _, o := range w.tasks {
		if o == t || o.State == protocol.TaskEnded {
			continue
		}
		if o.Task == c.Task {
			w.end(t, protocol.CauseAlreadyPresent)
			return
		}
		cpus += o.spec.CPUs
		mem += o.spec.MemoryGB
	}
	if cpus > w.t.CPUs+1e-6 || mem > w.t.MemoryGB+1e-6 {
		w.end(t, protocol.CauseNoCapacity)
		return
	}
	w.state(t, protocol.TaskFetching)
	fetch := 0.0
	if !w.images[t.spec.Image] {
		fetch = t.spec.ImageGB / w.t.FetchGBPS
	}
	w.timer(t, fetch, func() {
		w.images[t.spec.Image] = true
		w.s.check.began(w, t)
		w.state(t, protocol.TaskRunning)
		switch {
		case w.faulty || job.broken:
			w.timer(t, 1, func() { w.end(t, protocol.CauseError) })
		case w.s.check.finished[c.Task]:
			w.end(t, protocol.CauseDone)
		case t.spec.Kind != protocol.KindService:
			w.timer(t, job.takes(c.Task)*w.slow, func() {
				w.s.check.finished[c.Task] = true
				w.end(t, protocol.CauseDone)
				if w.s.check.complete(job) {
					job.completeAt = w.s.now
					w.s.users.lastEnded(job)
				}
			})
		}
	})
}
