package scenario

import (
	"net/http"
	"slices"
	"time"

	"rockrun/internal/coordination/api"
	"rockrun/internal/protocol"
)

// Timing of an agent's heartbeats as defined by the protocol.
const (
	answerTimeout        = 4 * time.Second
	redirectDelay        = 200 * time.Millisecond
	nextControllerDelay  = time.Second
	minHeartbeatInterval = 500 * time.Millisecond // holds even if the state changes more often
)

// heartbeat returns a heartbeat with the agent's state and the next sequence number.
func (a *fakeAgent) heartbeat() *protocol.AgentHeartbeat {
	a.sequence++
	heartbeat := &protocol.AgentHeartbeat{
		Machine:      a.machine.Name,
		Address:      a.machine.Address,
		MachineType:  a.machine.Type,
		Zone:         a.machine.Zone,
		Spot:         a.machine.Spot,
		Epoch:        a.epoch,
		Sequence:     a.sequence,
		FencingToken: a.fencingToken,
	}
	if a.terminatedAt > 0 {
		remaining := (a.terminatedAt - a.sim.now).Seconds()
		heartbeat.TerminationSeconds = &remaining
	}
	for _, task := range a.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, task.TaskStatus)
	}
	a.dropsOversized("heartbeat", len(heartbeat.Tasks), heartbeat)
	return heartbeat
}

// requestHeartbeat schedules a heartbeat as soon as minHeartbeatInterval allows.
func (a *fakeAgent) requestHeartbeat() {
	if a.heartbeatRequested || a.dead {
		return
	}
	a.heartbeatRequested = true
	a.sim.after(a.lastHeartbeat+minHeartbeatInterval-a.sim.now, a.sendHeartbeat)
}

// sendHeartbeat sends a heartbeat unless one is already in flight. Its exchange schedules
// the next heartbeat.
func (a *fakeAgent) sendHeartbeat() {
	if a.dead || a.inFlight || a.isPaused() {
		return
	}
	a.inFlight, a.heartbeatRequested, a.lastHeartbeat = true, false, a.sim.now
	exchange := &heartbeatExchange{agent: a, sentAt: a.sim.now, epoch: a.epoch, restarts: a.restarts, receiver: a.sim.hosts[a.controller]}
	heartbeat := a.heartbeat()
	receiver := a.sim.hosts[a.controller]
	a.sim.after(answerTimeout, exchange.handleFailure)
	if receiver.process == nil {
		a.sim.after(a.sim.latency(), exchange.handleFailure)
		return
	}
	if a.outboundPartition {
		return // the connection fails; the exchange ends after answerTimeout
	}
	a.sim.injectHeartbeatCopies(heartbeat)
	process := receiver.process
	deliver := func() { exchange.deliver(process, heartbeat) }
	if a.partitioned {
		a.queuedMessages = append(a.queuedMessages, deliver)
		return
	}
	a.sim.after(a.sim.latency(), deliver)
}

// heartbeatExchange is a heartbeat and its pending answer.
type heartbeatExchange struct {
	agent    *fakeAgent
	sentAt   time.Duration
	epoch    uint64
	restarts int
	receiver *host // of the heartbeat
	finished bool
}

// deliver passes the heartbeat to a controller process and returns its answer to the agent.
func (x *heartbeatExchange) deliver(process *process, heartbeat *protocol.AgentHeartbeat) {
	agent, sim := x.agent, x.agent.sim
	if process.dead || !sim.reachable(process.host, agent) {
		return
	}
	process.guard(func() {
		process.controller.OnAgentHeartbeat(heartbeat, func(answer api.Answer) {
			sim.trace.recordAnswer(process.host.name, kindHeartbeatAnswer, answer)
			sim.after(sim.latency(), func() {
				if !agent.partitioned && !agent.inboundPartition && sim.reachable(process.host, agent) {
					x.handleAnswer(answer)
				}
			})
		})
	})()
}

// handleAnswer processes an answer and schedules the next heartbeat.
func (x *heartbeatExchange) handleAnswer(answer api.Answer) { x.finish(answer, true) }

// handleFailure records that the heartbeat got no answer and schedules the next heartbeat.
func (x *heartbeatExchange) handleFailure() { x.finish(api.Answer{}, false) }

func (x *heartbeatExchange) finish(answer api.Answer, answered bool) {
	agent, sim := x.agent, x.agent.sim
	if x.finished || agent.dead || x.restarts != agent.restarts || agent.isPaused() || sim.now-x.sentAt > answerTimeout+time.Millisecond {
		return // the agent no longer waits for this answer
	}
	x.finished, agent.inFlight = true, false
	delay := x.processAnswer(answer, answered)
	if agent.heartbeatRequested {
		agent.heartbeatRequested = false
		agent.requestHeartbeat()
	}
	sequence := agent.sequence
	sim.after(delay, func() {
		if agent.sequence == sequence || sim.now-agent.lastHeartbeat >= sim.cluster.Agents.HeartbeatInterval()/2 {
			agent.sendHeartbeat()
		}
	})
}

// processAnswer applies an answer, or the lack of one, and returns the delay until the next
// heartbeat.
func (x *heartbeatExchange) processAnswer(answer api.Answer, answered bool) time.Duration {
	agent, sim := x.agent, x.agent.sim
	untilNext := time.Duration((0.75 + 0.5*sim.rand.Float64()) * float64(sim.cluster.Agents.HeartbeatInterval()))
	switch {
	case answered && answer.Status == http.StatusOK:
		x.receiver.recordAgentAnswer(x.sentAt)
		if x.applyAnswer(answer.Body.(protocol.AgentHeartbeatAnswer)) {
			return untilNext
		}
		agent.selectNextController()
	case answered && answer.Status == http.StatusMisdirectedRequest:
		if agent.redirectTo(answer.Body.(protocol.Redirect).Controller) {
			return redirectDelay
		}
	default:
		agent.selectNextController()
	}
	return nextControllerDelay
}

// applyAnswer renews the lease and executes the commands of an answer with status 200. An
// answer with a lower fencing token or for an earlier epoch of the agent is ignored. It returns
// false for an answer over the size limit, which counts as no answer.
func (x *heartbeatExchange) applyAnswer(answer protocol.AgentHeartbeatAnswer) bool {
	agent := x.agent
	if agent.dropsOversized("answer", len(answer.Commands), answer) {
		return false
	}
	if answer.FencingToken < agent.fencingToken || x.epoch != agent.epoch {
		return true
	}
	agent.raiseToken(answer.FencingToken)
	agent.leaseStart = x.sentAt
	agent.apply(answer.Commands)
	return true
}

// redirectTo selects the named controller and returns true. If the controller is unknown or
// already selected, redirectTo selects the next controller and returns false.
func (a *fakeAgent) redirectTo(controller string) bool {
	i := slices.IndexFunc(a.sim.hosts, func(h *host) bool { return h.name == controller })
	if i < 0 || i == a.controller {
		a.selectNextController()
		return false
	}
	a.controller = i
	return true
}

func (a *fakeAgent) selectNextController() { a.controller = (a.controller + 1) % len(a.sim.hosts) }
