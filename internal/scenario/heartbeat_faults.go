package scenario

import (
	"time"

	"rockrun/internal/coordination/api"
	"rockrun/internal/protocol"
)

// heartbeatFaults are what happens to agents' heartbeats on their way.
type heartbeatFaults struct {
	duplicateShare float64 // of which a second copy arrives late
	least, most    time.Duration

	replayShare float64 // of which a copy is kept for the next leader
	kept        []*protocol.AgentHeartbeat
}

// maxKeptHeartbeats bounds the heartbeats that are kept for the next leader.
const maxKeptHeartbeats = 1000

// copyHeartbeat lets a copy of a heartbeat arrive late, at any controller, whatever has
// become of the machine, and keeps another for the next leader.
func (s *simulation) copyHeartbeat(heartbeat *protocol.AgentHeartbeat) {
	faults := &s.network.heartbeats
	if faults.replayShare > 0 && len(faults.kept) < maxKeptHeartbeats && s.rand.Float64() < faults.replayShare {
		faults.kept = append(faults.kept, heartbeat)
	}
	if faults.duplicateShare == 0 || s.rand.Float64() >= faults.duplicateShare {
		return
	}
	delay := s.randomBetween(faults.least, faults.most)
	receiver := s.hosts[s.rand.IntN(len(s.hosts))]
	s.after(delay, func() { receiver.receiveCopy(heartbeat) })
}

// replayHeartbeats lets the kept heartbeats arrive at every controller, as a new leader
// begins.
func (s *simulation) replayHeartbeats() {
	if len(s.network.heartbeats.kept) > 0 {
		s.faults.note("replayed-heartbeats", time.Second)
	}
	for _, heartbeat := range s.network.heartbeats.kept {
		for _, receiver := range s.hosts {
			s.after(s.randomBelow(time.Second), func() { receiver.receiveCopy(heartbeat) })
		}
	}
	s.network.heartbeats.kept = nil
}

// receiveCopy hands a copy of a heartbeat to the process that runs, whose answer reaches
// nobody.
func (h *host) receiveCopy(heartbeat *protocol.AgentHeartbeat) {
	p := h.process
	if p == nil || h.agentsPartitioned {
		return
	}
	p.guard(func() {
		p.controller.OnAgentHeartbeat(heartbeat, func(answer api.Answer) {
			h.sim.trace.answered(h.name, kindHeartbeatAnswer, answer)
		})
	})()
}
