package reconcile

import (
	"context"
	"log/slog"

	"rockrun/internal/protocol"
)

// The log lines that say why a decision was allowed: under which token, and on what was read
// from the store up to which revision and how long ago.

// debugs reports whether lines at level debug are written. What is logged for every
// heartbeat or task asks first, since making up the values of a line costs more than them.
func (r *Reconciler) debugs() bool { return r.Log.Enabled(context.Background(), slog.LevelDebug) }

// shardFacts are what a decision about a shard rests on.
func (r *Reconciler) shardFacts(shard int) slog.Attr {
	grant := &r.View.Grants[shard]
	return slog.Group("", "shard", shard, "grant", grant.FencingToken, "holder", grant.Controller,
		"revision", r.Replica.Revision(), "staleness", r.Replica.Staleness())
}

// logTakenUp says that this controller begins to hold a job shard.
func (r *Reconciler) logTakenUp(shard int) {
	r.Log.Info("job shard taken up", r.shardFacts(shard))
}

// logLetGo says that this controller holds a job shard no more.
func (r *Reconciler) logLetGo(shard int) {
	r.Log.Info("job shard let go", r.shardFacts(shard))
}

// logMachineTakenUp says that a machine is taken up, with the intents that the records have
// of it.
func (r *Reconciler) logMachineTakenUp(agent *agent) {
	if r.debugs() {
		r.Log.Debug("machine taken up", "machine", agent.machine.Name, "group", agent.machine.Group, "token", agent.fence.current,
			"attempts", len(agent.machine.Intents), r.shardFacts(agent.shard))
	}
}

// logMachineLetGo says that a machine is let go, with the attempts that are not over, and
// what the records say of it.
func (r *Reconciler) logMachineLetGo(agent *agent) {
	if r.debugs() {
		machine := agent.machine
		r.Log.Debug("machine let go", "machine", machine.Name, "group", machine.Group, "phase", machine.Phase, "to", machine.Shard,
			"attempts", len(agent.attempts), r.shardFacts(agent.shard))
	}
}

// logOver says that an attempt is over, and what proves it.
func (r *Reconciler) logOver(attempt *attempt, cause string) {
	if r.debugs() {
		agent := attempt.agent
		r.Log.Debug("attempt over", "machine", agent.machine.Name, "job", attempt.job.ID, "task", attempt.task, "attempt", attempt.number,
			"state", attempt.state, "reason", cause, "epoch", agent.contact.epoch, "sequence", agent.contact.sequence, r.shardFacts(agent.shard))
	}
}

// logCommand says that a command goes out for an attempt.
func (r *Reconciler) logCommand(attempt *attempt, verb protocol.CommandVerb) {
	if !r.debugs() {
		return
	}
	agent := attempt.agent
	facts := slog.Group("", "machine", agent.machine.Name, "job", attempt.job.ID, "task", attempt.task, "attempt", attempt.number,
		"token", agent.fence.current, "epoch", agent.contact.epoch, r.shardFacts(agent.shard))
	if verb == protocol.VerbStart {
		r.Log.Debug("start sent", facts, "page", agent.machine.Intents[attempt.ref()].Page)
		return
	}
	r.Log.Debug("stop sent", facts, "grace", attempt.stop.graceSeconds, "job_ended", attempt.job.Ended())
}

// logHeartbeatAnswer says that a heartbeat is answered, which renews the agent's lease.
func (r *Reconciler) logHeartbeatAnswer(agent *agent, commands int) {
	if r.debugs() {
		r.Log.Debug("lease renewed", "machine", agent.machine.Name, "token", agent.fence.current, "confirmed", agent.fence.confirmed,
			"epoch", agent.contact.epoch, "sequence", agent.contact.sequence, "commands", commands, r.shardFacts(agent.shard))
	}
}
