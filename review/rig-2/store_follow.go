package main

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// keptChanges is how many changes the store keeps.
const keptChanges = 10000

func (s *Store) follow(node int, w http.ResponseWriter, r *http.Request, delay func() time.Duration) {
	q := r.URL.Query()
	from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
	block, _ := strconv.Atoi(q.Get("blockMs"))
	end := time.After(time.Duration(block) * time.Millisecond)
	timeUp := block == 0
	for {
		status, out, changed := s.changes(node, q.Get("prefix"), from, timeUp)
		if status != 0 {
			if delay != nil {
				time.Sleep(delay())
			}
			s.dropIfCut(node, w, r)
			reply(w, status, out)
			return
		}
		s.dropIfCut(node, w, r)
		select {
		case <-changed:
		case <-end:
			timeUp, end = true, nil
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) dropIfCut(node int, w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	gone := s.cut[node]
	s.mu.Unlock()
	if gone {
		drop(w, r)
	}
}

// changes returns the answer to a watch, or status 0 while there is none; changed is then closed
// at the next change.
func (s *Store) changes(node int, prefix string, from uint64, timeUp bool) (status int, out m, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable(node) {
		return 0, nil, s.changed
	}
	if n := len(s.log); n > keptChanges && s.log[n-keptChanges].Stamp > from+1 {
		return http.StatusGone, m{"error": "too old"}, nil
	}
	first, _ := slices.BinarySearchFunc(s.log, from+1, func(e event, stamp uint64) int {
		if e.Stamp < stamp {
			return -1
		}
		return 1
	})
	events := []event{}
	for _, e := range s.log[first:] {
		if strings.HasPrefix(e.Put+e.Remove, prefix) {
			events = append(events, e)
		}
	}
	if len(events) == 0 && !timeUp {
		return 0, nil, s.changed
	}
	return http.StatusOK, m{"epoch": s.rev, "events": events}, nil
}
