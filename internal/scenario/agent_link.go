package scenario

import (
	"time"

	"rockrun/internal/protocol"
)

// commandFaults are the faults injected into command requests. Each share is a probability
// per request.
type commandFaults struct {
	duplicateShare float64 // executed a second time after a delay

	delayedShare       float64       // executed late and never answered
	minDelay, maxDelay time.Duration // bounds of the delay of delayedShare

	latencyShare float64       // delayed on the way to the agent or on the way back
	maxLatency   time.Duration // bound of the delay of latencyShare
}

const (
	// commandTimeout is how long a controller waits for the answer to a command request.
	commandTimeout = 2 * time.Second
	// maxDuplicateDelay bounds the delay between a command request and its duplicate.
	maxDuplicateDelay = 20 * time.Second
)

// agentLink connects a controller process to the agents.
type agentLink struct{ process *process }

// Execute implements coordination.Agents.
func (l agentLink) Execute(address string, request protocol.CommandRequest, done func(*protocol.AgentHeartbeat, bool, error)) {
	sim := l.process.host.sim
	sim.trace.recordJSON(l.process.host.name, "command "+address, request)
	delivery := &commandDelivery{sim: sim, sender: l.process, request: request, done: done}
	agent := sim.agentAt(address)
	switch {
	case agent == nil || !sim.reachable(l.process.host, agent):
		delivery.fail()
	case agent.partitioned || agent.isPaused():
		// Queued until the partition or pause ends, and executed if the machine still exists.
		agent.queuedMessages = append(agent.queuedMessages, func() {
			if !agent.dead {
				agent.execute(request)
			}
		})
		delivery.fail()
	case sim.network.commands.delayedShare > 0 && sim.rand.Float64() < sim.network.commands.delayedShare:
		delivery.deliverLate(agent)
		delivery.fail()
	default:
		delivery.deliver(agent)
	}
}

// agentAt returns the agent with an address, or nil if there is none.
func (s *simulation) agentAt(address string) *fakeAgent {
	for _, agent := range s.agents {
		if agent.machine.Address == address {
			return agent
		}
	}
	return nil
}

// commandDelivery is a command request in transit to an agent.
type commandDelivery struct {
	sim      *simulation
	sender   *process
	request  protocol.CommandRequest
	done     func(*protocol.AgentHeartbeat, bool, error)
	timedOut bool // the delays exceed commandTimeout, so the sender ignores the answer
}

// fail reports an unknown outcome to the sender after commandTimeout.
func (d *commandDelivery) fail() {
	d.sim.after(commandTimeout, d.sender.guard(func() { d.done(nil, false, protocol.ErrOutcomeUnknown) }))
}

// deliverLate delivers the commands after a delay. The agent still checks their fencing
// token and epoch.
func (d *commandDelivery) deliverLate(agent *fakeAgent) {
	delay := d.sim.randomBetween(d.sim.network.commands.minDelay, d.sim.network.commands.maxDelay)
	d.sim.faults.record("delayed-command", delay)
	d.sim.after(delay, func() {
		if !agent.dead && !agent.isPaused() {
			agent.execute(d.request)
		}
	})
}

// deliver sends the commands. If the injected delay of the request or of its answer exceeds
// commandTimeout, the sender times out first.
func (d *commandDelivery) deliver(agent *fakeAgent) {
	sim := d.sim
	requestDelay, answerDelay := sim.latency(), time.Duration(0)
	if sim.network.commands.latencyShare > 0 && sim.rand.Float64() < sim.network.commands.latencyShare {
		sim.faults.record("command-latency", sim.network.commands.maxLatency)
		delay := sim.randomBelow(sim.network.commands.maxLatency)
		if sim.rand.IntN(2) == 0 {
			requestDelay += delay
		} else {
			answerDelay += delay
		}
	}
	d.timedOut = requestDelay+answerDelay > commandTimeout
	if d.timedOut {
		d.fail()
	}
	sim.after(requestDelay, func() { d.executeAndAnswer(agent, answerDelay) })
}

// executeAndAnswer executes the commands and answers after extraDelay and the latency of a
// message.
func (d *commandDelivery) executeAndAnswer(agent *fakeAgent, extraDelay time.Duration) {
	if agent.dead || agent.partitioned || agent.inboundPartition || agent.isPaused() {
		if !d.timedOut {
			d.fail()
		}
		return
	}
	sim := d.sim
	if agent.dropsOversized("command request", len(d.request.Commands), d.request) {
		if !d.timedOut {
			sim.after(extraDelay+sim.latency(), d.sender.guard(func() { d.done(nil, false, protocol.ErrRejected) }))
		}
		return
	}
	heartbeat, executed := agent.execute(d.request)
	if sim.rand.Float64() < sim.network.commands.duplicateShare {
		sim.after(sim.randomBelow(maxDuplicateDelay), func() {
			if !agent.dead {
				agent.execute(d.request)
			}
		})
	}
	if !d.timedOut {
		sim.after(extraDelay+sim.latency(), d.sender.guard(func() { d.done(heartbeat, executed, nil) }))
	}
}
