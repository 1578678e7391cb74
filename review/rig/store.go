package main

import (
	"encoding/json"
	"sync"
	"time"
)

// The store is a stand-in for the state service of PROTOCOL. Every controller has a listener of
// its own, so that the store can treat one controller differently from the others.

type storeItem struct {
	Key   string          `json:"k"`
	Data  json.RawMessage `json:"data"`
	Stamp uint64          `json:"stamp"`
	Lease uint64          `json:"permit,omitempty"`
}

type storeEvent struct {
	Put    string          `json:"put,omitempty"`
	Data   json.RawMessage `json:"data,omitempty"`
	Remove string          `json:"remove,omitempty"`
	Stamp  uint64          `json:"stamp"`
}

type storeLease struct {
	life time.Duration
	ends time.Time
}

// linkFault is what happens to the requests of one controller.
type linkFault struct {
	refuse bool          // answered 503, open watches wait
	cut    bool          // requests and answers are dropped
	delay  time.Duration // added to every answer
}

type store struct {
	mu       sync.Mutex
	items    map[string]*storeItem
	history  []storeEvent
	epoch    uint64
	leases   map[uint64]*storeLease
	lastID   uint64
	changed  chan struct{} // closed at the next change
	faults   map[int]linkFault
	outage   bool
	requests bucket
	writes   bucket
	valueMax int
	txnOps   int
	// Shares of the transactions that get no answer: carried out late, or at once.
	lateShare, lostShare float64
	// beforeAnswer is called, outside of the lock, after a transaction of a controller was
	// carried out and before it is answered. It returns false if the answer is lost.
	beforeAnswer func(node int, keys []string) bool
}

// bucket is a rate limit with a burst of one second's worth.
type bucket struct {
	rate, level float64
	at          time.Time
}

func (b *bucket) take(n float64) bool {
	now := time.Now()
	b.level = min(b.rate, b.level+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.level < n {
		return false
	}
	b.level -= n
	return true
}

func newStore(rps, writeRPS float64, valueKB, txnOps int) *store {
	now := time.Now()
	s := &store{
		items: map[string]*storeItem{}, leases: map[uint64]*storeLease{}, changed: make(chan struct{}), faults: map[int]linkFault{},
		requests: bucket{rps, rps, now}, writes: bucket{writeRPS, writeRPS, now}, valueMax: valueKB << 10, txnOps: txnOps,
	}
	go s.expireLeases()
	return s
}

func (s *store) expireLeases() {
	for range time.Tick(10 * time.Millisecond) {
		s.mu.Lock()
		now := time.Now()
		for id, lease := range s.leases {
			if s.outage {
				lease.ends = now.Add(lease.life)
			} else if now.After(lease.ends) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.epoch++
			delete(s.items, key)
			s.record(storeEvent{Remove: key, Stamp: s.epoch})
		}
	}
}

func (s *store) record(event storeEvent) {
	s.history = append(s.history, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) setFault(node int, fault linkFault) {
	s.mu.Lock()
	s.faults[node] = fault
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
}

func (s *store) setOutage(on bool) {
	s.mu.Lock()
	s.outage = on
	now := time.Now()
	for _, lease := range s.leases {
		lease.ends = now.Add(lease.life)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
}

func (s *store) fault(node int) linkFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault := s.faults[node]
	fault.refuse = fault.refuse || s.outage
	return fault
}

// get returns the stored value of a key, for checks of the rig.
func (s *store) get(key string) (storeItem, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if item := s.items[key]; item != nil {
		return *item, true
	}
	return storeItem{}, false
}
