package scenario

import (
	"math/rand/v2"
	"time"

	"rockrun/internal/config"
	"rockrun/internal/coordination"
)

// host is where the processes of one controller come and go, with its network.
type host struct {
	sim                      *simulation
	name                     string
	zone                     string   // "": none in particular
	process                  *process // nil while none runs
	unawareOfAnnouncedLimits bool     // of its processes, like those of a version without the setting
	storePartitioned         bool     // the store refuses it
	peersPartitioned         bool     // it can't reach other controllers, nor they it
	agentsPartitioned        bool     // it can't reach agents, nor they it
	pausedUntil              time.Duration
}

// process is one run of the program.
type process struct {
	host       *host
	controller *coordination.Controller
	started    bool // its controller has started; on a host that stands still it has to wait
	dead       bool
}

// start begins a new process.
func (h *host) start() {
	sim := h.sim
	sim.faults.end("down", h.name)
	next := &process{host: h}
	next.controller = coordination.New(coordination.Config{
		Settings: h.settings(),
		Options:  sim.options,
		Clock:    next,
		Store:    storeLink{next},
		Cloud:    cloudLink{next},
		Agents:   agentLink{next},
		Peers:    peerLink{next},
		Rand:     rand.New(rand.NewPCG(sim.rand.Uint64(), sim.rand.Uint64())),
		Log:      sim.log.With("controller", h.name),
	})
	h.process = next
	sim.after(0, next.startController)
}

// startController starts the controller once the host does not stand still.
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

// startIfDown begins a new process where none runs.
func (h *host) startIfDown() {
	if h.process == nil {
		h.start()
	}
}

// settings are those of a new process.
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

// crash ends the process without notice, if one runs.
func (h *host) crash() {
	if h.process != nil {
		h.sim.faults.begin("down", h.name)
		h.process.dead = true
		h.process = nil
	}
}

// isPaused reports whether the process stands still. What comes meanwhile is worked off
// afterwards.
func (h *host) isPaused() bool { return h.sim.now < h.pausedUntil }

// The parts of a controller's network that a partition takes away.
const (
	partAll    = "all"
	partStore  = "store"
	partPeers  = "peers"
	partAgents = "agents"
)

// setPartition takes a part of the host's network away, or gives it back. The host counts
// as partitioned for as long as any part is missing, whatever name it was cut or healed by.
func (h *host) setPartition(part string, cut bool) {
	before := h.isPartitioned()
	if part == partAll || part == partStore {
		h.storePartitioned = cut
	}
	if part == partAll || part == partPeers {
		h.peersPartitioned = cut
	}
	if part == partAll || part == partAgents {
		h.agentsPartitioned = cut
	}
	switch after := h.isPartitioned(); {
	case after && !before:
		h.sim.faults.begin("partition", h.name)
	case before && !after:
		h.sim.faults.end("partition", h.name)
	}
	if !cut {
		h.sim.store.answerWatches()
	}
}

func (h *host) isPartitioned() bool {
	return h.storePartitioned || h.peersPartitioned || h.agentsPartitioned
}

// guard makes a callback do nothing once the process is dead, and wait while it is paused or
// has not started its controller.
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
