package scenario

// Actions on controllers: crash, stop, start, pause and upgrade processes, and cut and
// restore parts of their network.

// actCrash: "crash leader" kills a process without a shutdown; "crash all" kills all.
func actCrash(sim *simulation, line *statement) func() {
	name := line.arg(0)
	if name == nameAll {
		return func() {
			sim.faults.begin("all-down", "")
			for _, h := range sim.hosts {
				h.crash()
			}
		}
	}
	sim.validateHostName(line, name)
	return func() { sim.resolveHost(name).crash() }
}

// actPause: "pause holder:0 40s" pauses a process.
func actPause(sim *simulation, line *statement) func() {
	name, duration := line.arg(0), line.duration(line.arg(1))
	sim.validateHostName(line, name)
	return func() {
		sim.faults.record("pause", duration)
		sim.resolveHost(name).pausedUntil = sim.now + duration
	}
}

// actStop: "stop a" shuts a controller down gracefully.
func actStop(sim *simulation, line *statement) func() {
	h := sim.requireHost(line, line.arg(0))
	return func() {
		if p := h.process; p != nil && p.started {
			p.controller.Stop(h.crash)
		}
	}
}

// actStart: "start a" or "start all" starts a process on each host that has none.
func actStart(sim *simulation, line *statement) func() {
	if line.arg(0) == nameAll {
		return func() {
			sim.faults.end("all-down", "")
			for _, h := range sim.hosts {
				h.startIfDown()
			}
		}
	}
	return sim.requireHost(line, line.arg(0)).startIfDown
}

// actPartition: "partition leader store" cuts a part of a controller's network (store, peers,
// agents or all), and "heal all store" restores that part.
func actPartition(sim *simulation, line *statement) func() {
	name, part, cut := line.arg(0), line.arg(1), line.verb == "partition"
	sim.validateHostName(line, name)
	return func() {
		for _, h := range sim.resolveHosts(name) {
			h.setPartition(part, cut)
		}
	}
}

// actZonePartition: "zone-partition north 60s" cuts a zone off from everything else.
func actZonePartition(sim *simulation, line *statement) func() {
	zone, duration := line.arg(0), line.duration(line.arg(1))
	return func() { sim.partitionZone(zone, duration) }
}

// actUpgrade: "upgrade a down=3s" kills a controller's process and starts one of the new
// version, which knows the announced limits, after the down time.
func actUpgrade(sim *simulation, line *statement) func() {
	h := sim.requireHost(line, line.arg(0))
	down := line.duration(line.text("down", "3s"))
	return func() {
		sim.faults.record("upgrade", down)
		h.crash()
		h.unawareOfAnnouncedLimits = false
		sim.after(down, h.startIfDown)
	}
}
