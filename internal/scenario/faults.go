package scenario

import (
	"time"
)

// faultSpan is a time during which a fault lasted; a confirmed cancellation is one
// without length. Scenarios that make two faults overlap prove by them that they
// did.
type faultSpan struct {
	name     string
	key      string // tells those apart that last at the same time
	begin, end time.Duration
}

// noteFault notes that a fault lasts for so long from now on.
func (s *simulation) noteFault(name string, d time.Duration) {
	s.spans = append(s.spans, faultSpan{name: name, begin: s.now, end: s.now + d})
}

// faultBegins and faultEnds note a fault whose end is not known when it begins; key
// tells those apart that last at the same time.
func (s *simulation) faultBegins(name, key string) {
	s.spans = append(s.spans, faultSpan{name: name, key: key, begin: s.now, end: -1})
}

func (s *simulation) faultEnds(name, key string) {
	for i := range s.spans {
		if p := &s.spans[i]; p.name == name && p.key == key && p.end < 0 {
			p.end = s.now
		}
	}
}

// A handover is noted from a moment before the grant, while the last holder may
// still act, until the new one has heard its machines.
const (
	handoverBefore = time.Second
	handoverAfter  = 3 * time.Second
)

// noteHandover notes that the machines of a shard change hands now.
func (s *simulation) noteHandover() {
	s.spans = append(s.spans, faultSpan{name: "handover", begin: s.now - handoverBefore, end: s.now + handoverAfter})
}

// apart cuts a zone off from everything else: its machines and the controllers
// in it reach each other and nobody more. What is on its way is lost.
func (s *simulation) partitionZone(zone string, d time.Duration) {
	s.noteFault("zone-partition", d)
	s.cutZone = zone
	for _, h := range s.hosts {
		if h.zone == zone {
			h.setPartition("store", true)
			h.setPartition("peers", true)
		}
	}
	s.after(d, func() {
		s.cutZone = ""
		for _, h := range s.hosts {
			if h.zone == zone {
				h.setPartition("store", false)
				h.setPartition("peers", false)
			}
		}
	})
}

// reach reports whether messages pass between a controller and a machine.
func (s *simulation) reachable(h *host, w *fakeAgent) bool {
	return !h.agentsPartitioned && (s.cutZone == "" || (h.zone == s.cutZone) == (w.machine.Zone == s.cutZone))
}

// overlaps reports how often two faults lasted at the same time.
func (s *simulation) overlaps(a, b string) int {
	n := 0
	for _, x := range s.spans {
		for _, y := range s.spans {
			if x.name != a || y.name != b || x == y {
				continue
			}
			endX, endY := x.end, y.end
			if endX < 0 {
				endX = s.now
			}
			if endY < 0 {
				endY = s.now
			}
			if max(x.begin, y.begin) <= min(endX, endY) {
				n++
			}
		}
	}
	return n
}
