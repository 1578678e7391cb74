package scenario

import (
	"cmp"
	"maps"
	"path"
	"slices"
	"strings"
	"time"

	"rockrun/internal/config"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// store is the stand-in for the state service.
type fakeStore struct {
	sim         *simulation
	limits    config.StoreLimits
	rejected  int // transactions that were rejected for good
	inheritedOversized int // values over the limits to come when these came into force
	revision  uint64
	items     map[string]*protocol.KeyValue
	leases    map[uint64]*storeLease
	lastLeaseID    uint64
	history   []storeChange
	watches   []*storeWatch
	outage    bool
	writes    int     // puts and removals carried out or refused by a condition
	grantWrites    int     // grants that were carried out
	requests  int     // all calls
	finalReads    int     // reads of final records
	tokens    float64 // writes that may be made now
	tokensAt  time.Duration
	lostAnswerShare      float64 // share of transactions whose answer is lost
	delayedShare      float64 // share of those that are applied late
	latencyShare      float64 // share of calls that take long
	maxLatency  time.Duration
}

type storeLease struct {
	ttl time.Duration
	expiresAt time.Duration
}

type storeChange struct {
	revision uint64
	event  protocol.Event
}

type storeWatch struct {
	prefix string
	after  uint64
	done   func(protocol.Changes)
	host   *host
}

func newStore(sim *simulation) *fakeStore {
	today := sim.cluster.KVStore
	today.Announced = nil
	limits := today.Limits()
	return &fakeStore{sim: sim, limits: limits, items: map[string]*protocol.KeyValue{}, leases: map[uint64]*storeLease{}, tokens: limits.WriteRate}
}

// down reports whether a host is refused.
func (st *fakeStore) refuses(h *host) bool { return st.outage || h.storePartitioned }

func (st *fakeStore) setOutage(on bool) {
	st.outage = on
	if !on {
		for _, id := range slices.Sorted(maps.Keys(st.leases)) {
			st.extend(id, st.leases[id])
		}
		st.wake()
	}
}

func (st *fakeStore) extend(id uint64, l *storeLease) {
	l.expiresAt = st.sim.now + l.ttl
	st.sim.after(l.ttl+50*time.Millisecond, func() { st.expire(id) })
}

func (st *fakeStore) expire(id uint64) {
	l := st.leases[id]
	if l == nil || st.outage || st.sim.now < l.expiresAt {
		return
	}
	delete(st.leases, id)
	for _, key := range st.keys("") {
		if st.items[key].Lease == id {
			if key == storage.KeyLeader {
				st.sim.faultBegins("leaderless", "")
			}
			st.revision++
			delete(st.items, key)
			st.record(protocol.Event{Remove: key, Version: st.revision})
		}
	}
	st.wake()
}

func (st *fakeStore) keys(prefix string) []string {
	var keys []string
	for k := range st.items {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}

// list is all that lies here, by key.
func (st *fakeStore) list() []protocol.KeyValue {
	var items []protocol.KeyValue
	for _, key := range st.keys("") {
		items = append(items, *st.items[key])
	}
	return items
}

func (st *fakeStore) record(e protocol.Event) { st.history = append(st.history, storeChange{st.revision, e}) }

// txn carries out a transaction.
func (st *fakeStore) commit(t protocol.Transaction) (uint64, error) {
	if err := st.reject(t); err != nil {
		return 0, err
	}
	st.tokens = min(st.limits.WriteRate, st.tokens+st.limits.WriteRate*(st.sim.now-st.tokensAt).Seconds())
	st.tokensAt = st.sim.now
	if st.tokens < float64(len(t.Operations)) {
		return 0, protocol.ErrRateLimited
	}
	st.tokens -= float64(len(t.Operations))
	st.writes += len(t.Operations)
	for _, c := range t.Conditions {
		var have uint64
		if it := st.items[c.Key]; it != nil {
			have = it.Version
		}
		if have != c.Version {
			return 0, protocol.ErrConflict
		}
	}
	for _, op := range t.Operations {
		if op.Lease != 0 && st.leases[op.Lease] == nil {
			return 0, protocol.ErrLeaseNotFound
		}
	}
	st.revision++
	for _, operation := range t.Operations {
		if operation.Put != "" {
			if operation.Put == storage.KeyLeader {
				st.sim.faultEnds("leaderless", "")
				st.sim.noteFault("election", 0)
				st.sim.releaseCopies()
			}
			st.items[operation.Put] = &protocol.KeyValue{Key: operation.Put, Value: operation.Value, Version: st.revision, Lease: operation.Lease}
			st.record(protocol.Event{Put: operation.Put, Value: operation.Value, Version: st.revision})
			if path.Dir(operation.Put) == path.Dir(storage.GrantKey(0)) {
				st.grantWrites++
				st.sim.noteHandover()
			}
		} else if st.items[operation.Delete] != nil {
			delete(st.items, operation.Delete)
			st.record(protocol.Event{Remove: operation.Delete, Version: st.revision})
		}
	}
	st.wake()
	return st.revision, nil
}

// reject says whether a transaction is over a limit, whatever its conditions.
func (st *fakeStore) reject(t protocol.Transaction) error {
	large := slices.ContainsFunc(t.Operations, func(op protocol.Operation) bool { return len(op.Value) > st.limits.ValueBytes })
	if large || len(t.Operations) > st.limits.Operations || len(t.Conditions) > st.limits.Conditions {
		st.rejected++
		return protocol.ErrRejected
	}
	return nil
}

// lower makes the limits those to come.
func (st *fakeStore) lowerLimits() {
	st.limits = st.sim.cluster.KVStore.Limits()
	st.tokens = min(st.tokens, st.limits.WriteRate)
	st.inheritedOversized = st.oversized()
}

// oversized counts the values that lie here and could not be written any more.
func (st *fakeStore) oversized() int {
	count := 0
	for _, it := range st.items {
		if len(it.Value) > st.limits.ValueBytes {
			count++
		}
	}
	return count
}

// wake answers the watches that have something to tell.
func (st *fakeStore) wake() {
	if st.outage {
		return
	}
	open := st.watches
	st.watches = nil
	for _, w := range open {
		if w.host.storePartitioned {
			st.watches = append(st.watches, w)
			continue
		}
		if c := st.changes(w.prefix, w.after); len(c.Events) > 0 {
			w.done(c)
		} else {
			st.watches = append(st.watches, w)
		}
	}
}

func (st *fakeStore) changes(prefix string, after uint64) protocol.Changes {
	c := protocol.Changes{Revision: st.revision}
	first, _ := slices.BinarySearchFunc(st.history, after+1, func(h storeChange, rev uint64) int { return cmp.Compare(h.revision, rev) })
	for _, h := range st.history[first:] {
		if strings.HasPrefix(h.event.Put+h.event.Remove, prefix) {
			c.Events = append(c.Events, h.event)
		}
	}
	return c
}

// stateLink is a process's way to the state service.
type storeLink struct{ process *process }

func (l storeLink) sent(kind string, values ...any) { l.process.host.sim.trace.sent(l.process.host.name, kind, values...) }

// call makes a request there and back; refused is called when it is not done.
func (l storeLink) call(do func(st *fakeStore) func(), refused func(error)) {
	sim := l.process.host.sim
	sim.store.requests++
	way := sim.delay()
	if sim.store.latencyShare > 0 && sim.rand.Float64() < sim.store.latencyShare {
		way += time.Duration(sim.rand.Int64N(int64(sim.store.maxLatency)))
	}
	sim.after(way, func() {
		if sim.store.refuses(l.process.host) {
			sim.after(sim.delay(), l.process.guard(func() { refused(protocol.ErrNotExecuted) }))
			return
		}
		if back := do(sim.store); back != nil {
			sim.after(sim.delay(), l.process.guard(back))
		}
	})
}

// Get implements coordination.State.
func (l storeLink) Get(key string, done func(protocol.KeyValue, bool, error)) {
	l.sent("get", key)
	l.call(func(st *fakeStore) func() {
		if strings.HasPrefix(key, storage.FinalKey("")) {
			st.finalReads++
		}
		it := st.items[key]
		if it == nil {
			return func() { done(protocol.KeyValue{}, false, nil) }
		}
		c := *it
		return func() { done(c, true, nil) }
	}, func(err error) { done(protocol.KeyValue{}, false, err) })
}

// List implements coordination.State. Pages are small so that paging is used.
func (l storeLink) List(prefix, after string, done func(protocol.KeyValuePage, error)) {
	l.sent("list", prefix, after)
	l.call(func(st *fakeStore) func() {
		p := protocol.KeyValuePage{Revision: st.revision}
		for _, k := range st.keys(prefix) {
			if k <= after {
				continue
			}
			if len(p.Items) == 10 {
				p.More = true
				break
			}
			p.Items = append(p.Items, *st.items[k])
		}
		return func() { done(p, nil) }
	}, func(err error) { done(protocol.KeyValuePage{}, err) })
}

// Txn implements coordination.State.
func (l storeLink) Commit(t protocol.Transaction, done func(uint64, error)) {
	l.process.host.sim.trace.sentJSON(l.process.host.name, "transaction", t)
	l.call(func(st *fakeStore) func() {
		sim := st.sim
		if sim.rand.Float64() < st.lostAnswerShare {
			if sim.rand.Float64() < st.delayedShare {
				late := time.Duration(sim.rand.Int64N(int64(20 * time.Second)))
				sim.noteFault("delayed-write", late)
				sim.after(late, func() {
					if !st.outage {
						_, _ = st.commit(t) // whatever comes of it, nobody is told
					}
				})
			} else {
				_, _ = st.commit(t)
			}
			sim.noteFault("lost-answer", 2*time.Second)
			sim.after(2*time.Second, l.process.guard(func() { done(0, protocol.ErrOutcomeUnknown) }))
			return nil
		}
		rev, err := st.commit(t)
		return func() { done(rev, err) }
	}, func(err error) { done(0, err) })
}

// NewLease implements coordination.State.
func (l storeLink) OpenLease(ttl time.Duration, done func(uint64, error)) {
	l.sent("new lease", ttl)
	l.call(func(st *fakeStore) func() {
		st.lastLeaseID++
		id := st.lastLeaseID
		st.leases[id] = &storeLease{ttl: ttl}
		st.extend(id, st.leases[id])
		return func() { done(id, nil) }
	}, func(err error) { done(0, err) })
}

// Renew implements coordination.State.
func (l storeLink) RenewLease(id uint64, done func(error)) {
	l.sent("renew", id)
	l.call(func(st *fakeStore) func() {
		x := st.leases[id]
		if x == nil {
			return func() { done(protocol.ErrLeaseNotFound) }
		}
		st.extend(id, x)
		return func() { done(nil) }
	}, done)
}

// EndLease implements coordination.State.
func (l storeLink) RevokeLease(id uint64, done func(error)) {
	l.sent("end lease", id)
	l.call(func(st *fakeStore) func() {
		if x := st.leases[id]; x != nil {
			x.expiresAt = 0
			st.expire(id)
		}
		return func() { done(nil) }
	}, done)
}

// Follow implements coordination.State.
func (l storeLink) Watch(prefix string, after uint64, wait time.Duration, done func(protocol.Changes, error)) {
	l.sent("follow", prefix, after, wait)
	l.call(func(st *fakeStore) func() {
		if c := st.changes(prefix, after); len(c.Events) > 0 || wait == 0 {
			return func() { done(c, nil) }
		}
		sim := st.sim
		var w *storeWatch
		answer := func(c protocol.Changes) {
			if w == nil {
				return
			}
			w = nil
			sim.after(sim.delay(), l.process.guard(func() { done(c, nil) }))
		}
		w = &storeWatch{prefix: prefix, after: after, done: answer, host: l.process.host}
		st.watches = append(st.watches, w)
		var timeout func()
		timeout = func() {
			if w == nil || l.process.dead {
				return
			}
			if st.refuses(l.process.host) {
				sim.after(time.Second, timeout) // watches wait while it is away
				return
			}
			old := w
			st.watches = slices.DeleteFunc(st.watches, func(x *storeWatch) bool { return x == old })
			answer(st.changes(prefix, after))
		}
		sim.after(wait, timeout)
		return nil
	}, func(err error) { done(protocol.Changes{}, err) })
}
