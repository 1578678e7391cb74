package scenario

// Actions on machines. Those that begin with a machine take "some" for a share of them all,
// as in "machine-pause some 20s share=0.3 zone=north".

// actMachinePause: "machine-pause m-000000 20s" lets machines stand still.
func actMachinePause(sim *simulation, line *statement) func() {
	pick, lasting := sim.machinesOf(line), line.duration(line.arg(1))
	return func() {
		for _, agent := range pick() {
			sim.faults.record("machine-pause", lasting)
			agent.pause(lasting)
		}
	}
}

// actOneWayPartition: "inbound-partition m-000000 60s" keeps messages from reaching
// machines, "outbound-partition m-000000 60s" those that they send from reaching others.
func actOneWayPartition(sim *simulation, line *statement) func() {
	pick, lasting, outbound := sim.machinesOf(line), line.duration(line.arg(1)), line.verb == "outbound-partition"
	return func() {
		for _, agent := range pick() {
			sim.faults.record(line.verb, lasting)
			cut := &agent.inboundPartition
			if outbound {
				cut = &agent.outboundPartition
			}
			*cut = true
			sim.after(lasting, func() { *cut = false })
		}
	}
}

// actMachineRestart: "machine-restart m-000000" ends everything on a machine, which is back
// at once.
func actMachineRestart(sim *simulation, line *statement) func() {
	return sim.withAgent(line.arg(0), (*fakeAgent).restart)
}

// actMachineCrash: "machine-crash m-000000" ends machines; the cloud notices later.
func actMachineCrash(sim *simulation, line *statement) func() {
	pick := sim.machinesOf(line)
	return func() {
		for _, agent := range pick() {
			sim.cloud.crash(agent.machine.Name)
		}
	}
}

// actReclaim: "reclaim m-000000 notice=8s" lets the cloud take a machine back.
func actReclaim(sim *simulation, line *statement) func() {
	machine, notice := line.arg(0), line.duration(line.text("notice", "0s"))
	return func() {
		if agent := sim.agents[machine]; agent != nil && notice > 0 {
			agent.terminatedAt = sim.now + notice
			agent.requestHeartbeat()
		}
		sim.after(notice, func() { sim.cloud.delete([]string{machine}) })
	}
}

// actMachinePartition: "machine-partition m-000000 25s" cuts machines off; what is sent
// meanwhile arrives afterwards.
func actMachinePartition(sim *simulation, line *statement) func() {
	pick, lasting := sim.machinesOf(line), line.duration(line.arg(1))
	return func() {
		for _, agent := range pick() {
			sim.faults.record("machine-partition", lasting)
			agent.partitioned = true
			sim.after(lasting, agent.heal)
		}
	}
}

// actMachineFaulty: "machine-faulty m-000000" lets all tasks fail that run there.
func actMachineFaulty(sim *simulation, line *statement) func() {
	return sim.withAgent(line.arg(0), func(agent *fakeAgent) { agent.faulty = true })
}

// actMachineSlow: "machine-slow m-000000 factor=4" lets tasks take longer there.
func actMachineSlow(sim *simulation, line *statement) func() {
	factor := line.number("factor", 3)
	return sim.withAgent(line.arg(0), func(agent *fakeAgent) { agent.slowdown = factor })
}

// withAgent returns what does something with a machine's agent, if it is up by then.
func (s *simulation) withAgent(machine string, do func(*fakeAgent)) func() {
	return func() {
		if agent := s.agents[machine]; agent != nil {
			do(agent)
		}
	}
}
