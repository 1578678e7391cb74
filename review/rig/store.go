package main

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
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

// handler serves one controller.
func (s *store) handler(node int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fault := s.fault(node)
		if fault.cut {
			s.drop(w, r, node)
			return
		}
		if fault.refuse {
			reply(w, http.StatusServiceUnavailable, `{"error":"trouble"}`)
			return
		}
		s.mu.Lock()
		allowed := s.requests.take(1)
		s.mu.Unlock()
		if !allowed {
			reply(w, http.StatusTooManyRequests, `{"error":"too many"}`)
			return
		}
		status, body := s.serve(node, r)
		fault = s.fault(node)
		if fault.cut || status == 0 {
			s.drop(w, r, node)
			return
		}
		if fault.delay > 0 {
			time.Sleep(fault.delay)
		}
		reply(w, status, body)
	})
}

// drop holds a connection without an answer until the client gives up.
func (s *store) drop(w http.ResponseWriter, r *http.Request, node int) {
	select {
	case <-r.Context().Done():
	case <-time.After(20 * time.Second):
	}
	panic(http.ErrAbortHandler)
}

func reply(w http.ResponseWriter, status int, body string) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write([]byte(body))
}

func encode(v any) string {
	data, _ := json.Marshal(v)
	return string(data)
}

// serve carries out a request. The status 0 means that the answer is lost.
func (s *store) serve(node int, r *http.Request) (int, string) {
	query := r.URL.Query()
	switch path := r.URL.Path; {
	case strings.HasPrefix(path, "/store/"):
		s.mu.Lock()
		defer s.mu.Unlock()
		if item := s.items[strings.TrimPrefix(path, "/store/")]; item != nil {
			return 200, encode(item)
		}
		return 404, encode(map[string]uint64{"epoch": s.epoch})
	case path == "/store":
		return s.list(query)
	case path == "/follow":
		return s.follow(node, query, r)
	case path == "/multi":
		return s.multi(node, r)
	case path == "/holds":
		var body struct {
			LifeMs int64 `json:"lifeMs"`
		}
		if json.NewDecoder(r.Body).Decode(&body) != nil || body.LifeMs < 100 || body.LifeMs > 600_000 {
			return 400, `{"error":"malformed"}`
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.lastID++
		life := time.Duration(body.LifeMs) * time.Millisecond
		s.leases[s.lastID] = &storeLease{life, time.Now().Add(life)}
		return 200, encode(map[string]uint64{"permit": s.lastID})
	case strings.HasPrefix(path, "/holds/"):
		return s.hold(r.Method, strings.TrimPrefix(path, "/holds/"))
	}
	return 400, `{"error":"malformed"}`
}

func (s *store) hold(method, rest string) (int, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	idText, touch := strings.CutSuffix(rest, "/touch")
	id, _ := strconv.ParseUint(idText, 10, 64)
	lease := s.leases[id]
	switch {
	case lease == nil:
		return 404, `{"error":"no such lease"}`
	case touch:
		lease.ends = time.Now().Add(lease.life)
	case method == http.MethodDelete:
		s.endLease(id)
	}
	return 200, `{}`
}

func (s *store) list(query url.Values) (int, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("from") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	most, err := strconv.Atoi(query.Get("most"))
	if err != nil || most > 1000 {
		most = 1000
	}
	items, size := []*storeItem{}, 0
	more := false
	for _, key := range keys {
		size += len(s.items[key].Data) + len(key) + 50
		if len(items) == most || size > 512<<10 {
			more = true
			break
		}
		items = append(items, s.items[key])
	}
	return 200, encode(map[string]any{"items": items, "more": more, "epoch": s.epoch})
}

func (s *store) follow(node int, query url.Values, r *http.Request) (int, string) {
	from, _ := strconv.ParseUint(query.Get("from"), 10, 64)
	block, _ := strconv.Atoi(query.Get("blockMs"))
	timeout := time.After(time.Duration(block) * time.Millisecond)
	for expired := false; ; {
		s.mu.Lock()
		fault := s.faults[node]
		silent := s.outage || fault.refuse || fault.cut
		events := []storeEvent{}
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Stamp > from })
		if len(s.history)-first > 10_000 {
			s.mu.Unlock()
			return 410, `{"error":"gone"}`
		}
		for _, event := range s.history[first:] {
			if strings.HasPrefix(event.Put+event.Remove, query.Get("prefix")) {
				events = append(events, event)
			}
		}
		epoch, changed := s.epoch, s.changed
		s.mu.Unlock()
		if !silent && (len(events) > 0 || expired || block == 0) {
			return 200, encode(map[string]any{"epoch": epoch, "events": events})
		}
		select {
		case <-changed:
		case <-timeout:
			expired = true
		case <-r.Context().Done():
			return 0, ""
		}
		if expired && silent { // an open watch waits as long as the trouble lasts
			select {
			case <-changed:
			case <-r.Context().Done():
				return 0, ""
			}
		}
	}
}

type transaction struct {
	When []struct {
		Key   string `json:"k"`
		Stamp uint64 `json:"stamp"`
	} `json:"when"`
	Apply []struct {
		Put    string          `json:"put"`
		Data   json.RawMessage `json:"data"`
		Lease  uint64          `json:"permit"`
		Remove string          `json:"remove"`
	} `json:"apply"`
}

func (s *store) multi(node int, r *http.Request) (int, string) {
	var body transaction
	r.Body = http.MaxBytesReader(nil, r.Body, 64<<10)
	if json.NewDecoder(r.Body).Decode(&body) != nil || len(body.Apply) > s.txnOps || len(body.When) > 4*s.txnOps {
		return 400, `{"error":"malformed"}`
	}
	s.mu.Lock()
	late, lost := s.lateShare, s.lostShare
	s.mu.Unlock()
	if rand.Float64() < late {
		time.AfterFunc(2*time.Second+time.Duration(rand.Int64N(int64(10*time.Second))), func() { s.carryOut(node, &body) })
		return 0, ""
	}
	status, answer := s.carryOut(node, &body)
	if rand.Float64() < lost {
		return 0, ""
	}
	return status, answer
}

func (s *store) carryOut(node int, body *transaction) (int, string) {
	s.mu.Lock()
	if !s.writes.take(float64(len(body.Apply))) {
		s.mu.Unlock()
		return 429, `{"error":"too many"}`
	}
	failed := []string{}
	for _, condition := range body.When {
		var stamp uint64
		if item := s.items[condition.Key]; item != nil {
			stamp = item.Stamp
		}
		if stamp != condition.Stamp {
			failed = append(failed, condition.Key)
		}
	}
	for _, op := range body.Apply {
		if len(op.Data) > s.valueMax {
			s.mu.Unlock()
			return 400, `{"error":"too large"}`
		}
		if op.Lease != 0 && s.leases[op.Lease] == nil {
			s.mu.Unlock()
			return 400, `{"error":"no such lease"}`
		}
	}
	if len(failed) > 0 {
		epoch := s.epoch
		s.mu.Unlock()
		return 409, encode(map[string]any{"failed": failed, "epoch": epoch})
	}
	var keys []string
	if len(body.Apply) > 0 {
		s.epoch++
	}
	for _, op := range body.Apply {
		if op.Put != "" {
			s.items[op.Put] = &storeItem{op.Put, op.Data, s.epoch, op.Lease}
			s.history = append(s.history, storeEvent{Put: op.Put, Data: op.Data, Stamp: s.epoch})
		} else if s.items[op.Remove] != nil {
			delete(s.items, op.Remove)
			s.history = append(s.history, storeEvent{Remove: op.Remove, Stamp: s.epoch})
		}
		keys = append(keys, op.Put+op.Remove)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	epoch, hook := s.epoch, s.beforeAnswer
	s.mu.Unlock()
	if hook != nil && !hook(node, keys) {
		return 0, ""
	}
	return 200, encode(map[string]uint64{"epoch": epoch})
}
