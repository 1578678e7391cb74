// Package sharding assigns shards, which are sets of machines, to controllers. Assigner is
// the leader's side, Leases the holder's. A grant record assigns a shard, and every write of
// the holder has the version of that record as a precondition, so a shard has one effective
// holder. A shard lease, which heartbeats extend, limits how long the holder may act without
// contact to the leader.
package sharding

import (
	"time"

	"rockrun/internal/coordination/loop"
	"rockrun/internal/coordination/replica"
)

// LeasesConfig holds the dependencies and settings of Leases.
type LeasesConfig struct {
	Generation *loop.Generation
	Replica    *replica.Replica
	// ShardLease is how long a holder may act without contact to the leader.
	ShardLease time.Duration
	// MaxStaleness is the maximum staleness of a holder's view, and so of the cancellations
	// in it, at which the holder still renews agents' leases.
	MaxStaleness time.Duration
}

// Leases are the shard leases of this controller.
type Leases struct {
	LeasesConfig
	expiry         []time.Duration // by shard
	grantSeenAt    []time.Duration // by shard: when the current grant was first seen; 0: not held
	agentContactAt []time.Duration // by shard: when this controller last heard from one of its agents; 0: never
}

// NewLeases creates leases that have all expired.
func NewLeases(c LeasesConfig) *Leases {
	shards := len(c.Replica.View.Grants)
	return &Leases{
		LeasesConfig:   c,
		expiry:         make([]time.Duration, shards),
		grantSeenAt:    make([]time.Duration, shards),
		agentContactAt: make([]time.Duration, shards),
	}
}

// Holds reports whether the view grants a shard to this incarnation.
func (l *Leases) Holds(shard int) bool {
	grants := l.Replica.View.Grants
	if shard < 0 || shard >= len(grants) {
		return false
	}
	grant := &grants[shard]
	return grant.Version > 0 && grant.Controller == l.Replica.Controller && grant.Incarnation == l.Replica.Incarnation
}

// MayActFor reports whether this controller may act for a shard now: it holds the grant, the
// shard lease has not expired, and the view is fresh enough. The bound on staleness ensures
// that a renewed agent lease ends within the cancellation timeout even if the view does not
// show a cancellation yet.
func (l *Leases) MayActFor(shard int) bool {
	return l.Replica.Ready() && !l.Generation.Stopping() && l.Holds(shard) &&
		l.Generation.Now() < l.expiry[shard] && l.Replica.Staleness() < l.MaxStaleness
}

// Extend extends the lease of a shard to ShardLease after from. It never shortens the lease.
func (l *Leases) Extend(shard int, from time.Duration) {
	l.expiry[shard] = max(l.expiry[shard], from+l.ShardLease)
}

// ObserveGrants starts the shard leases of grants that are new in the view.
func (l *Leases) ObserveGrants() {
	for shard := range l.expiry {
		switch {
		case !l.Holds(shard):
			l.grantSeenAt[shard] = 0
		case l.grantSeenAt[shard] == 0:
			l.grantSeenAt[shard] = l.Generation.Now()
			// The leader wrote the grant no earlier than this controller sent the read that
			// returned the grant.
			l.Extend(shard, l.Replica.FreshAt())
		}
	}
}

// RecordAgentContact records that this controller has heard from an agent of a shard. The shard
// may be held by another controller.
func (l *Leases) RecordAgentContact(shard int) { l.agentContactAt[shard] = l.Generation.Now() }

// AgentContactTimes returns, by shard, when this controller last heard from an agent of the
// shard; 0: never.
func (l *Leases) AgentContactTimes() []time.Duration { return l.agentContactAt }
