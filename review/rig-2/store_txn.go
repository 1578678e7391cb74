package main

import (
	"encoding/json"
	"math/rand"
	"net/http"
	"time"
)

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
	late := s.lateRate > 0 && rand.Float64() < s.lateRate
	lost := s.lostRate > 0 && rand.Float64() < s.lostRate
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
	if refusal := s.refusal(t, size); refusal != "" {
		return http.StatusBadRequest, m{"error": refusal}
	}
	if !s.writes.take(float64(len(t.Apply))) {
		return http.StatusTooManyRequests, m{"error": "too many"}
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
		return http.StatusConflict, m{"failed": failed, "epoch": s.rev}
	}
	if len(t.Apply) > 0 {
		s.write(t)
	}
	return http.StatusOK, m{"epoch": s.rev}
}

// refusal returns why a transaction is refused for good, or nothing.
func (s *Store) refusal(t *txn, size int) string {
	if len(t.Apply) > s.limits.Ops || len(t.When) > 4*s.limits.Ops || size > 64<<10 {
		s.rec.Log("store: transaction over the limits: %d changes, %d conditions, %d bytes", len(t.Apply), len(t.When), size)
		return "too large"
	}
	for _, op := range t.Apply {
		if float64(len(op.Data)) > s.limits.ValueKB*1024 {
			s.rec.Log("store: value over the limit: %s %d bytes", op.Put, len(op.Data))
			return "value too large"
		}
		if op.Put != "" && op.Permit != 0 && s.leases[op.Permit] == nil {
			return "no such lease"
		}
	}
	return ""
}

func (s *Store) write(t *txn) {
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
