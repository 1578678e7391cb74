package scenario

import "time"

// Actions on the key-value store and the cloud.

// actStoreOutage: "store-outage 25s" lets the store answer nobody.
func actStoreOutage(sim *simulation, line *statement) func() {
	lasting := line.duration(line.arg(0))
	return func() {
		sim.faults.record("store-outage", lasting)
		sim.store.setOutage(true)
		sim.after(lasting, func() { sim.store.setOutage(false) })
	}
}

// actStoreLatency: "store-latency share=0.3 most=1s" lets calls take longer; share=0 ends
// it.
func actStoreLatency(sim *simulation, line *statement) func() {
	share, most := line.number("share", 0.3), line.duration(line.text("most", "1s"))
	return func() {
		sim.store.latencyShare, sim.store.maxLatency = share, most
		if share > 0 {
			sim.faults.begin("store-latency", "")
		} else {
			sim.faults.end("store-latency", "")
		}
	}
}

// actStoreLostAnswers: "store-lost-answers share=0.1 late=0.5" loses answers to
// transactions, of which a share is applied late; share=0 ends it.
func actStoreLostAnswers(sim *simulation, line *statement) func() {
	share, late := line.number("share", 0.1), line.number("late", 0.5)
	return func() { sim.store.lostAnswerShare, sim.store.delayedShare = share, late }
}

// actStoreLowerLimits: "store-lower-limits" puts the announced limits in force.
func actStoreLowerLimits(sim *simulation, _ *statement) func() {
	return func() {
		sim.faults.record("store-lower-limits", time.Second)
		sim.store.applyAnnouncedLimits()
	}
}

// actCloudOutage: "cloud-outage 30s" lets the cloud carry out nothing.
func actCloudOutage(sim *simulation, line *statement) func() {
	lasting := line.duration(line.arg(0))
	return func() {
		sim.cloud.outage = true
		sim.after(lasting, func() { sim.cloud.outage = false })
	}
}

// actCloudLostAnswers: "cloud-lost-answers share=0.5" loses answers of requests that are
// carried out; share=0 ends it.
func actCloudLostAnswers(sim *simulation, line *statement) func() {
	share := line.number("share", 0.5)
	return func() { sim.cloud.lostAnswerShare = share }
}

// actBootFailures: "boot-failures n=3" lets so many of the next machines never boot.
func actBootFailures(sim *simulation, line *statement) func() {
	count := int(line.number("n", 1))
	return func() { sim.cloud.bootFailures = count }
}
