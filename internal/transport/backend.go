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
	Loop    *Loop
	StateC  *protocol.StateClient
	CloudC  *protocol.CloudClient
	WorkerC *protocol.WorkerClient

	metrics               *Metrics
	state, cloud, workers chan struct{}
}

// NewBackend bounds the calls under way.
func NewBackend(loop *Loop, sockets Sockets, metrics *Metrics, s *protocol.StateClient, c *protocol.CloudClient, w *protocol.WorkerClient) *Backend {
	return &Backend{Loop: loop, metrics: metrics, StateC: s, CloudC: c, WorkerC: w,
		state: make(chan struct{}, sockets.State), cloud: make(chan struct{}, sockets.Cloud), workers: make(chan struct{}, min(sockets.Workers/2, 128))}
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
		go b.Loop.Post(func() { full(fmt.Errorf("%w: too many calls under way", protocol.ErrNotDone)) })
	}
}

// StateCalls is the state service as the node sees it.
type StateCalls struct{ *Backend }

// Get implements coordination.State.
func (b StateCalls) Get(key string, done func(protocol.Item, bool, error)) {
	b.run(b.state, func() func() {
		it, found, err := b.StateC.Get(key)
		return func() { done(it, found, err) }
	}, func(err error) { done(protocol.Item{}, false, err) })
}

// List implements coordination.State.
func (b StateCalls) List(prefix, after string, done func(protocol.Page, error)) {
	b.run(b.state, func() func() {
		p, err := b.StateC.List(prefix, after)
		return func() { done(p, err) }
	}, func(err error) { done(protocol.Page{}, err) })
}

// Txn implements coordination.State.
func (b StateCalls) Txn(t protocol.Txn, done func(uint64, error)) {
	b.run(b.state, func() func() {
		rev, err := b.StateC.Txn(t)
		b.metrics.transactions.WithLabelValues(result(err)).Inc()
		return func() { done(rev, err) }
	}, func(err error) { done(0, err) })
}

// NewLease implements coordination.State.
func (b StateCalls) NewLease(ttl time.Duration, done func(uint64, error)) {
	b.run(b.state, func() func() {
		lease, err := b.StateC.NewLease(ttl)
		return func() { done(lease, err) }
	}, func(err error) { done(0, err) })
}

// Renew implements coordination.State.
func (b StateCalls) Renew(lease uint64, done func(error)) {
	b.run(b.state, func() func() {
		err := b.StateC.Renew(lease)
		return func() { done(err) }
	}, done)
}

// EndLease implements coordination.State.
func (b StateCalls) EndLease(lease uint64, done func(error)) {
	b.run(b.state, func() func() {
		err := b.StateC.EndLease(lease)
		return func() { done(err) }
	}, done)
}

// Follow implements coordination.State.
func (b StateCalls) Follow(prefix string, after uint64, wait time.Duration, done func(protocol.Changes, error)) {
	b.run(b.state, func() func() {
		c, err := b.StateC.Follow(prefix, after, wait)
		b.metrics.changes.Add(float64(len(c.Events)))
		return func() { done(c, err) }
	}, func(err error) { done(protocol.Changes{}, err) })
}

// CloudCalls is the cloud as the node sees it.
type CloudCalls struct{ *Backend }

// Catalogue implements coordination.Cloud.
func (b CloudCalls) Catalogue(done func(protocol.Catalogue, error)) {
	b.run(b.cloud, func() func() {
		c, err := b.CloudC.Catalogue()
		return func() { done(c, err) }
	}, func(err error) { done(protocol.Catalogue{}, err) })
}

// Rent implements coordination.Cloud.
func (b CloudCalls) Rent(r protocol.Rent, done func([]string, error)) {
	b.run(b.cloud, func() func() {
		names, err := b.CloudC.Rent(r)
		return func() { done(names, err) }
	}, func(err error) { done(nil, err) })
}

// Delete implements coordination.Cloud.
func (b CloudCalls) Delete(names []string, done func(error)) {
	b.run(b.cloud, func() func() {
		err := b.CloudC.Delete(names)
		return func() { done(err) }
	}, done)
}

// List implements coordination.Cloud.
func (b CloudCalls) List(done func([]protocol.CloudMachine, error)) {
	b.run(b.cloud, func() func() {
		list, err := b.CloudC.List()
		return func() { done(list, err) }
	}, func(err error) { done(nil, err) })
}

// WorkerCalls are the workers as the node sees them.
type WorkerCalls struct{ *Backend }

// Command implements coordination.Workers.
func (b WorkerCalls) Command(addr string, o protocol.CommandRequest, done func(*protocol.Report, bool, error)) {
	b.run(b.workers, func() func() {
		r, ok, err := b.WorkerC.Command(addr, o)
		b.metrics.commands.WithLabelValues(result(err)).Inc()
		return func() { done(r, ok, err) }
	}, func(err error) { done(nil, false, err) })
}
