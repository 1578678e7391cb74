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
type store struct {
	s         *sim
	limits    config.StoreLimits
	rejected  int // transactions that were rejected for good
	inherited int // values over the limits to come when these came into force
	revision  uint64
	items     map[string]*protocol.KeyValue
	leases    map[uint64]*lease
	nextID    uint64
	history   []change
	watches   []*watch
	outage    bool
	writes    int     // puts and removals carried out or refused by a condition
	grants    int     // grants that were carried out
	requests  int     // all calls
	finals    int     // reads of final records
	tokens    float64 // writes that may be made now
	tokensAt  time.Duration
	lose      float64 // share of transactions whose answer is lost
	late      float64 // share of those that are applied late
	slow      float64 // share of calls that take long
	slowMost  time.Duration
}

type lease struct {
	ttl time.Duration
	end time.Duration
}

type change struct {
	rev uint64
	ev  protocol.Event
}

type watch struct {
	prefix string
	after  uint64
	done   func(protocol.Changes)
	host   *host
}

func newStore(s *sim) *store {
	today := s.cluster.KVStore
	today.Announced = nil
	limits := today.Limits()
	return &store{s: s, limits: limits, items: map[string]*protocol.KeyValue{}, leases: map[uint64]*lease{}, tokens: limits.WriteRate}
}

// down reports whether a host is refused.
func (st *store) down(h *host) bool { return st.outage || h.noState }

func (st *store) setOutage(on bool) {
	st.outage = on
	if !on {
		for _, id := range slices.Sorted(maps.Keys(st.leases)) {
			st.extend(id, st.leases[id])
		}
		st.wake()
	}
}

func (st *store) extend(id uint64, l *lease) {
	l.end = st.s.now + l.ttl
	st.s.after(l.ttl+50*time.Millisecond, func() { st.expire(id) })
}

func (st *store) expire(id uint64) {
	l := st.leases[id]
	if l == nil || st.outage || st.s.now < l.end {
		return
	}
	delete(st.leases, id)
	for _, key := range st.keys("") {
		if st.items[key].Lease == id {
			if key == storage.KeyLeader {
				st.s.faultBegins("leaderless", "")
			}
			st.revision++
			delete(st.items, key)
			st.record(protocol.Event{Remove: key, Version: st.revision})
		}
	}
	st.wake()
}

func (st *store) keys(prefix string) []string {
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
func (st *store) list() []protocol.KeyValue {
	var items []protocol.KeyValue
	for _, key := range st.keys("") {
		items = append(items, *st.items[key])
	}
	return items
}

func (st *store) record(e protocol.Event) { st.history = append(st.history, change{st.revision, e}) }

// txn carries out a transaction.
func (st *store) txn(t protocol.Transaction) (uint64, error) {
	if err := st.reject(t); err != nil {
		return 0, err
	}
	st.tokens = min(st.limits.WriteRate, st.tokens+st.limits.WriteRate*(st.s.now-st.tokensAt).Seconds())
	st.tokensAt = st.s.now
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
	for _, op := range t.Operations {
		if op.Put != "" {
			if op.Put == storage.KeyLeader {
				st.s.faultEnds("leaderless", "")
				st.s.noteFault("election", 0)
				st.s.releaseCopies()
			}
			st.items[op.Put] = &protocol.KeyValue{Key: op.Put, Value: op.Value, Version: st.revision, Lease: op.Lease}
			st.record(protocol.Event{Put: op.Put, Value: op.Value, Version: st.revision})
			if path.Dir(op.Put) == path.Dir(storage.GrantKey(0)) {
				st.grants++
				st.s.noteHandover()
			}
		} else if st.items[op.Delete] != nil {
			delete(st.items, op.Delete)
			st.record(protocol.Event{Remove: op.Delete, Version: st.revision})
		}
	}
	st.wake()
	return st.revision, nil
}

// reject says whether a transaction is over a limit, whatever its conditions.
func (st *store) reject(t protocol.Transaction) error {
	large := slices.ContainsFunc(t.Operations, func(op protocol.Operation) bool { return len(op.Value) > st.limits.ValueBytes })
	if large || len(t.Operations) > st.limits.Operations || len(t.Conditions) > st.limits.Conditions {
		st.rejected++
		return protocol.ErrRejected
	}
	return nil
}

// lower makes the limits those to come.
func (st *store) lower() {
	st.limits = st.s.cluster.KVStore.Limits()
	st.tokens = min(st.tokens, st.limits.WriteRate)
	st.inherited = st.oversized()
}

// oversized counts the values that lie here and could not be written any more.
func (st *store) oversized() int {
	count := 0
	for _, it := range st.items {
		if len(it.Value) > st.limits.ValueBytes {
			count++
		}
	}
	return count
}

// wake answers the watches that have something to tell.
func (st *store) wake() {
	if st.outage {
		return
	}
	open := st.watches
	st.watches = nil
	for _, w := range open {
		if w.host.noState {
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

func (st *store) changes(prefix string, after uint64) protocol.Changes {
	c := protocol.Changes{Revision: st.revision}
	first, _ := slices.BinarySearchFunc(st.history, after+1, func(h change, rev uint64) int { return cmp.Compare(h.rev, rev) })
	for _, h := range st.history[first:] {
		if strings.HasPrefix(h.ev.Put+h.ev.Remove, prefix) {
			c.Events = append(c.Events, h.ev)
		}
	}
	return c
}

// stateLink is a process's way to the state service.
type storeLink struct{ p *process }

func (l storeLink) sent(kind string, values ...any) { l.p.h.s.trace.sent(l.p.h.name, kind, values...) }

// call makes a request there and back; refused is called when it is not done.
func (l storeLink) call(do func(st *store) func(), refused func(error)) {
	s := l.p.h.s
	s.store.requests++
	way := s.delay()
	if s.store.slow > 0 && s.rand.Float64() < s.store.slow {
		way += time.Duration(s.rand.Int64N(int64(s.store.slowMost)))
	}
	s.after(way, func() {
		if s.store.down(l.p.h) {
			s.after(s.delay(), l.p.guard(func() { refused(protocol.ErrNotExecuted) }))
			return
		}
		if back := do(s.store); back != nil {
			s.after(s.delay(), l.p.guard(back))
		}
	})
}

// Get implements coordination.State.
func (l storeLink) Get(key string, done func(protocol.KeyValue, bool, error)) {
	l.sent("get", key)
	l.call(func(st *store) func() {
		if strings.HasPrefix(key, storage.FinalKey("")) {
			st.finals++
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
	l.call(func(st *store) func() {
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
	l.p.h.s.trace.sentJSON(l.p.h.name, "transaction", t)
	l.call(func(st *store) func() {
		s := st.s
		if s.rand.Float64() < st.lose {
			if s.rand.Float64() < st.late {
				late := time.Duration(s.rand.Int64N(int64(20 * time.Second)))
				s.noteFault("delayed-write", late)
				s.after(late, func() {
					if !st.outage {
						_, _ = st.txn(t) // whatever comes of it, nobody is told
					}
				})
			} else {
				_, _ = st.txn(t)
			}
			s.noteFault("lost-answer", 2*time.Second)
			s.after(2*time.Second, l.p.guard(func() { done(0, protocol.ErrOutcomeUnknown) }))
			return nil
		}
		rev, err := st.txn(t)
		return func() { done(rev, err) }
	}, func(err error) { done(0, err) })
}

// NewLease implements coordination.State.
func (l storeLink) OpenLease(ttl time.Duration, done func(uint64, error)) {
	l.sent("new lease", ttl)
	l.call(func(st *store) func() {
		st.nextID++
		id := st.nextID
		st.leases[id] = &lease{ttl: ttl}
		st.extend(id, st.leases[id])
		return func() { done(id, nil) }
	}, func(err error) { done(0, err) })
}

// Renew implements coordination.State.
func (l storeLink) RenewLease(id uint64, done func(error)) {
	l.sent("renew", id)
	l.call(func(st *store) func() {
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
	l.call(func(st *store) func() {
		if x := st.leases[id]; x != nil {
			x.end = 0
			st.expire(id)
		}
		return func() { done(nil) }
	}, done)
}

// Follow implements coordination.State.
func (l storeLink) Watch(prefix string, after uint64, wait time.Duration, done func(protocol.Changes, error)) {
	l.sent("follow", prefix, after, wait)
	l.call(func(st *store) func() {
		if c := st.changes(prefix, after); len(c.Events) > 0 || wait == 0 {
			return func() { done(c, nil) }
		}
		s := st.s
		var w *watch
		answer := func(c protocol.Changes) {
			if w == nil {
				return
			}
			w = nil
			s.after(s.delay(), l.p.guard(func() { done(c, nil) }))
		}
		w = &watch{prefix: prefix, after: after, done: answer, host: l.p.h}
		st.watches = append(st.watches, w)
		var timeout func()
		timeout = func() {
			if w == nil || l.p.dead {
				return
			}
			if st.down(l.p.h) {
				s.after(time.Second, timeout) // watches wait while it is away
				return
			}
			old := w
			st.watches = slices.DeleteFunc(st.watches, func(x *watch) bool { return x == old })
			answer(st.changes(prefix, after))
		}
		s.after(wait, timeout)
		return nil
	}, func(err error) { done(protocol.Changes{}, err) })
}
