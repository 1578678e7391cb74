package transport

import (
	"time"

	"rockrun/internal/protocol"
)

// maxCommandsInFlight bounds the commands under way to agents, beside half of their sockets.
const maxCommandsInFlight = 128

// BackendConfig is what a Backend is made of.
type BackendConfig struct {
	Loop        *Loop
	Sockets     Sockets // bounds the calls under way
	Metrics     *Metrics
	KVClient    *protocol.KVClient
	CloudClient *protocol.CloudClient
	AgentClient *protocol.AgentClient
}

// Backend turns the blocking clients into calls that return at once and come back on the
// loop, in the forms that the components of a controller ask for.
type Backend struct {
	KVStore *KVStoreCalls
	Cloud   *CloudCalls
	Agents  *AgentCalls
}

// NewBackend makes the calls.
func NewBackend(c BackendConfig) *Backend {
	commands := min(c.Sockets.Agents/2, maxCommandsInFlight)
	return &Backend{
		KVStore: &KVStoreCalls{client: c.KVClient, pool: newCallPool(c.Loop, c.Sockets.KVStore), metrics: c.Metrics},
		Cloud:   &CloudCalls{client: c.CloudClient, pool: newCallPool(c.Loop, c.Sockets.Cloud)},
		Agents:  &AgentCalls{client: c.AgentClient, pool: newCallPool(c.Loop, commands), metrics: c.Metrics},
	}
}

// KVStoreCalls is the key-value store as kv.Store.
type KVStoreCalls struct {
	client  *protocol.KVClient
	pool    callPool
	metrics *Metrics
}

// Get implements kv.Store.
func (s *KVStoreCalls) Get(key string, done func(protocol.KeyValue, bool, error)) {
	type lookup struct {
		item  protocol.KeyValue
		found bool
	}
	start(s.pool, func() (lookup, error) {
		item, found, err := s.client.Get(key)
		return lookup{item, found}, err
	}, func(l lookup, err error) { done(l.item, l.found, err) })
}

// List implements kv.Store.
func (s *KVStoreCalls) List(prefix, after string, done func(protocol.KeyValuePage, error)) {
	start(s.pool, func() (protocol.KeyValuePage, error) { return s.client.List(prefix, after) }, done)
}

// Commit implements kv.Store.
func (s *KVStoreCalls) Commit(transaction protocol.Transaction, done func(uint64, error)) {
	start(s.pool, func() (uint64, error) {
		revision, err := s.client.Commit(transaction)
		s.metrics.transactions.WithLabelValues(resultLabel(err)).Inc()
		return revision, err
	}, done)
}

// OpenLease implements kv.Store.
func (s *KVStoreCalls) OpenLease(timeToLive time.Duration, done func(uint64, error)) {
	start(s.pool, func() (uint64, error) { return s.client.OpenLease(timeToLive) }, done)
}

// RenewLease implements kv.Store.
func (s *KVStoreCalls) RenewLease(lease uint64, done func(error)) {
	startWithout(s.pool, func() error { return s.client.RenewLease(lease) }, done)
}

// RevokeLease implements kv.Store.
func (s *KVStoreCalls) RevokeLease(lease uint64, done func(error)) {
	startWithout(s.pool, func() error { return s.client.RevokeLease(lease) }, done)
}

// Watch implements kv.Store.
func (s *KVStoreCalls) Watch(prefix string, after uint64, wait time.Duration, done func(protocol.Changes, error)) {
	start(s.pool, func() (protocol.Changes, error) {
		changes, err := s.client.Watch(prefix, after, wait)
		s.metrics.changes.Add(float64(len(changes.Events)))
		return changes, err
	}, done)
}

// CloudCalls is the cloud as provisioning.Cloud.
type CloudCalls struct {
	client *protocol.CloudClient
	pool   callPool
}

// MachineTypes implements provisioning.Cloud.
func (c *CloudCalls) MachineTypes(done func(protocol.MachineTypeCatalogue, error)) {
	start(c.pool, c.client.MachineTypes, done)
}

// CreateMachines implements provisioning.Cloud.
func (c *CloudCalls) CreateMachines(request protocol.CreateMachinesRequest, done func([]string, error)) {
	start(c.pool, func() ([]string, error) { return c.client.CreateMachines(request) }, done)
}

// DeleteMachines implements provisioning.Cloud.
func (c *CloudCalls) DeleteMachines(names []string, done func(error)) {
	startWithout(c.pool, func() error { return c.client.DeleteMachines(names) }, done)
}

// ListMachines implements provisioning.Cloud.
func (c *CloudCalls) ListMachines(done func([]protocol.CloudMachine, error)) {
	start(c.pool, c.client.ListMachines, done)
}

// AgentCalls are the agents as reconcile.Agents.
type AgentCalls struct {
	client  *protocol.AgentClient
	pool    callPool
	metrics *Metrics
}

// Execute implements reconcile.Agents.
func (a *AgentCalls) Execute(addr string, request protocol.CommandRequest, done func(*protocol.AgentHeartbeat, bool, error)) {
	type outcome struct {
		heartbeat *protocol.AgentHeartbeat
		executed  bool
	}
	start(a.pool, func() (outcome, error) {
		heartbeat, executed, err := a.client.Execute(addr, request)
		a.metrics.commands.WithLabelValues(resultLabel(err)).Inc()
		return outcome{heartbeat, executed}, err
	}, func(o outcome, err error) { done(o.heartbeat, o.executed, err) })
}
