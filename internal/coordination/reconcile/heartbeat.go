package reconcile

import (
	"slices"
	"time"

	"rockrun/internal/coordination/api"
	"rockrun/internal/coordination/membership"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// OnHeartbeat processes a heartbeat from a machine of a shard that this controller holds. It
// calls reply with the answer, which renews the agent's lease, or returns an
// api.RetryLaterError.
func (r *Reconciler) OnHeartbeat(machine *storage.Machine, heartbeat *protocol.AgentHeartbeat, reply func(protocol.AgentHeartbeatAnswer)) error {
	agent := r.agents.find(machine.Name)
	if agent == nil || !r.Leases.MayActFor(machine.Shard) || heartbeat.FencingToken > agent.fence.current {
		return &api.RetryLaterError{Reason: api.ErrNotEntitled, Machine: machine.Name}
	}
	contact := &agent.contact
	newer := heartbeat.NewerThan(contact.epoch, contact.sequence)
	if !newer && r.now()-contact.lastHeartbeatAt > membership.AgentAnswerTimeout {
		// A delayed duplicate: the agent no longer waits for the answer, so the answer
		// must not count as a renewal of the lease.
		return &api.RetryLaterError{Reason: api.ErrOldHeartbeat, Machine: machine.Name}
	}
	r.observeHeartbeat(agent, heartbeat, true)
	contact.lastAnsweredAt = r.now()
	commands, complete := r.commandsFor(agent)
	r.logHeartbeatAnswer(agent, len(commands))
	reply(protocol.AgentHeartbeatAnswer{FencingToken: agent.fence.current, Commands: commands})
	if !agent.fence.confirmed || !complete {
		r.sendCommands(agent)
	}
	return nil
}

// observeHeartbeat applies a heartbeat to the agent's state. Heartbeats that are not newer
// than the last one are ignored, since delayed packets can deliver them minutes late.
// awaitsAnswer is set if the agent waits for an answer. Otherwise the heartbeat is itself the
// answer to a command request, which shows that commands reach the agent.
func (r *Reconciler) observeHeartbeat(agent *agent, heartbeat *protocol.AgentHeartbeat, awaitsAnswer bool) {
	now := r.now()
	contact := &agent.contact
	if !heartbeat.NewerThan(contact.epoch, contact.sequence) {
		return
	}
	if contact.sequence == 0 {
		contact.firstHeartbeatAt = now
	}
	r.updateReachability(agent, heartbeat, awaitsAnswer)
	contact.observe(heartbeat, now)
	agent.fence.observe(heartbeat.FencingToken)
	if heartbeat.Address != "" {
		agent.address = heartbeat.Address
	}
	agent.terminationAt = 0
	if heartbeat.TerminationSeconds != nil {
		agent.terminationAt = now + time.Duration(*heartbeat.TerminationSeconds*float64(time.Second))
	}
	listed, ended := r.applyTaskStatuses(agent, heartbeat)
	agent.unexpected.observe(now)
	agent.needsAttention = agent.needsAttention || agent.unexpected.reapDue(now)
	if listed < len(agent.attempts) && r.endMissingAttempts(agent, heartbeat) {
		ended = true
	}
	if ended || agent.needsAttention {
		r.SchedulePass()
	}
}

// updateReachability determines from a heartbeat whether answers and commands reach the
// agent.
func (r *Reconciler) updateReachability(agent *agent, heartbeat *protocol.AgentHeartbeat, awaitsAnswer bool) {
	now := r.now()
	timeout := 2*r.AgentSettings.HeartbeatInterval() + membership.AgentAnswerTimeout
	reportedToken := heartbeat.FencingToken
	reachability, fence := &agent.reachability, &agent.fence
	reachability.ensureGrantChallenge(fence, agent.contact.heldSince)
	if r.answersSeemLost(agent, heartbeat, timeout) {
		reachability.challenge(fence, reportedToken, now, r.AgentSettings.Lease())
	}
	sinceFirstHeartbeat := now - agent.contact.firstHeartbeatAt
	if reachability.observe(fence, reportedToken, awaitsAnswer, now, sinceFirstHeartbeat, timeout) {
		r.Log.Info("machine unresponsive", "machine", agent.machine.Name, "epoch", heartbeat.Epoch, "token", reportedToken)
	}
}

// answersSeemLost reports whether a heartbeat suggests that neither answers nor commands
// reach the agent. An agent that receives them lists new tasks in its next heartbeat, and
// its epoch does not change while its heartbeats are answered.
func (r *Reconciler) answersSeemLost(agent *agent, heartbeat *protocol.AgentHeartbeat, timeout time.Duration) bool {
	now := r.now()
	contact := &agent.contact
	if heartbeat.Epoch > contact.epoch && contact.sequence > 0 && now-contact.lastAnsweredAt < r.AgentSettings.Lease()/2 {
		return true
	}
	for _, attempt := range agent.attempts {
		startOverdue := attempt.state == attemptPlanned && attempt.start.sent() && !attempt.inherited && now-attempt.start.sentAt > timeout
		if startOverdue && !listsAttempt(heartbeat, attempt.number) {
			return true
		}
	}
	return false
}

func listsAttempt(heartbeat *protocol.AgentHeartbeat, number uint64) bool {
	return slices.ContainsFunc(heartbeat.Tasks, func(t protocol.TaskStatus) bool { return t.Attempt == number })
}

// applyTaskStatuses applies the task statuses of a heartbeat to the agent's attempts. It
// returns the number of known attempts that the heartbeat lists, and whether any has ended.
func (r *Reconciler) applyTaskStatuses(agent *agent, heartbeat *protocol.AgentHeartbeat) (known int, ended bool) {
	agent.unexpected.reset()
	attempts := len(agent.attempts)
	for i := range heartbeat.Tasks {
		status := &heartbeat.Tasks[i]
		id, task, err := protocol.ParseTaskName(status.Task)
		if err != nil {
			r.Log.Warn("heartbeat task name rejected", "machine", heartbeat.Machine, "task", status.Task)
			continue
		}
		job, _ := r.View.Jobs.Find(id)
		attempt := agent.attempts[storage.TaskRef{Job: job, Task: task}]
		if job < 0 || attempt == nil || attempt.number != status.Attempt {
			agent.unexpected.add(status)
			continue
		}
		attempt.listedInSequence = heartbeat.Sequence
		known++
		if attempt.live() && r.applyTaskStatus(attempt, status) {
			ended = true
		}
		if r.endFenced(attempt, heartbeat) {
			ended = true
		}
	}
	agent.contact.listing.observe(len(heartbeat.Tasks), attempts-known)
	return known, ended
}

// applyTaskStatus applies the reported state of a live attempt and reports whether the
// attempt has ended.
func (r *Reconciler) applyTaskStatus(attempt *attempt, status *protocol.TaskStatus) (ended bool) {
	state, known := parseTaskState(status.State)
	switch {
	case !known:
		return false
	case state == attemptEnded:
		r.applyOutcome(attempt, status)
		return true
	case state == attemptRunning && attempt.state != attemptRunning:
		attempt.runningSince = r.now()
	}
	if err := attempt.state.advance(state); err != nil {
		r.Log.Warn("attempt state regressed", "machine", attempt.agent.machine.Name, "task", status.Task, "attempt", attempt.number, "err", err)
	}
	return false
}

// endFenced removes an attempt that ended before, once a heartbeat proves that the agent rejects
// its start, and reports whether it did.
func (r *Reconciler) endFenced(attempt *attempt, heartbeat *protocol.AgentHeartbeat) bool {
	if !attempt.awaitsFence || !rejectsStarts(attempt, heartbeat) {
		return false
	}
	r.removeAttempt(attempt)
	return true
}

// endMissingAttempts ends the attempts whose absence from a heartbeat proves that they have
// terminated, and reports whether there were any.
func (r *Reconciler) endMissingAttempts(agent *agent, heartbeat *protocol.AgentHeartbeat) (ended bool) {
	for _, ref := range storage.SortedTasks(agent.attempts) {
		attempt := agent.attempts[ref]
		if attempt.listedInSequence == heartbeat.Sequence || !attempt.blocksTask() {
			continue
		}
		if r.endFenced(attempt, heartbeat) {
			ended = true
			continue
		}
		if cause := terminationCause(attempt, heartbeat); cause != "" {
			r.endAttempt(attempt, cause)
			ended = true
		} else if attempt.state != attemptPlanned {
			r.supersedeStart(attempt, "missing")
		}
	}
	return ended
}

// rejectsStarts reports whether a heartbeat proves that its agent rejects every start that was
// ever sent for an attempt, however late a copy of the command arrives.
func rejectsStarts(attempt *attempt, heartbeat *protocol.AgentHeartbeat) bool {
	start := &attempt.start
	return start.epoch != 0 && heartbeat.Epoch > start.epoch || heartbeat.FencingToken > start.token
}

// supersedeStart makes the agent reject delayed copies of the start of an attempt.
func (r *Reconciler) supersedeStart(attempt *attempt, reason string) {
	agent := attempt.agent
	if agent.isDetached() || agent.fence.superseded >= attempt.start.token {
		return
	}
	agent.fence.supersede(attempt.start.token)
	agent.needsAttention = true
	r.logStartSuperseded(attempt, reason)
}

// terminationCause returns why an attempt that a heartbeat does not list has certainly
// terminated, or "" if the absence of the attempt proves nothing.
func terminationCause(attempt *attempt, heartbeat *protocol.AgentHeartbeat) string {
	start := &attempt.start
	switch {
	case !rejectsStarts(attempt, heartbeat):
		// The agent does not have the attempt now, but a delayed start may still arrive. An
		// attempt that the agent has reported before is no exception: after a restart of its
		// machine the agent has no tasks, and executes a copy of the start again.
		return ""
	case start.epoch != 0 && heartbeat.Epoch > start.epoch:
		return "epoch over"
	case attempt.state != attemptPlanned:
		return "vanished"
	case attempt.inherited && attempt.agent.fence.confirmed, terminatesWhenFenced(attempt) && start.sent():
		return "never started"
	}
	return ""
}

// terminatesWhenFenced reports whether an attempt that no heartbeat has listed counts as
// terminated once the agent rejects its start. This applies to an attempt that is being
// stopped, and to any attempt on a detached machine, where this holder's fence is no longer
// confirmed and cannot prove the attempt terminated.
func terminatesWhenFenced(a *attempt) bool { return a.stop.requested || a.agent.isDetached() }

// jobUnknownBackoff is how long tasks of a job are not started after an agent reported the job
// as unknown.
const jobUnknownBackoff = 2 * time.Second

// applyOutcome ends an attempt with the cause that its agent reported.
func (r *Reconciler) applyOutcome(attempt *attempt, status *protocol.TaskStatus) {
	now := r.now()
	health, progress := &attempt.agent.health, attempt.progress
	machine := attempt.agent.machine.Name
	switch status.Cause {
	case protocol.CauseDone:
		health.recordSuccess()
		progress.failures = failureRecord{}
		if attempt.runningSince > 0 {
			health.recordRunTime(&progress.runTimes, (now - attempt.runningSince).Seconds())
		}
	case protocol.CauseError:
		// The machine's quarantine and the job's backoff grow with each failure.
		if progress.failures.add(machine) {
			health.recordError(now)
		}
		progress.backoffUntil = now + progress.failures.backoff()
		r.Log.Info("task failed", "machine", machine, "task", status.Task, "attempt", attempt.number,
			"errors", health.consecutiveErrors, "fails", progress.failures.count)
	case protocol.CauseNoCapacity, protocol.CauseAlreadyPresent:
		health.recordRejectedStart(now)
		r.Log.Warn("start rejected", "machine", machine, "task", status.Task, "attempt", attempt.number, "cause", status.Cause)
	case protocol.CauseJobUnknown:
		progress.backoffUntil = now + jobUnknownBackoff
		r.Log.Warn("job unknown to agent", "machine", machine, "task", status.Task, "attempt", attempt.number)
	}
	r.endReported(attempt, status.Cause)
}
