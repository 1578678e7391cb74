package scenario

import (
	"cmp"
	"maps"
	"path"
	"slices"
	"strings"
	"time"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// fakeStore simulates the external key-value store.
type fakeStore struct {
	sim      *simulation
	revision uint64
	items    map[string]*protocol.KeyValue
	history  []storeChange
	watches  []*storeWatch // open watches without changes so far

	leases      map[uint64]*storeLease
	lastLeaseID uint64

	storeLimits
	storeFaults
	storeCounts
}

// storeFaults are the faults injected into the store.
type storeFaults struct {
	outage          bool
	lostAnswerShare float64 // of transactions, executed without an answer
	delayedShare    float64 // of the unanswered transactions, executed late
	latencyShare    float64 // of requests that are delayed
	maxLatency      time.Duration
}

// storeCounts are the counters that a scenario's expectations check.
type storeCounts struct {
	requests               int // requests of all kinds
	writes                 int // operations that were executed or failed a precondition
	grantWrites            int
	finalReads             int // reads of final records
	rejected               int // transactions over a limit, which no retry can commit
	oversizedOnLimitChange int // values over the announced size limit when the limit took effect
}

// storeLease is a lease. The items written under a lease are deleted when it expires.
type storeLease struct {
	ttl       time.Duration
	expiresAt time.Duration
}

// leaseExpiryDelay is the time from a lease's deadline until the store expires the lease.
const leaseExpiryDelay = 50 * time.Millisecond

// storeChange is the change of an item in a revision.
type storeChange struct {
	revision uint64
	event    protocol.Event
}

func newStore(sim *simulation) *fakeStore {
	return &fakeStore{
		sim:         sim,
		storeLimits: newStoreLimits(sim.cluster.KVStore),
		items:       map[string]*protocol.KeyValue{},
		leases:      map[uint64]*storeLease{},
	}
}

// isUnavailableTo reports whether the store fails all requests of a host.
func (s *fakeStore) isUnavailableTo(h *host) bool { return s.outage || h.storePartitioned }

// setOutage starts or ends an outage. Leases do not expire during an outage, and the end of
// the outage renews all leases for their full TTL.
func (s *fakeStore) setOutage(on bool) {
	s.outage = on
	if on {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		s.extendLease(id, s.leases[id])
	}
	s.answerReadyWatches()
}

// openLease creates a lease and returns its ID.
func (s *fakeStore) openLease(ttl time.Duration) uint64 {
	s.lastLeaseID++
	id := s.lastLeaseID
	s.leases[id] = &storeLease{ttl: ttl}
	s.extendLease(id, s.leases[id])
	return id
}

func (s *fakeStore) extendLease(id uint64, lease *storeLease) {
	lease.expiresAt = s.sim.now + lease.ttl
	s.sim.after(lease.ttl+leaseExpiryDelay, func() { s.expireLease(id) })
}

// revokeLease expires a lease immediately.
func (s *fakeStore) revokeLease(id uint64) {
	if lease := s.leases[id]; lease != nil {
		lease.expiresAt = 0
		s.expireLease(id)
	}
}

// expireLease deletes a lease past its deadline and the items under it. It does nothing
// during an outage, or if the lease was renewed meanwhile.
func (s *fakeStore) expireLease(id uint64) {
	lease := s.leases[id]
	if lease == nil || s.outage || s.sim.now < lease.expiresAt {
		return
	}
	delete(s.leases, id)
	for _, key := range s.keys("") {
		if s.items[key].Lease != id {
			continue
		}
		if key == storage.KeyLeader {
			s.sim.faults.begin("leaderless", "")
		}
		s.revision++
		s.remove(key)
	}
	s.answerReadyWatches()
}

// keys returns the keys with a prefix in ascending order.
func (s *fakeStore) keys(prefix string) []string {
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// allItems returns all items in the order of their keys.
func (s *fakeStore) allItems() []protocol.KeyValue {
	var items []protocol.KeyValue
	for _, key := range s.keys("") {
		items = append(items, *s.items[key])
	}
	return items
}

// commit executes a transaction and returns the new revision.
func (s *fakeStore) commit(transaction protocol.Transaction) (uint64, error) {
	if s.exceedsLimits(transaction) {
		s.rejected++
		return 0, protocol.ErrRejected
	}
	if !s.consumeWrites(s.sim.now, len(transaction.Operations)) {
		return 0, protocol.ErrRateLimited
	}
	s.writes += len(transaction.Operations)
	if err := s.checkPreconditions(transaction); err != nil {
		return 0, err
	}
	s.revision++
	for _, operation := range transaction.Operations {
		switch {
		case operation.Put != "":
			s.put(operation)
		case s.items[operation.Delete] != nil:
			s.remove(operation.Delete)
		}
	}
	s.answerReadyWatches()
	return s.revision, nil
}

// checkPreconditions returns protocol.ErrConflict unless every item has the version that the
// transaction expects, and protocol.ErrLeaseNotFound unless all its leases exist.
func (s *fakeStore) checkPreconditions(transaction protocol.Transaction) error {
	for _, precondition := range transaction.Preconditions {
		var version uint64 // 0: the item does not exist
		if item := s.items[precondition.Key]; item != nil {
			version = item.Version
		}
		if version != precondition.Version {
			return protocol.ErrConflict
		}
	}
	for _, operation := range transaction.Operations {
		if operation.Lease != 0 && s.leases[operation.Lease] == nil {
			return protocol.ErrLeaseNotFound
		}
	}
	return nil
}

// put writes an item at the current revision.
func (s *fakeStore) put(operation protocol.Operation) {
	key := operation.Put
	if key == storage.KeyLeader {
		s.sim.faults.end("leaderless", "")
		s.sim.faults.record("election", 0)
		s.sim.replayHeartbeats()
	}
	s.items[key] = &protocol.KeyValue{Key: key, Value: operation.Value, Version: s.revision, Lease: operation.Lease}
	s.recordChange(protocol.Event{Put: key, Value: operation.Value, Version: s.revision})
	if path.Dir(key) == path.Dir(storage.GrantKey(0)) {
		s.grantWrites++
		s.sim.faults.recordHandover()
	}
}

// remove deletes an item at the current revision.
func (s *fakeStore) remove(key string) {
	delete(s.items, key)
	s.recordChange(protocol.Event{Delete: key, Version: s.revision})
}

func (s *fakeStore) recordChange(event protocol.Event) {
	s.history = append(s.history, storeChange{revision: s.revision, event: event})
}

// changes returns the changes after a revision to items with a key prefix.
func (s *fakeStore) changes(prefix string, after uint64) protocol.Changes {
	changes := protocol.Changes{Revision: s.revision}
	first, _ := slices.BinarySearchFunc(s.history, after+1, func(change storeChange, revision uint64) int {
		return cmp.Compare(change.revision, revision)
	})
	for _, change := range s.history[first:] {
		if strings.HasPrefix(change.event.Put+change.event.Delete, prefix) {
			changes.Events = append(changes.Events, change.event)
		}
	}
	return changes
}

// applyAnnouncedLimits puts the announced limits into effect.
func (s *fakeStore) applyAnnouncedLimits() {
	s.setLimits(s.sim.cluster.KVStore.Limits())
	s.oversizedOnLimitChange = s.oversized()
}

// oversized counts the stored values that exceed the current size limit.
func (s *fakeStore) oversized() int {
	count := 0
	for _, item := range s.items {
		if len(item.Value) > s.limits.ValueBytes {
			count++
		}
	}
	return count
}
