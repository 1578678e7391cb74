package scenario

import "time"

// Latency of a message on the network of a scenario.
const (
	minLatency    = time.Millisecond
	latencyJitter = 3 * time.Millisecond
)

// networkFaults are the faults of the network that are no host's or machine's own.
type networkFaults struct {
	partitionedZone string // cut off from all else; "": none
	commands        commandFaults
	heartbeats      heartbeatFaults
}

// latency draws how long a message is on its way.
func (s *simulation) latency() time.Duration { return minLatency + s.randomBelow(latencyJitter) }

// reachable reports whether messages pass between a controller and a machine.
func (s *simulation) reachable(h *host, agent *fakeAgent) bool {
	if h.agentsPartitioned {
		return false
	}
	return s.network.partitionedZone == "" || (h.zone == s.network.partitionedZone) == (agent.machine.Zone == s.network.partitionedZone)
}

// partitionZone cuts a zone off from everything else: its machines and the controllers
// in it reach each other and nobody more. What is on its way is lost.
func (s *simulation) partitionZone(zone string, lasting time.Duration) {
	s.faults.note("zone-partition", lasting)
	s.network.partitionedZone = zone
	s.partitionHostsIn(zone, true)
	s.after(lasting, func() {
		s.network.partitionedZone = ""
		s.partitionHostsIn(zone, false)
	})
}

// partitionHostsIn cuts the controllers in a zone off from the store and from their peers,
// or ends that.
func (s *simulation) partitionHostsIn(zone string, cut bool) {
	for _, h := range s.hosts {
		if h.zone == zone {
			h.setPartition(partStore, cut)
			h.setPartition(partPeers, cut)
		}
	}
}
