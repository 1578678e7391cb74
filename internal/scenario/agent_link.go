package scenario

import (
	"time"

	"rockrun/internal/protocol"
)

// commandFaults are what happens to commands on their way to agents.
type commandFaults struct {
	duplicateShare float64 // of which a second copy arrives late

	delayedShare float64 // that are carried out late, unanswered
	least, most  time.Duration

	latencyShare float64 // that are held up on their way there or back
	maxLatency   time.Duration
}

const (
	// commandTimeout is how long a controller waits for the answer to commands.
	commandTimeout = 2 * time.Second
	// maxDuplicateDelay is how long after commands their copy arrives at the latest.
	maxDuplicateDelay = 20 * time.Second
)

// agentLink is a process's way to the agents.
type agentLink struct{ process *process }

// Execute implements coordination.Agents.
func (l agentLink) Execute(address string, request protocol.CommandRequest, done func(*protocol.AgentHeartbeat, bool, error)) {
	sim := l.process.host.sim
	sim.trace.sentJSON(l.process.host.name, "command "+address, request)
	delivery := &commandDelivery{sim: sim, sender: l.process, request: request, done: done}
	agent := sim.agentAt(address)
	switch {
	case agent == nil || !sim.reachable(l.process.host, agent):
		delivery.fail()
	case agent.partitioned || agent.isPaused():
		// Held back, and carried out once that ends, if the machine is still there.
		agent.heldBack = append(agent.heldBack, func() {
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

// agentAt finds the agent with an address, or returns nil.
func (s *simulation) agentAt(address string) *fakeAgent {
	for _, agent := range s.agents {
		if agent.machine.Address == address {
			return agent
		}
	}
	return nil
}

// commandDelivery is a request with commands on its way to an agent.
type commandDelivery struct {
	sim       *simulation
	sender    *process
	request   protocol.CommandRequest
	done      func(*protocol.AgentHeartbeat, bool, error)
	abandoned bool // the sender waits no longer
}

// fail lets the sender hear after a while that there was no answer.
func (d *commandDelivery) fail() {
	d.sim.after(commandTimeout, d.sender.guard(func() { d.done(nil, false, protocol.ErrOutcomeUnknown) }))
}

// deliverLate lets the commands arrive late. They are carried out if token and epoch still
// match.
func (d *commandDelivery) deliverLate(agent *fakeAgent) {
	delay := d.sim.randomBetween(d.sim.network.commands.least, d.sim.network.commands.most)
	d.sim.faults.note("delayed-command", delay)
	d.sim.after(delay, func() {
		if !agent.dead && !agent.isPaused() {
			agent.execute(d.request)
		}
	})
}

// deliver sends the commands. They or their answer may be held up on the way, and the
// sender may give up meanwhile.
func (d *commandDelivery) deliver(agent *fakeAgent) {
	sim := d.sim
	there, back := sim.latency(), time.Duration(0)
	if sim.network.commands.latencyShare > 0 && sim.rand.Float64() < sim.network.commands.latencyShare {
		sim.faults.note("command-latency", sim.network.commands.maxLatency)
		delay := sim.randomBelow(sim.network.commands.maxLatency)
		if sim.rand.IntN(2) == 0 {
			there += delay
		} else {
			back += delay
		}
	}
	d.abandoned = there+back > commandTimeout
	if d.abandoned {
		d.fail()
	}
	sim.after(there, func() { d.arrive(agent, back) })
}

// arrive carries the commands out, and answers after some more time than a message takes.
func (d *commandDelivery) arrive(agent *fakeAgent, extra time.Duration) {
	if agent.dead || agent.partitioned || agent.inboundPartition || agent.isPaused() {
		if !d.abandoned {
			d.fail()
		}
		return
	}
	sim := d.sim
	heartbeat, executed := agent.execute(d.request)
	if sim.rand.Float64() < sim.network.commands.duplicateShare {
		sim.after(sim.randomBelow(maxDuplicateDelay), func() {
			if !agent.dead {
				agent.execute(d.request)
			}
		})
	}
	if !d.abandoned {
		sim.after(extra+sim.latency(), d.sender.guard(func() { d.done(heartbeat, executed, nil) }))
	}
}
