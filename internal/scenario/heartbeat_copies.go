package scenario

import (
	"time"

	"rockrun/internal/coordination/api"
	"rockrun/internal/protocol"
)

// copyReport lets a copy of a report arrive late, at any controller, whatever has
// become of the machine.
func (s *simulation) copyReport(r *protocol.AgentHeartbeat) {
	if s.keptCopies > 0 && len(s.kept) < mostKept && s.rand.Float64() < s.keptCopies {
		s.kept = append(s.kept, r)
	}
	if s.copies == 0 || s.rand.Float64() >= s.copies {
		return
	}
	late := s.copyLeast + time.Duration(s.rand.Int64N(int64(s.copyMost-s.copyLeast)+1))
	h := s.hosts[s.rand.IntN(len(s.hosts))]
	s.after(late, func() {
		if p := h.process; p != nil && !h.agentsPartitioned {
			p.guard(func() {
				p.controller.OnAgentHeartbeat(r, func(a api.Answer) { s.trace.answered(p.host.name, "report", a) })
			})()
		}
	})
}

// mostKept bounds the reports that are kept for the next leader.
const mostKept = 1000

// releaseCopies lets the kept copies of reports arrive at every controller, as a
// new leader begins.
func (s *simulation) releaseCopies() {
	if len(s.kept) > 0 {
		s.noteFault("replayed-heartbeats", time.Second)
	}
	for _, r := range s.kept {
		for _, h := range s.hosts {
			s.after(time.Duration(s.rand.Int64N(int64(time.Second))), func() {
				if p := h.process; p != nil && !h.agentsPartitioned {
					p.guard(func() {
						p.controller.OnAgentHeartbeat(r, func(a api.Answer) { s.trace.answered(p.host.name, "report", a) })
					})()
				}
			})
		}
	}
	s.kept = nil
}
