// Package sharding assigns shards, sets of machines, to controllers. The record of a
// grant, on whose version every write of the holder depends, makes an assignment
// exclusive; the shard lease, which heartbeats renew, says how long a holder may act
// without a word of the leader. Leases is the holder's side, Assigner the leader's.
package sharding

import (
	"time"

	"rockrun/internal/coordination/loop"
	"rockrun/internal/coordination/replica"
)

// LeasesConfig is all that Leases are made of.
type LeasesConfig struct {
	Generation *loop.Generation
	Replica    *replica.Replica
	// ShardLease is how long a holder may act without a word of the leader.
	ShardLease time.Duration
	// MaxStaleness is how old a holder's knowledge of cancellations may be while it
	// renews agents' leases.
	MaxStaleness time.Duration
}

// Leases are the shard leases of this controller.
type Leases struct {
	LeasesConfig
	expiry      []time.Duration // by shard
	grantSeenAt []time.Duration // by shard: when the grant in force was first seen; 0: not held
	heardAt     []time.Duration // by shard: when one of its agents was last heard here; 0: never
}

// NewLeases makes leases that have all expired.
func NewLeases(c LeasesConfig) *Leases {
	shards := len(c.Replica.View.Grants)
	return &Leases{
		LeasesConfig: c,
		expiry:       make([]time.Duration, shards),
		grantSeenAt:  make([]time.Duration, shards),
		heardAt:      make([]time.Duration, shards),
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

// MayActFor reports whether this controller may act for a shard now: the grant is its
// own, the shard lease runs, and its knowledge of cancellations is young enough that
// renewing an agent's lease cannot outlast the time for cancelling.
func (l *Leases) MayActFor(shard int) bool {
	return l.Replica.Ready() && !l.Generation.Stopping() && l.Holds(shard) &&
		l.Generation.Now() < l.expiry[shard] && l.Replica.Staleness() < l.MaxStaleness
}

// Extend extends the lease of a shard, counted from a time.
func (l *Leases) Extend(shard int, from time.Duration) {
	l.expiry[shard] = max(l.expiry[shard], from+l.ShardLease)
}

// ObserveGrants begins the leases of grants that are new in the view.
func (l *Leases) ObserveGrants() {
	for shard := range l.expiry {
		switch {
		case !l.Holds(shard):
			l.grantSeenAt[shard] = 0
		case l.grantSeenAt[shard] == 0:
			l.grantSeenAt[shard] = l.Generation.Now()
			// The leader made the grant no earlier than the request that brought it.
			l.Extend(shard, l.Replica.FreshAt())
		}
	}
}

// NoteAgentHeard takes in that an agent of a shard was heard here, whoever holds it.
func (l *Leases) NoteAgentHeard(shard int) { l.heardAt[shard] = l.Generation.Now() }

// HeardAt is, by shard, when one of its agents was last heard here; 0: never.
func (l *Leases) HeardAt() []time.Duration { return l.heardAt }
