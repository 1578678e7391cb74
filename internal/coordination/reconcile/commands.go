package reconcile

import (
	"cmp"
	"slices"
	"time"

	"rockrun/internal/coordination/placement"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// commandsFor returns the commands of the next message that brings a machine from the state in
// its agent's last heartbeat to the desired state. complete is false if commands that were never
// sent did not fit into the message.
func (r *Reconciler) commandsFor(agent *agent) (commands []protocol.Command, complete bool) {
	if !agent.needsAttention {
		return []protocol.Command{}, true
	}
	return r.send(agent, r.pendingCommands(agent))
}

// pendingCommands returns all commands that an agent needs.
func (r *Reconciler) pendingCommands(agent *agent) []pendingCommand {
	if !agent.fence.confirmed || !r.Leases.MayActFor(agent.shard) {
		return stopsFor(agent)
	}
	pending, reaps := r.commandsForUnexpected(agent)
	// After a reap the agent no longer knows the attempt, and a duplicated or delayed start
	// would run the attempt again. A reap is therefore always sent under a higher fencing
	// token than any earlier start.
	if reaps {
		agent.fence.raiseAboveStarts()
	}
	for _, attempt := range attemptsInOrder(agent) {
		if command, needed := r.commandFor(attempt); needed {
			pending = append(pending, command)
		}
	}
	return pending
}

// attemptsInOrder lists an agent's attempts: first those to be stopped, then the others, each
// oldest first.
func attemptsInOrder(agent *agent) []*attempt {
	list := make([]*attempt, 0, len(agent.attempts))
	for _, a := range agent.attempts {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *attempt) int {
		return cmp.Or(
			placement.CompareBool(b.stop.requested, a.stop.requested),
			cmp.Compare(a.plannedAt, b.plannedAt),
			cmp.Compare(a.job.Index, b.job.Index),
			cmp.Compare(a.task, b.task),
		)
	})
	return list
}

// stopsFor returns the stops of all attempts that must leave a machine. Stops require neither
// a confirmed fence nor the right to act for the shard: a stop that is delayed, or that is
// sent by an earlier holder, is rejected because of a higher fencing token or is harmless.
// Every answer that renews an agent's lease includes the stops, starting with the first
// answer. If stops were withheld until the fence is confirmed, a holder that knows of a
// cancellation could renew the lease of an agent with tasks of the cancelled job just before
// the holder must stop acting. The tasks would then exceed the cancellation deadline by as
// long as the holder had known of the cancellation.
func stopsFor(agent *agent) (stops []pendingCommand) {
	for _, ref := range storage.SortedTasks(agent.attempts) {
		if attempt := agent.attempts[ref]; attempt.live() && attempt.stop.requested {
			stops = append(stops, attempt.stopCommand())
		}
	}
	return stops
}

// commandsForUnexpected returns the commands for tasks that are on a machine but no longer
// wanted there. reaps reports whether the commands include a reap of an ended task.
func (r *Reconciler) commandsForUnexpected(agent *agent) (commands []pendingCommand, reaps bool) {
	now := r.now()
	if !agent.unexpected.reapDue(now) && !agent.hasUnsentCommands(now) {
		return nil, false
	}
	noGrace := 0.0
	for _, task := range agent.unexpected.list {
		command := protocol.Command{Verb: protocol.VerbStop, Task: task.Task, Attempt: task.Attempt, GraceSeconds: &noGrace}
		if task.State == protocol.TaskEnded {
			reaps = true
			command.Verb, command.GraceSeconds = protocol.VerbReap, nil
		}
		commands = append(commands, pendingCommand{Command: command})
	}
	return commands, reaps
}

// commandFor returns the command that an attempt needs, if any. An attempt that is to be
// stopped and whose start was never sent ends immediately.
func (r *Reconciler) commandFor(attempt *attempt) (command pendingCommand, needed bool) {
	switch {
	case !attempt.live():
		return command, false
	case attempt.stop.requested:
		if attempt.state == attemptPlanned && !attempt.start.sent() {
			r.endAttempt(attempt, "not started")
			return command, false
		}
		// The end or the absence of the attempt proves that it does not run again only if the
		// agent rejects its start from then on.
		attempt.agent.fence.raiseAbove(attempt.start.token)
		return attempt.stopCommand(), true
	case attempt.startable():
		return attempt.startCommand(), true
	}
	return command, false
}

// commandRetryDelay is the minimum delay after a command request that was not answered.
const commandRetryDelay = time.Second

// sendCommands sends an agent its commands now instead of with the answer to its next
// heartbeat.
func (r *Reconciler) sendCommands(agent *agent) {
	channel := &agent.commands
	if channel.InFlight() {
		channel.sendAgain = true
		return
	}
	now := r.now()
	if now < channel.NotBefore() || agent.address == "" || !agent.machine.Exists() || agent.isDetached() {
		return
	}
	commands, complete := r.commandsFor(agent)
	// A request without commands still announces the fencing token to an agent whose fence is
	// not confirmed, or that may execute delayed starts.
	announces := !agent.fence.confirmed || agent.fence.awaitsReport()
	if len(commands) == 0 && (!announces || !r.Leases.MayActFor(agent.shard)) {
		return
	}
	agent.fence.announced = true
	channel.begin(now)
	channel.sendAgain = !complete
	request := protocol.CommandRequest{FencingToken: agent.fence.current, Epoch: agent.contact.epoch, Commands: commands}
	r.Agents.Execute(agent.address, request, func(heartbeat *protocol.AgentHeartbeat, executed bool, err error) {
		channel.Finish()
		if r.Generation.Ended() || !r.agents.contains(agent) {
			return
		}
		if err != nil {
			// The agent may have executed the commands; its next heartbeat shows whether it has.
			r.Log.Debug("command request failed", "machine", agent.machine.Name, "err", err)
			channel.DelayUntil(r.now() + r.Generation.Jitter(commandRetryDelay))
			return
		}
		r.onCommandAnswer(agent, heartbeat, !executed && heartbeat.Epoch != request.Epoch)
	})
}

// onCommandAnswer processes the heartbeat that answers a command request. epochMismatch is
// set if the agent rejected the commands because they named another epoch.
func (r *Reconciler) onCommandAnswer(agent *agent, heartbeat *protocol.AgentHeartbeat, epochMismatch bool) {
	if heartbeat.Machine != agent.machine.Name || heartbeat.FencingToken > agent.fence.current {
		return
	}
	r.Leases.RecordAgentContact(agent.shard)
	r.observeHeartbeat(agent, heartbeat, false)
	if agent.commands.sendAgain || epochMismatch {
		r.sendCommands(agent)
	}
}
