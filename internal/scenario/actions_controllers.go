package scenario

// Actions on controllers: processes end, stand still and lose parts of the network.

func actCrash(sim *simulation, line *statement) func() {
	name := line.arg(0)
	if name == "all" {
		return func() {
			sim.faultBegins("all-down", "")
			for _, h := range sim.hosts {
				h.crash()
			}
		}
	}
	sim.requireHost(line, name)
	return func() {
		sim.hostNow(name).crash()
	}
}

func actPause(sim *simulation, line *statement) func() {
	name, d := line.arg(0), line.duration(line.arg(1))
	sim.requireHost(line, name)
	return func() {
		sim.noteFault("pause", d)
		sim.hostNow(name).pausedUntil = sim.now + d
	}
}

func actStop(sim *simulation, line *statement) func() {
	h := sim.hostNamed(line, line.arg(0))
	return func() {
		if p := h.process; p != nil {
			p.controller.Stop(h.crash)
		}
	}
}

func actStart(sim *simulation, line *statement) func() {
	if line.arg(0) == "all" {
		return func() {
			sim.faultEnds("all-down", "")
			for _, h := range sim.hosts {
				if h.process == nil {
					h.start()
				}
			}
		}
	}
	h := sim.hostNamed(line, line.arg(0))
	return func() {
		if h.process == nil {
			h.start()
		}
	}
}

func actPartition(sim *simulation, line *statement) func() {
	name, what, on := line.arg(0), line.arg(1), line.verb == "partition"
	sim.requireHost(line, name)
	return func() {
		for _, h := range sim.hostsNow(name) {
			h.setPartition(what, on)
		}
	}
}

func actZonePartition(sim *simulation, line *statement) func() {
	zone, d := line.arg(0), line.duration(line.arg(1))
	return func() { sim.partitionZone(zone, d) }
}

// cut takes parts of a host's network away, or gives them back. The host counts as
// cut for as long as any part is missing, whatever name it was cut or healed by.
func (h *host) setPartition(what string, cut bool) {
	before := h.isPartitioned()
	if what == "all" || what == "store" {
		h.storePartitioned = cut
	}
	if what == "all" || what == "peers" {
		h.peersPartitioned = cut
	}
	if what == "all" || what == "agents" {
		h.agentsPartitioned = cut
	}
	switch after := h.isPartitioned(); {
	case after && !before:
		h.sim.faultBegins("partition", h.name)
	case before && !after:
		h.sim.faultEnds("partition", h.name)
	}
	if !cut {
		h.sim.store.wake()
	}
}

func (h *host) isPartitioned() bool { return h.storePartitioned || h.peersPartitioned || h.agentsPartitioned }

// actUpgrade ends a controller's process; the next one is of the new version, which
// knows the limits to come.
func actUpgrade(sim *simulation, line *statement) func() {
	h := sim.hostNamed(line, line.arg(0))
	down := line.duration(line.text("down", "3s"))
	return func() {
		sim.noteFault("upgrade", down)
		h.crash()
		h.unawareOfAnnouncedLimits = false
		sim.after(down, func() {
			if h.process == nil {
				h.start()
			}
		})
	}
}
