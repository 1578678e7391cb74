package membership

import (
	"time"

	"rockrun/internal/protocol"
)

// Peer is the leader's state of one controller, which may be the leader itself. All times are
// on the leader's clock.
type Peer struct {
	Incarnation uint64
	// HealthySince is when the uninterrupted contact with the current incarnation began.
	HealthySince time.Duration
	// LastContactAt is when the leader last received a heartbeat of the controller or observed
	// a new version of its liveness record.
	LastContactAt time.Duration
	// HeartbeatAt is when its last heartbeat arrived.
	HeartbeatAt time.Duration
	// ConfirmedAt is when its grants were last confirmed, which extends its shard leases.
	ConfirmedAt time.Duration
	// Staleness is the staleness of its view at the last contact.
	Staleness time.Duration
	// Fresh reports whether that staleness was below half the maximum, so that the controller
	// could act on its view for a while.
	Fresh bool
	// Leaving reports whether it is shutting down and has released its shards.
	Leaving bool
	// QuotaSplitVersion is the version of the quota split that it applies.
	QuotaSplitVersion uint64
	// GrantsWithinQuota are the fencing tokens of its grants for job shards whose usage is
	// within the shard's quota.
	GrantsWithinQuota []uint64

	machines       map[string]protocol.MachineStatus
	agentContactAt []time.Duration // by shard; 0: never
}

// Alive reports whether the controller is not leaving and its last contact is within
// PeerTimeout.
func (p *Peer) Alive(now time.Duration) bool { return !p.Leaving && now-p.LastContactAt < PeerTimeout }

// AgentContactAt returns when the controller last received a heartbeat from an agent of a shard,
// or 0 if it has received none.
func (p *Peer) AgentContactAt(shard int) time.Duration {
	if !p.ReportsShard(shard) {
		return 0
	}
	return p.agentContactAt[shard]
}

// ReportsShard reports whether the controller's last heartbeat stated when it last received a
// heartbeat from an agent of a shard.
func (p *Peer) ReportsShard(shard int) bool { return shard < len(p.agentContactAt) }

// AnyAgentContactSince reports whether the controller received a heartbeat from an agent of any
// shard after the given time.
func (p *Peer) AnyAgentContactSince(at time.Duration) bool {
	for _, contactAt := range p.agentContactAt {
		if contactAt > at {
			return true
		}
	}
	return false
}

// applyHeartbeat records a heartbeat, except for its machine statuses.
func (p *Peer) applyHeartbeat(heartbeat *protocol.PeerHeartbeat, now, maxStaleness time.Duration) {
	if heartbeat.Incarnation > p.Incarnation || now-p.LastContactAt > PeerTimeout {
		p.HealthySince = now
	}
	p.Incarnation = heartbeat.Incarnation
	p.LastContactAt, p.HeartbeatAt = now, now
	p.Staleness = heartbeat.StoreStaleness
	p.Fresh = heartbeat.StoreStaleness < maxStaleness/2
	p.Leaving = heartbeat.Leaving
	p.QuotaSplitVersion = heartbeat.QuotaSplitVersion
	p.GrantsWithinQuota = heartbeat.GrantsWithinQuota
	p.agentContactAt = make([]time.Duration, len(heartbeat.ShardHeartbeatAges))
	for shard, ago := range heartbeat.ShardHeartbeatAges {
		if ago >= 0 {
			p.agentContactAt[shard] = now - ago
		}
	}
}
