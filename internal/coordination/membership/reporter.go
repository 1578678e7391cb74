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

// maxUnrecordedAgents limits the number of unrecorded agents in a heartbeat to the leader.
const maxUnrecordedAgents = 200

// Peers sends requests to other controllers. done is called later on the controller's
// goroutine.
type Peers interface {
	// SendRequest sends a request to one controller.
	SendRequest(controller string, r protocol.PeerRequest, done func(protocol.PeerAnswer, error))
}

// Leases provides the shard leases of this controller, which the leader's replies extend.
type Leases interface {
	// Holds reports whether the view grants a shard to this incarnation.
	Holds(shard int) bool
	// Extend extends the lease of a shard, counted from a time.
	Extend(shard int, from time.Duration)
	// AgentContactTimes returns, by shard, when this controller last heard from an agent of
	// the shard; 0: never.
	AgentContactTimes() []time.Duration
}

// Holdings provides the state of the shards that this controller holds.
type Holdings interface {
	// MachineStatuses returns the statuses of the machines in these shards.
	MachineStatuses() []protocol.MachineStatus
	// GrantsWithinQuota returns the fencing tokens of the grants whose job shards use no more
	// than the quota split allows.
	GrantsWithinQuota() []uint64
}

// ReporterConfig holds the dependencies and settings of a Reporter.
type ReporterConfig struct {
	Generation *loop.Generation
	Replica    *replica.Replica
	Committer  *kv.Committer
	Peers      Peers
	Leases     Leases
	Holdings   Holdings
	ShardLease time.Duration
	Log        *slog.Logger
	// HealthyPeers is the number of healthy peers in the leader's last reply to the previous
	// generation.
	HealthyPeers int
	// Registry returns the registry of this controller if it is the leader, else nil. A leader
	// passes its heartbeats to its own registry.
	Registry func() *Registry
}

// Reporter sends this controller's heartbeats to the leader and writes its liveness record.
type Reporter struct {
	ReporterConfig
	unrecorded       map[string]protocol.AgentHeartbeat // by machine, since the last heartbeat
	leaderAnsweredAt time.Duration                      // when the last accepted reply arrived
	healthyPeers     int                                // in that reply
	livenessWrite    loop.Call
}

// NewReporter creates a reporter. It treats the leader as having answered just now.
func NewReporter(c ReporterConfig) *Reporter {
	return &Reporter{
		ReporterConfig:   c,
		unrecorded:       map[string]protocol.AgentHeartbeat{},
		leaderAnsweredAt: c.Generation.Now(),
		healthyPeers:     c.HealthyPeers,
	}
}

// AddUnrecorded adds the heartbeat of an agent whose machine no record names to the next
// heartbeat to the leader.
func (r *Reporter) AddUnrecorded(h *protocol.AgentHeartbeat) {
	if len(r.unrecorded) < maxUnrecordedAgents {
		r.unrecorded[h.Machine] = *h
	}
}

// KnownHealthyPeers returns how many peers are healthy according to the leader's last reply, or
// 0 if that reply is older than PeerTimeout.
func (r *Reporter) KnownHealthyPeers() int {
	if r.Generation.Now()-r.leaderAnsweredAt >= PeerTimeout {
		return 0
	}
	return r.healthyPeers
}

// LastHealthyPeers returns how many peers are healthy according to the leader's last reply,
// whatever its age.
func (r *Reporter) LastHealthyPeers() int { return r.healthyPeers }

// SendHeartbeat sends a heartbeat to the leader.
func (r *Reporter) SendHeartbeat() {
	view := r.Replica.View
	if !r.Replica.Ready() || view.LeaderVersion == 0 {
		return
	}
	heartbeat := r.heartbeat()
	clear(r.unrecorded)
	if registry := r.Registry(); registry != nil {
		r.OnReply(registry.OnHeartbeat(heartbeat))
		return
	}
	r.Peers.SendRequest(view.Leader.Controller, protocol.PeerRequest{Heartbeat: heartbeat}, func(answer protocol.PeerAnswer, err error) {
		if err == nil && answer.Reply != nil && !r.Generation.Ended() {
			r.OnReply(answer.Reply)
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
	for _, contactAt := range r.Leases.AgentContactTimes() {
		ago := time.Duration(-1) // never
		if contactAt > 0 {
			ago = now - contactAt
		}
		heartbeat.ShardHeartbeatAges = append(heartbeat.ShardHeartbeatAges, ago)
	}
	for _, machine := range slices.Sorted(maps.Keys(r.unrecorded)) {
		heartbeat.UnrecordedAgents = append(heartbeat.UnrecordedAgents, r.unrecorded[machine])
	}
	return heartbeat
}

// OnReply extends the shard leases of the grants that the leader has confirmed, counted from
// when the heartbeat was sent. It ignores replies from controllers that do not lead and from
// earlier terms.
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

// WriteLiveness writes this controller's liveness record while the leader does not answer its
// heartbeats. If controllers cannot reach each other but all reach the store, job shards then
// stay with their holders instead of all moving to the leader. The preconditions of the write
// are the grants of the job shards held, so its success extends their leases as a reply would.
// The leader counts the leases from when it observes the record.
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
			r.Log.Debug("liveness record write failed", "err", err)
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

// livenessTransaction returns the transaction that writes this controller's liveness record, and
// the shards whose leases it extends: the job shards held whose grants are among its
// preconditions. A transaction has room for a limited number of these.
func (r *Reporter) livenessTransaction() (t protocol.Transaction, shards []int) {
	view := r.Replica.View
	key := storage.LivenessKey(r.Replica.Controller)
	record := storage.LivenessRecord{Incarnation: r.Replica.Incarnation}
	t = protocol.Transaction{
		Preconditions: []protocol.Precondition{{Key: key, Version: view.Liveness[r.Replica.Controller].Version}},
		Operations:    []protocol.Operation{{Put: key, Value: storage.Encode(record)}},
	}
	for shard := range view.JobShards {
		if r.Leases.Holds(shard) && len(t.Preconditions) < r.Committer.Limits().Preconditions {
			shards = append(shards, shard)
			t.Preconditions = append(t.Preconditions, view.GrantPrecondition(shard))
		}
	}
	return t, shards
}
