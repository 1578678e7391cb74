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

// fakeStore is the stand-in for the key-value store.
type fakeStore struct {
	sim      *simulation
	revision uint64
	items    map[string]*protocol.KeyValue
	history  []storeChange
	watches  []*storeWatch // that have had nothing to tell yet

	leases      map[uint64]*storeLease
	lastLeaseID uint64

	storeLimits
	storeFaults
	storeCounts
}

// storeFaults are the faults of the store.
type storeFaults struct {
	outage          bool
	lostAnswerShare float64 // of transactions whose answer is lost
	delayedShare    float64 // of those that are applied late
	latencyShare    float64 // of calls that take long
	maxLatency      time.Duration
}

// storeCounts are what expectations ask for.
type storeCounts struct {
	requests          int // all calls
	writes            int // operations carried out or refused by a condition
	grantWrites       int
	finalReads        int // of final records
	rejected          int // transactions that were rejected for good
	inheritedOversize int // values over the limits to come when these came into force
}

// storeLease removes the items that were put under it once it expires.
type storeLease struct {
	ttl       time.Duration
	expiresAt time.Duration
}

// leaseExpiryDelay is how long after its time the store notices that a lease has expired.
const leaseExpiryDelay = 50 * time.Millisecond

// storeChange is a change of an item, by the revision that made it.
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

// refuses reports whether no request of a host is served.
func (s *fakeStore) refuses(h *host) bool { return s.outage || h.storePartitioned }

// setOutage begins or ends an outage. Leases do not expire during one, and have their whole
// time again afterwards.
func (s *fakeStore) setOutage(on bool) {
	s.outage = on
	if on {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		s.extendLease(id, s.leases[id])
	}
	s.answerWatches()
}

// openLease opens a lease and returns its id.
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

// revokeLease lets a lease expire now.
func (s *fakeStore) revokeLease(id uint64) {
	if lease := s.leases[id]; lease != nil {
		lease.expiresAt = 0
		s.expireLease(id)
	}
}

// expireLease removes a lease whose time is over, and the items under it.
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
	s.answerWatches()
}

// keys lists the keys with a prefix, in order.
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

// list is all that lies in the store, by key.
func (s *fakeStore) list() []protocol.KeyValue {
	var items []protocol.KeyValue
	for _, key := range s.keys("") {
		items = append(items, *s.items[key])
	}
	return items
}

// commit carries out a transaction and returns the new revision.
func (s *fakeStore) commit(transaction protocol.Transaction) (uint64, error) {
	if s.exceeds(transaction) {
		s.rejected++
		return 0, protocol.ErrRejected
	}
	if !s.takeWrites(s.sim.now, len(transaction.Operations)) {
		return 0, protocol.ErrRateLimited
	}
	s.writes += len(transaction.Operations)
	if err := s.checkConditions(transaction); err != nil {
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
	s.answerWatches()
	return s.revision, nil
}

// checkConditions returns protocol.ErrConflict unless every item has the version that a
// transaction expects, and protocol.ErrLeaseNotFound unless all leases are there.
func (s *fakeStore) checkConditions(transaction protocol.Transaction) error {
	for _, condition := range transaction.Preconditions {
		var version uint64 // 0: there is no such item
		if item := s.items[condition.Key]; item != nil {
			version = item.Version
		}
		if version != condition.Version {
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

// put writes an item under the revision of now.
func (s *fakeStore) put(operation protocol.Operation) {
	key := operation.Put
	if key == storage.KeyLeader {
		s.sim.faults.end("leaderless", "")
		s.sim.faults.note("election", 0)
		s.sim.replayHeartbeats()
	}
	s.items[key] = &protocol.KeyValue{Key: key, Value: operation.Value, Version: s.revision, Lease: operation.Lease}
	s.record(protocol.Event{Put: key, Value: operation.Value, Version: s.revision})
	if path.Dir(key) == path.Dir(storage.GrantKey(0)) {
		s.grantWrites++
		s.sim.faults.noteHandover()
	}
}

// remove deletes an item under the revision of now.
func (s *fakeStore) remove(key string) {
	delete(s.items, key)
	s.record(protocol.Event{Remove: key, Version: s.revision})
}

func (s *fakeStore) record(event protocol.Event) {
	s.history = append(s.history, storeChange{revision: s.revision, event: event})
}

// changes are the changes of items with a prefix after a revision.
func (s *fakeStore) changes(prefix string, after uint64) protocol.Changes {
	changes := protocol.Changes{Revision: s.revision}
	first, _ := slices.BinarySearchFunc(s.history, after+1, func(change storeChange, revision uint64) int {
		return cmp.Compare(change.revision, revision)
	})
	for _, change := range s.history[first:] {
		if strings.HasPrefix(change.event.Put+change.event.Remove, prefix) {
			changes.Events = append(changes.Events, change.event)
		}
	}
	return changes
}

// lowerLimits makes the announced limits those in force.
func (s *fakeStore) lowerLimits() {
	s.setLimits(s.sim.cluster.KVStore.Limits())
	s.inheritedOversize = s.oversized()
}

// oversized counts the values in the store that could not be written any more.
func (s *fakeStore) oversized() int {
	count := 0
	for _, item := range s.items {
		if len(item.Value) > s.limits.ValueBytes {
			count++
		}
	}
	return count
}
