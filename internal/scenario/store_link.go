package scenario

import (
	"strings"
	"time"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

const (
	// transactionTimeout is how long a process waits for the answer to a transaction if the
	// answer is lost.
	transactionTimeout = 2 * time.Second
	// maxTransactionDelay bounds the delay of transactions that are executed late.
	maxTransactionDelay = 20 * time.Second
	// storePageSize is the number of items in a page of a list. The value is small so that
	// scenarios exercise paging.
	storePageSize = 10
)

// storeLink connects a controller process to the key-value store.
type storeLink struct{ process *process }

func (l storeLink) traceSent(kind string, values ...any) {
	l.process.host.sim.trace.record(l.process.host.name, kind, values...)
}

// call sends a request. serve executes the request on arrival and returns the callback for
// the arrival of the answer, or nil if serve itself arranges the answer. failed is called
// instead if the store does not execute the request.
func (l storeLink) call(serve func(store *fakeStore) func(), failed func(error)) {
	sim := l.process.host.sim
	store := sim.store
	store.requests++
	delay := sim.latency()
	if store.latencyShare > 0 && sim.rand.Float64() < store.latencyShare {
		delay += sim.randomBelow(store.maxLatency)
	}
	sim.after(delay, func() {
		if store.isUnavailableTo(l.process.host) {
			l.sendAnswer(func() { failed(protocol.ErrNotExecuted) })
			return
		}
		if answer := serve(store); answer != nil {
			l.sendAnswer(answer)
		}
	})
}

// sendAnswer delivers an answer to the process.
func (l storeLink) sendAnswer(callback func()) {
	sim := l.process.host.sim
	sim.after(sim.latency(), l.process.guard(callback))
}

// Get implements kv.Store.
func (l storeLink) Get(key string, done func(protocol.KeyValue, bool, error)) {
	l.traceSent("get", key)
	l.call(func(store *fakeStore) func() {
		if strings.HasPrefix(key, storage.FinalKey("")) {
			store.finalReads++
		}
		found := store.items[key]
		if found == nil {
			return func() { done(protocol.KeyValue{}, false, nil) }
		}
		item := *found
		return func() { done(item, true, nil) }
	}, func(err error) { done(protocol.KeyValue{}, false, err) })
}

// List implements kv.Store.
func (l storeLink) List(prefix, after string, done func(protocol.KeyValuePage, error)) {
	l.traceSent("list", prefix, after)
	l.call(func(store *fakeStore) func() {
		page := protocol.KeyValuePage{Revision: store.revision}
		for _, key := range store.keys(prefix) {
			if key <= after {
				continue
			}
			if len(page.Items) == storePageSize {
				page.More = true
				break
			}
			page.Items = append(page.Items, *store.items[key])
		}
		return func() { done(page, nil) }
	}, func(err error) { done(protocol.KeyValuePage{}, err) })
}

// Commit implements kv.Store.
func (l storeLink) Commit(transaction protocol.Transaction, done func(uint64, error)) {
	sim := l.process.host.sim
	sim.trace.recordJSON(l.process.host.name, "transaction", transaction)
	l.call(func(store *fakeStore) func() {
		if sim.rand.Float64() < store.lostAnswerShare {
			store.commitUnanswered(transaction)
			sim.faults.record("lost-answer", transactionTimeout)
			sim.after(transactionTimeout, l.process.guard(func() { done(0, protocol.ErrOutcomeUnknown) }))
			return nil
		}
		revision, err := store.commit(transaction)
		return func() { done(revision, err) }
	}, func(err error) { done(0, err) })
}

// commitUnanswered executes a transaction immediately or after a delay, and discards the
// result. A delayed transaction is lost if the store has an outage when it is due.
func (s *fakeStore) commitUnanswered(transaction protocol.Transaction) {
	sim := s.sim
	if sim.rand.Float64() >= s.delayedShare {
		_, _ = s.commit(transaction)
		return
	}
	delay := sim.randomBelow(maxTransactionDelay)
	sim.faults.record("delayed-write", delay)
	sim.after(delay, func() {
		if !s.outage {
			_, _ = s.commit(transaction)
		}
	})
}

// OpenLease implements kv.Store.
func (l storeLink) OpenLease(ttl time.Duration, done func(uint64, error)) {
	l.traceSent("new lease", ttl)
	l.call(func(store *fakeStore) func() {
		id := store.openLease(ttl)
		return func() { done(id, nil) }
	}, func(err error) { done(0, err) })
}

// RenewLease implements kv.Store.
func (l storeLink) RenewLease(id uint64, done func(error)) {
	l.traceSent("renew", id)
	l.call(func(store *fakeStore) func() {
		lease := store.leases[id]
		if lease == nil {
			return func() { done(protocol.ErrLeaseNotFound) }
		}
		store.extendLease(id, lease)
		return func() { done(nil) }
	}, done)
}

// RevokeLease implements kv.Store.
func (l storeLink) RevokeLease(id uint64, done func(error)) {
	l.traceSent("end lease", id)
	l.call(func(store *fakeStore) func() {
		store.revokeLease(id)
		return func() { done(nil) }
	}, done)
}

// Watch implements kv.Store.
func (l storeLink) Watch(prefix string, after uint64, wait time.Duration, done func(protocol.Changes, error)) {
	l.traceSent("follow", prefix, after, wait)
	l.call(func(store *fakeStore) func() {
		if changes := store.changes(prefix, after); len(changes.Events) > 0 || wait == 0 {
			return func() { done(changes, nil) }
		}
		watch := &storeWatch{process: l.process, prefix: prefix, after: after, done: done}
		store.watches = append(store.watches, watch)
		store.sim.after(wait, watch.expire)
		return nil
	}, func(err error) { done(protocol.Changes{}, err) })
}
