package reconcile

import (
	"slices"
	"time"

	"rockrun/internal/coordination/api"
	"rockrun/internal/coordination/membership"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// OnHeartbeat takes in the heartbeat of a machine of a shard held. It calls reply with the
// answer, which renews the agent's lease, or returns an api.RetryLaterError.
func (h *Reconciler) OnHeartbeat(m *storage.Machine, r *protocol.AgentHeartbeat, reply func(protocol.AgentHeartbeatAnswer)) error {
	x := h.agents[m.Name]
	if x == nil || !h.Leases.MayActFor(m.Shard) || r.FencingToken > x.currentToken {
		return &api.RetryLaterError{Reason: api.ErrNotEntitled, Machine: m.Name}
	}
	if !r.NewerThan(x.epoch, x.sequence) && h.now()-x.lastHeartbeatAt > membership.AgentAnswerTimeout {
		// A copy that was held back on its way. Nobody waits for its answer,
		// and it must not count as the renewal of a lease.
		return &api.RetryLaterError{Reason: api.ErrOldHeartbeat, Machine: m.Name}
	}
	h.onHeartbeat(x, r, true)
	x.lastAnsweredAt = h.now()
	cmds := h.commandsFor(x)
	reply(protocol.AgentHeartbeatAnswer{FencingToken: x.currentToken, Commands: cmds})
	if !x.fenceConfirmed {
		h.sendCommands(x)
	}
	return nil
}

// report takes in what a worker says. Old news is ignored: held packets can
// bring reports minutes late. asked is set where the worker waits for an answer;
// otherwise the report itself answers a command and shows that those get through.
func (h *Reconciler) onHeartbeat(x *agent, r *protocol.AgentHeartbeat, asked bool) {
	now := h.now()
	if !r.NewerThan(x.epoch, x.sequence) {
		return
	}
	if x.sequence == 0 {
		x.firstHeartbeatAt = now
	}
	h.judgeReachability(x, r, asked)
	x.epoch, x.sequence, x.lastHeartbeatAt = r.Epoch, r.Sequence, now
	x.fenceConfirmed = r.FencingToken >= x.grantToken
	if r.Address != "" {
		x.address = r.Address
	}
	x.terminationAt = 0
	if r.TerminationSeconds != nil {
		x.terminationAt = now + time.Duration(*r.TerminationSeconds*float64(time.Second))
	}
	found, news := h.applyTaskStatuses(x, r)
	x.updateReapable(now)
	if found < len(x.attempts) && h.endMissingAttempts(x, r) {
		news = true
	}
	if news || x.needsAttention {
		h.SchedulePass()
	}
}

// reportedTasks takes in the tasks that a report lists. It returns how many of the
// attempts here it lists and whether any has ended.
func (h *Reconciler) applyTaskStatuses(x *agent, r *protocol.AgentHeartbeat) (found int, ended bool) {
	x.unexpected = x.unexpected[:0]
	for i := range r.Tasks {
		t := &r.Tasks[i]
		id, task, err := protocol.ParseTaskName(t.Task)
		if err != nil {
			h.Log.Warn("report names no task", "machine", r.Machine, "task", t.Task)
			continue
		}
		job, _ := h.View.Jobs.Find(id)
		a := x.attempts[storage.TaskRef{Job: job, Task: task}]
		if job < 0 || a == nil || a.number != t.Attempt {
			x.unexpected = append(x.unexpected, *t)
			continue
		}
		a.listedInSequence = r.Sequence
		found++
		if a.live() && h.applyTaskState(a, t) {
			ended = true
		}
	}
	return found, ended
}

// reportedState takes in a task's state and reports whether it has ended.
func (h *Reconciler) applyTaskState(a *attempt, t *protocol.TaskStatus) bool {
	switch t.State {
	case protocol.TaskFetching, protocol.TaskAwaitingGang:
		a.state = taskFetching
	case protocol.TaskRunning:
		if a.state != taskRunning {
			a.state, a.runningSince = taskRunning, h.now()
		}
	case protocol.TaskSaving:
		a.state = taskSaving
	case protocol.TaskEnded:
		h.applyTaskOutcome(a, t)
		return true
	}
	return false
}

// noteReaps keeps since when there have been tasks to reap.
func (x *agent) updateReapable(now time.Duration) {
	if len(x.unexpected) == 0 {
		x.reapableSince = 0
	} else if x.reapableSince == 0 {
		x.reapableSince = now
	}
	x.needsAttention = x.needsAttention || x.reapDue(now)
}

// missingTasks ends the attempts whose absence from a report proves that they are
// over, and reports whether there were any.
func (h *Reconciler) endMissingAttempts(x *agent, r *protocol.AgentHeartbeat) (ended bool) {
	for _, ref := range storage.SortedTasks(x.attempts) {
		a := x.attempts[ref]
		if a.listedInSequence == r.Sequence || !a.live() {
			continue
		}
		switch {
		case a.startEpoch != 0 && r.Epoch > a.startEpoch:
			h.end(a, "session over")
		case a.state != taskPlanned:
			// Seen before and not any more: it is over. Only a new session or a
			// reap of ours does this, and both come after its end.
			h.end(a, "vanished")
		case a.inherited && x.fenceConfirmed, a.stopRequested && a.startToken > 0 && r.FencingToken > a.startToken:
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
func (h *Reconciler) judgeReachability(x *agent, r *protocol.AgentHeartbeat, asked bool) {
	now := h.now()
	w := h.AgentSettings
	patience := 2*w.HeartbeatInterval() + membership.AgentAnswerTimeout
	if x.probeToken < x.grantToken {
		x.probeToken, x.probedAt = x.grantToken, x.heldSince
	}
	odd := r.Epoch > x.epoch && x.sequence > 0 && now-x.lastAnsweredAt < w.Lease()/2
	for _, a := range x.attempts {
		odd = odd || a.state == taskPlanned && a.startToken > 0 && !a.inherited && now-a.startSentAt > patience &&
			!slices.ContainsFunc(r.Tasks, func(t protocol.TaskStatus) bool { return t.Attempt == a.number })
	}
	if odd && x.fenceConfirmed && r.FencingToken >= x.probeToken && (x.probeToken == x.grantToken || now-x.probedAt > w.Lease()) {
		x.currentToken++
		x.probeToken, x.probedAt = x.currentToken, now
	}
	x.suspect = r.FencingToken < x.probeToken
	unresponsive := x.suspect && asked && now-x.probedAt > patience
	if unresponsive && !x.unresponsive && x.probeToken == x.grantToken {
		// It may have come up long after it was taken up; then it has not been
		// answered yet.
		unresponsive = x.sequence > 0 && now-x.firstHeartbeatAt > patience
	}
	if unresponsive && !x.unresponsive {
		h.Log.Info("machine hears nothing", "machine", x.machine.Name, "session", r.Epoch, "token", r.FencingToken)
	}
	x.unresponsive = unresponsive
}

// outcome takes in how a task was reported to have ended.
func (h *Reconciler) applyTaskOutcome(a *attempt, t *protocol.TaskStatus) {
	x := a.agent
	now := h.now()
	p := a.progress
	switch t.Cause {
	case protocol.CauseDone:
		x.consecutiveErrors, p.failures, p.failedOn = 0, 0, nil
		if a.runningSince > 0 {
			x.recordRunTime(p, (now - a.runningSince).Seconds())
		}
	case protocol.CauseError:
		p.failures++
		if p.failedOn == nil {
			p.failedOn = map[string]bool{}
		}
		p.failedOn[x.machine.Name] = true
		// A faulty machine fails whatever it is given; a faulty job fails
		// wherever it is, and after the second machine the fault is taken to be
		// the job's. Both are tried again ever more slowly.
		if len(p.failedOn) < 3 {
			x.consecutiveErrors++
			x.quarantinedUntil = now + time.Duration(min(x.consecutiveErrors, 6))*10*time.Second
		}
		p.backoffUntil = now + min(time.Duration(1<<min(p.failures, 6))*250*time.Millisecond, 20*time.Second)
		h.Log.Info("task failed", "task", t.Task, "machine", x.machine.Name, "errors", x.consecutiveErrors, "fails", p.failures)
	case protocol.CauseNoCapacity, protocol.CauseAlreadyPresent:
		x.quarantinedUntil = now + 2*time.Second
		h.Log.Warn("start refused", "task", t.Task, "machine", x.machine.Name, "cause", t.Cause)
	case protocol.CauseJobUnknown:
		p.backoffUntil = now + 2*time.Second
		h.Log.Warn("job unknown to worker", "task", t.Task, "machine", x.machine.Name)
	}
	h.end(a, t.Cause)
}

// measure compares a completed task's run time with those of its own job: the
// owners' estimates are too often wrong to tell a slow machine by.
func (x *agent) recordRunTime(p *jobProgress, took float64) {
	if p.measuredRuns >= 2 && p.measuredSeconds > 0 {
		ratio := took / (p.measuredSeconds / float64(p.measuredRuns))
		if x.runTimeSamples == 0 {
			x.relativeRunTime = 1
		}
		x.relativeRunTime += (ratio - x.relativeRunTime) * 0.3
		x.runTimeSamples++
	}
	p.measuredRuns++
	p.measuredSeconds += took
}

// slow reports whether a machine has shown to be much slower than others.
func (x *agent) slow() bool { return x.runTimeSamples >= 4 && x.relativeRunTime > 1.6 }
