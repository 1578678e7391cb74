// Package membership tracks which controllers are alive and healthy. Every controller sends
// heartbeats to the leader, which records them in a Registry. A controller that cannot reach
// the leader writes a liveness record to the key-value store instead.
package membership

import (
	"log/slog"
	"time"

	"rockrun/internal/config"
	"rockrun/internal/coordination/loop"
	"rockrun/internal/coordination/replica"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

const (
	// HeartbeatInterval is the interval between a controller's heartbeats to the leader.
	HeartbeatInterval = 500 * time.Millisecond
	// PeerTimeout is the time after the last contact at which a controller no longer counts as
	// alive.
	PeerTimeout = 3 * time.Second
	// AgentAnswerTimeout is how long an agent waits for the response to its heartbeat.
	AgentAnswerTimeout = 4 * time.Second
)

// Leadership is the leadership under which a Registry acts.
type Leadership interface {
	// Term returns the leader's term.
	Term() uint64
	// MayAnswer reports whether this controller may still answer peers as the leader.
	MayAnswer() bool
	// LeaseExpiry returns when the leader's lease in the store may expire unless it is renewed
	// before. From then on another controller may be elected.
	LeaseExpiry() time.Duration
	// StoreContactSince returns when the leader's current uninterrupted contact with the store
	// began.
	StoreContactSince() time.Duration
}

// RegistryConfig holds the dependencies and settings of a Registry.
type RegistryConfig struct {
	Generation  *loop.Generation
	Replica     *replica.Replica
	Leadership  Leadership
	Controllers []string // the names of all controllers
	Agents      config.Agents
	// ShardLease is how long a holder may act for a shard without contact to the leader.
	ShardLease time.Duration
	Log        *slog.Logger
	// OnUnrecordedAgent is called with the heartbeat of an agent whose machine no record names.
	OnUnrecordedAgent func(*protocol.AgentHeartbeat)
}

// Registry is the leader's state of all controllers. Every new leader builds it from their
// heartbeats.
type Registry struct {
	RegistryConfig
	peers map[string]*Peer
	// lastSeenStatus holds, by machine, the last status from a holder that had received a
	// heartbeat from the machine's agent.
	lastSeenStatus map[string]protocol.MachineStatus
	// appliedLiveness holds, by controller, the version of the last liveness record applied.
	appliedLiveness map[string]uint64
	unconfirmed     bool // heartbeats are not answered as the leader: see mayConfirm
}

// NewRegistry creates a registry without peers. It ignores liveness records that exist already,
// because their age is unknown.
func NewRegistry(c RegistryConfig) *Registry {
	registry := &Registry{
		RegistryConfig:  c,
		peers:           map[string]*Peer{},
		lastSeenStatus:  map[string]protocol.MachineStatus{},
		appliedLiveness: map[string]uint64{},
	}
	for controller, liveness := range c.Replica.View.Liveness {
		registry.appliedLiveness[controller] = liveness.Version
	}
	return registry
}

// Peer returns the state of a controller, or nil if the leader has not heard from it.
func (r *Registry) Peer(controller string) *Peer { return r.peers[controller] }

// peerOrNew returns the state of a controller and creates it if necessary.
func (r *Registry) peerOrNew(controller string) *Peer {
	p := r.peers[controller]
	if p == nil {
		p = &Peer{}
		r.peers[controller] = p
	}
	return p
}

// OnHeartbeat records a controller's heartbeat and confirms the controller's grants.
func (r *Registry) OnHeartbeat(heartbeat *protocol.PeerHeartbeat) *protocol.PeerHeartbeatReply {
	if !r.Leadership.MayAnswer() {
		return &protocol.PeerHeartbeatReply{}
	}
	now := r.Generation.Now()
	peer := r.peerOrNew(heartbeat.Controller)
	if heartbeat.Incarnation < peer.Incarnation {
		return &protocol.PeerHeartbeatReply{} // a delayed heartbeat from an earlier incarnation
	}
	peer.applyHeartbeat(heartbeat, now, r.MaxStaleness())
	peer.machines = r.recordMachineStatuses(heartbeat.Machines)
	for i := range heartbeat.UnrecordedAgents {
		r.OnUnrecordedAgent(&heartbeat.UnrecordedAgents[i])
	}
	if !r.observeMayConfirm() {
		return &protocol.PeerHeartbeatReply{}
	}
	reply := &protocol.PeerHeartbeatReply{
		Leader: true, Term: r.Leadership.Term(), SentAt: heartbeat.SentAt, HealthyPeers: r.countHealthyExcept(heartbeat.Controller),
	}
	if r.PartitionedFromStore(peer) {
		return reply // confirms no grants, so the controller's shard leases expire
	}
	peer.ConfirmedAt = now
	for shard := range r.Replica.View.Grants {
		grant := &r.Replica.View.Grants[shard]
		if grant.Controller == heartbeat.Controller && grant.Incarnation == heartbeat.Incarnation {
			reply.Shards = append(reply.Shards, shard)
		}
	}
	return reply
}

// observeMayConfirm returns mayConfirm and logs each change of it.
func (r *Registry) observeMayConfirm() bool {
	may := r.mayConfirm()
	if may == r.unconfirmed {
		r.unconfirmed = !may
		r.Log.Info("grant confirmation changed", "term", r.Leadership.Term(), "confirms", may,
			"reachable", r.countReachable(), "lease_expired", r.Generation.Now()-r.Leadership.LeaseExpiry())
	}
	return may
}

// mayConfirm reports whether the leader may confirm grants, its own included. Once its lease may
// have expired, another controller may have been elected and may have granted the same shards. The
// leader cannot distinguish an outage of the store, in which nobody is elected, from a partition
// of its own. It takes it for an outage only if most controllers reach it and none of them has
// had contact with the store since.
func (r *Registry) mayConfirm() bool {
	expiry := r.Leadership.LeaseExpiry()
	if r.Generation.Now() < expiry {
		return true
	}
	for controller, peer := range r.peers {
		if r.isReachable(controller, peer) && peer.HeartbeatAt-peer.Staleness > expiry {
			return false
		}
	}
	return 2*r.countReachable() > len(r.Controllers)
}

// isReachable reports whether another controller's heartbeats reach the leader.
func (r *Registry) isReachable(controller string, peer *Peer) bool {
	return controller != r.Replica.Controller && r.Generation.Now()-peer.HeartbeatAt < PeerTimeout
}

// countReachable counts the controllers whose heartbeats reach the leader, and the leader itself.
func (r *Registry) countReachable() int {
	count := 1
	for controller, peer := range r.peers {
		if r.isReachable(controller, peer) {
			count++
		}
	}
	return count
}

// MaxStaleness returns the maximum staleness at which a controller acts on its view.
func (r *Registry) MaxStaleness() time.Duration { return r.Agents.MaxStaleness() }

// recordMachineStatuses records the machine statuses in a holder's heartbeat and returns them by
// machine.
func (r *Registry) recordMachineStatuses(list []protocol.MachineStatus) map[string]protocol.MachineStatus {
	statuses := make(map[string]protocol.MachineStatus, len(list))
	for _, m := range list {
		if m.Seen {
			r.lastSeenStatus[m.Name] = m
		} else if last, ok := r.lastSeenStatus[m.Name]; ok && last.Silent > r.HeartbeatTolerance() {
			// The machine was silent before its holder changed and is still silent. Adding
			// the earlier silence keeps the change from restarting the timeout.
			m.Silent += last.Silent
		}
		statuses[m.Name] = m
	}
	return statuses
}

// ApplyLiveness applies the liveness records that are new in the view.
func (r *Registry) ApplyLiveness() {
	now := r.Generation.Now()
	for controller, liveness := range r.Replica.View.Liveness {
		if liveness.Version <= r.appliedLiveness[controller] {
			continue
		}
		r.appliedLiveness[controller] = liveness.Version
		p := r.peers[controller]
		if p == nil {
			p = &Peer{Incarnation: liveness.Incarnation}
			r.peers[controller] = p
		}
		if liveness.Incarnation >= p.Incarnation && !p.Leaving {
			p.Incarnation = liveness.Incarnation
			p.LastContactAt, p.ConfirmedAt = now, now
			p.Staleness, p.Fresh = 0, true
		}
	}
}

// countHealthyExcept counts the controllers, other than the given one, that users should
// prefer: they are alive, have a fresh view and do not hold the batch shard.
func (r *Registry) countHealthyExcept(except string) int {
	now := r.Generation.Now()
	count := 0
	for _, controller := range r.Controllers {
		p := r.peers[controller]
		holdsBatchShard := controller == r.Replica.View.Grants[storage.BatchShard].Controller
		if controller != except && !holdsBatchShard && p != nil && p.Fresh && p.Alive(now) {
			count++
		}
	}
	return count
}

// AllAlive reports whether every controller is alive.
func (r *Registry) AllAlive() bool {
	now := r.Generation.Now()
	for _, controller := range r.Controllers {
		if p := r.peers[controller]; p == nil || !p.Alive(now) {
			return false
		}
	}
	return true
}

// PartitionedFromStore reports whether a controller in contact with the leader has had no
// contact with the store for more than a shard lease, while the leader has had contact for
// longer than that. Such a controller can neither start anything nor observe changes, so its
// shards must move to other controllers.
func (r *Registry) PartitionedFromStore(p *Peer) bool {
	storeContactFor := r.Generation.Now() - r.Leadership.StoreContactSince()
	return p.Staleness > r.ShardLease && storeContactFor > r.ShardLease+2*HeartbeatInterval
}

// HasAgentContact reports whether a controller has recently received heartbeats from agents of a
// shard.
func (r *Registry) HasAgentContact(controller string, shard int) bool {
	p := r.peers[controller]
	if p == nil {
		return false
	}
	now := r.Generation.Now()
	contactAt := p.AgentContactAt(shard)
	return now-p.HeartbeatAt < PeerTimeout && contactAt > 0 && now-contactAt < PeerTimeout
}

// AgentsUp counts the machines of a shard whose agents have been up according to the holder or
// an earlier one. Statuses from earlier holders count because a holder that agents could never
// reach has heard from none of the agents that were up before its grant.
func (r *Registry) AgentsUp(p *Peer, shard int) int {
	count := 0
	for name, status := range p.machines {
		_, seenBefore := r.lastSeenStatus[name]
		_, m := r.Replica.View.Machines.Find(name)
		if m != nil && m.Shard == shard && (status.Seen || status.Tasks > 0 || seenBefore) {
			count++
		}
	}
	return count
}

// MachineStatus returns the latest status of a machine from its holder. known is false if the
// incarnation that holds the machine's shard has sent none.
func (r *Registry) MachineStatus(m *storage.Machine) (status protocol.MachineStatus, known bool) {
	grant := &r.Replica.View.Grants[m.Shard]
	p := r.peers[grant.Controller]
	if p == nil || p.Incarnation != grant.Incarnation {
		return protocol.MachineStatus{}, false
	}
	status, known = p.machines[m.Name]
	return status, known
}

// RemoveMachineStatus discards the last seen status of a machine.
func (r *Registry) RemoveMachineStatus(name string) { delete(r.lastSeenStatus, name) }

// HeartbeatTolerance returns the longest silence expected of a healthy, reachable agent, with a
// small margin. A longer silence of a single agent may be due to a lost heartbeat; that of most
// agents of a zone is not.
func (r *Registry) HeartbeatTolerance() time.Duration {
	return r.Agents.HeartbeatInterval()*5/4 + 2*time.Second
}
