package scenario

// Actions on controllers: processes end, stand still and lose parts of the network.

// actCrash: "crash leader" ends a process without notice; "crash all" ends all.
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
	sim.requireHost(line, name)
	return func() { sim.hostNow(name).crash() }
}

// actPause: "pause holder:0 40s" lets a process stand still.
func actPause(sim *simulation, line *statement) func() {
	name, lasting := line.arg(0), line.duration(line.arg(1))
	sim.requireHost(line, name)
	return func() {
		sim.faults.record("pause", lasting)
		sim.hostNow(name).pausedUntil = sim.now + lasting
	}
}

// actStop: "stop a" tells a process to end.
func actStop(sim *simulation, line *statement) func() {
	h := sim.hostNamed(line, line.arg(0))
	return func() {
		if p := h.process; p != nil && p.started {
			p.controller.Stop(h.crash)
		}
	}
}

// actStart: "start a" or "start all" starts processes where none runs.
func actStart(sim *simulation, line *statement) func() {
	if line.arg(0) == nameAll {
		return func() {
			sim.faults.end("all-down", "")
			for _, h := range sim.hosts {
				h.startIfDown()
			}
		}
	}
	return sim.hostNamed(line, line.arg(0)).startIfDown
}

// actPartition: "partition leader store" takes a part of the network away (store, peers,
// agents or all), and "heal all store" gives it back.
func actPartition(sim *simulation, line *statement) func() {
	name, part, cut := line.arg(0), line.arg(1), line.verb == "partition"
	sim.requireHost(line, name)
	return func() {
		for _, h := range sim.hostsNow(name) {
			h.setPartition(part, cut)
		}
	}
}

// actZonePartition: "zone-partition north 60s" cuts a zone off from everything else.
func actZonePartition(sim *simulation, line *statement) func() {
	zone, lasting := line.arg(0), line.duration(line.arg(1))
	return func() { sim.partitionZone(zone, lasting) }
}

// actUpgrade: "upgrade a down=3s" ends a controller's process; the next one is of the new
// version, which knows the limits to come.
func actUpgrade(sim *simulation, line *statement) func() {
	h := sim.hostNamed(line, line.arg(0))
	down := line.duration(line.text("down", "3s"))
	return func() {
		sim.faults.record("upgrade", down)
		h.crash()
		h.ignoresAnnouncedLimits = false
		sim.after(down, h.startIfDown)
	}
}
