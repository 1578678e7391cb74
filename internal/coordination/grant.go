package coordination

import (
	"slices"
	"time"

	"rockrun/internal/coordination/kv"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// A shard is a set of machines; some shards are homes, to which jobs belong. The
// leader grants each shard to one controller; the record of the grant, on whose
// version every write of the holder depends, is what makes it exclusive. The
// block lease that heartbeats renew says how long a holder may use it unheard.

// grantTick grants every shard that has no live holder.
func (l *leadership) assignShards() {
	n := l.controller
	l.applyLiveness()
	l.settleJobShards()
	l.updateQuotaSplit()
	held := l.jobShardsPerController()
	for s := range n.shardCount {
		if l.grantInFlight[s] || n.now() < l.nextGrantAt[s] {
			continue
		}
		to := l.nextHolder(s, held)
		if to == "" {
			continue
		}
		l.grant(s, to)
		if l.isJobShard(s) {
			held[to]++
		}
	}
}

// homesHeld counts the homes granted to each controller.
func (l *leadership) jobShardsPerController() map[string]int {
	held := map[string]int{}
	for s := range l.controller.shardCount {
		if l.isJobShard(s) {
			held[l.controller.view.Grants[s].Controller]++
		}
	}
	return held
}

// allAlive reports whether every controller has been heard lately.
func (l *leadership) allControllersAlive() bool {
	now := l.controller.now()
	return !slices.ContainsFunc(l.controller.controllers, func(node string) bool {
		p := l.peers[node]
		return p == nil || p.leaving || now-p.heardAt >= peerTimeout
	})
}

// atStartFor is how long a first leader waits for all controllers to be heard
// before it grants shards to those that are.
const startupGrace = 2 * time.Second

// nextHolder is the controller that a shard is to be granted to now, or none where
// its grant stands.
func (l *leadership) nextHolder(s int, held map[string]int) string {
	n := l.controller
	now := n.now()
	g := &n.view.Grants[s]
	p := l.peers[g.Controller]
	switch {
	case g.Version == 0:
		if !l.allControllersAlive() && now-l.since <= startupGrace {
			return ""
		}
		return l.bestController(s, held)
	case p != nil && p.leaving && p.incarnation == g.Incarnation:
		return l.bestController(s, held)
	case p != nil && now-p.heardAt < peerTimeout && p.incarnation > g.Incarnation:
		// The holder has restarted and declared its former self over.
		return g.Controller
	case p != nil && p.incarnation == g.Incarnation && now-p.heardAt < n.shardLease && !l.partitionedFromStore(p):
		// Alive: re-confirmed by every heartbeat.
		return l.preferredHolder(s, p, held)
	case now-l.since > n.shardLease && (p == nil || now-p.heardAt > n.shardLease || now-p.confirmedAt > n.shardLease):
		// Neither this leader nor, by the wait, an earlier one has confirmed it for
		// a whole block lease.
		if to := l.bestController(s, held); to != g.Controller {
			return to
		}
	}
	return ""
}

// betterHolder is the controller that a shard moves to although its holder p is
// alive, or none: machines must reach the holder, and homes are spread.
func (l *leadership) preferredHolder(s int, p *peerState, held map[string]int) string {
	n := l.controller
	holder := n.view.Grants[s].Controller
	switch {
	case l.holderUnreachable(s, p):
		n.Log.Warn("holder hears nothing of its machines, others do", "shard", s, "holder", holder, "term", l.term)
		l.relievedAt[holder], l.lastMoveAt = n.now(), n.now()
		return l.chooseController(s, held, func(node string) bool { return l.hearsAgents(l.peers[node], s) })
	case l.shouldRebalance(s, held):
		n.Log.Info("home moves to a controller that has none", "shard", s, "holder", holder, "term", l.term)
		l.lastMoveAt = n.now()
		return l.chooseController(s, held, func(node string) bool { return l.mayTakeJobShard(node, held) })
	}
	return ""
}

// cutOffFromState reports whether a controller can be heard but has not heard from the
// state service for long, while the leader has: refused alone, it can neither
// start anything nor learn of it, and others must take over what it holds.
func (l *leadership) partitionedFromStore(p *peerState) bool {
	n := l.controller
	return p.staleness > n.shardLease && n.now()-l.freshSince > n.shardLease+2*peerHeartbeatInterval
}

// holderUnreached reports whether the holder of a home has heard nothing of its machines
// for so long that chance can't be the cause, while another controller hears
// them: they try the others one after the other and are sent back, until their
// leases run out. A controller that only workers can't reach looks so, and one
// whose machines are all gone does not.
func (l *leadership) holderUnreachable(shard int, p *peerState) bool {
	n := l.controller
	now := n.now()
	if !l.isJobShard(shard) || shard >= len(p.shardHeardAt) || now-p.heartbeatAt > peerHeartbeatInterval*3 {
		return false
	}
	silent := now - max(p.shardHeardAt[shard], l.nextGrantAt[shard], l.since)
	if silent < agentAnswerTimeout {
		return false
	}
	seen := 0
	for name, note := range p.machines {
		// A holder that could never be reached has seen none of the machines that
		// were up before it was granted them.
		_, seenBefore := l.lastConfirmedStatus[name]
		if _, m := n.view.Machines.Find(name); m != nil && m.Shard == shard && (note.Seen || note.Tasks > 0 || seenBefore) {
			seen++
		}
	}
	if seen < 4 {
		return false
	}
	// Ten reports were due in that time, however few machines there are.
	patience := max(agentAnswerTimeout, 10*n.Settings.Cluster.Agents.HeartbeatInterval()/time.Duration(seen))
	if silent < patience {
		return false
	}
	return slices.ContainsFunc(n.controllers, func(node string) bool { return l.hearsAgents(l.peers[node], shard) })
}

// hearsMachines reports whether machines of a shard have lately reported to a controller.
func (l *leadership) hearsAgents(p *peerState, shard int) bool {
	now := l.controller.now()
	return p != nil && now-p.heartbeatAt < peerTimeout && shard < len(p.shardHeardAt) && p.shardHeardAt[shard] > 0 && now-p.shardHeardAt[shard] < peerTimeout
}

// shouldMoveHome reports whether a home had better move: its controller has another
// one too, while one that has long been well has none. After many controllers
// have ended, all homes are with those that were left.
func (l *leadership) shouldRebalance(shard int, held map[string]int) bool {
	n := l.controller
	now := n.now()
	if !l.isJobShard(shard) || held[n.view.Grants[shard].Controller] < 2 || now-l.lastMoveAt < rebalanceAfter || now-l.since < rebalanceAfter {
		return false
	}
	return slices.ContainsFunc(n.controllers, func(node string) bool { return l.mayTakeJobShard(node, held) })
}

// mayTakeHome reports whether a home may move to a controller that has none: one that
// has been well for long.
func (l *leadership) mayTakeJobShard(node string, held map[string]int) bool {
	now := l.controller.now()
	p := l.peers[node]
	return p != nil && held[node] == 0 && p.fresh && !p.leaving && !l.partitionedFromStore(p) && now-p.heardAt < peerTimeout && now-p.wellSince > rebalanceAfter &&
		!l.recentlyRelieved(node)
}

// unreached reports whether a controller was relieved of a home since none of its
// machines reached it, and nothing shows yet that machines do again. Without a home
// it may hear none for long, so after a while it is tried again.
func (l *leadership) recentlyRelieved(node string) bool {
	at, relieved := l.relievedAt[node]
	if !relieved || l.controller.now()-at > relievedPeriod {
		return false
	}
	p := l.peers[node]
	return p == nil || !slices.ContainsFunc(p.shardHeardAt, func(heard time.Duration) bool { return heard > at })
}

// relievedFor is how long a relieved controller gets no home unless machines reach
// it: well beyond the cuts after which all is well again by itself.
const relievedPeriod = 2 * time.Minute

// spreadAfter is how long a controller must have been well before a home moves
// to it, and the least time between two such moves: each costs a handing over.
const rebalanceAfter = 15 * time.Second

// isHome reports whether a shard is a home.
func (l *leadership) isJobShard(shard int) bool { return shard < l.controller.view.JobShards }

// chooseController chooses a controller for a shard among those that will do: one that is
// alive, with the fewest shards that are homes, rather not the leader, which has
// the fleet to see to.
func (l *leadership) chooseController(shard int, held map[string]int, will func(node string) bool) string {
	n := l.controller
	now := n.now()
	best, cost := "", 0
	for i, node := range n.controllers {
		p := l.peers[node]
		if p == nil || p.leaving || now-p.heardAt >= peerTimeout || l.partitionedFromStore(p) || !will(node) {
			continue
		}
		c := held[node]*100 + (i+len(n.controllers)-shard)%len(n.controllers)
		if node == n.Settings.Controller {
			c += 10
		}
		if !p.fresh || l.recentlyRelieved(node) {
			c += 1000
		}
		if best == "" || c < cost {
			best, cost = node, c
		}
	}
	return best
}

// bestController is choose among all.
func (l *leadership) bestController(shard int, held map[string]int) string {
	return l.chooseController(shard, held, func(string) bool { return true })
}

func (l *leadership) grant(shard int, node string) {
	n := l.controller
	g := &n.view.Grants[shard]
	rec := storage.GrantRecord{Controller: node, Incarnation: l.peers[node].incarnation, FencingToken: l.nextFencingToken()}
	n.Log.Info("grant", "shard", shard, "to", node, "token", rec.FencingToken, "term", l.term)
	l.grantInFlight[shard] = true
	n.committer.Budget.TakeAnyway(n.now(), 1)
	n.committer.Commit(protocol.Transaction{
		Conditions: []protocol.Condition{l.leaderCondition(), {Key: storage.GrantKey(shard), Version: g.Version}},
		Operations: []protocol.Operation{{Put: storage.GrantKey(shard), Value: storage.Encode(rec)}},
	}, func(_ uint64, err error) {
		l.grantInFlight[shard] = false
		l.nextGrantAt[shard] = n.now() + kv.RetryPause
		if err != nil {
			n.Log.Debug("grant not made", "shard", shard, "err", err)
		}
	})
}

// homesTick settles once into how many homes the work is split. Machines split
// among homes can't be packed together, and one controller's sums are simplest,
// so three controllers have one home. With more there are two: one for the work
// that ends and one for services, which need many images in one sight.
func (l *leadership) settleJobShards() {
	n := l.controller
	if n.view.JobShards > 0 || l.jobShardsInFlight || n.now() < l.nextJobShardsAt {
		return
	}
	homes := n.Options.JobShards
	if homes == 0 {
		homes = min(len(n.controllers)-2, 2)
	}
	rec := storage.JobShardsRecord{JobShards: max(1, min(homes, n.shardCount))}
	l.jobShardsInFlight = true
	n.committer.Commit(protocol.Transaction{
		Conditions: []protocol.Condition{l.leaderCondition(), {Key: storage.KeyJobShards, Version: n.view.JobShardsVersion}},
		Operations: []protocol.Operation{{Put: storage.KeyJobShards, Value: storage.Encode(rec)}},
	}, func(uint64, error) {
		l.jobShardsInFlight = false
		l.nextJobShardsAt = n.now() + kv.RetryPause
	})
}
