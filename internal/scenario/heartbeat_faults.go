package scenario

import (
	"time"

	"rockrun/internal/coordination/api"
	"rockrun/internal/protocol"
)

// heartbeatFaults are the faults injected into agent heartbeats. Each share is a probability
// per heartbeat.
type heartbeatFaults struct {
	duplicateShare     float64       // delivered a second time after a delay
	minDelay, maxDelay time.Duration // bounds of the delay of duplicates

	replayShare float64 // recorded and replayed when the next leader is elected
	recorded    []*protocol.AgentHeartbeat
}

// maxRecordedHeartbeats bounds the heartbeats recorded for replay.
const maxRecordedHeartbeats = 1000

// injectHeartbeatCopies records a heartbeat for replay and delivers a delayed copy to a random
// controller, each with its configured probability. The copy arrives even if the machine is
// gone by then.
func (s *simulation) injectHeartbeatCopies(heartbeat *protocol.AgentHeartbeat) {
	faults := &s.network.heartbeats
	if faults.replayShare > 0 && len(faults.recorded) < maxRecordedHeartbeats && s.rand.Float64() < faults.replayShare {
		faults.recorded = append(faults.recorded, heartbeat)
	}
	if faults.duplicateShare == 0 || s.rand.Float64() >= faults.duplicateShare {
		return
	}
	delay := s.randomBetween(faults.minDelay, faults.maxDelay)
	receiver := s.hosts[s.rand.IntN(len(s.hosts))]
	s.after(delay, func() { receiver.receiveHeartbeatCopy(heartbeat) })
}

// replayHeartbeats delivers the recorded heartbeats to every controller when a new leader is
// elected.
func (s *simulation) replayHeartbeats() {
	if len(s.network.heartbeats.recorded) > 0 {
		s.faults.record("replayed-heartbeats", time.Second)
	}
	for _, heartbeat := range s.network.heartbeats.recorded {
		for _, receiver := range s.hosts {
			s.after(s.randomBelow(time.Second), func() { receiver.receiveHeartbeatCopy(heartbeat) })
		}
	}
	s.network.heartbeats.recorded = nil
}

// receiveHeartbeatCopy passes a copy of a heartbeat to the host's running process. The answer
// is discarded.
func (h *host) receiveHeartbeatCopy(heartbeat *protocol.AgentHeartbeat) {
	p := h.process
	if p == nil || h.agentsPartitioned {
		return
	}
	p.guard(func() {
		p.controller.OnAgentHeartbeat(heartbeat, func(answer api.Answer) {
			h.sim.trace.recordAnswer(h.name, kindHeartbeatAnswer, answer)
		})
	})()
}
