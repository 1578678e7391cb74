package coordination

import (
	"maps"
	"slices"
	"time"

	"rockrun/internal/coordination/kv"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// peerInfo is what a leader knows of a controller.
type peerState struct {
	incarnation       uint64
	wellSince         time.Duration // when it was first heard without a gap
	heardAt           time.Duration
	heartbeatAt       time.Duration // the same, by a heartbeat: liveness records in the records say no more than that
	confirmedAt       time.Duration // last time its block leases were extended
	staleness         time.Duration // how long it had not heard from the state service
	fresh             bool
	leaving           bool // it ended by itself and gave up what it held
	quotaSplitVersion uint64
	grantsWithinQuota []uint64 // tokens of grants whose homes keep to their shares
	machines          map[string]protocol.MachineStatus
	shardHeardAt      []time.Duration // when machines of a shard were last heard there; 0: never
}

// sendHeartbeat tells the leader about this node. The leader tells itself.
func (n *Controller) sendPeerHeartbeat() {
	if !n.replica.Ready() || n.view.LeaderVersion == 0 {
		return
	}
	p := &protocol.PeerHeartbeat{
		Controller: n.Settings.Controller, Incarnation: n.replica.Incarnation, SentAt: n.now(), Term: n.view.Leader.Term,
		StoreStaleness: n.now() - n.replica.FreshAt(), Leaving: n.generation.Stopping(), Machines: n.reconciler.machineStatuses(),
		QuotaSplitVersion: n.view.QuotaSplitVersion, GrantsWithinQuota: n.reconciler.grantsWithinQuota(),
	}
	for _, at := range n.shardHeardAt {
		age := time.Duration(-1)
		if at > 0 {
			age = n.now() - at
		}
		p.ShardHeardAgo = append(p.ShardHeardAgo, age)
	}
	for _, name := range slices.Sorted(maps.Keys(n.unrecordedHeartbeats)) {
		p.UnrecordedAgents = append(p.UnrecordedAgents, n.unrecordedHeartbeats[name])
	}
	clear(n.unrecordedHeartbeats)
	if n.leadership != nil {
		n.onPeerHeartbeatReply(n.leadership.onPeerHeartbeat(p))
		return
	}
	generation := n.generation
	n.Peers.Ask(n.view.Leader.Controller, protocol.PeerRequest{Heartbeat: p}, func(a protocol.PeerAnswer, err error) {
		if err == nil && a.Reply != nil && !generation.Ended() {
			n.onPeerHeartbeatReply(a.Reply)
		}
	})
}

// onHeartbeatReply extends the block leases the leader has confirmed, counted from when
// the heartbeat was sent.
func (n *Controller) onPeerHeartbeatReply(p *protocol.PeerHeartbeatReply) {
	if !p.Leader || p.Term < n.view.Leader.Term {
		return
	}
	for _, s := range p.Shards {
		if n.holdsShard(s) {
			n.shardLeaseExpiry[s] = max(n.shardLeaseExpiry[s], p.SentAt+n.shardLease)
		}
	}
	n.leaderAnsweredAt, n.healthyPeerCount = n.now(), p.HealthyPeers
}

// healthyBesides counts the controllers other than the one given that users had better come
// to: alive, with young knowledge, and not holding the home of the work that ends.
func (l *leadership) healthyControllersBesides(but string) int {
	n := l.controller
	count := 0
	for _, node := range n.controllers {
		p := l.peers[node]
		if node != but && node != n.view.Grants[0].Controller && p != nil && p.fresh && !p.leaving && n.now()-p.heardAt < peerTimeout {
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
func (n *Controller) writeLiveness() {
	now := n.now()
	every := n.shardLease / 2
	if n.leadership != nil || n.view.LeaderVersion == 0 || now-n.leaderAnsweredAt < every || now < n.nextLivenessAt {
		return
	}
	key := storage.LivenessKey(n.Settings.Controller)
	t := protocol.Transaction{
		Conditions: []protocol.Condition{{Key: key, Version: n.view.Liveness[n.Settings.Controller].Version}},
		Operations: []protocol.Operation{{Put: key, Value: storage.Encode(storage.LivenessRecord{Incarnation: n.replica.Incarnation})}},
	}
	var homes []int
	for s := range n.view.JobShards {
		if n.holdsShard(s) && len(t.Conditions) < n.committer.Limits().Conditions {
			homes = append(homes, s)
			t.Conditions = append(t.Conditions, protocol.Condition{Key: storage.GrantKey(s), Version: n.view.Grants[s].Version})
		}
	}
	if len(homes) == 0 {
		return
	}
	n.nextLivenessAt = now + every
	n.committer.Budget.TakeAnyway(now, 1)
	generation := n.generation
	n.committer.Commit(t, func(_ uint64, err error) {
		if generation.Ended() {
			return
		}
		if err != nil {
			n.Log.Debug("liveness record not written", "err", err)
			n.nextLivenessAt = n.now() + n.generation.Jitter(kv.RetryPause)
			return
		}
		for _, s := range homes {
			if n.holdsShard(s) {
				n.shardLeaseExpiry[s] = max(n.shardLeaseExpiry[s], now+n.shardLease)
			}
		}
	})
}

// applyLiveness takes in liveness records that are new in the records.
func (l *leadership) applyLiveness() {
	for node, b := range l.controller.view.Liveness {
		if b.Version <= l.appliedLiveness[node] {
			continue
		}
		l.appliedLiveness[node] = b.Version
		p := l.peers[node]
		if p == nil {
			p = &peerState{incarnation: b.Incarnation}
			l.peers[node] = p
		}
		if b.Incarnation >= p.incarnation && !p.leaving {
			p.incarnation = b.Incarnation
			p.heardAt, p.confirmedAt, p.staleness, p.fresh = l.controller.now(), l.controller.now(), 0, true
		}
	}
}

// OnPeer answers a message from another controller.
func (n *Controller) OnPeer(r protocol.PeerRequest, reply func(protocol.PeerAnswer)) {
	switch {
	case r.Heartbeat != nil:
		if n.leadership == nil || !slices.Contains(n.controllers, r.Heartbeat.Controller) {
			reply(protocol.PeerAnswer{Reply: &protocol.PeerHeartbeatReply{}})
			return
		}
		reply(protocol.PeerAnswer{Reply: n.leadership.onPeerHeartbeat(r.Heartbeat)})
	case len(r.Cancelled) > 0:
		n.applyCancellations(r.Cancelled)
		reply(protocol.PeerAnswer{})
	default:
		reply(protocol.PeerAnswer{})
	}
}

// onHeartbeat takes in a controller's view and confirms what it holds.
func (l *leadership) onPeerHeartbeat(p *protocol.PeerHeartbeat) *protocol.PeerHeartbeatReply {
	n := l.controller
	now := n.now()
	if !l.mayAnswer() {
		return &protocol.PeerHeartbeatReply{}
	}
	info := l.peers[p.Controller]
	if info == nil {
		info = &peerState{}
		l.peers[p.Controller] = info
	}
	if p.Incarnation < info.incarnation {
		return &protocol.PeerHeartbeatReply{} // a late copy from an incarnation that is over
	}
	if p.Incarnation > info.incarnation || now-info.heardAt > peerTimeout {
		info.wellSince = now
	}
	info.incarnation = p.Incarnation
	info.heardAt, info.heartbeatAt, info.fresh = now, now, p.StoreStaleness < n.maxStaleness/2
	info.leaving, info.quotaSplitVersion, info.grantsWithinQuota, info.staleness = p.Leaving, p.QuotaSplitVersion, p.GrantsWithinQuota, p.StoreStaleness
	info.machines = make(map[string]protocol.MachineStatus, len(p.Machines))
	for _, m := range p.Machines {
		if m.Seen {
			l.lastConfirmedStatus[m.Name] = m
		} else if last, ok := l.lastConfirmedStatus[m.Name]; ok && last.Silent > l.heartbeatTolerance() {
			// It was silent before its holder changed, and goes on being so: the
			// new holder must not begin to wait anew.
			m.Silent += last.Silent
		}
		info.machines[m.Name] = m
	}
	info.shardHeardAt = make([]time.Duration, len(p.ShardHeardAgo))
	for s, age := range p.ShardHeardAgo {
		if age >= 0 {
			info.shardHeardAt[s] = now - age
		}
	}
	for i := range p.UnrecordedAgents {
		l.provisioner.onUnrecordedHeartbeat(&p.UnrecordedAgents[i])
	}
	reply := &protocol.PeerHeartbeatReply{Leader: true, Term: l.term, SentAt: p.SentAt, HealthyPeers: l.healthyControllersBesides(p.Controller)}
	if l.partitionedFromStore(info) {
		return reply // its block leases run out
	}
	info.confirmedAt = now
	for s := range n.shardCount {
		g := &n.view.Grants[s]
		if g.Controller == p.Controller && g.Incarnation == p.Incarnation {
			reply.Shards = append(reply.Shards, s)
		}
	}
	return reply
}
