package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"sort"
	"strconv"
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
	lateKey  string  // only transactions that put or remove a key with this prefix
	limits   StoreLimits
	reqs     bucket
	writes   bucket
	onCommit func(node int, body []byte)
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

func drop(w http.ResponseWriter, r *http.Request) {
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

func (s *Store) handle(node int, w http.ResponseWriter, r *http.Request) {
	var body json.RawMessage
	if r.Method == "POST" {
		buf := make([]byte, 0, 1024)
		tmp := make([]byte, 4096)
		for {
			n, err := r.Body.Read(tmp)
			buf = append(buf, tmp[:n]...)
			if err != nil {
				break
			}
		}
		body = buf
	}
	s.mu.Lock()
	d := s.delay[node]
	isCut := s.cut[node]
	s.mu.Unlock()
	if isCut {
		drop(w, r)
	}
	if d != nil && !strings.HasPrefix(r.URL.Path, "/follow") {
		time.Sleep(d())
	}
	s.mu.Lock()
	if s.unavailable(node) {
		s.mu.Unlock()
		reply(w, 503, m{"error": "unavailable"})
		return
	}
	if !s.reqs.take(1) {
		s.mu.Unlock()
		reply(w, 429, m{"error": "too many"})
		return
	}
	p := r.URL.Path
	switch {
	case r.Method == "GET" && strings.HasPrefix(p, "/store/"):
		defer s.mu.Unlock()
		key := strings.TrimPrefix(p, "/store/")
		it := s.items[key]
		if it == nil {
			reply(w, 404, m{"epoch": s.rev})
			return
		}
		out := m{"k": key, "data": it.data, "stamp": it.stamp}
		if it.lease != 0 {
			out["permit"] = it.lease
		}
		reply(w, 200, out)
	case r.Method == "GET" && p == "/store":
		defer s.mu.Unlock()
		s.list(w, r)
	case p == "/multi":
		s.mu.Unlock()
		s.multi(node, w, r, body)
	case p == "/holds" && r.Method == "POST":
		defer s.mu.Unlock()
		var in struct{ LifeMs int64 }
		json.Unmarshal(body, &in)
		if in.LifeMs < 100 || in.LifeMs > 600000 {
			reply(w, 400, m{"error": "lifeMs"})
			return
		}
		s.nextID++
		ttl := time.Duration(in.LifeMs) * time.Millisecond
		s.leases[s.nextID] = &lease{ttl, time.Now().Add(ttl)}
		reply(w, 200, m{"permit": s.nextID})
	case strings.HasPrefix(p, "/holds/"):
		defer s.mu.Unlock()
		parts := strings.Split(strings.TrimPrefix(p, "/holds/"), "/")
		id, _ := strconv.ParseUint(parts[0], 10, 64)
		l := s.leases[id]
		switch {
		case l == nil:
			reply(w, 404, m{"error": "no such lease"})
		case r.Method == "DELETE":
			s.endLease(id)
			reply(w, 200, m{})
		default:
			l.expires = time.Now().Add(l.ttl)
			reply(w, 200, m{})
		}
	case p == "/follow":
		s.mu.Unlock()
		s.follow(node, w, r, d)
	default:
		s.mu.Unlock()
		reply(w, 400, m{"error": "malformed"})
	}
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	prefix, from := r.URL.Query().Get("prefix"), r.URL.Query().Get("from")
	most, _ := strconv.Atoi(r.URL.Query().Get("most"))
	if most <= 0 || most > 1000 {
		most = 1000
	}
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > from {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	var out []m
	size := 0
	more := false
	for i, k := range keys {
		it := s.items[k]
		if len(out) >= most || size+len(it.data) > 500<<10 {
			more = i < len(keys)
			break
		}
		size += len(it.data) + len(k) + 40
		e := m{"k": k, "data": it.data, "stamp": it.stamp}
		if it.lease != 0 {
			e["permit"] = it.lease
		}
		out = append(out, e)
	}
	reply(w, 200, m{"items": out, "more": more, "epoch": s.rev})
}

type txn struct {
	When []struct {
		K     string
		Stamp uint64
	}
	Apply []struct {
		Put    string
		Remove string
		Data   json.RawMessage
		Permit uint64
	}
}

func (s *Store) multi(node int, w http.ResponseWriter, r *http.Request, body []byte) {
	var t txn
	if json.Unmarshal(body, &t) != nil {
		reply(w, 400, m{"error": "malformed"})
		return
	}
	s.mu.Lock()
	if s.onCommit != nil {
		s.onCommit(node, body)
	}
	touches := s.lateKey == ""
	for _, op := range t.Apply {
		if s.lateKey != "" && (strings.HasPrefix(op.Put, s.lateKey) || strings.HasPrefix(op.Remove, s.lateKey)) {
			touches = true
		}
	}
	late := touches && s.lateRate > 0 && rand.Float64() < s.lateRate
	lost := touches && s.lostRate > 0 && rand.Float64() < s.lostRate
	s.mu.Unlock()
	if late {
		wait := 2*time.Second + time.Duration(rand.Int63n(int64(10*time.Second)))
		time.AfterFunc(wait, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if !s.unavailable(node) {
				s.apply(&t, len(body))
			}
		})
		drop(w, r)
	}
	s.mu.Lock()
	status, out := s.apply(&t, len(body))
	s.mu.Unlock()
	if lost {
		drop(w, r)
	}
	reply(w, status, out)
}

func (s *Store) apply(t *txn, size int) (int, m) {
	if len(t.Apply) > s.limits.Ops || len(t.When) > 4*s.limits.Ops || size > 64<<10 {
		s.rec.Log("store: transaction over the limits: %d changes, %d conditions, %d bytes", len(t.Apply), len(t.When), size)
		return 400, m{"error": "too large"}
	}
	for _, op := range t.Apply {
		if float64(len(op.Data)) > s.limits.ValueKB*1024 {
			s.rec.Log("store: value over the limit: %s %d bytes", op.Put, len(op.Data))
			return 400, m{"error": "value too large"}
		}
		if op.Put != "" && op.Permit != 0 && s.leases[op.Permit] == nil {
			return 400, m{"error": "no such lease"}
		}
	}
	if !s.writes.take(float64(len(t.Apply))) {
		return 429, m{"error": "too many"}
	}
	var failed []string
	for _, c := range t.When {
		have := uint64(0)
		if it := s.items[c.K]; it != nil {
			have = it.stamp
		}
		if have != c.Stamp {
			failed = append(failed, c.K)
		}
	}
	if len(failed) > 0 {
		return 409, m{"failed": failed, "epoch": s.rev}
	}
	if len(t.Apply) > 0 {
		s.rev++
		for _, op := range t.Apply {
			if op.Put != "" {
				s.items[op.Put] = &item{op.Data, s.rev, op.Permit}
				s.log = append(s.log, event{Put: op.Put, Data: op.Data, Stamp: s.rev})
			} else if s.items[op.Remove] != nil {
				delete(s.items, op.Remove)
				s.log = append(s.log, event{Remove: op.Remove, Stamp: s.rev})
			}
		}
		s.notify()
	}
	return 200, m{"epoch": s.rev}
}

func (s *Store) follow(node int, w http.ResponseWriter, r *http.Request, delay func() time.Duration) {
	q := r.URL.Query()
	prefix := q.Get("prefix")
	from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
	block, _ := strconv.Atoi(q.Get("blockMs"))
	end := time.After(time.Duration(block) * time.Millisecond)
	timeUp := block == 0
	for {
		s.mu.Lock()
		if s.cut[node] {
			s.mu.Unlock()
			drop(w, r)
		}
		if !s.unavailable(node) {
			if n := len(s.log); n > 10000 && s.log[n-10000].Stamp > from+1 {
				s.mu.Unlock()
				reply(w, 410, m{"error": "too old"})
				return
			}
			evs := []event{}
			i := sort.Search(len(s.log), func(i int) bool { return s.log[i].Stamp > from })
			for ; i < len(s.log); i++ {
				e := s.log[i]
				if strings.HasPrefix(e.Put+e.Remove, prefix) {
					evs = append(evs, e)
				}
			}
			if len(evs) > 0 || timeUp {
				out := m{"epoch": s.rev, "events": evs}
				s.mu.Unlock()
				if delay != nil {
					time.Sleep(delay())
					s.mu.Lock()
					gone := s.cut[node]
					s.mu.Unlock()
					if gone {
						drop(w, r)
					}
				}
				reply(w, 200, out)
				return
			}
		}
		ch := s.changed
		s.mu.Unlock()
		select {
		case <-ch:
		case <-end:
			timeUp = true
			end = nil
		case <-r.Context().Done():
			return
		}
	}
}

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
	sort.Strings(keys)
	return keys
}

func must(err error) {
	if err != nil {
		fmt.Println("rig:", err)
		exit(2)
	}
}
