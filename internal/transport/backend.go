package transport

import (
	"time"

	"rockrun/internal/protocol"
)

// maxCommandsInFlight limits the concurrent commands to agents. If half of the agent sockets
// is less, that is the limit.
const maxCommandsInFlight = 128

// BackendConfig holds the dependencies of a Backend.
type BackendConfig struct {
	Loop        *Loop
	Sockets     Sockets // limits the concurrent calls
	Metrics     *Metrics
	KVClient    *protocol.KVClient
	CloudClient *protocol.CloudClient
	AgentClient *protocol.AgentClient
}

// Backend wraps the blocking clients in asynchronous calls that return at once and deliver
// their results on the loop. Each field implements an interface that a component of the
// controller defines.
type Backend struct {
	KVStore *AsyncKVStore
	Cloud   *AsyncCloud
	Agents  *AsyncAgents
}

// NewBackend returns a Backend with one call pool per service.
func NewBackend(config BackendConfig) *Backend {
	commands := min(config.Sockets.Agents/2, maxCommandsInFlight)
	return &Backend{
		KVStore: &AsyncKVStore{client: config.KVClient, pool: newCallPool(config.Loop, config.Sockets.KVStore), metrics: config.Metrics},
		Cloud:   &AsyncCloud{client: config.CloudClient, pool: newCallPool(config.Loop, config.Sockets.Cloud)},
		Agents:  &AsyncAgents{client: config.AgentClient, pool: newCallPool(config.Loop, commands), metrics: config.Metrics},
	}
}

// AsyncKVStore implements kv.Store with asynchronous calls to the key-value store.
type AsyncKVStore struct {
	client  *protocol.KVClient
	pool    callPool
	metrics *Metrics
}

// Get implements kv.Store.
func (s *AsyncKVStore) Get(key string, done func(protocol.KeyValue, bool, error)) {
	type lookup struct {
		item  protocol.KeyValue
		found bool
	}
	startCall(s.pool, func() (lookup, error) {
		item, found, err := s.client.Get(key)
		return lookup{item, found}, err
	}, func(l lookup, err error) { done(l.item, l.found, err) })
}

// List implements kv.Store.
func (s *AsyncKVStore) List(prefix, after string, done func(protocol.KeyValuePage, error)) {
	startCall(s.pool, func() (protocol.KeyValuePage, error) { return s.client.List(prefix, after) }, done)
}

// Commit implements kv.Store.
func (s *AsyncKVStore) Commit(transaction protocol.Transaction, done func(uint64, error)) {
	startCall(s.pool, func() (uint64, error) {
		revision, err := s.client.Commit(transaction)
		s.metrics.transactions.WithLabelValues(resultLabel(err)).Inc()
		return revision, err
	}, done)
}

// OpenLease implements kv.Store.
func (s *AsyncKVStore) OpenLease(ttl time.Duration, done func(uint64, error)) {
	startCall(s.pool, func() (uint64, error) { return s.client.OpenLease(ttl) }, done)
}

// RenewLease implements kv.Store.
func (s *AsyncKVStore) RenewLease(lease uint64, done func(error)) {
	startCallWithoutResult(s.pool, func() error { return s.client.RenewLease(lease) }, done)
}

// RevokeLease implements kv.Store.
func (s *AsyncKVStore) RevokeLease(lease uint64, done func(error)) {
	startCallWithoutResult(s.pool, func() error { return s.client.RevokeLease(lease) }, done)
}

// Watch implements kv.Store.
func (s *AsyncKVStore) Watch(prefix string, after uint64, wait time.Duration, done func(protocol.Changes, error)) {
	startCall(s.pool, func() (protocol.Changes, error) {
		changes, err := s.client.Watch(prefix, after, wait)
		s.metrics.changes.Add(float64(len(changes.Events)))
		return changes, err
	}, done)
}

// AsyncCloud implements provisioning.Cloud with asynchronous calls to the cloud.
type AsyncCloud struct {
	client *protocol.CloudClient
	pool   callPool
}

// MachineTypes implements provisioning.Cloud.
func (c *AsyncCloud) MachineTypes(done func(protocol.MachineTypeCatalogue, error)) {
	startCall(c.pool, c.client.MachineTypes, done)
}

// CreateMachines implements provisioning.Cloud.
func (c *AsyncCloud) CreateMachines(request protocol.CreateMachinesRequest, done func([]string, error)) {
	startCall(c.pool, func() ([]string, error) { return c.client.CreateMachines(request) }, done)
}

// DeleteMachines implements provisioning.Cloud.
func (c *AsyncCloud) DeleteMachines(names []string, done func(error)) {
	startCallWithoutResult(c.pool, func() error { return c.client.DeleteMachines(names) }, done)
}

// ListMachines implements provisioning.Cloud.
func (c *AsyncCloud) ListMachines(done func([]protocol.CloudMachine, error)) {
	startCall(c.pool, c.client.ListMachines, done)
}

// AsyncAgents implements reconcile.Agents with asynchronous calls to the agents.
type AsyncAgents struct {
	client  *protocol.AgentClient
	pool    callPool
	metrics *Metrics
}

// Execute implements reconcile.Agents.
func (a *AsyncAgents) Execute(addr string, request protocol.CommandRequest, done func(*protocol.AgentHeartbeat, bool, error)) {
	type outcome struct {
		heartbeat *protocol.AgentHeartbeat
		executed  bool
	}
	startCall(a.pool, func() (outcome, error) {
		heartbeat, executed, err := a.client.Execute(addr, request)
		a.metrics.commands.WithLabelValues(resultLabel(err)).Inc()
		return outcome{heartbeat, executed}, err
	}, func(o outcome, err error) { done(o.heartbeat, o.executed, err) })
}
