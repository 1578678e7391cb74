package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

func (s *Store) handle(node int, w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	delay, isCut := s.delay[node], s.cut[node]
	s.mu.Unlock()
	if isCut {
		drop(w, r)
	}
	follows := r.URL.Path == "/follow"
	if delay != nil && !follows {
		time.Sleep(delay())
	}
	s.mu.Lock()
	switch {
	case s.unavailable(node):
		s.mu.Unlock()
		reply(w, http.StatusServiceUnavailable, m{"error": "unavailable"})
	case !s.reqs.take(1):
		s.mu.Unlock()
		reply(w, http.StatusTooManyRequests, m{"error": "too many"})
	case follows:
		s.mu.Unlock()
		s.follow(node, w, r, delay)
	case r.URL.Path == "/multi":
		s.mu.Unlock()
		s.multi(node, w, r, body)
	default:
		status, answer := s.answer(r, body)
		s.mu.Unlock()
		reply(w, status, answer)
	}
}

// answer answers a request that neither waits nor writes; the caller holds the lock.
func (s *Store) answer(r *http.Request, body []byte) (int, m) {
	path := r.URL.Path
	switch {
	case r.Method == http.MethodGet && strings.HasPrefix(path, "/store/"):
		return s.read(strings.TrimPrefix(path, "/store/"))
	case r.Method == http.MethodGet && path == "/store":
		return s.list(r)
	case path == "/holds":
		return s.openLease(body)
	case strings.HasPrefix(path, "/holds/"):
		return s.useLease(r.Method, strings.TrimPrefix(path, "/holds/"))
	}
	return http.StatusBadRequest, m{"error": "malformed"}
}

func (s *Store) read(key string) (int, m) {
	it := s.items[key]
	if it == nil {
		return http.StatusNotFound, m{"epoch": s.rev}
	}
	return http.StatusOK, it.entry(key)
}

func (it *item) entry(key string) m {
	e := m{"k": key, "data": it.data, "stamp": it.stamp}
	if it.lease != 0 {
		e["permit"] = it.lease
	}
	return e
}

func (s *Store) openLease(body []byte) (int, m) {
	var in struct{ LifeMs int64 }
	if json.Unmarshal(body, &in) != nil || in.LifeMs < 100 || in.LifeMs > 600000 {
		return http.StatusBadRequest, m{"error": "lifeMs"}
	}
	s.nextID++
	ttl := time.Duration(in.LifeMs) * time.Millisecond
	s.leases[s.nextID] = &lease{ttl, time.Now().Add(ttl)}
	return http.StatusOK, m{"permit": s.nextID}
}

func (s *Store) useLease(method, path string) (int, m) {
	number, _, _ := strings.Cut(path, "/")
	id, _ := strconv.ParseUint(number, 10, 64)
	l := s.leases[id]
	switch {
	case l == nil:
		return http.StatusNotFound, m{"error": "no such lease"}
	case method == http.MethodDelete:
		s.endLease(id)
	default:
		l.expires = time.Now().Add(l.ttl)
	}
	return http.StatusOK, m{}
}

func (s *Store) list(r *http.Request) (int, m) {
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
	slices.Sort(keys)
	out, size, more := []m{}, 0, false
	for _, k := range keys {
		it := s.items[k]
		if len(out) >= most || size+len(it.data) > 500<<10 {
			more = true
			break
		}
		size += len(it.data) + len(k) + 40
		out = append(out, it.entry(k))
	}
	return http.StatusOK, m{"items": out, "more": more, "epoch": s.rev}
}
