package reconcile

import (
	"cmp"
	"slices"
	"time"

	"rockrun/internal/coordination/placement"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// heartbeatCommands works out the difference between what should be on a machine and what its
// last heartbeat showed.
func (r *Reconciler) commandsFor(agent *agent) []protocol.Command {
	if !agent.needsAttention {
		return []protocol.Command{}
	}
	if !agent.fence.confirmed || !r.Leases.MayActFor(agent.shard) {
		return r.stopsFor(agent)
	}
	commands, reaps := r.commandsForUnexpected(agent)
	// After a reap the agent has forgotten the attempt, and a start of it that was
	// repeated or held back on the way would run it again. So a reap always goes out under
	// a higher token than any start before it.
	if reaps {
		agent.fence.raiseAboveStarts()
	}
	for _, attempt := range attemptsInOrder(agent) {
		if command, needed := r.commandFor(attempt); needed {
			commands = append(commands, command)
			r.logCommand(attempt, command.Verb)
		}
	}
	return commands
}

// attemptsInOrder lists an agent's attempts, those that are to stop first, then by age.
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

// stopsFor are the stops of all that must leave a machine. They need no fence and no
// entitlement: a stop that comes too late or from one that holds the machine no longer
// meets a higher token or does no harm. Every answer that renews an agent's lease carries
// them from the first on. Were they left out until the agent is fenced, a holder that knows
// a job to be cancelled could renew the lease under its tasks just before it must fall
// silent, and they would outlast the time for cancelling by as long as the cancellation was
// known.
func (r *Reconciler) stopsFor(agent *agent) []protocol.Command {
	commands := []protocol.Command{}
	for _, ref := range storage.SortedTasks(agent.attempts) {
		if attempt := agent.attempts[ref]; attempt.live() && attempt.stop.requested {
			commands = append(commands, attempt.stopNow(r.now()))
			r.logCommand(attempt, protocol.VerbStop)
		}
	}
	return commands
}

// commandsForUnexpected are the commands for what is on a machine and nobody asks for any
// more; reaps is whether anything that has ended is to be forgotten.
func (r *Reconciler) commandsForUnexpected(agent *agent) (commands []protocol.Command, reaps bool) {
	commands = []protocol.Command{}
	now := r.now()
	if !agent.unexpected.reapDue(now) && !agent.hasUnsentCommands(now) {
		return commands, false
	}
	atOnce := 0.0
	for _, task := range agent.unexpected.list {
		command := protocol.Command{Verb: protocol.VerbStop, Task: task.Task, Attempt: task.Attempt, GraceSeconds: &atOnce}
		if task.State == protocol.TaskEnded {
			reaps = true
			command.Verb, command.GraceSeconds = protocol.VerbReap, nil
		}
		commands = append(commands, command)
	}
	return commands, reaps
}

// commandFor is the command that an attempt needs, if any. One that is to stop and was
// never told to start ends here.
func (r *Reconciler) commandFor(attempt *attempt) (command protocol.Command, needed bool) {
	switch {
	case !attempt.live():
		return command, false
	case attempt.stop.requested:
		if attempt.state == attemptPlanned && !attempt.start.sent() {
			r.end(attempt, "not started")
			return command, false
		}
		if attempt.state == attemptPlanned {
			attempt.agent.fence.raiseAbove(attempt.start.token) // so that its absence will prove something
		}
		return attempt.stopNow(r.now()), true
	case attempt.startable():
		return attempt.startNow(r.now()), true
	}
	return command, false
}

// commandRetryPause is the least pause after commands that were not answered.
const commandRetryPause = time.Second

// sendCommands sends an agent its commands at once instead of with its next heartbeat.
func (r *Reconciler) sendCommands(agent *agent) {
	channel := &agent.commands
	if channel.InFlight() {
		channel.sendAgain = true
		return
	}
	now := r.now()
	if now < channel.NotBefore() || agent.address == "" || !agent.machine.Exists() || agent.isDisplaced() {
		return
	}
	commands := r.commandsFor(agent)
	// Without a command it still shows the token to an agent that is new here.
	if len(commands) == 0 && (agent.fence.confirmed || !r.Leases.MayActFor(agent.shard)) {
		return
	}
	channel.begin(now)
	request := protocol.CommandRequest{FencingToken: agent.fence.current, Epoch: agent.contact.epoch, Commands: commands}
	r.Agents.Execute(agent.address, request, func(heartbeat *protocol.AgentHeartbeat, executed bool, err error) {
		channel.Finish()
		if r.Generation.Ended() || !r.agents.contains(agent) {
			return
		}
		if err != nil {
			// Whether it was carried out is open; the next heartbeat will tell.
			r.Log.Debug("commands not answered", "machine", agent.machine.Name, "err", err)
			channel.RetryAt(r.now() + r.Generation.Jitter(commandRetryPause))
			return
		}
		r.onCommandAnswer(agent, heartbeat, !executed && heartbeat.Epoch != request.Epoch)
	})
}

// onCommandAnswer takes in the heartbeat that answers commands. outdated is set where the
// agent refused them because its epoch is another.
func (r *Reconciler) onCommandAnswer(agent *agent, heartbeat *protocol.AgentHeartbeat, outdated bool) {
	if heartbeat.Machine != agent.machine.Name || heartbeat.FencingToken > agent.fence.current {
		return
	}
	r.Leases.NoteAgentHeard(agent.shard)
	r.observeHeartbeat(agent, heartbeat, false)
	if agent.commands.sendAgain || outdated {
		r.sendCommands(agent)
	}
}
