package main

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"
)

// transaction is the body of a request to change keys.
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
