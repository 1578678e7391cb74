package coordination

import (
	"slices"
	"time"

	"rockrun/internal/bookkeeping"
	"rockrun/internal/protocol"
)

// A shard is a set of machines; some shards are homes, to which jobs belong. The
// leader grants each shard to one controller; the record of the grant, on whose
// version every write of the holder depends, is what makes it exclusive. The
// block lease that heartbeats renew says how long a holder may use it unheard.

// grantTick grants every shard that has no live holder.
func (l *leadership) grantTick() {
	n := l.n
	l.applyLiveness()
	l.homesTick()
	l.sharesTick()
	held := l.homesHeld()
	for s := range n.shards {
		if l.granting[s] || n.now() < l.grantAt[s] {
			continue
		}
		to := l.nextHolder(s, held)
		if to == "" {
			continue
		}
		l.grant(s, to)
		if l.isHome(s) {
			held[to]++
		}
	}
}

// homesHeld counts the homes granted to each controller.
func (l *leadership) homesHeld() map[string]int {
	held := map[string]int{}
	for s := range l.n.shards {
		if l.isHome(s) {
			held[l.n.cache.Grants[s].Node]++
		}
	}
	return held
}

// allAlive reports whether every controller has been heard lately.
func (l *leadership) allAlive() bool {
	now := l.n.now()
	return !slices.ContainsFunc(l.n.nodes, func(node string) bool {
		p := l.peers[node]
		return p == nil || p.left || now-p.heard >= aliveFor
	})
}

// atStartFor is how long a first leader waits for all controllers to be heard
// before it grants shards to those that are.
const atStartFor = 2 * time.Second

// nextHolder is the controller that a shard is to be granted to now, or none where
// its grant stands.
func (l *leadership) nextHolder(s int, held map[string]int) string {
	n := l.n
	now := n.now()
	g := &n.cache.Grants[s]
	p := l.peers[g.Node]
	switch {
	case g.Version == 0:
		if !l.allAlive() && now-l.since <= atStartFor {
			return ""
		}
		return l.bestController(s, held)
	case p != nil && p.left && p.incarnation == g.Incarnation:
		return l.bestController(s, held)
	case p != nil && now-p.heard < aliveFor && p.incarnation > g.Incarnation:
		// The holder has restarted and declared its former self over.
		return g.Node
	case p != nil && p.incarnation == g.Incarnation && now-p.heard < n.blockLease && !l.cutOffFromState(p):
		// Alive: re-confirmed by every heartbeat.
		return l.betterHolder(s, p, held)
	case now-l.since > n.blockLease && (p == nil || now-p.heard > n.blockLease || now-p.confirmed > n.blockLease):
		// Neither this leader nor, by the wait, an earlier one has confirmed it for
		// a whole block lease.
		if to := l.bestController(s, held); to != g.Node {
			return to
		}
	}
	return ""
}

// betterHolder is the controller that a shard moves to although its holder p is
// alive, or none: machines must reach the holder, and homes are spread.
func (l *leadership) betterHolder(s int, p *peerInfo, held map[string]int) string {
	n := l.n
	holder := n.cache.Grants[s].Node
	switch {
	case l.holderUnreached(s, p):
		n.Log.Warn("holder hears nothing of its machines, others do", "shard", s, "holder", holder, "term", l.term)
		l.relieved[holder], l.movedAt = n.now(), n.now()
		return l.chooseController(s, held, func(node string) bool { return l.hearsMachines(l.peers[node], s) })
	case l.shouldMoveHome(s, held):
		n.Log.Info("home moves to a controller that has none", "shard", s, "holder", holder, "term", l.term)
		l.movedAt = n.now()
		return l.chooseController(s, held, func(node string) bool { return l.mayTakeHome(node, held) })
	}
	return ""
}

// cutOffFromState reports whether a controller can be heard but has not heard from the
// state service for long, while the leader has: refused alone, it can neither
// start anything nor learn of it, and others must take over what it holds.
func (l *leadership) cutOffFromState(p *peerInfo) bool {
	n := l.n
	return p.stale > n.blockLease && n.now()-l.freshSince > n.blockLease+2*heartbeatEvery
}

// holderUnreached reports whether the holder of a home has heard nothing of its machines
// for so long that chance can't be the cause, while another controller hears
// them: they try the others one after the other and are sent back, until their
// leases run out. A controller that only workers can't reach looks so, and one
// whose machines are all gone does not.
func (l *leadership) holderUnreached(shard int, p *peerInfo) bool {
	n := l.n
	now := n.now()
	if !l.isHome(shard) || shard >= len(p.hears) || now-p.pinged > heartbeatEvery*3 {
		return false
	}
	silent := now - max(p.hears[shard], l.grantAt[shard], l.since)
	if silent < workerPatience {
		return false
	}
	seen := 0
	for name, note := range p.notes {
		// A holder that could never be reached has seen none of the machines that
		// were up before it was granted them.
		_, seenBefore := l.lastSeen[name]
		if _, m := n.cache.Machines.Find(name); m != nil && m.Shard == shard && (note.Seen || note.Tasks > 0 || seenBefore) {
			seen++
		}
	}
	if seen < 4 {
		return false
	}
	// Ten reports were due in that time, however few machines there are.
	patience := max(workerPatience, 10*n.Settings.Cluster.Workers.Report()/time.Duration(seen))
	if silent < patience {
		return false
	}
	return slices.ContainsFunc(n.nodes, func(node string) bool { return l.hearsMachines(l.peers[node], shard) })
}

// hearsMachines reports whether machines of a shard have lately reported to a controller.
func (l *leadership) hearsMachines(p *peerInfo, shard int) bool {
	now := l.n.now()
	return p != nil && now-p.pinged < aliveFor && shard < len(p.hears) && p.hears[shard] > 0 && now-p.hears[shard] < aliveFor
}

// shouldMoveHome reports whether a home had better move: its controller has another
// one too, while one that has long been well has none. After many controllers
// have ended, all homes are with those that were left.
func (l *leadership) shouldMoveHome(shard int, held map[string]int) bool {
	n := l.n
	now := n.now()
	if !l.isHome(shard) || held[n.cache.Grants[shard].Node] < 2 || now-l.movedAt < spreadAfter || now-l.since < spreadAfter {
		return false
	}
	return slices.ContainsFunc(n.nodes, func(node string) bool { return l.mayTakeHome(node, held) })
}

// mayTakeHome reports whether a home may move to a controller that has none: one that
// has been well for long.
func (l *leadership) mayTakeHome(node string, held map[string]int) bool {
	now := l.n.now()
	p := l.peers[node]
	return p != nil && held[node] == 0 && p.fresh && !p.left && !l.cutOffFromState(p) && now-p.heard < aliveFor && now-p.since > spreadAfter &&
		!l.unreached(node)
}

// unreached reports whether a controller was relieved of a home since none of its
// machines reached it, and nothing shows yet that machines do again. Without a home
// it may hear none for long, so after a while it is tried again.
func (l *leadership) unreached(node string) bool {
	at, relieved := l.relieved[node]
	if !relieved || l.n.now()-at > relievedFor {
		return false
	}
	p := l.peers[node]
	return p == nil || !slices.ContainsFunc(p.hears, func(heard time.Duration) bool { return heard > at })
}

// relievedFor is how long a relieved controller gets no home unless machines reach
// it: well beyond the cuts after which all is well again by itself.
const relievedFor = 2 * time.Minute

// spreadAfter is how long a controller must have been well before a home moves
// to it, and the least time between two such moves: each costs a handing over.
const spreadAfter = 15 * time.Second

// isHome reports whether a shard is a home.
func (l *leadership) isHome(shard int) bool { return shard < l.n.cache.Homes }

// chooseController chooses a controller for a shard among those that will do: one that is
// alive, with the fewest shards that are homes, rather not the leader, which has
// the fleet to see to.
func (l *leadership) chooseController(shard int, held map[string]int, will func(node string) bool) string {
	n := l.n
	now := n.now()
	best, cost := "", 0
	for i, node := range n.nodes {
		p := l.peers[node]
		if p == nil || p.left || now-p.heard >= aliveFor || l.cutOffFromState(p) || !will(node) {
			continue
		}
		c := held[node]*100 + (i+len(n.nodes)-shard)%len(n.nodes)
		if node == n.Settings.Node {
			c += 10
		}
		if !p.fresh || l.unreached(node) {
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
	n := l.n
	g := &n.cache.Grants[shard]
	rec := bookkeeping.GrantRecord{Node: node, Incarnation: l.peers[node].incarnation, Token: l.token()}
	n.Log.Info("grant", "shard", shard, "to", node, "token", rec.Token, "term", l.term)
	l.granting[shard] = true
	n.budget.force(n.now(), 1)
	n.txn(protocol.Txn{
		If:   []protocol.Cond{l.cond(), {Key: bookkeeping.GrantKey(shard), Version: g.Version}},
		Then: []protocol.Op{{Put: bookkeeping.GrantKey(shard), Value: bookkeeping.Encode(rec)}},
	}, func(_ uint64, err error) {
		l.granting[shard] = false
		l.grantAt[shard] = n.now() + retryPause
		if err != nil {
			n.Log.Debug("grant not made", "shard", shard, "err", err)
		}
	})
}

// homesTick settles once into how many homes the work is split. Machines split
// among homes can't be packed together, and one controller's sums are simplest,
// so three controllers have one home. With more there are two: one for the work
// that ends and one for services, which need many images in one sight.
func (l *leadership) homesTick() {
	n := l.n
	if n.cache.Homes > 0 || l.homing || n.now() < l.homeAt {
		return
	}
	homes := n.Options.Homes
	if homes == 0 {
		homes = min(len(n.nodes)-2, 2)
	}
	rec := bookkeeping.HomesRecord{Homes: max(1, min(homes, n.shards))}
	l.homing = true
	n.txn(protocol.Txn{
		If:   []protocol.Cond{l.cond(), {Key: bookkeeping.KeyHomes, Version: n.cache.HomesVer}},
		Then: []protocol.Op{{Put: bookkeeping.KeyHomes, Value: bookkeeping.Encode(rec)}},
	}, func(uint64, error) {
		l.homing = false
		l.homeAt = n.now() + retryPause
	})
}
