package reconcile

import (
	"cmp"
	"slices"
	"time"

	"rockrun/internal/protocol"
)

// A message to an agent has a maximum size, and an agent that gets a larger one drops it, with
// the renewal of its lease. Commands that do not fit are sent with the next message.

// pendingCommand is a command that an agent needs.
type pendingCommand struct {
	protocol.Command
	attempt *attempt // that the command concerns; nil for a task that matches no attempt
}

// sentAt returns when the command was last sent; 0: never, or it is not known.
func (c *pendingCommand) sentAt() time.Duration {
	switch {
	case c.attempt == nil:
		return 0
	case c.Verb == protocol.VerbStart:
		return c.attempt.start.sentAt
	}
	return c.attempt.stop.sentAt
}

// commandUrgency is the order in which verbs are sent if not all commands fit into a message:
// tasks must be gone in time, and reaps make room for starts.
var commandUrgency = []protocol.CommandVerb{protocol.VerbStop, protocol.VerbReap, protocol.VerbStart}

// compareUrgency orders commands by verb, then by the time at which they were last
// sent; those that were never sent come first.
func compareUrgency(a, b pendingCommand) int {
	return cmp.Or(
		cmp.Compare(slices.Index(commandUrgency, a.Verb), slices.Index(commandUrgency, b.Verb)),
		cmp.Compare(a.sentAt(), b.sentAt()),
	)
}

// send records that the commands are sent with one message to an agent, and returns them. If
// they exceed the size of a message, the most urgent ones are chosen; complete is then false if
// any of the others was never sent.
func (r *Reconciler) send(agent *agent, pending []pendingCommand) (commands []protocol.Command, complete bool) {
	commands = fillMessage(pending)
	if len(commands) < len(pending) {
		slices.SortStableFunc(pending, compareUrgency)
		commands = fillMessage(pending)
		r.recordDeferred(agent, len(commands), len(pending)-len(commands))
	}
	for i := range commands {
		r.recordSent(&pending[i])
	}
	return commands, !slices.ContainsFunc(pending[len(commands):], func(c pendingCommand) bool { return c.sentAt() == 0 })
}

// fillMessage returns the commands up to the first that does not fit into a message.
func fillMessage(pending []pendingCommand) []protocol.Command {
	batch := protocol.NewCommandBatch(len(pending))
	for i := range pending {
		if !batch.Add(pending[i].Command) {
			break
		}
	}
	return batch.Commands()
}

// recordSent notes that a command is sent now.
func (r *Reconciler) recordSent(command *pendingCommand) {
	switch {
	case command.attempt == nil:
		return
	case command.Verb == protocol.VerbStart:
		command.attempt.recordStart(r.now())
	default:
		command.attempt.recordStop(r.now())
	}
	r.logCommand(command.attempt, command.Verb)
}

// recordDeferred counts and logs the commands that did not fit into a message.
func (r *Reconciler) recordDeferred(agent *agent, sent, deferred int) {
	r.OnCommandsDeferred(deferred)
	r.Log.Info("commands deferred", "machine", agent.machine.Name, "sent", sent, "deferred", deferred, "listed", agent.contact.listing.listed)
}
