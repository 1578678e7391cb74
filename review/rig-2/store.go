package main

import (
	"encoding/json"
	"math/rand"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in for the state service. Every controller has its own address, so that
// faults can concern one controller alone.
type Store struct {
	mu       sync.Mutex
	changed  chan struct{} // closed and replaced at each change
	rev      uint64
	items    map[string]*item
	log      []event
	leases   map[uint64]*lease
	nextID   uint64
	outage   bool
	refused  map[int]bool // 503 for one controller
	cut      map[int]bool // no answer and no execution for one controller
	delay    map[int]func() time.Duration
	lateRate float64 // share of transactions that get no answer and are carried out late
	lostRate float64 // share of transactions that are carried out and whose answer is lost
	limits   StoreLimits
	reqs     bucket
	writes   bucket
	rec      *Recorder
}

// StoreLimits are the limits of the settings.
type StoreLimits struct {
	RPS, WriteRPS, ValueKB float64
	Ops                    int
}

type item struct {
	data  json.RawMessage
	stamp uint64
	lease uint64
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

type event struct {
	Put    string          `json:"put,omitempty"`
	Remove string          `json:"remove,omitempty"`
	Data   json.RawMessage `json:"data,omitempty"`
	Stamp  uint64          `json:"stamp"`
}

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

func newStore(rec *Recorder, l StoreLimits) *Store {
	now := time.Now()
	s := &Store{changed: make(chan struct{}), items: map[string]*item{}, leases: map[uint64]*lease{},
		refused: map[int]bool{}, cut: map[int]bool{}, delay: map[int]func() time.Duration{}, limits: l, rec: rec,
		reqs: bucket{l.RPS, l.RPS, now}, writes: bucket{l.WriteRPS, l.WriteRPS, now}}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

func (s *Store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return
	}
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for k, it := range s.items {
		if it.lease == id {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return
	}
	s.rev++
	for _, k := range keys {
		delete(s.items, k)
		s.log = append(s.log, event{Remove: k, Stamp: s.rev})
	}
	s.notify()
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetOutage begins or ends an outage. After it all leases have their full time again.
func (s *Store) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage && !on {
		for _, l := range s.leases {
			l.expires = time.Now().Add(l.ttl)
		}
	}
	s.outage = on
	s.rec.Log("fault state outage=%v", on)
	s.notify()
}

// Refuse makes the store answer 503 to one controller, or ends that.
func (s *Store) Refuse(node int, on bool) {
	s.mu.Lock()
	s.refused[node] = on
	s.rec.Log("fault state refuses node %d: %v", node, on)
	s.notify()
	s.mu.Unlock()
}

// Cut takes the state service from one controller without an answer, or ends that.
func (s *Store) Cut(node int, on bool) {
	s.mu.Lock()
	s.cut[node] = on
	s.rec.Log("fault state cut from node %d: %v", node, on)
	s.notify()
	s.mu.Unlock()
}

func (s *Store) unavailable(node int) bool { return s.outage || s.refused[node] }

// Serve serves one controller on its own address.
func (s *Store) Serve(node int) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.handle(node, w, r) })}
	go srv.Serve(l)
	return l.Addr().String()
}

func drop(_ http.ResponseWriter, r *http.Request) {
	// No answer: the caller gives up by itself.
	select {
	case <-r.Context().Done():
	case <-time.After(15 * time.Second):
	}
	panic(http.ErrAbortHandler)
}

func reply(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(data)
}

type m = map[string]any

// Get reads a value for the rig itself.
func (s *Store) Get(key string) (json.RawMessage, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if it := s.items[key]; it != nil {
		return it.data, true
	}
	return nil, false
}

// Keys lists the keys with a prefix, for the rig itself.
func (s *Store) Keys(prefix string) (keys []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.items {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}

// SetRates sets the share of transactions that are carried out late, and of those whose answer is
// lost.
func (s *Store) SetRates(late, lost float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateRate, s.lostRate = late, lost
	s.rec.Log("fault transactions late %.1f, answers lost %.1f", late, lost)
}

// Slow delays the answers to one controller by up to 1.5 s, or ends that.
func (s *Store) Slow(node int, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rec.Log("fault state slow for node %d: %v", node, on)
	delete(s.delay, node)
	if on {
		s.delay[node] = func() time.Duration { return time.Duration(rand.Intn(1500)) * time.Millisecond }
	}
}
