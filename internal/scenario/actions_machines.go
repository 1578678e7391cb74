package scenario

// Actions on machines. The actions that use agentSelector accept "some" instead of a machine
// name and then apply to a random share of the machines, for example
// "machine-pause some 20s share=0.3 zone=north".

// actMachinePause: "machine-pause m-000000 20s" pauses machines.
func actMachinePause(sim *simulation, line *statement) func() {
	selectAgents, duration := sim.agentSelector(line), line.duration(line.arg(1))
	return func() {
		for _, agent := range selectAgents() {
			sim.faults.record("machine-pause", duration)
			agent.pause(duration)
		}
	}
}

// actOneWayPartition: "inbound-partition m-000000 60s" drops messages to machines;
// "outbound-partition m-000000 60s" drops messages from machines.
func actOneWayPartition(sim *simulation, line *statement) func() {
	selectAgents, duration, outbound := sim.agentSelector(line), line.duration(line.arg(1)), line.verb == "outbound-partition"
	return func() {
		for _, agent := range selectAgents() {
			sim.faults.record(line.verb, duration)
			partitioned := &agent.inboundPartition
			if outbound {
				partitioned = &agent.outboundPartition
			}
			*partitioned = true
			sim.after(duration, func() { *partitioned = false })
		}
	}
}

// actMachineRestart: "machine-restart m-000000" ends everything that runs on a machine. The
// machine is up again immediately, in a new epoch of its agent. With "epoch=kept" the epoch, the
// sequence numbers and the fencing token go on, since the agent's lease has not expired.
func actMachineRestart(sim *simulation, line *statement) func() {
	if line.text("epoch", "new") == "kept" {
		return sim.withAgent(line.arg(0), (*fakeAgent).restartInEpoch)
	}
	return sim.withAgent(line.arg(0), (*fakeAgent).restart)
}

// actMachineCrash: "machine-crash m-000000" crashes machines. The cloud detects the crash
// later.
func actMachineCrash(sim *simulation, line *statement) func() {
	selectAgents := sim.agentSelector(line)
	return func() {
		for _, agent := range selectAgents() {
			sim.cloud.crash(agent.machine.Name)
		}
	}
}

// actReclaim: "reclaim m-000000 notice=8s" makes the cloud reclaim a machine after a notice
// period.
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

// actMachinePartition: "machine-partition m-000000 25s" cuts machines off from the network.
// Messages sent during the partition are delivered when it ends.
func actMachinePartition(sim *simulation, line *statement) func() {
	selectAgents, duration := sim.agentSelector(line), line.duration(line.arg(1))
	return func() {
		for _, agent := range selectAgents() {
			sim.faults.record("machine-partition", duration)
			agent.partitioned = true
			sim.after(duration, agent.heal)
		}
	}
}

// actMachineFaulty: "machine-faulty m-000000" makes every task on a machine fail.
func actMachineFaulty(sim *simulation, line *statement) func() {
	return sim.withAgent(line.arg(0), func(agent *fakeAgent) { agent.faulty = true })
}

// actMachineSlow: "machine-slow m-000000 factor=4" multiplies the run time of tasks on a
// machine.
func actMachineSlow(sim *simulation, line *statement) func() {
	factor := line.number("factor", 3)
	return sim.withAgent(line.arg(0), func(agent *fakeAgent) { agent.slowdown = factor })
}

// withAgent returns a function that passes a machine's agent to the callback if the machine
// is up at that time.
func (s *simulation) withAgent(machine string, callback func(*fakeAgent)) func() {
	return func() {
		if agent := s.agents[machine]; agent != nil {
			callback(agent)
		}
	}
}
