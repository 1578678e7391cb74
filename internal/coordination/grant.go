package coordination

import (
	"maps"
	"slices"
	"time"

	"rockrun/internal/bookkeeping"
	"rockrun/internal/protocol"
)

// A shard is a set of machines and of teams that have their home there. The
// leader grants each shard to one controller; the record of the grant, on whose
// version every write of the holder depends, is what makes it exclusive. The
// block lease that pings renew says how long a holder may use it unheard.

// peerInfo is what a leader knows of a controller.
type peerInfo struct {
	incarnation uint64
	heard       time.Duration
	fresh       bool
	left        bool // it ended by itself and gave up what it held
	notes       map[string]protocol.MachineNote
}

// ping tells the leader about this node. The leader tells itself.
func (n *Node) ping() {
	if !n.ready || n.book.LeaderVer == 0 {
		return
	}
	p := &protocol.Ping{
		Node: n.Settings.Node, Incarnation: n.incarnation, SentAt: n.now(), Term: n.book.Leader.Term,
		FreshFor: n.now() - n.freshAt, Leaving: n.stopped, Machines: n.hold.notes(),
	}
	for _, name := range slices.Sorted(maps.Keys(n.strangers)) {
		p.Strangers = append(p.Strangers, n.strangers[name])
	}
	clear(n.strangers)
	if n.lead != nil {
		n.onPong(n.lead.onPing(p))
		return
	}
	era := n.era
	n.Peers.Ask(n.book.Leader.Node, protocol.PeerRequest{Ping: p}, func(a protocol.PeerAnswer, err error) {
		if err == nil && a.Pong != nil && era == n.era {
			n.onPong(a.Pong)
		}
	})
}

// onPong extends the block leases the leader has confirmed, counted from when
// the ping was sent.
func (n *Node) onPong(p *protocol.Pong) {
	if !p.Leader || p.Term < n.book.Leader.Term {
		return
	}
	for _, s := range p.Shards {
		if n.holds(s) {
			n.leaseUntil[s] = max(n.leaseUntil[s], p.SentAt+n.blockLease)
		}
	}
}

// OnPeer answers a message from another controller.
func (n *Node) OnPeer(r protocol.PeerRequest, reply func(protocol.PeerAnswer)) {
	switch {
	case r.Ping != nil:
		if n.lead == nil || !slices.Contains(n.nodes, r.Ping.Node) {
			reply(protocol.PeerAnswer{Pong: &protocol.Pong{}})
			return
		}
		reply(protocol.PeerAnswer{Pong: n.lead.onPing(r.Ping)})
	default:
		reply(protocol.PeerAnswer{})
	}
}

// onPing takes in a controller's view and confirms what it holds.
func (l *leadership) onPing(p *protocol.Ping) *protocol.Pong {
	n := l.n
	now := n.now()
	if !l.sure() {
		return &protocol.Pong{}
	}
	info := l.peers[p.Node]
	if info == nil {
		info = &peerInfo{}
		l.peers[p.Node] = info
	}
	if p.Incarnation < info.incarnation {
		return &protocol.Pong{} // a late copy from an incarnation that is over
	}
	info.incarnation = p.Incarnation
	info.heard, info.fresh = now, p.FreshFor < n.authority/2
	info.left = p.Leaving
	info.notes = make(map[string]protocol.MachineNote, len(p.Machines))
	for _, m := range p.Machines {
		info.notes[m.Name] = m
	}
	for i := range p.Strangers {
		l.fleet.stranger(&p.Strangers[i])
	}
	pong := &protocol.Pong{Leader: true, Term: l.term, SentAt: p.SentAt}
	for s := range n.shards {
		g := &n.book.Grants[s]
		if g.Node == p.Node && g.Incarnation == p.Incarnation {
			pong.Shards = append(pong.Shards, s)
		}
	}
	return pong
}

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
	l.homesTick()
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
		case p != nil && p.incarnation == g.Incarnation && now-p.heard < n.blockLease:
			// Alive: re-confirmed by every ping.
		case now-l.since > n.blockLease && (p == nil || now-p.heard > n.blockLease):
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

// work reports whether a shard is any team's home.
func (l *leadership) work(shard int) bool { return slices.Contains(l.n.book.Homes, shard) }

// best chooses a controller for a shard: one that is alive, with the fewest
// shards that are homes, rather not the leader, which has the fleet to see to.
func (l *leadership) best(shard int, held map[string]int) string {
	n := l.n
	now := n.now()
	best, cost := "", 0
	for i, node := range n.nodes {
		p := l.peers[node]
		if p == nil || p.left || now-p.heard >= aliveFor {
			continue
		}
		c := held[node]*100 + (i+len(n.nodes)-shard)%len(n.nodes)
		if node == n.Settings.Node {
			c += 10
		}
		if !p.fresh {
			c += 1000
		}
		if best == "" || c < cost {
			best, cost = node, c
		}
	}
	return best
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

// homesTick gives every team of the settings a home. Teams share a home as long
// as the operators' options let them, because machines split among homes can't
// be packed together.
func (l *leadership) homesTick() {
	n := l.n
	missing := false
	teams := make([]int, n.shards)
	homes := map[string]int{}
	for i, s := range n.book.Homes {
		if s < 0 {
			missing = true
			continue
		}
		teams[s]++
		homes[n.book.TeamNames.Name(i)] = s
	}
	if !missing || l.homing || n.now() < l.homeAt {
		return
	}
	for i, s := range n.book.Homes {
		if s >= 0 {
			continue
		}
		to := 0
		for to < n.shards-1 && teams[to] >= n.Options.HomeTeams {
			to++
		}
		if teams[to] >= n.Options.HomeTeams {
			to = slices.Index(teams, slices.Min(teams))
		}
		teams[to]++
		homes[n.book.TeamNames.Name(i)] = to
	}
	l.homing = true
	n.State.Txn(protocol.Txn{
		If:   []protocol.Cond{l.cond(), {Key: bookkeeping.KeyHomes, Version: n.book.HomesVer}},
		Then: []protocol.Op{{Put: bookkeeping.KeyHomes, Value: bookkeeping.Encode(homes)}},
	}, func(uint64, error) {
		l.homing = false
		l.homeAt = n.now() + retryPause
	})
}
