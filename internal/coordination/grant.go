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
// block lease that pings renew says how long a holder may use it unheard.

// grantTick grants every shard that has no live holder.
func (l *leadership) grantTick() {
	n := l.n
	now := n.now()
	alive := func(node string) *peerInfo {
		if p := l.peers[node]; p != nil && !p.left && now-p.heard < aliveFor {
			return p
		}
		return nil
	}
	held := map[string]int{}
	all := true
	for _, node := range n.nodes {
		if alive(node) == nil {
			all = false
		}
	}
	for s := range n.shards {
		if l.work(s) {
			held[n.book.Grants[s].Node]++
		}
	}
	l.takeBeats()
	l.homesTick()
	l.sharesTick()
	for s := range n.shards {
		g := &n.book.Grants[s]
		if l.granting[s] || now < l.grantAt[s] {
			continue
		}
		to := ""
		p := l.peers[g.Node]
		switch {
		case g.Version == 0:
			// At the very start everybody is given a moment to be heard.
			if all || now-l.since > 2*time.Second {
				to = l.best(s, held)
			}
		case p != nil && p.left && p.incarnation == g.Incarnation:
			to = l.best(s, held)
		case p != nil && now-p.heard < aliveFor && p.incarnation > g.Incarnation:
			// The holder has restarted and declared its former self over.
			to = g.Node
		case p != nil && p.incarnation == g.Incarnation && now-p.heard < n.blockLease && !l.useless(p):
			// Alive: re-confirmed by every ping. But its machines must reach it.
			if l.mute(s, p) {
				n.Log.Warn("holder hears nothing of its machines, others do", "shard", s, "holder", g.Node, "term", l.term)
				to = l.choose(s, held, func(node string) bool { return l.hears(l.peers[node], s) })
				l.relieved[g.Node], l.movedAt = now, now
			} else if l.crowded(s, held) {
				n.Log.Info("home moves to a controller that has none", "shard", s, "holder", g.Node, "term", l.term)
				to = l.choose(s, held, func(node string) bool { return l.takes(node, held) })
				l.movedAt = now
			}
		case now-l.since > n.blockLease && (p == nil || now-p.heard > n.blockLease || now-p.confirmed > n.blockLease):
			// Neither this leader nor, by the wait, an earlier one has
			// confirmed it for a whole block lease.
			to = l.best(s, held)
			if to == g.Node {
				to = ""
			}
		}
		if to != "" {
			l.grant(s, to)
			if l.work(s) {
				held[to]++
			}
		}
	}
}

// useless reports whether a controller can be heard but has not heard from the
// state service for long, while the leader has: refused alone, it can neither
// start anything nor learn of it, and others must take over what it holds.
func (l *leadership) useless(p *peerInfo) bool {
	n := l.n
	return p.stale > n.blockLease && n.now()-l.freshSince > n.blockLease+2*pingEvery
}

// mute reports whether the holder of a home has heard nothing of its machines
// for so long that chance can't be the cause, while another controller hears
// them: they try the others one after the other and are sent back, until their
// leases run out. A controller that only workers can't reach looks so, and one
// whose machines are all gone does not.
func (l *leadership) mute(shard int, p *peerInfo) bool {
	n := l.n
	now := n.now()
	if !l.work(shard) || shard >= len(p.hears) || now-p.pinged > pingEvery*3 {
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
		if _, m := n.book.Machines.Find(name); m != nil && m.Shard == shard && (note.Seen || note.Tasks > 0 || seenBefore) {
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
	return slices.ContainsFunc(n.nodes, func(node string) bool { return l.hears(l.peers[node], shard) })
}

// hears reports whether machines of a shard have lately reported to a controller.
func (l *leadership) hears(p *peerInfo, shard int) bool {
	now := l.n.now()
	return p != nil && now-p.pinged < aliveFor && shard < len(p.hears) && p.hears[shard] > 0 && now-p.hears[shard] < aliveFor
}

// crowded reports whether a home had better move: its controller has another
// one too, while one that has long been well has none. After many controllers
// have ended, all homes are with those that were left.
func (l *leadership) crowded(shard int, held map[string]int) bool {
	n := l.n
	now := n.now()
	if !l.work(shard) || held[n.book.Grants[shard].Node] < 2 || now-l.movedAt < spreadAfter || now-l.since < spreadAfter {
		return false
	}
	return slices.ContainsFunc(n.nodes, func(node string) bool { return l.takes(node, held) })
}

// takes reports whether a home may move to a controller that has none: one that
// has been well for long.
func (l *leadership) takes(node string, held map[string]int) bool {
	now := l.n.now()
	p := l.peers[node]
	return p != nil && held[node] == 0 && p.fresh && !p.left && !l.useless(p) && now-p.heard < aliveFor && now-p.since > spreadAfter &&
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

// work reports whether a shard is a home.
func (l *leadership) work(shard int) bool { return shard < l.n.book.Homes }

// choose chooses a controller for a shard among those that will do: one that is
// alive, with the fewest shards that are homes, rather not the leader, which has
// the fleet to see to.
func (l *leadership) choose(shard int, held map[string]int, will func(node string) bool) string {
	n := l.n
	now := n.now()
	best, cost := "", 0
	for i, node := range n.nodes {
		p := l.peers[node]
		if p == nil || p.left || now-p.heard >= aliveFor || l.useless(p) || !will(node) {
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

// best is choose among all.
func (l *leadership) best(shard int, held map[string]int) string {
	return l.choose(shard, held, func(string) bool { return true })
}

func (l *leadership) grant(shard int, node string) {
	n := l.n
	g := &n.book.Grants[shard]
	rec := bookkeeping.GrantRecord{Node: node, Incarnation: l.peers[node].incarnation, Token: l.token()}
	n.Log.Info("grant", "shard", shard, "to", node, "token", rec.Token, "term", l.term)
	l.granting[shard] = true
	n.budget.force(n.now(), 1)
	n.State.Txn(protocol.Txn{
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
	if n.book.Homes > 0 || l.homing || n.now() < l.homeAt {
		return
	}
	homes := n.Options.Homes
	if homes == 0 {
		homes = min(len(n.nodes)-2, 2)
	}
	rec := bookkeeping.HomesRecord{Homes: max(1, min(homes, n.shards))}
	l.homing = true
	n.State.Txn(protocol.Txn{
		If:   []protocol.Cond{l.cond(), {Key: bookkeeping.KeyHomes, Version: n.book.HomesVer}},
		Then: []protocol.Op{{Put: bookkeeping.KeyHomes, Value: bookkeeping.Encode(rec)}},
	}, func(uint64, error) {
		l.homing = false
		l.homeAt = n.now() + retryPause
	})
}
