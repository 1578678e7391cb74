package scenario

// Actions on the messages between controllers and agents. Each setting applies until it is
// changed; share=0 disables the fault.

// actCommandLatency: "command-latency share=0.3 most=10s" delays commands or their answers.
func actCommandLatency(sim *simulation, line *statement) func() {
	share, most := line.number("share", 0.3), line.duration(line.text("most", "10s"))
	return func() { sim.network.commands.latencyShare, sim.network.commands.maxLatency = share, most }
}

// actDelayedCommands: "delayed-commands share=0.3 least=2s most=16s" delays the execution of
// commands and drops their answers.
func actDelayedCommands(sim *simulation, line *statement) func() {
	share := line.number("share", 0.3)
	least, most := line.duration(line.text("least", "2s")), line.duration(line.text("most", "16s"))
	return func() {
		sim.network.commands.delayedShare, sim.network.commands.minDelay, sim.network.commands.maxDelay = share, least, most
	}
}

// actDuplicateCommands: "duplicate-commands share=0.3" delivers a second copy of commands
// later.
func actDuplicateCommands(sim *simulation, line *statement) func() {
	share := line.number("share", 0.3)
	return func() { sim.network.commands.duplicateShare = share }
}

// actDuplicateHeartbeats: "duplicate-heartbeats share=0.3 least=1s most=90s" delivers a second
// copy of heartbeats later, to a random controller.
func actDuplicateHeartbeats(sim *simulation, line *statement) func() {
	share := line.number("share", 0.3)
	least, most := line.duration(line.text("least", "1s")), line.duration(line.text("most", "90s"))
	return func() {
		sim.network.heartbeats.duplicateShare, sim.network.heartbeats.minDelay, sim.network.heartbeats.maxDelay = share, least, most
	}
}

// actReplayHeartbeats: "replay-heartbeats share=0.5" stores copies of heartbeats and delivers
// them to every controller when a new leader is elected.
func actReplayHeartbeats(sim *simulation, line *statement) func() {
	share := line.number("share", 0.5)
	return func() { sim.network.heartbeats.replayShare = share }
}
