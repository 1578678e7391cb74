package scenario

// Actions on machines and on the messages from and to their workers.

func actMachinePause(sim *simulation, line *statement) func() {
	pick, d := sim.machinesOf(line), line.duration(line.arg(1))
	return func() {
		for _, x := range pick() {
			sim.noteFault("machine-pause", d)
			x.pause(d)
		}
	}
}

func actMachineOneWayPartition(sim *simulation, line *statement) func() {
	pick, lasting, mute := sim.machinesOf(line), line.duration(line.arg(1)), line.verb == "outbound-partition"
	return func() {
		for _, agent := range pick() {
			sim.noteFault(line.verb, lasting)
			if mute {
				agent.outboundPartition = true
			} else {
				agent.inboundPartition = true
			}
			sim.after(lasting, func() {
				if mute {
					agent.outboundPartition = false
				} else {
					agent.inboundPartition = false
				}
			})
		}
	}
}

func actMachineRestart(sim *simulation, line *statement) func() {
	name := line.arg(0)
	return func() {
		if x := sim.agents[name]; x != nil {
			x.restart()
		}
	}
}

func actMachineCrash(sim *simulation, line *statement) func() {
	pick := sim.machinesOf(line)
	return func() {
		for _, x := range pick() {
			sim.cloud.crash(x.machine.Name)
		}
	}
}

func actReclaim(sim *simulation, line *statement) func() {
	name, notice := line.arg(0), line.duration(line.text("notice", "0s"))
	return func() {
		if x := sim.agents[name]; x != nil && notice > 0 {
			x.terminatedAt = sim.now + notice
			x.wantHeartbeat()
		}
		sim.after(notice, func() { sim.cloud.delete([]string{name}) })
	}
}

func actMachinePartition(sim *simulation, line *statement) func() {
	pick, d := sim.machinesOf(line), line.duration(line.arg(1))
	return func() {
		for _, x := range pick() {
			sim.noteFault("machine-partition", d)
			x.partitioned = true
			sim.after(d, x.heal)
		}
	}
}

func actMachineFaulty(sim *simulation, line *statement) func() {
	name := line.arg(0)
	return func() {
		if x := sim.agents[name]; x != nil {
			x.faulty = true
		}
	}
}

func actMachineSlow(sim *simulation, line *statement) func() {
	name, factor := line.arg(0), line.number("factor", 3)
	return func() {
		if x := sim.agents[name]; x != nil {
			x.slowdown = factor
		}
	}
}

func actCommandLatency(sim *simulation, line *statement) func() {
	share, most := line.number("share", 0.3), line.duration(line.text("most", "10s"))
	return func() { sim.drag, sim.dragMost = share, most }
}

func actDuplicateHeartbeats(sim *simulation, line *statement) func() {
	share, least, most := line.number("share", 0.3), line.duration(line.text("least", "1s")), line.duration(line.text("most", "90s"))
	return func() { sim.copies, sim.copyLeast, sim.copyMost = share, least, most }
}

func actReplayHeartbeats(sim *simulation, line *statement) func() {
	share := line.number("share", 0.5)
	return func() { sim.keptCopies = share }
}

func actDelayedCommands(sim *simulation, line *statement) func() {
	share, least, most := line.number("share", 0.3), line.duration(line.text("least", "2s")), line.duration(line.text("most", "16s"))
	return func() { sim.lateCommands, sim.lateLeast, sim.lateMost = share, least, most }
}

func actDuplicateCommands(sim *simulation, line *statement) func() {
	share := line.number("share", 0.3)
	return func() { sim.echo = share }
}
