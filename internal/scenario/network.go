package scenario

import "time"

// Latency of a message on the simulated network.
const (
	minLatency    = time.Millisecond
	latencyJitter = 3 * time.Millisecond
)

// networkFaults are the network faults that do not belong to a single host or machine.
type networkFaults struct {
	partitionedZone string // cut off from all other zones; "": none
	commands        commandFaults
	heartbeats      heartbeatFaults
}

// latency draws the latency of a message.
func (s *simulation) latency() time.Duration { return minLatency + s.randomBelow(latencyJitter) }

// reachable reports whether a controller's host and an agent can exchange messages.
func (s *simulation) reachable(h *host, agent *fakeAgent) bool {
	if h.agentsPartitioned {
		return false
	}
	return s.network.partitionedZone == "" || (h.zone == s.network.partitionedZone) == (agent.machine.Zone == s.network.partitionedZone)
}

// partitionZone cuts a zone off from all other zones and from the store. Machines and
// controllers inside the zone still reach each other; the controllers lose all their peers.
// Heartbeats in transit and their answers are lost.
func (s *simulation) partitionZone(zone string, duration time.Duration) {
	s.faults.record("zone-partition", duration)
	s.network.partitionedZone = zone
	s.setHostsPartitioned(zone, true)
	s.after(duration, func() {
		s.network.partitionedZone = ""
		s.setHostsPartitioned(zone, false)
	})
}

// setHostsPartitioned cuts or heals the connections of a zone's controllers to the store and
// to their peers.
func (s *simulation) setHostsPartitioned(zone string, partitioned bool) {
	for _, h := range s.hosts {
		if h.zone == zone {
			h.setPartition(partStore, partitioned)
			h.setPartition(partPeers, partitioned)
		}
	}
}
