package membership

import (
	"time"

	"rockrun/internal/protocol"
)

// Peer is what the leader knows of a controller, itself among them. Times are the
// leader's.
type Peer struct {
	Incarnation uint64
	// WellSince is when the controller was first heard without a gap since.
	WellSince time.Duration
	// HeardAt is when the controller was last heard, by a heartbeat or by its liveness
	// record.
	HeardAt time.Duration
	// HeartbeatAt is when its last heartbeat came.
	HeartbeatAt time.Duration
	// ConfirmedAt is when its shard leases were last extended.
	ConfirmedAt time.Duration
	// Staleness is how long it had not heard from the store when it was heard.
	Staleness time.Duration
	// Fresh reports whether its knowledge was young enough to act on for a while.
	Fresh bool
	// Leaving reports whether it has ended and given up what it held.
	Leaving bool
	// QuotaSplitVersion is the version of the quota split that it keeps to.
	QuotaSplitVersion uint64
	// GrantsWithinQuota are the fencing tokens of the grants under which it holds a job
	// shard whose usage is within the shard's quota.
	GrantsWithinQuota []uint64

	machines     map[string]protocol.MachineStatus
	shardHeardAt []time.Duration // 0: never
}

// Alive reports whether the controller has been heard lately and is not leaving.
func (p *Peer) Alive(now time.Duration) bool { return !p.Leaving && now-p.HeardAt < PeerTimeout }

// ShardHeardAt is when an agent of a shard was last heard by the controller, or 0.
func (p *Peer) ShardHeardAt(shard int) time.Duration {
	if !p.ReportsShard(shard) {
		return 0
	}
	return p.shardHeardAt[shard]
}

// ReportsShard reports whether the controller says when it has heard agents of a shard.
func (p *Peer) ReportsShard(shard int) bool { return shard < len(p.shardHeardAt) }

// HeardAnyShardSince reports whether an agent of any shard was heard by the controller
// after a time.
func (p *Peer) HeardAnyShardSince(at time.Duration) bool {
	for _, heardAt := range p.shardHeardAt {
		if heardAt > at {
			return true
		}
	}
	return false
}

// takeIn takes in a heartbeat, except for what it says of machines.
func (p *Peer) takeIn(heartbeat *protocol.PeerHeartbeat, now, maxStaleness time.Duration) {
	if heartbeat.Incarnation > p.Incarnation || now-p.HeardAt > PeerTimeout {
		p.WellSince = now
	}
	p.Incarnation = heartbeat.Incarnation
	p.HeardAt, p.HeartbeatAt = now, now
	p.Staleness = heartbeat.StoreStaleness
	p.Fresh = heartbeat.StoreStaleness < maxStaleness/2
	p.Leaving = heartbeat.Leaving
	p.QuotaSplitVersion = heartbeat.QuotaSplitVersion
	p.GrantsWithinQuota = heartbeat.GrantsWithinQuota
	p.shardHeardAt = make([]time.Duration, len(heartbeat.ShardHeardAgo))
	for shard, ago := range heartbeat.ShardHeardAgo {
		if ago >= 0 {
			p.shardHeardAt[shard] = now - ago
		}
	}
}
