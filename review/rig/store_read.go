package main

import (
	"net/http"
	"net/url"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"
)

func (s *store) list(query url.Values) (int, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("from") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
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

// follow waits until a key with the prefix has changed or the time is over. A watch that is open
// when a trouble begins waits as long as the trouble lasts.
func (s *store) follow(node int, query url.Values, r *http.Request) (int, string) {
	from, _ := strconv.ParseUint(query.Get("from"), 10, 64)
	block, _ := strconv.Atoi(query.Get("blockMs"))
	end := time.Now().Add(time.Duration(block) * time.Millisecond)
	for {
		changes := s.changesAfter(node, query.Get("prefix"), from)
		left := time.Until(end)
		if changes.status != 0 && (changes.any || left <= 0) {
			return changes.status, changes.answer
		}
		var timeout <-chan time.Time
		if left > 0 {
			timeout = time.After(left)
		}
		select {
		case <-changes.next:
		case <-timeout:
		case <-r.Context().Done():
			return 0, ""
		}
	}
}

// watchAnswer is what a watch would be answered now.
type watchAnswer struct {
	status int // 0 while the node gets no answer
	answer string
	any    bool            // there are changes
	next   <-chan struct{} // closed at the next change
}

// changesAfter returns the answer to a watch of a controller.
func (s *store) changesAfter(node int, prefix string, from uint64) watchAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if fault := s.faults[node]; s.outage || fault.refuse || fault.cut {
		return watchAnswer{next: s.changed}
	}
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Stamp > from })
	if len(s.history)-first > 10_000 {
		return watchAnswer{410, `{"error":"gone"}`, true, s.changed}
	}
	events := []storeEvent{}
	for _, event := range s.history[first:] {
		if strings.HasPrefix(event.Put+event.Remove, prefix) {
			events = append(events, event)
		}
	}
	return watchAnswer{200, encode(map[string]any{"epoch": s.epoch, "events": events}), len(events) > 0, s.changed}
}
