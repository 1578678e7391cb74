package reconcile

import "time"

const summaryInterval = 10 * time.Second

// summary logs how a home stands.
func (h *Reconciler) logSummary(shard int) {
	machines, usable, full := 0, 0, 0
	for _, x := range h.sortedAgents {
		if x.shard != shard {
			continue
		}
		machines++
		if h.schedulable(x, h.now()) {
			usable++
			if h.freeCapacity(x).CPUs < 1 {
				full++
			}
		}
	}
	states := map[taskState]int{}
	unwritten, waits, dependent := 0, 0, 0
	for _, x := range h.sortedAgents {
		for _, a := range x.attempts {
			if x.shard == shard {
				states[a.state]++
				if !a.durable() && a.live() {
					unwritten++
				}
			}
		}
	}
	for _, j := range h.sortedActiveJobs() {
		switch {
		case j.Shard != shard:
		case j.AwaitsDependencies():
			dependent++
		default:
			p := h.progress(j)
			waits += max(0, j.Tasks-p.completedCount-p.attempts)
		}
	}
	h.Log.Info("home", "shard", shard, "machines", machines, "usable", usable, "full", full, "waiting", waits, "dependent", dependent,
		"unwritten", unwritten, "planned", states[taskPlanned], "fetching", states[taskFetching], "running", states[taskRunning],
		"saving", states[taskSaving], "ended", states[taskEnded], "pages", len(h.writers[shard].intentPages), "writes", h.Committer.Budget.Level())
}
