package coordination

import (
	"maps"
	"slices"
	"time"

	"rockrun/internal/bookkeeping"
	"rockrun/internal/protocol"
)

// peerInfo is what a leader knows of a controller.
type peerInfo struct {
	incarnation uint64
	since       time.Duration // when it was first heard without a gap
	heard       time.Duration
	pinged      time.Duration // the same, by a ping: signs of life in the records say no more than that
	confirmed   time.Duration // last time its block leases were extended
	stale       time.Duration // how long it had not heard from the state service
	fresh       bool
	left        bool // it ended by itself and gave up what it held
	shares      uint64
	keeps       []uint64 // tokens of grants whose homes keep to their shares
	notes       map[string]protocol.MachineNote
	hears       []time.Duration // when machines of a shard were last heard there; 0: never
}

// ping tells the leader about this node. The leader tells itself.
func (n *Node) ping() {
	if !n.ready || n.book.LeaderVer == 0 {
		return
	}
	p := &protocol.Ping{
		Node: n.Settings.Node, Incarnation: n.incarnation, SentAt: n.now(), Term: n.book.Leader.Term,
		FreshFor: n.now() - n.freshAt, Leaving: n.stopped, Machines: n.hold.notes(),
		Shares: n.book.SharesVer, Keeps: n.hold.keepsShares(),
	}
	for _, at := range n.heardFrom {
		age := time.Duration(-1)
		if at > 0 {
			age = n.now() - at
		}
		p.Heard = append(p.Heard, age)
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
	n.pongAt, n.othersWell = n.now(), p.Well
}

// well counts the controllers other than the one given that users had better come
// to: alive, with young knowledge, and not holding the home of the work that ends.
func (l *leadership) well(but string) int {
	n := l.n
	count := 0
	for _, node := range n.nodes {
		p := l.peers[node]
		if node != but && node != n.book.Grants[0].Node && p != nil && p.fresh && !p.left && n.now()-p.heard < aliveFor {
			count++
		}
	}
	return count
}

// beat shows in the records that this node is alive while the leader does not
// answer it: where controllers can't reach each other, but all reach the state
// service, homes stay where they are instead of gathering at the leader. The
// write depends on the grants of the homes held, so its success extends their
// block leases as a pong would; the leader counts from when it sees the record.
func (n *Node) beat() {
	now := n.now()
	every := n.blockLease / 2
	if n.lead != nil || n.book.LeaderVer == 0 || now-n.pongAt < every || now < n.beatAt {
		return
	}
	key := bookkeeping.BeatKey(n.Settings.Node)
	t := protocol.Txn{
		If:   []protocol.Cond{{Key: key, Version: n.book.Beats[n.Settings.Node].Version}},
		Then: []protocol.Op{{Put: key, Value: bookkeeping.Encode(bookkeeping.BeatRecord{Incarnation: n.incarnation})}},
	}
	var homes []int
	for s := range n.book.Homes {
		if n.holds(s) && len(t.If) < 4*n.Settings.Cluster.State.TxnOps { // conditions allowed in a transaction
			homes = append(homes, s)
			t.If = append(t.If, protocol.Cond{Key: bookkeeping.GrantKey(s), Version: n.book.Grants[s].Version})
		}
	}
	if len(homes) == 0 {
		return
	}
	n.beatAt = now + every
	n.budget.force(now, 1)
	era := n.era
	n.State.Txn(t, func(_ uint64, err error) {
		if era != n.era {
			return
		}
		if err != nil {
			n.Log.Debug("no sign of life written", "err", err)
			n.beatAt = n.now() + n.jitter(retryPause)
			return
		}
		for _, s := range homes {
			if n.holds(s) {
				n.leaseUntil[s] = max(n.leaseUntil[s], now+n.blockLease)
			}
		}
	})
}

// takeBeats takes in signs of life that are new in the records.
func (l *leadership) takeBeats() {
	for node, b := range l.n.book.Beats {
		if b.Version <= l.beats[node] {
			continue
		}
		l.beats[node] = b.Version
		p := l.peers[node]
		if p == nil {
			p = &peerInfo{incarnation: b.Incarnation}
			l.peers[node] = p
		}
		if b.Incarnation >= p.incarnation && !p.left {
			p.incarnation = b.Incarnation
			p.heard, p.confirmed, p.stale, p.fresh = l.n.now(), l.n.now(), 0, true
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
	case len(r.Withdrawn) > 0:
		n.heardWithdrawn(r.Withdrawn)
		reply(protocol.PeerAnswer{})
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
	if p.Incarnation > info.incarnation || now-info.heard > aliveFor {
		info.since = now
	}
	info.incarnation = p.Incarnation
	info.heard, info.pinged, info.fresh = now, now, p.FreshFor < n.authority/2
	info.left, info.shares, info.keeps, info.stale = p.Leaving, p.Shares, p.Keeps, p.FreshFor
	info.notes = make(map[string]protocol.MachineNote, len(p.Machines))
	for _, m := range p.Machines {
		if m.Seen {
			l.lastSeen[m.Name] = m
		} else if last, ok := l.lastSeen[m.Name]; ok && last.Silent > l.quiet() {
			// It was silent before its holder changed, and goes on being so: the
			// new holder must not begin to wait anew.
			m.Silent += last.Silent
		}
		info.notes[m.Name] = m
	}
	info.hears = make([]time.Duration, len(p.Heard))
	for s, age := range p.Heard {
		if age >= 0 {
			info.hears[s] = now - age
		}
	}
	for i := range p.Strangers {
		l.fleet.stranger(&p.Strangers[i])
	}
	pong := &protocol.Pong{Leader: true, Term: l.term, SentAt: p.SentAt, Well: l.well(p.Node)}
	if l.useless(info) {
		return pong // its block leases run out
	}
	info.confirmed = now
	for s := range n.shards {
		g := &n.book.Grants[s]
		if g.Node == p.Node && g.Incarnation == p.Incarnation {
			pong.Shards = append(pong.Shards, s)
		}
	}
	return pong
}
