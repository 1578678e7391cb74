// Package membership tells which controllers are alive and well. Every controller sends
// the leader heartbeats; the leader's Registry keeps what they say. Where the leader
// cannot be reached, a liveness record in the key-value store takes the heartbeat's place.
package membership

import (
	"time"

	"rockrun/internal/config"
	"rockrun/internal/coordination/loop"
	"rockrun/internal/coordination/replica"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

const (
	// HeartbeatInterval is the time between two heartbeats of a controller.
	HeartbeatInterval = 500 * time.Millisecond
	// PeerTimeout is how old a heartbeat may be while its controller counts as alive.
	PeerTimeout = 3 * time.Second
	// AgentAnswerTimeout is how long an agent waits for the answer to its heartbeat.
	AgentAnswerTimeout = 4 * time.Second
)

// Leadership is what a Registry needs to know of the leader whose it is.
type Leadership interface {
	// Term is the term of the leadership.
	Term() uint64
	// MayAnswer reports whether the leader may still speak as one.
	MayAnswer() bool
	// StoreHeardSince is since when the leader has heard from the store without a gap.
	StoreHeardSince() time.Duration
}

// RegistryConfig is all that a Registry is made of.
type RegistryConfig struct {
	Generation  *loop.Generation
	Replica     *replica.Replica
	Leadership  Leadership
	Controllers []string // all controllers, by name
	Agents      config.Agents
	// ShardLease is how long a holder may act without a word of the leader.
	ShardLease time.Duration
	// OnUnrecordedAgent is called with a heartbeat of an agent that no record names.
	OnUnrecordedAgent func(*protocol.AgentHeartbeat)
}

// Registry is what a leader knows of the controllers. Every leader builds it anew from
// their heartbeats.
type Registry struct {
	RegistryConfig
	peers map[string]*Peer
	// confirmed is, by machine, what a holder that had heard its agent said last.
	confirmed map[string]protocol.MachineStatus
	// appliedLiveness are the versions of the liveness records taken in.
	appliedLiveness map[string]uint64
}

// NewRegistry makes a registry that has heard nobody. How old the liveness records are
// that are there already is not known, so they count for nothing.
func NewRegistry(c RegistryConfig) *Registry {
	registry := &Registry{
		RegistryConfig:  c,
		peers:           map[string]*Peer{},
		confirmed:       map[string]protocol.MachineStatus{},
		appliedLiveness: map[string]uint64{},
	}
	for controller, liveness := range c.Replica.View.Liveness {
		registry.appliedLiveness[controller] = liveness.Version
	}
	return registry
}

// Peer returns what is known of a controller, or nil where it has not been heard.
func (r *Registry) Peer(controller string) *Peer { return r.peers[controller] }

// peerOrNew returns what is known of a controller, if only that it exists.
func (r *Registry) peerOrNew(controller string) *Peer {
	p := r.peers[controller]
	if p == nil {
		p = &Peer{}
		r.peers[controller] = p
	}
	return p
}

// OnHeartbeat takes in a controller's heartbeat and confirms what it holds.
func (r *Registry) OnHeartbeat(heartbeat *protocol.PeerHeartbeat) *protocol.PeerHeartbeatReply {
	if !r.Leadership.MayAnswer() {
		return &protocol.PeerHeartbeatReply{}
	}
	now := r.Generation.Now()
	peer := r.peerOrNew(heartbeat.Controller)
	if heartbeat.Incarnation < peer.Incarnation {
		return &protocol.PeerHeartbeatReply{} // a late copy from an incarnation that has ended
	}
	peer.takeIn(heartbeat, now, r.MaxStaleness())
	peer.machines = r.machineStatuses(heartbeat.Machines)
	for i := range heartbeat.UnrecordedAgents {
		r.OnUnrecordedAgent(&heartbeat.UnrecordedAgents[i])
	}
	reply := &protocol.PeerHeartbeatReply{
		Leader: true, Term: r.Leadership.Term(), SentAt: heartbeat.SentAt, HealthyPeers: r.healthyBesides(heartbeat.Controller),
	}
	if r.PartitionedFromStore(peer) {
		return reply // its shard leases run out
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

// MaxStaleness is how old a controller's knowledge may be while it acts on it.
func (r *Registry) MaxStaleness() time.Duration { return r.Agents.MaxStaleness() }

// machineStatuses takes in what a holder says of its machines.
func (r *Registry) machineStatuses(list []protocol.MachineStatus) map[string]protocol.MachineStatus {
	statuses := make(map[string]protocol.MachineStatus, len(list))
	for _, m := range list {
		if m.Seen {
			r.confirmed[m.Name] = m
		} else if last, ok := r.confirmed[m.Name]; ok && last.Silent > r.HeartbeatTolerance() {
			// It was silent before its holder changed, and goes on being so: the new
			// holder must not begin to wait anew.
			m.Silent += last.Silent
		}
		statuses[m.Name] = m
	}
	return statuses
}

// ApplyLiveness takes in liveness records that are new in the view.
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
			p.HeardAt, p.ConfirmedAt = now, now
			p.Staleness, p.Fresh = 0, true
		}
	}
}

// healthyBesides counts the controllers other than the one given to which users had
// better go: alive, with fresh knowledge, and not holding the batch shard.
func (r *Registry) healthyBesides(except string) int {
	now := r.Generation.Now()
	count := 0
	for _, controller := range r.Controllers {
		p := r.peers[controller]
		busy := controller == r.Replica.View.Grants[storage.BatchShard].Controller
		if controller != except && !busy && p != nil && p.Fresh && p.Alive(now) {
			count++
		}
	}
	return count
}

// AllAlive reports whether every controller has been heard lately.
func (r *Registry) AllAlive() bool {
	now := r.Generation.Now()
	for _, controller := range r.Controllers {
		if p := r.peers[controller]; p == nil || !p.Alive(now) {
			return false
		}
	}
	return true
}

// PartitionedFromStore reports whether a controller can be heard but has not heard from
// the store for long, while the leader has: refused alone, it can neither start anything
// nor learn of it, and others must take over what it holds.
func (r *Registry) PartitionedFromStore(p *Peer) bool {
	storeHeardFor := r.Generation.Now() - r.Leadership.StoreHeardSince()
	return p.Staleness > r.ShardLease && storeHeardFor > r.ShardLease+2*HeartbeatInterval
}

// HearsAgents reports whether agents of a shard have lately sent their heartbeats to a
// controller.
func (r *Registry) HearsAgents(controller string, shard int) bool {
	p := r.peers[controller]
	if p == nil {
		return false
	}
	now := r.Generation.Now()
	heardAt := p.ShardHeardAt(shard)
	return now-p.HeartbeatAt < PeerTimeout && heardAt > 0 && now-heardAt < PeerTimeout
}

// AgentsUp counts the machines of a shard whose agents were up by the word of a holder,
// this one or an earlier one: a holder that could never be reached has heard none of
// those that were up before it was granted them.
func (r *Registry) AgentsUp(p *Peer, shard int) int {
	count := 0
	for name, status := range p.machines {
		_, heardBefore := r.confirmed[name]
		_, m := r.Replica.View.Machines.Find(name)
		if m != nil && m.Shard == shard && (status.Seen || status.Tasks > 0 || heardBefore) {
			count++
		}
	}
	return count
}

// MachineStatus returns what the holder of a machine last said of it.
func (r *Registry) MachineStatus(m *storage.Machine) (status protocol.MachineStatus, known bool) {
	grant := &r.Replica.View.Grants[m.Shard]
	p := r.peers[grant.Controller]
	if p == nil || p.Incarnation != grant.Incarnation {
		return protocol.MachineStatus{}, false
	}
	status, known = p.machines[m.Name]
	return status, known
}

// ForgetMachine forgets what holders have said of a machine.
func (r *Registry) ForgetMachine(name string) { delete(r.confirmed, name) }

// HeartbeatTolerance is how long an agent that is well and can be heard is silent at
// most, and a little more. One that is silent for longer may have had a heartbeat lost;
// most of a zone's have not.
func (r *Registry) HeartbeatTolerance() time.Duration {
	return r.Agents.HeartbeatInterval()*5/4 + 2*time.Second
}
