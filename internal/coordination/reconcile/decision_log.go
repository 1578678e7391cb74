package reconcile

import (
	"context"
	"log/slog"

	"rockrun/internal/protocol"
)

// The log lines in this file state what a decision was based on: the fencing token, and the
// revision and staleness of the view.

// debugEnabled reports whether debug lines are written. Code that logs for every heartbeat or
// task calls it first, because building the values of a line costs more than handling the
// heartbeat or task.
func (r *Reconciler) debugEnabled() bool { return r.Log.Enabled(context.Background(), slog.LevelDebug) }

// shardAttrs returns the log attributes that decisions about a shard are based on.
func (r *Reconciler) shardAttrs(shard int) slog.Attr {
	grant := &r.View.Grants[shard]
	return slog.Group("", "shard", shard, "grant", grant.FencingToken, "holder", grant.Controller,
		"revision", r.Replica.Revision(), "staleness", r.Replica.Staleness())
}

// logShardAcquired logs that this controller acquired a job shard.
func (r *Reconciler) logShardAcquired(shard int) {
	r.Log.Info("job shard acquired", r.shardAttrs(shard))
}

// logShardReleased logs that this controller released a job shard.
func (r *Reconciler) logShardReleased(shard int) {
	r.Log.Info("job shard released", r.shardAttrs(shard))
}

// logMachineAcquired logs that a machine was acquired, with the number of its recorded
// intents.
func (r *Reconciler) logMachineAcquired(agent *agent) {
	if r.debugEnabled() {
		r.Log.Debug("machine acquired", "machine", agent.machine.Name, "group", agent.machine.Group, "token", agent.fence.current,
			"attempts", len(agent.machine.Intents), r.shardAttrs(agent.shard))
	}
}

// logMachineReleased logs that a machine is released, with its group, phase and shard in the
// records and the number of attempts that still count on it.
func (r *Reconciler) logMachineReleased(agent *agent) {
	if r.debugEnabled() {
		machine := agent.machine
		r.Log.Debug("machine released", "machine", machine.Name, "group", machine.Group, "phase", machine.Phase, "to", machine.Shard,
			"attempts", len(agent.attempts), r.shardAttrs(agent.shard))
	}
}

// logAttemptEnded logs that an attempt has ended, and what proves it.
func (r *Reconciler) logAttemptEnded(attempt *attempt, cause string) {
	if r.debugEnabled() {
		agent := attempt.agent
		r.Log.Debug("attempt ended", "machine", agent.machine.Name, "job", attempt.job.ID, "task", attempt.task, "attempt", attempt.number,
			"state", attempt.state, "reason", cause, "epoch", agent.contact.epoch, "sequence", agent.contact.sequence, r.shardAttrs(agent.shard))
	}
}

// logStartSuperseded logs that an agent must reject further copies of the start of an attempt,
// which is missing from a heartbeat or has ended.
func (r *Reconciler) logStartSuperseded(attempt *attempt, reason string) {
	agent := attempt.agent
	r.Log.Debug("start superseded", "machine", agent.machine.Name, "job", attempt.job.ID, "task", attempt.task, "attempt", attempt.number,
		"state", attempt.state, "reason", reason, "token", agent.fence.current, "reported", agent.fence.reported, r.shardAttrs(agent.shard))
}

// logCommand logs a command that is sent for an attempt.
func (r *Reconciler) logCommand(attempt *attempt, verb protocol.CommandVerb) {
	if !r.debugEnabled() {
		return
	}
	agent := attempt.agent
	attrs := slog.Group("", "machine", agent.machine.Name, "job", attempt.job.ID, "task", attempt.task, "attempt", attempt.number,
		"token", agent.fence.current, "epoch", agent.contact.epoch, r.shardAttrs(agent.shard))
	if verb == protocol.VerbStart {
		r.Log.Debug("start sent", attrs, "page", agent.machine.Intents[attempt.ref()].Page)
		return
	}
	r.Log.Debug("stop sent", attrs, "grace", attempt.stop.graceSeconds, "job_ended", attempt.job.Ended())
}

// logHeartbeatAnswer logs the answer to a heartbeat, which renews the agent's lease.
func (r *Reconciler) logHeartbeatAnswer(agent *agent, commands int) {
	if r.debugEnabled() {
		r.Log.Debug("agent lease renewed", "machine", agent.machine.Name, "token", agent.fence.current, "confirmed", agent.fence.confirmed,
			"epoch", agent.contact.epoch, "sequence", agent.contact.sequence, "commands", commands, r.shardAttrs(agent.shard))
	}
}
