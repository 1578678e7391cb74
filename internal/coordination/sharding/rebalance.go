package sharding

import (
	"slices"
	"time"

	"rockrun/internal/coordination/membership"
)

const (
	// rebalanceAfter is how long a controller must have been healthy before a job shard
	// moves to it, and the minimum time between two such moves, since each move costs a
	// handover.
	rebalanceAfter = 15 * time.Second
	// unreachablePenalty is how long a controller that agents could not reach gets no job
	// shard, unless agents reach it earlier. It is well above the duration of partitions
	// that heal by themselves.
	unreachablePenalty = 2 * time.Minute
)

// preferredHolder returns the controller to which a shard must move although its holder is
// alive, or "". A shard moves because its agents cannot reach the holder, or to spread the
// job shards over the controllers.
func (a *Assigner) preferredHolder(shard int, holder *membership.Peer, jobShards map[string]int) string {
	now := a.Generation.Now()
	name := a.Replica.View.Grants[shard].Controller
	switch {
	case a.holderUnreachable(shard, holder):
		a.Log.Warn("shard holder unreachable for agents", "shard", shard, "holder", name, "term", a.Leadership.Term())
		a.unreachableAt[name], a.lastMoveAt = now, now
		return a.chooseController(shard, jobShards, func(controller string) bool {
			return a.Members.HasAgentContact(controller, shard)
		})
	case a.shouldRebalance(shard, jobShards):
		a.Log.Info("job shard rebalanced", "shard", shard, "holder", name, "term", a.Leadership.Term())
		a.lastMoveAt = now
		return a.chooseController(shard, jobShards, func(controller string) bool {
			return a.eligibleForJobShard(controller, jobShards)
		})
	}
	return ""
}

// holderUnreachable reports whether the holder of a job shard has heard from none of its
// agents for so long that lost heartbeats cannot explain it, while another controller hears
// from them. Agents that cannot reach the holder try the other controllers in turn, which
// redirect them to the holder until their leases expire. A holder that only agents cannot reach
// is recognized in this way; a holder whose machines are all gone is not, because no controller
// hears from its agents.
func (a *Assigner) holderUnreachable(shard int, holder *membership.Peer) bool {
	const minAgents = 4
	now := a.Generation.Now()
	if !a.isJobShard(shard) || !holder.ReportsShard(shard) || now-holder.HeartbeatAt > 3*membership.HeartbeatInterval {
		return false
	}
	silence := now - max(holder.AgentContactAt(shard), a.grantCalls[shard].NotBefore(), a.Leadership.Since())
	if silence < membership.AgentAnswerTimeout {
		return false
	}
	agents := a.Members.AgentsUp(holder, shard)
	if agents < minAgents {
		return false
	}
	// At least ten heartbeats must have been due, however few agents there are.
	timeout := max(membership.AgentAnswerTimeout, 10*a.Agents.HeartbeatInterval()/time.Duration(agents))
	if silence < timeout {
		return false
	}
	return slices.ContainsFunc(a.Controllers, func(controller string) bool {
		return a.Members.HasAgentContact(controller, shard)
	})
}

// shouldRebalance reports whether a job shard must move because its holder has several job
// shards, while another controller has none and has been healthy for long. After an outage
// of many controllers, all job shards are on the controllers that survived.
func (a *Assigner) shouldRebalance(shard int, jobShards map[string]int) bool {
	now := a.Generation.Now()
	holder := a.Replica.View.Grants[shard].Controller
	if !a.isJobShard(shard) || jobShards[holder] < 2 {
		return false
	}
	if now-a.lastMoveAt < rebalanceAfter || now-a.Leadership.Since() < rebalanceAfter {
		return false
	}
	return slices.ContainsFunc(a.Controllers, func(controller string) bool {
		return a.eligibleForJobShard(controller, jobShards)
	})
}

// eligibleForJobShard reports whether a job shard may move to a controller. The controller
// must have no job shard and must have been healthy for long.
func (a *Assigner) eligibleForJobShard(controller string, jobShards map[string]int) bool {
	now := a.Generation.Now()
	peer := a.Members.Peer(controller)
	return peer != nil && jobShards[controller] == 0 && peer.Fresh && peer.Alive(now) && !a.Members.PartitionedFromStore(peer) &&
		now-peer.HealthySince > rebalanceAfter && !a.recentlyUnreachable(controller)
}

// recentlyUnreachable reports whether a controller recently lost a shard because agents could
// not reach it, and has heard from no agent since. A controller without a job shard may hear from
// no agent for long, so it becomes eligible again after unreachablePenalty.
func (a *Assigner) recentlyUnreachable(controller string) bool {
	at, unreachable := a.unreachableAt[controller]
	if !unreachable || a.Generation.Now()-at > unreachablePenalty {
		return false
	}
	peer := a.Members.Peer(controller)
	return peer == nil || !peer.AnyAgentContactSince(at)
}
