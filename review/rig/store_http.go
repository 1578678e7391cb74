package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// handler serves one controller.
func (s *store) handler(node int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fault := s.fault(node)
		if fault.cut {
			s.drop(r)
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
			s.drop(r)
			return
		}
		if fault.delay > 0 {
			time.Sleep(fault.delay)
		}
		reply(w, status, body)
	})
}

// drop holds a connection without an answer until the client gives up.
func (s *store) drop(r *http.Request) {
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
