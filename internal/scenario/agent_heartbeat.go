package scenario

import (
	"net/http"
	"slices"
	"time"

	"rockrun/internal/coordination/api"
	"rockrun/internal/protocol"
)

// Times of an agent's heartbeats, by the protocol.
const (
	answerTimeout       = 4 * time.Second
	redirectPause       = 200 * time.Millisecond
	nextControllerPause = time.Second
	minHeartbeatPause   = 500 * time.Millisecond // between heartbeats, however much changes
)

// heartbeat is a new heartbeat with what the agent has to say.
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
		left := (a.terminatedAt - a.sim.now).Seconds()
		heartbeat.TerminationSeconds = &left
	}
	for _, task := range a.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, task.TaskStatus)
	}
	return heartbeat
}

// wantHeartbeat asks for a heartbeat soon.
func (a *fakeAgent) wantHeartbeat() {
	if a.heartbeatWanted || a.dead {
		return
	}
	a.heartbeatWanted = true
	a.sim.after(a.lastHeartbeat+minHeartbeatPause-a.sim.now, a.sendHeartbeat)
}

// sendHeartbeat sends a heartbeat, unless one is under way, and sees to the next one.
func (a *fakeAgent) sendHeartbeat() {
	if a.dead || a.inFlight || a.isPaused() {
		return
	}
	a.inFlight, a.heartbeatWanted, a.lastHeartbeat = true, false, a.sim.now
	call := &exchange{agent: a, sentAt: a.sim.now, epoch: a.epoch}
	heartbeat := a.heartbeat()
	receiver := a.sim.hosts[a.controller]
	a.sim.after(answerTimeout, call.unanswered)
	if receiver.process == nil {
		a.sim.after(a.sim.latency(), call.unanswered)
		return
	}
	if a.outboundPartition {
		return // it can't even connect
	}
	a.sim.copyHeartbeat(heartbeat)
	process := receiver.process
	deliver := func() { call.deliver(process, heartbeat) }
	if a.partitioned {
		a.heldBack = append(a.heldBack, deliver)
		return
	}
	a.sim.after(a.sim.latency(), deliver)
}

// exchange is a heartbeat under way.
type exchange struct {
	agent  *fakeAgent
	sentAt time.Duration
	epoch  uint64
	over   bool
}

// deliver hands the heartbeat to a controller's process.
func (x *exchange) deliver(process *process, heartbeat *protocol.AgentHeartbeat) {
	agent, sim := x.agent, x.agent.sim
	if process.dead || !sim.reachable(process.host, agent) {
		return
	}
	process.guard(func() {
		process.controller.OnAgentHeartbeat(heartbeat, func(answer api.Answer) {
			sim.trace.answered(process.host.name, kindHeartbeatAnswer, answer)
			sim.after(sim.latency(), func() {
				if !agent.partitioned && !agent.inboundPartition && sim.reachable(process.host, agent) {
					x.answered(answer)
				}
			})
		})
	})()
}

// answered takes in the answer and sees to the next heartbeat.
func (x *exchange) answered(answer api.Answer) { x.finish(answer, true) }

// unanswered takes in that no answer came and sees to the next heartbeat.
func (x *exchange) unanswered() { x.finish(api.Answer{}, false) }

func (x *exchange) finish(answer api.Answer, came bool) {
	agent, sim := x.agent, x.agent.sim
	if x.over || agent.dead || agent.isPaused() || sim.now-x.sentAt > answerTimeout+time.Millisecond {
		return // it waits no longer for this answer
	}
	x.over, agent.inFlight = true, false
	pause := x.pauseAfter(answer, came)
	if agent.heartbeatWanted {
		agent.heartbeatWanted = false
		agent.wantHeartbeat()
	}
	sequence := agent.sequence
	sim.after(pause, func() {
		if agent.sequence == sequence || sim.now-agent.lastHeartbeat >= sim.cluster.Agents.HeartbeatInterval()/2 {
			agent.sendHeartbeat()
		}
	})
}

// pauseAfter takes an answer in and returns how long to wait until the next heartbeat.
func (x *exchange) pauseAfter(answer api.Answer, came bool) time.Duration {
	agent, sim := x.agent, x.agent.sim
	untilNext := time.Duration((0.75 + 0.5*sim.rand.Float64()) * float64(sim.cluster.Agents.HeartbeatInterval()))
	switch {
	case came && answer.Status == http.StatusOK:
		x.accept(answer.Body.(protocol.AgentHeartbeatAnswer))
		return untilNext
	case came && answer.Status == http.StatusMisdirectedRequest:
		if agent.follow(answer.Body.(protocol.Redirect).Controller) {
			return redirectPause
		}
	default:
		agent.nextController()
	}
	return nextControllerPause
}

// accept carries out an answer 200, unless it is of a lower token or another epoch.
func (x *exchange) accept(answer protocol.AgentHeartbeatAnswer) {
	agent := x.agent
	if answer.FencingToken < agent.fencingToken || x.epoch != agent.epoch {
		return
	}
	agent.raiseToken(answer.FencingToken)
	agent.leaseFrom = x.sentAt
	agent.apply(answer.Commands)
}

// follow turns to the controller named and returns true, or to the next where that is
// none other.
func (a *fakeAgent) follow(controller string) bool {
	i := slices.IndexFunc(a.sim.hosts, func(h *host) bool { return h.name == controller })
	if i < 0 || i == a.controller {
		a.nextController()
		return false
	}
	a.controller = i
	return true
}

func (a *fakeAgent) nextController() { a.controller = (a.controller + 1) % len(a.sim.hosts) }
