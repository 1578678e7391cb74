package scenario

import "time"

// Actions on the key-value store and the cloud.

// actStoreOutage: "store-outage 25s" makes the store unavailable to all controllers.
func actStoreOutage(sim *simulation, line *statement) func() {
	duration := line.duration(line.arg(0))
	return func() {
		sim.faults.record("store-outage", duration)
		sim.store.setOutage(true)
		sim.after(duration, func() { sim.store.setOutage(false) })
	}
}

// actStoreLatency: "store-latency share=0.3 most=1s" delays calls to the store; share=0
// disables the fault.
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

// actStoreLostAnswers: "store-lost-answers share=0.1 late=0.5" drops the answers to a share
// of the transactions and, of these transactions, applies the late= share with a delay;
// share=0 disables the fault.
func actStoreLostAnswers(sim *simulation, line *statement) func() {
	share, late := line.number("share", 0.1), line.number("late", 0.5)
	return func() { sim.store.lostAnswerShare, sim.store.delayedShare = share, late }
}

// actStoreLowerLimits: "store-lower-limits" makes the store enforce the announced limits.
func actStoreLowerLimits(sim *simulation, _ *statement) func() {
	return func() {
		sim.faults.record("store-lower-limits", time.Second)
		sim.store.applyAnnouncedLimits()
	}
}

// actCloudOutage: "cloud-outage 30s" makes all requests to the cloud fail.
func actCloudOutage(sim *simulation, line *statement) func() {
	duration := line.duration(line.arg(0))
	return func() {
		sim.cloud.outage = true
		sim.after(duration, func() { sim.cloud.outage = false })
	}
}

// actCloudLostAnswers: "cloud-lost-answers share=0.5" drops the answers to a share of the
// requests, which the cloud still executes; share=0 disables the fault.
func actCloudLostAnswers(sim *simulation, line *statement) func() {
	share := line.number("share", 0.5)
	return func() { sim.cloud.lostAnswerShare = share }
}

// actBootFailures: "boot-failures n=3" makes the next n machines fail to boot.
func actBootFailures(sim *simulation, line *statement) func() {
	count := int(line.number("n", 1))
	return func() { sim.cloud.bootFailures = count }
}
