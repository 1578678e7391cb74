package membership

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"rockrun/internal/coordination/kv"
	"rockrun/internal/coordination/loop"
	"rockrun/internal/coordination/replica"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// maxUnrecorded bounds the agents that a heartbeat names and no record does.
const maxUnrecorded = 200

// Peers carries messages to other controllers. done is called later on the controller's
// goroutine.
type Peers interface {
	// SendRequest sends a request to one controller.
	SendRequest(controller string, r protocol.PeerRequest, done func(protocol.PeerAnswer, error))
}

// Leases are the shard leases that a reply of the leader extends.
type Leases interface {
	// Holds reports whether the view grants a shard to this incarnation.
	Holds(shard int) bool
	// Extend extends the lease of a shard, counted from a time.
	Extend(shard int, from time.Duration)
	// HeardAt is, by shard, when one of its agents was last heard here; 0: never.
	HeardAt() []time.Duration
}

// Holdings is what a controller says of the shards that it holds.
type Holdings interface {
	// MachineStatuses are its machines and what is on them.
	MachineStatuses() []protocol.MachineStatus
	// GrantsWithinQuota are the fencing tokens of the grants under which nothing takes more
	// than the quota split allows.
	GrantsWithinQuota() []uint64
}

// ReporterConfig is all that a Reporter is made of.
type ReporterConfig struct {
	Generation *loop.Generation
	Replica    *replica.Replica
	Committer  *kv.Committer
	Peers      Peers
	Leases     Leases
	Holdings   Holdings
	ShardLease time.Duration
	Log        *slog.Logger
	// HealthyPeers is what the leader last said in the former generation.
	HealthyPeers int
	// Registry returns the registry of this controller while it is the leader, or nil:
	// the leader sends its heartbeats to itself.
	Registry func() *Registry
}

// Reporter tells the leader about this controller.
type Reporter struct {
	ReporterConfig
	unrecorded       map[string]protocol.AgentHeartbeat // since the last heartbeat, by machine
	leaderAnsweredAt time.Duration                      // when the leader's last answer that counts came
	healthyPeers     int                                // what it said of the others then
	livenessWrite    loop.Call
}

// NewReporter makes a reporter. The leader counts as heard just now.
func NewReporter(c ReporterConfig) *Reporter {
	return &Reporter{
		ReporterConfig:   c,
		unrecorded:       map[string]protocol.AgentHeartbeat{},
		leaderAnsweredAt: c.Generation.Now(),
		healthyPeers:     c.HealthyPeers,
	}
}

// AddUnrecorded takes up the heartbeat of an agent that no record names, for the leader.
func (r *Reporter) AddUnrecorded(h *protocol.AgentHeartbeat) {
	if len(r.unrecorded) < maxUnrecorded {
		r.unrecorded[h.Machine] = *h
	}
}

// KnownHealthyPeers is how many other controllers the leader has lately said to be well;
// 0 where it has not been heard for a while.
func (r *Reporter) KnownHealthyPeers() int {
	if r.Generation.Now()-r.leaderAnsweredAt >= PeerTimeout {
		return 0
	}
	return r.healthyPeers
}

// LastHealthyPeers is what the leader last said, however long ago.
func (r *Reporter) LastHealthyPeers() int { return r.healthyPeers }

// SendHeartbeat tells the leader about this controller.
func (r *Reporter) SendHeartbeat() {
	view := r.Replica.View
	if !r.Replica.Ready() || view.LeaderVersion == 0 {
		return
	}
	h := r.heartbeat()
	clear(r.unrecorded)
	if registry := r.Registry(); registry != nil {
		r.OnReply(registry.OnHeartbeat(h))
		return
	}
	r.Peers.SendRequest(view.Leader.Controller, protocol.PeerRequest{Heartbeat: h}, func(a protocol.PeerAnswer, err error) {
		if err == nil && a.Reply != nil && !r.Generation.Ended() {
			r.OnReply(a.Reply)
		}
	})
}

func (r *Reporter) heartbeat() *protocol.PeerHeartbeat {
	now := r.Generation.Now()
	heartbeat := &protocol.PeerHeartbeat{
		Controller:        r.Replica.Controller,
		Incarnation:       r.Replica.Incarnation,
		SentAt:            now,
		Term:              r.Replica.View.Leader.Term,
		StoreStaleness:    r.Replica.Staleness(),
		Leaving:           r.Generation.Stopping(),
		Machines:          r.Holdings.MachineStatuses(),
		QuotaSplitVersion: r.Replica.View.QuotaSplitVersion,
		GrantsWithinQuota: r.Holdings.GrantsWithinQuota(),
	}
	for _, heardAt := range r.Leases.HeardAt() {
		ago := time.Duration(-1) // never
		if heardAt > 0 {
			ago = now - heardAt
		}
		heartbeat.ShardHeardAgo = append(heartbeat.ShardHeardAgo, ago)
	}
	for _, machine := range slices.Sorted(maps.Keys(r.unrecorded)) {
		heartbeat.UnrecordedAgents = append(heartbeat.UnrecordedAgents, r.unrecorded[machine])
	}
	return heartbeat
}

// OnReply extends the shard leases that the leader has confirmed, counted from when the
// heartbeat was sent.
func (r *Reporter) OnReply(reply *protocol.PeerHeartbeatReply) {
	if !reply.Leader || reply.Term < r.Replica.View.Leader.Term {
		return
	}
	for _, shard := range reply.Shards {
		if r.Leases.Holds(shard) {
			r.Leases.Extend(shard, reply.SentAt)
		}
	}
	r.leaderAnsweredAt = r.Generation.Now()
	r.healthyPeers = reply.HealthyPeers
}

// WriteLiveness shows in the records that this controller is alive while the leader does
// not answer it: where controllers cannot reach each other, but all reach the store, job
// shards stay where they are instead of gathering at the leader. The write depends on the
// grants of the job shards held, so its success extends their leases as a reply would;
// the leader counts from when it sees the record.
func (r *Reporter) WriteLiveness() {
	now := r.Generation.Now()
	interval := r.ShardLease / 2
	answered := now-r.leaderAnsweredAt < interval
	leading := r.Registry() != nil
	if leading || r.Replica.View.LeaderVersion == 0 || answered || now < r.livenessWrite.NotBefore() {
		return
	}
	transaction, shards := r.livenessTransaction()
	if len(shards) == 0 {
		return
	}
	r.livenessWrite.DelayUntil(now + interval)
	r.Committer.Budget.ForceConsume(now, 1)
	r.Committer.Commit(transaction, func(_ uint64, err error) {
		if r.Generation.Ended() {
			return
		}
		if err != nil {
			r.Log.Debug("liveness record not written", "err", err)
			r.livenessWrite.DelayUntil(r.Generation.Now() + r.Generation.Jitter(kv.RetryDelay))
			return
		}
		for _, shard := range shards {
			if r.Leases.Holds(shard) {
				r.Leases.Extend(shard, now)
			}
		}
	})
}

// livenessTransaction writes this controller's liveness record. It depends on the grants
// of the job shards held, as far as a transaction has room for conditions.
func (r *Reporter) livenessTransaction() (t protocol.Transaction, shards []int) {
	view := r.Replica.View
	key := storage.LivenessKey(r.Replica.Controller)
	record := storage.LivenessRecord{Incarnation: r.Replica.Incarnation}
	t = protocol.Transaction{
		Conditions: []protocol.Condition{{Key: key, Version: view.Liveness[r.Replica.Controller].Version}},
		Operations: []protocol.Operation{{Put: key, Value: storage.Encode(record)}},
	}
	for shard := range view.JobShards {
		if r.Leases.Holds(shard) && len(t.Conditions) < r.Committer.Limits().Conditions {
			shards = append(shards, shard)
			t.Conditions = append(t.Conditions, view.GrantCondition(shard))
		}
	}
	return t, shards
}
