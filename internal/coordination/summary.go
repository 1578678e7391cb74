package coordination

import "time"

const summaryEvery = 10 * time.Second

// summary logs how a home stands.
func (h *holder) summary(shard int) {
	n := h.n
	machines, usable, full := 0, 0, 0
	for _, x := range h.list {
		if x.shard != shard {
			continue
		}
		machines++
		if h.usable(x, n.now()) {
			usable++
			if h.free(x).cpus < 1 {
				full++
			}
		}
	}
	states := map[taskState]int{}
	unwritten, waits, dependent := 0, 0, 0
	for _, x := range h.list {
		for _, a := range x.attempts {
			if x.shard == shard {
				states[a.state]++
				if !a.durable() && a.live() {
					unwritten++
				}
			}
		}
	}
	for _, j := range h.unfinished() {
		switch {
		case j.Home != shard:
		case j.Waits():
			dependent++
		default:
			p := h.progress(j)
			waits += max(0, j.Tasks-p.doneN-p.attempts)
		}
	}
	n.Log.Info("home", "shard", shard, "machines", machines, "usable", usable, "full", full, "waiting", waits, "dependent", dependent,
		"unwritten", unwritten, "planned", states[taskPlanned], "fetching", states[taskFetching], "running", states[taskRunning],
		"saving", states[taskSaving], "ended", states[taskEnded], "pages", len(h.writers[shard].pages), "writes", n.budget.level)
}
