package transport

import (
	"fmt"
	"time"

	"rockrun/internal/protocol"
)

// Backend turns the blocking clients into calls that come back on the loop.
// The number of calls under way is bounded by kind; one more than that is
// refused at once, as if the service had said so.
type Backend struct {
	Loop        *Loop
	KVClient    *protocol.KVClient
	CloudClient *protocol.CloudClient
	AgentClient *protocol.AgentClient

	metrics                         *Metrics
	kvSlots, cloudSlots, agentSlots chan struct{}
}

// NewBackend bounds the calls under way.
func NewBackend(loop *Loop, sockets Sockets, metrics *Metrics, s *protocol.KVClient, c *protocol.CloudClient, w *protocol.AgentClient) *Backend {
	return &Backend{Loop: loop, metrics: metrics, KVClient: s, CloudClient: c, AgentClient: w,
		kvSlots: make(chan struct{}, sockets.KVStore), cloudSlots: make(chan struct{}, sockets.Cloud), agentSlots: make(chan struct{}, min(sockets.Agents/2, 128))}
}

// run makes a call on a goroutine of its own and hands its result to the loop.
func (b *Backend) run(slots chan struct{}, call func() func(), full func(error)) {
	select {
	case slots <- struct{}{}:
		go func() {
			finish := call()
			<-slots
			b.Loop.Post(finish)
		}()
	default:
		go b.Loop.Post(func() { full(fmt.Errorf("%w: too many calls under way", protocol.ErrNotExecuted)) })
	}
}

// StateCalls is the state service as the node sees it.
type KVStoreCalls struct{ *Backend }

// Get implements coordination.State.
func (b KVStoreCalls) Get(key string, done func(protocol.KeyValue, bool, error)) {
	b.run(b.kvSlots, func() func() {
		it, found, err := b.KVClient.Get(key)
		return func() { done(it, found, err) }
	}, func(err error) { done(protocol.KeyValue{}, false, err) })
}

// List implements coordination.State.
func (b KVStoreCalls) List(prefix, after string, done func(protocol.KeyValuePage, error)) {
	b.run(b.kvSlots, func() func() {
		p, err := b.KVClient.List(prefix, after)
		return func() { done(p, err) }
	}, func(err error) { done(protocol.KeyValuePage{}, err) })
}

// Txn implements coordination.State.
func (b KVStoreCalls) Commit(t protocol.Transaction, done func(uint64, error)) {
	b.run(b.kvSlots, func() func() {
		rev, err := b.KVClient.Commit(t)
		b.metrics.transactions.WithLabelValues(result(err)).Inc()
		return func() { done(rev, err) }
	}, func(err error) { done(0, err) })
}

// NewLease implements coordination.State.
func (b KVStoreCalls) OpenLease(ttl time.Duration, done func(uint64, error)) {
	b.run(b.kvSlots, func() func() {
		lease, err := b.KVClient.OpenLease(ttl)
		return func() { done(lease, err) }
	}, func(err error) { done(0, err) })
}

// Renew implements coordination.State.
func (b KVStoreCalls) RenewLease(lease uint64, done func(error)) {
	b.run(b.kvSlots, func() func() {
		err := b.KVClient.RenewLease(lease)
		return func() { done(err) }
	}, done)
}

// EndLease implements coordination.State.
func (b KVStoreCalls) RevokeLease(lease uint64, done func(error)) {
	b.run(b.kvSlots, func() func() {
		err := b.KVClient.RevokeLease(lease)
		return func() { done(err) }
	}, done)
}

// Follow implements coordination.State.
func (b KVStoreCalls) Watch(prefix string, after uint64, wait time.Duration, done func(protocol.Changes, error)) {
	b.run(b.kvSlots, func() func() {
		c, err := b.KVClient.Watch(prefix, after, wait)
		b.metrics.changes.Add(float64(len(c.Events)))
		return func() { done(c, err) }
	}, func(err error) { done(protocol.Changes{}, err) })
}

// CloudCalls is the cloud as the node sees it.
type CloudCalls struct{ *Backend }

// Catalogue implements coordination.Cloud.
func (b CloudCalls) MachineTypes(done func(protocol.MachineTypeCatalogue, error)) {
	b.run(b.cloudSlots, func() func() {
		c, err := b.CloudClient.MachineTypes()
		return func() { done(c, err) }
	}, func(err error) { done(protocol.MachineTypeCatalogue{}, err) })
}

// Rent implements coordination.Cloud.
func (b CloudCalls) CreateMachines(r protocol.CreateMachinesRequest, done func([]string, error)) {
	b.run(b.cloudSlots, func() func() {
		names, err := b.CloudClient.CreateMachines(r)
		return func() { done(names, err) }
	}, func(err error) { done(nil, err) })
}

// Delete implements coordination.Cloud.
func (b CloudCalls) DeleteMachines(names []string, done func(error)) {
	b.run(b.cloudSlots, func() func() {
		err := b.CloudClient.DeleteMachines(names)
		return func() { done(err) }
	}, done)
}

// List implements coordination.Cloud.
func (b CloudCalls) ListMachines(done func([]protocol.CloudMachine, error)) {
	b.run(b.cloudSlots, func() func() {
		list, err := b.CloudClient.ListMachines()
		return func() { done(list, err) }
	}, func(err error) { done(nil, err) })
}

// WorkerCalls are the workers as the node sees them.
type AgentCalls struct{ *Backend }

// Command implements coordination.Workers.
func (b AgentCalls) Execute(addr string, o protocol.CommandRequest, done func(*protocol.AgentHeartbeat, bool, error)) {
	b.run(b.agentSlots, func() func() {
		r, ok, err := b.AgentClient.Execute(addr, o)
		b.metrics.commands.WithLabelValues(result(err)).Inc()
		return func() { done(r, ok, err) }
	}, func(err error) { done(nil, false, err) })
}
