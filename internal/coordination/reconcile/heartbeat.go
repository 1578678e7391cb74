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
func (r *Reconciler) OnHeartbeat(machine *storage.Machine, heartbeat *protocol.AgentHeartbeat, reply func(protocol.AgentHeartbeatAnswer)) error {
	agent := r.agents.find(machine.Name)
	if agent == nil || !r.Leases.MayActFor(machine.Shard) || heartbeat.FencingToken > agent.fence.current {
		return &api.RetryLaterError{Reason: api.ErrNotEntitled, Machine: machine.Name}
	}
	contact := &agent.contact
	news := heartbeat.NewerThan(contact.epoch, contact.sequence)
	if !news && r.now()-contact.lastHeartbeatAt > membership.AgentAnswerTimeout {
		// A copy that was held back on its way. Nobody waits for its answer,
		// and it must not count as the renewal of a lease.
		return &api.RetryLaterError{Reason: api.ErrOldHeartbeat, Machine: machine.Name}
	}
	r.observeHeartbeat(agent, heartbeat, true)
	contact.lastAnsweredAt = r.now()
	commands := r.commandsFor(agent)
	r.logHeartbeatAnswer(agent, len(commands))
	reply(protocol.AgentHeartbeatAnswer{FencingToken: agent.fence.current, Commands: commands})
	if !agent.fence.confirmed {
		r.sendCommands(agent)
	}
	return nil
}

// observeHeartbeat takes in what an agent says. Old news is ignored: packets that were
// held back can bring heartbeats minutes late. awaitsAnswer is set where the agent waits
// for an answer; otherwise the heartbeat itself answers a command and shows that those get
// through.
func (r *Reconciler) observeHeartbeat(agent *agent, heartbeat *protocol.AgentHeartbeat, awaitsAnswer bool) {
	now := r.now()
	contact := &agent.contact
	if !heartbeat.NewerThan(contact.epoch, contact.sequence) {
		return
	}
	if contact.sequence == 0 {
		contact.firstHeartbeatAt = now
	}
	r.judgeReachability(agent, heartbeat, awaitsAnswer)
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

// judgeReachability judges from a heartbeat whether answers and commands reach the agent.
func (r *Reconciler) judgeReachability(agent *agent, heartbeat *protocol.AgentHeartbeat, awaitsAnswer bool) {
	now := r.now()
	patience := 2*r.AgentSettings.HeartbeatInterval() + membership.AgentAnswerTimeout
	shown := heartbeat.FencingToken
	reachability, fence := &agent.reachability, &agent.fence
	reachability.begin(fence, agent.contact.heldSince)
	if r.seemsUnheard(agent, heartbeat, patience) {
		reachability.probe(fence, shown, now, r.AgentSettings.Lease())
	}
	heardFor := now - agent.contact.firstHeartbeatAt
	if reachability.observe(fence, shown, awaitsAnswer, now, heardFor, patience) {
		r.Log.Info("machine hears nothing", "machine", agent.machine.Name, "epoch", heartbeat.Epoch, "token", shown)
	}
}

// seemsUnheard reports whether a heartbeat gives reason to think that the agent hears
// nothing. One that hears lists new tasks in its next heartbeat, and its epoch stays as
// long as its heartbeats are answered.
func (r *Reconciler) seemsUnheard(agent *agent, heartbeat *protocol.AgentHeartbeat, patience time.Duration) bool {
	now := r.now()
	contact := &agent.contact
	if heartbeat.Epoch > contact.epoch && contact.sequence > 0 && now-contact.lastAnsweredAt < r.AgentSettings.Lease()/2 {
		return true
	}
	for _, attempt := range agent.attempts {
		startOverdue := attempt.state == attemptPlanned && attempt.start.sent() && !attempt.inherited && now-attempt.start.sentAt > patience
		if startOverdue && !listsAttempt(heartbeat, attempt.number) {
			return true
		}
	}
	return false
}

func listsAttempt(heartbeat *protocol.AgentHeartbeat, number uint64) bool {
	return slices.ContainsFunc(heartbeat.Tasks, func(t protocol.TaskStatus) bool { return t.Attempt == number })
}

// applyTaskStatuses takes in the tasks that a heartbeat lists. It returns how many of the
// attempts here it lists and whether any has ended.
func (r *Reconciler) applyTaskStatuses(agent *agent, heartbeat *protocol.AgentHeartbeat) (listed int, ended bool) {
	agent.unexpected.reset()
	for i := range heartbeat.Tasks {
		status := &heartbeat.Tasks[i]
		id, task, err := protocol.ParseTaskName(status.Task)
		if err != nil {
			r.Log.Warn("heartbeat lists what is no task", "machine", heartbeat.Machine, "task", status.Task)
			continue
		}
		job, _ := r.View.Jobs.Find(id)
		attempt := agent.attempts[storage.TaskRef{Job: job, Task: task}]
		if job < 0 || attempt == nil || attempt.number != status.Attempt {
			agent.unexpected.add(status)
			continue
		}
		attempt.listedInSequence = heartbeat.Sequence
		listed++
		if attempt.live() && r.applyTaskStatus(attempt, status) {
			ended = true
		}
	}
	return listed, ended
}

// applyTaskStatus takes in the state of a live attempt and reports whether it has ended.
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
		r.Log.Warn("attempt went back", "machine", attempt.agent.machine.Name, "task", status.Task, "attempt", attempt.number, "err", err)
	}
	return false
}

// endMissingAttempts ends the attempts whose absence from a heartbeat proves that they are
// over, and reports whether there were any.
func (r *Reconciler) endMissingAttempts(agent *agent, heartbeat *protocol.AgentHeartbeat) (ended bool) {
	for _, ref := range storage.SortedTasks(agent.attempts) {
		attempt := agent.attempts[ref]
		if attempt.listedInSequence == heartbeat.Sequence || !attempt.live() {
			continue
		}
		if cause := causeOfAbsence(attempt, heartbeat); cause != "" {
			r.endAttempt(attempt, cause)
			ended = true
		}
	}
	return ended
}

// causeOfAbsence is why an attempt that a heartbeat does not list is over, or "" where its
// absence proves nothing.
func causeOfAbsence(attempt *attempt, heartbeat *protocol.AgentHeartbeat) string {
	start, fence := &attempt.start, &attempt.agent.fence
	switch {
	case start.epoch != 0 && heartbeat.Epoch > start.epoch:
		return "epoch over"
	case attempt.state != attemptPlanned:
		// Seen before and not any more: it is over. Only a new epoch or a reap of ours
		// does this, and both come after its end.
		return "vanished"
	case attempt.inherited && fence.confirmed, awaitsFence(attempt) && start.sent() && heartbeat.FencingToken > start.token:
		// Not there, and every start that was ever sent for it is fenced.
		return "never started"
	}
	return ""
}

// awaitsFence reports whether an attempt that was not seen is given up once its start is
// fenced: it is to stop, or its machine is not held here any more, so that no grant of this
// holder's proves anything there.
func awaitsFence(a *attempt) bool { return a.stop.requested || a.agent.isDisplaced() }

// jobUnknownPause is for how long a job is not started again that an agent did not know.
const jobUnknownPause = 2 * time.Second

// applyOutcome takes in how a task was reported to have ended.
func (r *Reconciler) applyOutcome(attempt *attempt, status *protocol.TaskStatus) {
	now := r.now()
	health, progress := &attempt.agent.health, attempt.progress
	machine := attempt.agent.machine.Name
	switch status.Cause {
	case protocol.CauseDone:
		health.noteDone()
		progress.failures = failureRecord{}
		if attempt.runningSince > 0 {
			health.noteRunTime(&progress.runTimes, (now - attempt.runningSince).Seconds())
		}
	case protocol.CauseError:
		// Faulty machines and faulty jobs are tried again ever more slowly.
		if progress.failures.note(machine) {
			health.noteError(now)
		}
		progress.backoffUntil = now + progress.failures.backoff()
		r.Log.Info("task failed", "machine", machine, "task", status.Task, "attempt", attempt.number,
			"errors", health.consecutiveErrors, "fails", progress.failures.count)
	case protocol.CauseNoCapacity, protocol.CauseAlreadyPresent:
		health.noteRefusal(now)
		r.Log.Warn("start refused", "machine", machine, "task", status.Task, "attempt", attempt.number, "cause", status.Cause)
	case protocol.CauseJobUnknown:
		progress.backoffUntil = now + jobUnknownPause
		r.Log.Warn("job unknown to agent", "machine", machine, "task", status.Task, "attempt", attempt.number)
	}
	r.endAttempt(attempt, status.Cause)
}
