package scenario

import "time"

// Actions on the state service and the cloud.

func actStoreOutage(sim *simulation, line *statement) func() {
	d := line.duration(line.arg(0))
	return func() {
		sim.noteFault("store-outage", d)
		sim.store.setOutage(true)
		sim.after(d, func() { sim.store.setOutage(false) })
	}
}

func actStoreLatency(sim *simulation, line *statement) func() {
	share, most := line.number("share", 0.3), line.duration(line.text("most", "1s"))
	return func() {
		sim.store.latencyShare, sim.store.maxLatency = share, most
		if share > 0 {
			sim.faultBegins("store-latency", "")
		} else {
			sim.faultEnds("store-latency", "")
		}
	}
}

func actStoreLostAnswers(sim *simulation, line *statement) func() {
	share, late := line.number("share", 0.1), line.number("late", 0.5)
	return func() { sim.store.lostAnswerShare, sim.store.delayedShare = share, late }
}

func actCloudOutage(sim *simulation, line *statement) func() {
	d := line.duration(line.arg(0))
	return func() {
		sim.cloud.outage = true
		sim.after(d, func() { sim.cloud.outage = false })
	}
}

func actCloudLostAnswers(sim *simulation, line *statement) func() {
	share := line.number("share", 0.5)
	return func() { sim.cloud.lostAnswerShare = share }
}

func actBootFailures(sim *simulation, line *statement) func() {
	n := int(line.number("n", 1))
	return func() { sim.cloud.bootFailures = n }
}

func actStoreLowerLimits(sim *simulation, _ *statement) func() {
	return func() {
		sim.noteFault("store-lower-limits", time.Second)
		sim.store.lowerLimits()
	}
}
