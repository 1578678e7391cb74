package scenario

import (
	"net/http"
	"slices"
	"time"

	"rockrun/internal/coordination/api"
	"rockrun/internal/protocol"
)

// worker is the stand-in for a machine's worker.
type fakeAgent struct {
	sim       *simulation
	machine       *fakeMachine
	machineType       *protocol.MachineType
	dead    bool
	partitioned     bool // no message gets through; direct commands are held back
	heldBack    []func()
	inboundPartition    bool // its reports arrive, but neither answers nor commands reach it
	outboundPartition    bool // it reaches no controller; direct commands reach it
	faulty  bool
	slowdown    float64
	epoch uint64
	sequence     uint64
	fencingToken   uint64
	leaseFrom time.Duration // when the last answered report was sent
	tasks   []*agentTask
	images  map[string]bool
	controller    int
	inFlight  bool
	lastHeartbeat    time.Duration // last report
	heartbeatWanted   bool
	terminatedAt    time.Duration // when the cloud takes it; 0: not announced
	pausedUntil   time.Duration // until then the machine hangs
}

// onWorker is an attempt on a worker.
type agentTask struct {
	protocol.TaskStatus
	spec  *protocol.JobSpec
	timerRound int // stale timers of an earlier state are ignored
}

func newAgent(sim *simulation, r *fakeMachine, t *protocol.MachineType) {
	w := &fakeAgent{sim: sim, machine: r, machineType: t, epoch: 1, leaseFrom: sim.now, images: map[string]bool{}, slowdown: 1, controller: sim.rand.IntN(len(sim.hosts))}
	sim.agents[r.Name] = w
	w.sendHeartbeat()
	w.watchLease()
}

// hangs reports whether the machine stands still now.
func (w *fakeAgent) isPaused() bool { return w.sim.now < w.pausedUntil }

// hang lets the machine stand still for a while: its tasks don't go on, it says
// nothing, and what is sent to it is read afterwards. Its lease runs on.
func (w *fakeAgent) pause(d time.Duration) {
	w.pausedUntil = w.sim.now + d
	w.sim.after(d, func() {
		if w.dead || w.isPaused() {
			return
		}
		w.inFlight = false
		w.heal()
		w.sendHeartbeat()
	})
}

func (w *fakeAgent) shutDown() {
	w.dead = true
	for _, t := range w.tasks {
		w.sim.checker.taskLeft(w, t)
	}
	w.tasks = nil
	delete(w.sim.agents, w.machine.Name)
}

func (w *fakeAgent) watchLease() {
	lease := w.sim.cluster.Agents.Lease()
	w.sim.after(max(w.leaseFrom+lease-w.sim.now, time.Millisecond), func() {
		if w.dead {
			return
		}
		if w.sim.now >= w.leaseFrom+lease {
			w.restart()
		}
		w.watchLease()
	})
}

func (w *fakeAgent) heartbeat() *protocol.AgentHeartbeat {
	w.sequence++
	heartbeat := &protocol.AgentHeartbeat{
		Machine: w.machine.Name, Address: w.machine.Address, MachineType: w.machine.Type, Zone: w.machine.Zone, Spot: w.machine.Spot,
		Epoch: w.epoch, Sequence: w.sequence, FencingToken: w.fencingToken,
	}
	if w.terminatedAt > 0 {
		left := (w.terminatedAt - w.sim.now).Seconds()
		heartbeat.TerminationSeconds = &left
	}
	for _, t := range w.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, t.TaskStatus)
	}
	return heartbeat
}

// changed asks for a report soon.
func (w *fakeAgent) wantHeartbeat() {
	if w.heartbeatWanted || w.dead {
		return
	}
	w.heartbeatWanted = true
	w.sim.after(w.lastHeartbeat+500*time.Millisecond-w.sim.now, w.sendHeartbeat)
}

// report sends a report and sees to the next one.
func (w *fakeAgent) sendHeartbeat() {
	if w.dead || w.inFlight || w.isPaused() {
		return
	}
	w.inFlight, w.heartbeatWanted, w.lastHeartbeat = true, false, w.sim.now
	x := &exchange{agent: w, sentAt: w.sim.now, epoch: w.epoch}
	r := w.heartbeat()
	h := w.sim.hosts[w.controller]
	w.sim.after(answerPatience, func() { x.finish(api.Answer{}, false) })
	if h.process == nil {
		w.sim.after(w.sim.delay(), func() { x.finish(api.Answer{}, false) })
		return
	}
	if w.outboundPartition {
		return // it can't even connect
	}
	w.sim.copyReport(r)
	p := h.process
	deliver := func() {
		if p.dead || !w.sim.reachable(h, w) {
			return
		}
		p.guard(func() {
			p.controller.OnAgentHeartbeat(r, func(a api.Answer) {
				w.sim.trace.answered(p.host.name, "report", a)
				w.sim.after(w.sim.delay(), func() {
					if !w.partitioned && !w.inboundPartition && w.sim.reachable(h, w) {
						x.finish(a, true)
					}
				})
			})
		})()
	}
	if w.partitioned {
		w.heldBack = append(w.heldBack, deliver) // the report arrives late
		return
	}
	w.sim.after(w.sim.delay(), deliver)
}

// Times of a worker's reports, by the protocol.
const (
	answerPatience = 4 * time.Second // how long it waits for an answer
	redirectPause  = 200 * time.Millisecond
	nextControllerPause  = time.Second
)

// exchange is a report under way.
type exchange struct {
	agent        *fakeAgent
	sentAt     time.Duration
	epoch  uint64
	answered bool
}

// finish takes in the answer, or that none came, and sees to the next report.
func (x *exchange) finish(a api.Answer, came bool) {
	w, sim := x.agent, x.agent.sim
	if x.answered || w.dead || w.isPaused() || sim.now-x.sentAt > answerPatience+time.Millisecond {
		return // it waits no longer for this answer
	}
	x.answered, w.inFlight = true, false
	untilNext := time.Duration((0.75 + 0.5*sim.rand.Float64()) * float64(sim.cluster.Agents.HeartbeatInterval()))
	pause := nextControllerPause
	switch {
	case came && a.Status == http.StatusOK:
		x.accept(a.Body.(protocol.AgentHeartbeatAnswer))
		pause = untilNext
	case came && a.Status == http.StatusMisdirectedRequest:
		if w.follow(a.Body.(protocol.Redirect).Controller) {
			pause = redirectPause
		}
	default:
		w.nextController()
	}
	if w.heartbeatWanted {
		w.heartbeatWanted = false
		w.wantHeartbeat()
	}
	seq := w.sequence
	sim.after(pause, func() {
		if w.sequence == seq || sim.now-w.lastHeartbeat >= sim.cluster.Agents.HeartbeatInterval()/2 {
			w.sendHeartbeat()
		}
	})
}

// accept carries out an answer 200, unless it is of a lower token or session.
func (x *exchange) accept(o protocol.AgentHeartbeatAnswer) {
	w := x.agent
	if o.FencingToken < w.fencingToken || x.epoch != w.epoch {
		return
	}
	if o.FencingToken > w.fencingToken {
		w.fencingToken = o.FencingToken
		w.wantHeartbeat()
	}
	w.leaseFrom = x.sentAt
	w.apply(o.Commands)
}

// redirect turns to the controller named, or to the next where that is none other.
func (w *fakeAgent) follow(boss string) bool {
	i := slices.IndexFunc(w.sim.hosts, func(h *host) bool { return h.name == boss })
	if i < 0 || i == w.controller {
		w.nextController()
		return false
	}
	w.controller = i
	return true
}

func (w *fakeAgent) nextController() { w.controller = (w.controller + 1) % len(w.sim.hosts) }

// heal ends a cut and delivers what was held back.
func (w *fakeAgent) heal() {
	w.partitioned = false
	for _, f := range w.heldBack {
		f()
	}
	w.heldBack = nil
}

// restart ends everything on the machine; its worker is back at once.
func (w *fakeAgent) restart() {
	for _, t := range w.tasks {
		w.sim.checker.taskLeft(w, t)
	}
	w.tasks = nil
	w.epoch++
	w.leaseFrom = w.sim.now
	w.wantHeartbeat()
}

// direct carries out commands sent straight to the worker.
func (w *fakeAgent) execute(o protocol.CommandRequest) (*protocol.AgentHeartbeat, bool) {
	if o.FencingToken < w.fencingToken || o.Epoch != w.epoch {
		return w.heartbeat(), false
	}
	if o.FencingToken > w.fencingToken {
		w.fencingToken = o.FencingToken
		w.wantHeartbeat()
	}
	w.apply(o.Commands)
	return w.heartbeat(), true
}

func (w *fakeAgent) find(task string, try uint64) (int, *agentTask) {
	for i, t := range w.tasks {
		if t.Task == task && t.Attempt == try {
			return i, t
		}
	}
	return -1, nil
}

func (w *fakeAgent) apply(cmds []protocol.Command) {
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
				w.setState(t, protocol.TaskSaving)
				w.afterSeconds(t, t.spec.SaveSeconds, func() { t.Saved = true; w.end(t, protocol.CauseStopped) })
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

func (w *fakeAgent) afterSeconds(t *agentTask, s float64, f func()) {
	t.timerRound++
	round, session := t.timerRound, w.epoch
	var run func()
	run = func() {
		switch {
		case w.dead || t.timerRound != round || session != w.epoch:
		case w.isPaused():
			w.sim.after(w.pausedUntil-w.sim.now+time.Millisecond, run)
		default:
			f()
		}
	}
	w.sim.after(time.Duration(s*float64(time.Second)), run)
}

func (w *fakeAgent) setState(t *agentTask, state string) {
	t.State = state
	w.wantHeartbeat()
}

func (w *fakeAgent) end(t *agentTask, cause string) {
	if t.State == protocol.TaskRunning || t.State == protocol.TaskSaving {
		w.sim.checker.taskLeft(w, t)
	}
	t.timerRound++
	t.Cause = cause
	w.setState(t, protocol.TaskEnded)
}

func (w *fakeAgent) start(c protocol.Command) {
	t := &agentTask{TaskStatus: protocol.TaskStatus{Task: c.Task, Attempt: c.Attempt}}
	id, _, err := protocol.ParseTaskName(c.Task)
	job := w.sim.users.jobs[id]
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
	if cpus > w.machineType.CPUs+1e-6 || mem > w.machineType.MemoryGB+1e-6 {
		w.end(t, protocol.CauseNoCapacity)
		return
	}
	w.setState(t, protocol.TaskFetching)
	fetch := 0.0
	if !w.images[t.spec.Image] {
		fetch = t.spec.ImageGB / w.machineType.FetchGBPS
	}
	w.afterSeconds(t, fetch, func() {
		w.images[t.spec.Image] = true
		w.sim.checker.taskStarted(w, t)
		w.setState(t, protocol.TaskRunning)
		switch {
		case w.faulty || job.failsEverywhere:
			w.afterSeconds(t, 1, func() { w.end(t, protocol.CauseError) })
		case w.sim.checker.completedTasks[c.Task]:
			w.end(t, protocol.CauseDone)
		case t.spec.Kind != protocol.KindService:
			w.afterSeconds(t, job.runSecondsOf(c.Task)*w.slowdown, func() {
				w.sim.checker.completedTasks[c.Task] = true
				w.end(t, protocol.CauseDone)
				if w.sim.checker.complete(job) {
					job.completedAt = w.sim.now
					w.sim.users.completed(job)
				}
			})
		}
	})
}
