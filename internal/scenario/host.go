package scenario

import (
	"math/rand/v2"
	"time"

	"rockrun/internal/config"
	"rockrun/internal/coordination"
)

// host runs the processes of one controller, one at a time, and holds the host's network
// faults.
type host struct {
	sim                      *simulation
	name                     string
	zone                     string   // "": no zone
	process                  *process // nil while none runs
	unawareOfAnnouncedLimits bool     // its processes run a version that lacks the setting
	storePartitioned         bool     // requests to the store fail
	peersPartitioned         bool     // no messages to or from other controllers
	agentsPartitioned        bool     // no messages to or from agents
	pausedUntil              time.Duration
	firstAgentAnswerAt       time.Duration // when the first heartbeat of an agent was answered 200; 0: none yet
	lastAgentHeartbeatAt     time.Duration // when the last heartbeat that was answered 200 was sent
}

// recordAgentAnswer records that a heartbeat of an agent was answered 200.
func (h *host) recordAgentAnswer(sentAt time.Duration) {
	if h.firstAgentAnswerAt == 0 {
		h.firstAgentAnswerAt = h.sim.now
	}
	h.lastAgentHeartbeatAt = sentAt
}

// process is one execution of the controller program.
type process struct {
	host       *host
	controller *coordination.Controller
	started    bool // the controller has started; on a paused host the start is delayed
	dead       bool
}

// start starts a new process.
func (h *host) start() {
	sim := h.sim
	sim.faults.end("down", h.name)
	newProcess := &process{host: h}
	newProcess.controller = coordination.New(coordination.Config{
		Settings: h.settings(),
		Options:  sim.options,
		Clock:    newProcess,
		Store:    storeLink{newProcess},
		Cloud:    cloudLink{newProcess},
		Agents:   agentLink{newProcess},
		Peers:    peerLink{newProcess},
		Rand:     rand.New(rand.NewPCG(sim.rand.Uint64(), sim.rand.Uint64())),
		Log:      sim.log.With("controller", h.name),
	})
	h.process = newProcess
	sim.after(0, newProcess.startController)
}

// startController starts the controller, on a paused host when the pause ends.
func (p *process) startController() {
	switch {
	case p.dead:
	case p.host.isPaused():
		p.host.sim.after(p.host.pausedUntil-p.host.sim.now, p.startController)
	default:
		p.started = true
		p.controller.Start()
	}
}

// startIfDown starts a new process if none runs.
func (h *host) startIfDown() {
	if h.process == nil {
		h.start()
	}
}

// settings returns the settings for a new process.
func (h *host) settings() *config.Settings {
	settings := &config.Settings{Controller: h.name, Cluster: h.sim.cluster}
	if h.unawareOfAnnouncedLimits {
		settings.Cluster.KVStore.Announced = nil
	}
	for _, other := range h.sim.hosts {
		if other != h {
			settings.Peers = append(settings.Peers, config.Peer{Controller: other.name})
		}
	}
	return settings
}

// crash ends the running process, if any, without a shutdown.
func (h *host) crash() {
	if h.process != nil {
		h.sim.faults.begin("down", h.name)
		h.process.dead = true
		h.process = nil
	}
}

// isPaused reports whether the host is paused. Its process handles pending messages and
// timers when the pause ends.
func (h *host) isPaused() bool { return h.sim.now < h.pausedUntil }

// Parts of a controller's network that a partition can cut.
const (
	partAll    = "all"
	partStore  = "store"
	partPeers  = "peers"
	partAgents = "agents"
)

// setPartition cuts or heals a part of the host's network. The fault log records the host as
// partitioned while any part is cut, whichever part names were used to cut and heal.
func (h *host) setPartition(part string, partitioned bool) {
	wasPartitioned := h.isPartitioned()
	if part == partAll || part == partStore {
		h.storePartitioned = partitioned
	}
	if part == partAll || part == partPeers {
		h.peersPartitioned = partitioned
	}
	if part == partAll || part == partAgents {
		h.agentsPartitioned = partitioned
	}
	switch isPartitioned := h.isPartitioned(); {
	case isPartitioned && !wasPartitioned:
		h.sim.faults.begin("partition", h.name)
	case wasPartitioned && !isPartitioned:
		h.sim.faults.end("partition", h.name)
	}
	if !partitioned {
		h.sim.store.answerReadyWatches()
	}
}

func (h *host) isPartitioned() bool {
	return h.storePartitioned || h.peersPartitioned || h.agentsPartitioned
}

// guard wraps a callback of the process. The callback is dropped if the process is dead, and
// delayed while the host is paused or the controller has not started.
func (p *process) guard(callback func()) func() {
	var run func()
	run = func() {
		switch {
		case p.dead:
		case p.host.isPaused():
			p.host.sim.after(p.host.pausedUntil-p.host.sim.now, run)
		case !p.started:
			p.host.sim.after(time.Millisecond, run)
		default:
			callback()
		}
	}
	return run
}

// Now implements coordination.Clock.
func (p *process) Now() time.Duration { return p.host.sim.now }

// Wall implements coordination.Clock.
func (p *process) Wall() time.Time { return wallClockStart.Add(p.host.sim.now) }

// After implements coordination.Clock.
func (p *process) After(delay time.Duration, callback func()) {
	p.host.sim.after(delay, p.guard(callback))
}
