package coordination

import (
	"net/http"
	"slices"
	"time"

	"rockrun/internal/bookkeeping"
	"rockrun/internal/protocol"
)

// OnReport answers a worker's report.
func (n *Node) OnReport(r *protocol.Report, reply func(Answer)) {
	if !n.ready {
		reply(retryLater("starting"))
		return
	}
	_, m := n.cache.Machines.Find(r.Machine)
	if m == nil || m.Block == "" {
		if len(n.orphanReports) < 200 {
			n.orphanReports[r.Machine] = *r
		}
		reply(retryLater("machine not known yet"))
		return
	}
	if !m.There() || m.Shard < 0 || m.Shard >= n.shards {
		reply(retryLater("machine was given back"))
		return
	}
	n.heardFrom[m.Shard] = n.now()
	if n.holds(m.Shard) {
		x := n.hold.machines[m.Name]
		if x == nil || !n.entitled(m.Shard) || r.Token > x.token {
			reply(retryLater("not entitled to this machine now"))
			return
		}
		if !r.Newer(x.session, x.seq) && n.now()-x.heard > workerPatience {
			// A copy that was held back on its way. Nobody waits for its answer,
			// and it must not count as the renewal of a lease.
			reply(retryLater("an old report"))
			return
		}
		n.hold.report(x, r, true)
		x.answered = n.now()
		cmds := n.hold.commandsFor(x)
		reply(Answer{Status: http.StatusOK, Body: protocol.ReportAnswer{Token: x.token, Commands: cmds}})
		if !x.fenced {
			n.hold.push(x)
		}
		return
	}
	g := &n.cache.Grants[m.Shard]
	if g.Version == 0 || g.Node == n.Settings.Node {
		reply(retryLater("no holder yet"))
		return
	}
	n.Log.Debug("redirect", "machine", r.Machine, "to", g.Node)
	reply(Answer{Status: http.StatusMisdirectedRequest, Body: protocol.Redirect{Boss: g.Node}})
}

// workerPatience is how long a worker waits for the answer to a report.
const workerPatience = 4 * time.Second

// report takes in what a worker says. Old news is ignored: held packets can
// bring reports minutes late. asked is set where the worker waits for an answer;
// otherwise the report itself answers a command and shows that those get through.
func (h *holder) report(x *holding, r *protocol.Report, asked bool) {
	now := h.n.now()
	if !r.Newer(x.session, x.seq) {
		return
	}
	if x.seq == 0 {
		x.firstHeard = now
	}
	h.judgeReachability(x, r, asked)
	x.session, x.seq, x.heard = r.Session, r.Seq, now
	x.fenced = r.Token >= x.base
	if r.Address != "" {
		x.addr = r.Address
	}
	x.notice = 0
	if r.NoticeS != nil {
		x.notice = now + seconds(*r.NoticeS)
	}
	found, news := h.reportedTasks(x, r)
	x.noteReaps(now)
	if found < len(x.attempts) && h.missingTasks(x, r) {
		news = true
	}
	if news || x.busy {
		h.schedulePass()
	}
}

// reportedTasks takes in the tasks that a report lists. It returns how many of the
// attempts here it lists and whether any has ended.
func (h *holder) reportedTasks(x *holding, r *protocol.Report) (found int, ended bool) {
	n := h.n
	x.unexpected = x.unexpected[:0]
	for i := range r.Tasks {
		t := &r.Tasks[i]
		id, task, err := protocol.SplitTask(t.Task)
		if err != nil {
			n.Log.Warn("report names no task", "machine", r.Machine, "task", t.Task)
			continue
		}
		job, _ := n.cache.Jobs.Find(id)
		a := x.attempts[bookkeeping.TaskRef{Job: job, Task: task}]
		if job < 0 || a == nil || a.try != t.Attempt {
			x.unexpected = append(x.unexpected, *t)
			continue
		}
		a.seen = r.Seq
		found++
		if a.live() && h.reportedState(a, t) {
			ended = true
		}
	}
	return found, ended
}

// reportedState takes in a task's state and reports whether it has ended.
func (h *holder) reportedState(a *attempt, t *protocol.TaskStatus) bool {
	switch t.State {
	case protocol.TaskFetching, protocol.TaskWaiting:
		a.state = taskFetching
	case protocol.TaskRunning:
		if a.state != taskRunning {
			a.state, a.ran = taskRunning, h.n.now()
		}
	case protocol.TaskSaving:
		a.state = taskSaving
	case protocol.TaskEnded:
		h.outcome(a, t)
		return true
	}
	return false
}

// noteReaps keeps since when there have been tasks to reap.
func (x *holding) noteReaps(now time.Duration) {
	if len(x.unexpected) == 0 {
		x.reapFrom = 0
	} else if x.reapFrom == 0 {
		x.reapFrom = now
	}
	x.busy = x.busy || x.reapDue(now)
}

// missingTasks ends the attempts whose absence from a report proves that they are
// over, and reports whether there were any.
func (h *holder) missingTasks(x *holding, r *protocol.Report) (ended bool) {
	for _, ref := range refs(x.attempts) {
		a := x.attempts[ref]
		if a.seen == r.Seq || !a.live() {
			continue
		}
		switch {
		case a.session != 0 && r.Session > a.session:
			h.end(a, "session over")
		case a.state != taskPlanned:
			// Seen before and not any more: it is over. Only a new session or a
			// reap of ours does this, and both come after its end.
			h.end(a, "vanished")
		case a.inherited && x.fenced, a.stop && a.token > 0 && r.Token > a.token:
			// Not there, and every start that was ever sent for it is fenced.
			h.end(a, "never started")
		default:
			continue
		}
		ended = true
	}
	return ended
}

// judgeReachability judges from a report whether answers and commands reach the machine. A
// worker that hears shows a higher token in its next report, new tasks likewise,
// and its session stays as long as its reports are answered. One that is not so
// is asked to show a higher token; if it doesn't for several reports, what it
// runs ends with its lease, and it must not be counted on.
func (h *holder) judgeReachability(x *holding, r *protocol.Report, asked bool) {
	now := h.n.now()
	w := h.n.Settings.Cluster.Workers
	patience := 2*w.Report() + workerPatience
	if x.probe < x.base {
		x.probe, x.probeAt = x.base, x.since
	}
	odd := r.Session > x.session && x.seq > 0 && now-x.answered < w.Lease()/2
	for _, a := range x.attempts {
		odd = odd || a.state == taskPlanned && a.token > 0 && !a.inherited && now-a.sentAt > patience &&
			!slices.ContainsFunc(r.Tasks, func(t protocol.TaskStatus) bool { return t.Attempt == a.try })
	}
	if odd && x.fenced && r.Token >= x.probe && (x.probe == x.base || now-x.probeAt > w.Lease()) {
		x.token++
		x.probe, x.probeAt = x.token, now
	}
	x.suspect = r.Token < x.probe
	unresponsive := x.suspect && asked && now-x.probeAt > patience
	if unresponsive && !x.unresponsive && x.probe == x.base {
		// It may have come up long after it was taken up; then it has not been
		// answered yet.
		unresponsive = x.seq > 0 && now-x.firstHeard > patience
	}
	if unresponsive && !x.unresponsive {
		h.n.Log.Info("machine hears nothing", "machine", x.m.Name, "session", r.Session, "token", r.Token)
	}
	x.unresponsive = unresponsive
}

// outcome takes in how a task was reported to have ended.
func (h *holder) outcome(a *attempt, t *protocol.TaskStatus) {
	n := h.n
	x := a.on
	now := n.now()
	p := a.prog
	switch t.Cause {
	case protocol.CauseDone:
		x.errors, p.fails, p.failedOn = 0, 0, nil
		if a.ran > 0 {
			x.measure(p, (now - a.ran).Seconds())
		}
	case protocol.CauseError:
		p.fails++
		if p.failedOn == nil {
			p.failedOn = map[string]bool{}
		}
		p.failedOn[x.m.Name] = true
		// A faulty machine fails whatever it is given; a faulty job fails
		// wherever it is, and after the second machine the fault is taken to be
		// the job's. Both are tried again ever more slowly.
		if len(p.failedOn) < 3 {
			x.errors++
			x.avoid = now + time.Duration(min(x.errors, 6))*10*time.Second
		}
		p.backoff = now + min(time.Duration(1<<min(p.fails, 6))*250*time.Millisecond, 20*time.Second)
		n.Log.Info("task failed", "task", t.Task, "machine", x.m.Name, "errors", x.errors, "fails", p.fails)
	case protocol.CauseFull, protocol.CauseInUse:
		x.avoid = now + 2*time.Second
		n.Log.Warn("start refused", "task", t.Task, "machine", x.m.Name, "cause", t.Cause)
	case protocol.CauseNoSuch:
		p.backoff = now + 2*time.Second
		n.Log.Warn("job unknown to worker", "task", t.Task, "machine", x.m.Name)
	}
	h.end(a, t.Cause)
}

// measure compares a completed task's run time with those of its own job: the
// owners' estimates are too often wrong to tell a slow machine by.
func (x *holding) measure(p *progress, took float64) {
	if p.runs >= 2 && p.runSum > 0 {
		ratio := took / (p.runSum / float64(p.runs))
		if x.paced == 0 {
			x.pace = 1
		}
		x.pace += (ratio - x.pace) * 0.3
		x.paced++
	}
	p.runs++
	p.runSum += took
}

// slow reports whether a machine has shown to be much slower than others.
func (x *holding) slow() bool { return x.paced >= 4 && x.pace > 1.6 }
