package sharding

import (
	"slices"
	"time"

	"rockrun/internal/coordination/membership"
)

const (
	// rebalanceAfter is how long a controller must have been well before a job shard
	// moves to it, and the least time between two such moves: each costs a handover.
	rebalanceAfter = 15 * time.Second
	// relievedPeriod is how long a controller that agents could not reach gets no job
	// shard unless agents reach it: well beyond the partitions after which all is well
	// again by itself.
	relievedPeriod = 2 * time.Minute
)

// preferredHolder is the controller to which a shard moves although its holder is alive,
// or "": agents must reach the holder, and job shards are spread over the controllers.
func (a *Assigner) preferredHolder(shard int, holder *membership.Peer, held map[string]int) string {
	now := a.Generation.Now()
	name := a.Replica.View.Grants[shard].Controller
	switch {
	case a.holderUnreachable(shard, holder):
		a.Log.Warn("holder unreachable for its agents", "shard", shard, "holder", name, "term", a.Leadership.Term())
		a.relievedAt[name], a.lastMoveAt = now, now
		return a.chooseController(shard, held, func(controller string) bool {
			return a.Members.HearsAgents(controller, shard)
		})
	case a.shouldRebalance(shard, held):
		a.Log.Info("job shard rebalanced", "shard", shard, "holder", name, "term", a.Leadership.Term())
		a.lastMoveAt = now
		return a.chooseController(shard, held, func(controller string) bool {
			return a.mayTakeJobShard(controller, held)
		})
	}
	return ""
}

// holderUnreachable reports whether the holder of a job shard has heard nothing of its
// agents for so long that chance cannot be the cause, while another controller hears
// them: they try the others one after the other and are sent back until their leases
// expire. A controller that only agents cannot reach looks so, and one whose machines are
// all gone does not.
func (a *Assigner) holderUnreachable(shard int, holder *membership.Peer) bool {
	const minAgents = 4
	now := a.Generation.Now()
	if !a.isJobShard(shard) || !holder.ReportsShard(shard) || now-holder.HeartbeatAt > 3*membership.HeartbeatInterval {
		return false
	}
	silent := now - max(holder.ShardHeardAt(shard), a.grantCalls[shard].NotBefore(), a.Leadership.Since())
	if silent < membership.AgentAnswerTimeout {
		return false
	}
	agents := a.Members.AgentsUp(holder, shard)
	if agents < minAgents {
		return false
	}
	// Ten heartbeats were due in that time, however few agents there are.
	patience := max(membership.AgentAnswerTimeout, 10*a.Agents.HeartbeatInterval()/time.Duration(agents))
	if silent < patience {
		return false
	}
	return slices.ContainsFunc(a.Controllers, func(controller string) bool {
		return a.Members.HearsAgents(controller, shard)
	})
}

// shouldRebalance reports whether a job shard had better move: its controller has another
// one too, while one that has long been well has none. After many controllers have ended,
// all job shards are with those that were left.
func (a *Assigner) shouldRebalance(shard int, held map[string]int) bool {
	now := a.Generation.Now()
	holder := a.Replica.View.Grants[shard].Controller
	if !a.isJobShard(shard) || held[holder] < 2 {
		return false
	}
	if now-a.lastMoveAt < rebalanceAfter || now-a.Leadership.Since() < rebalanceAfter {
		return false
	}
	return slices.ContainsFunc(a.Controllers, func(controller string) bool {
		return a.mayTakeJobShard(controller, held)
	})
}

// mayTakeJobShard reports whether a job shard may move to a controller: one that has none
// and has been well for long.
func (a *Assigner) mayTakeJobShard(controller string, held map[string]int) bool {
	now := a.Generation.Now()
	p := a.Members.Peer(controller)
	return p != nil && held[controller] == 0 && p.Fresh && p.Alive(now) && !a.Members.PartitionedFromStore(p) &&
		now-p.HealthySince > rebalanceAfter && !a.recentlyRelieved(controller)
}

// recentlyRelieved reports whether a controller lost a shard since none of its agents
// reached it, and nothing shows yet that agents do again. Without a job shard it may hear
// none for long, so after a while it is tried again.
func (a *Assigner) recentlyRelieved(controller string) bool {
	at, relieved := a.relievedAt[controller]
	if !relieved || a.Generation.Now()-at > relievedPeriod {
		return false
	}
	p := a.Members.Peer(controller)
	return p == nil || !p.HeardAnyShardSince(at)
}
