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
	pinged      time.Duration // the same, by a heartbeat: liveness records in the records say no more than that
	confirmed   time.Duration // last time its block leases were extended
	stale       time.Duration // how long it had not heard from the state service
	fresh       bool
	left        bool // it ended by itself and gave up what it held
	shares      uint64
	keeps       []uint64 // tokens of grants whose homes keep to their shares
	notes       map[string]protocol.MachineNote
	hears       []time.Duration // when machines of a shard were last heard there; 0: never
}

// sendHeartbeat tells the leader about this node. The leader tells itself.
func (n *Node) sendHeartbeat() {
	if !n.ready || n.cache.LeaderVer == 0 {
		return
	}
	p := &protocol.Heartbeat{
		Node: n.Settings.Node, Incarnation: n.incarnation, SentAt: n.now(), Term: n.cache.Leader.Term,
		FreshFor: n.now() - n.freshAt, Leaving: n.stopped, Machines: n.hold.notes(),
		Shares: n.cache.SharesVer, Keeps: n.hold.keepsShares(),
	}
	for _, at := range n.heardFrom {
		age := time.Duration(-1)
		if at > 0 {
			age = n.now() - at
		}
		p.Heard = append(p.Heard, age)
	}
	for _, name := range slices.Sorted(maps.Keys(n.orphanReports)) {
		p.Orphans = append(p.Orphans, n.orphanReports[name])
	}
	clear(n.orphanReports)
	if n.lead != nil {
		n.onHeartbeatReply(n.lead.onHeartbeat(p))
		return
	}
	era := n.era
	n.Peers.Ask(n.cache.Leader.Node, protocol.PeerRequest{Heartbeat: p}, func(a protocol.PeerAnswer, err error) {
		if err == nil && a.Reply != nil && era == n.era {
			n.onHeartbeatReply(a.Reply)
		}
	})
}

// onHeartbeatReply extends the block leases the leader has confirmed, counted from when
// the heartbeat was sent.
func (n *Node) onHeartbeatReply(p *protocol.HeartbeatReply) {
	if !p.Leader || p.Term < n.cache.Leader.Term {
		return
	}
	for _, s := range p.Shards {
		if n.holds(s) {
			n.leaseUntil[s] = max(n.leaseUntil[s], p.SentAt+n.blockLease)
		}
	}
	n.leaderAnsweredAt, n.healthyPeers = n.now(), p.HealthyPeers
}

// healthyBesides counts the controllers other than the one given that users had better come
// to: alive, with young knowledge, and not holding the home of the work that ends.
func (l *leadership) healthyBesides(but string) int {
	n := l.n
	count := 0
	for _, node := range n.nodes {
		p := l.peers[node]
		if node != but && node != n.cache.Grants[0].Node && p != nil && p.fresh && !p.left && n.now()-p.heard < aliveFor {
			count++
		}
	}
	return count
}

// writeLiveness shows in the records that this node is alive while the leader does not
// answer it: where controllers can't reach each other, but all reach the state
// service, homes stay where they are instead of gathering at the leader. The
// write depends on the grants of the homes held, so its success extends their
// block leases as a reply would; the leader counts from when it sees the record.
func (n *Node) writeLiveness() {
	now := n.now()
	every := n.blockLease / 2
	if n.lead != nil || n.cache.LeaderVer == 0 || now-n.leaderAnsweredAt < every || now < n.livenessAt {
		return
	}
	key := bookkeeping.LivenessKey(n.Settings.Node)
	t := protocol.Txn{
		If:   []protocol.Cond{{Key: key, Version: n.cache.Liveness[n.Settings.Node].Version}},
		Then: []protocol.Op{{Put: key, Value: bookkeeping.Encode(bookkeeping.LivenessRecord{Incarnation: n.incarnation})}},
	}
	var homes []int
	for s := range n.cache.Homes {
		if n.holds(s) && len(t.If) < n.limits.Conditions {
			homes = append(homes, s)
			t.If = append(t.If, protocol.Cond{Key: bookkeeping.GrantKey(s), Version: n.cache.Grants[s].Version})
		}
	}
	if len(homes) == 0 {
		return
	}
	n.livenessAt = now + every
	n.budget.force(now, 1)
	era := n.era
	n.txn(t, func(_ uint64, err error) {
		if era != n.era {
			return
		}
		if err != nil {
			n.Log.Debug("liveness record not written", "err", err)
			n.livenessAt = n.now() + n.jitter(retryPause)
			return
		}
		for _, s := range homes {
			if n.holds(s) {
				n.leaseUntil[s] = max(n.leaseUntil[s], now+n.blockLease)
			}
		}
	})
}

// applyLiveness takes in liveness records that are new in the records.
func (l *leadership) applyLiveness() {
	for node, b := range l.n.cache.Liveness {
		if b.Version <= l.livenessSeen[node] {
			continue
		}
		l.livenessSeen[node] = b.Version
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
	case r.Heartbeat != nil:
		if n.lead == nil || !slices.Contains(n.nodes, r.Heartbeat.Node) {
			reply(protocol.PeerAnswer{Reply: &protocol.HeartbeatReply{}})
			return
		}
		reply(protocol.PeerAnswer{Reply: n.lead.onHeartbeat(r.Heartbeat)})
	case len(r.Cancelled) > 0:
		n.applyCancellations(r.Cancelled)
		reply(protocol.PeerAnswer{})
	default:
		reply(protocol.PeerAnswer{})
	}
}

// onHeartbeat takes in a controller's view and confirms what it holds.
func (l *leadership) onHeartbeat(p *protocol.Heartbeat) *protocol.HeartbeatReply {
	n := l.n
	now := n.now()
	if !l.mayAnswer() {
		return &protocol.HeartbeatReply{}
	}
	info := l.peers[p.Node]
	if info == nil {
		info = &peerInfo{}
		l.peers[p.Node] = info
	}
	if p.Incarnation < info.incarnation {
		return &protocol.HeartbeatReply{} // a late copy from an incarnation that is over
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
		} else if last, ok := l.lastSeen[m.Name]; ok && last.Silent > l.quietLimit() {
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
	for i := range p.Orphans {
		l.fleet.onOrphanReport(&p.Orphans[i])
	}
	reply := &protocol.HeartbeatReply{Leader: true, Term: l.term, SentAt: p.SentAt, HealthyPeers: l.healthyBesides(p.Node)}
	if l.cutOffFromState(info) {
		return reply // its block leases run out
	}
	info.confirmed = now
	for s := range n.shards {
		g := &n.cache.Grants[s]
		if g.Node == p.Node && g.Incarnation == p.Incarnation {
			reply.Shards = append(reply.Shards, s)
		}
	}
	return reply
}
