package coordination

import (
	"cmp"
	"slices"
	"time"

	"rockrun/internal/coordination/placement"
)

// mayStop reports whether work may be stopped to make room for a waiting job.
func (h *reconciler) mayPreempt(w pendingJob, a *attempt) bool {
	// What waits has its own priority, what may be stopped the highest of those that
	// need it: a cheap first stage of a pipeline stops nothing and isn't stopped.
	rank := h.controller.view.EffectiveRank(a.job)
	if rank > w.Job.Rank() {
		return true
	}
	// Guaranteed share comes before what another team has borrowed. A service is
	// never stopped for it: not for batch work, and one for another gains nobody
	// anything, least of all when machines are lost and they take turns.
	// Nor is what goes before the waiting job in order, or is within its own team's
	// guarantee, or has starved before: it would take the room back, and the two would
	// stop each other for ever.
	if !w.WithinGuarantee || a.job.TeamIndex == w.Job.TeamIndex || a.job.IsService() || a.progress.withinGuarantee || a.progress.starved || rank < w.Rank {
		return false
	}
	b := h.controller.view
	t := &b.Teams[a.job.TeamIndex]
	return h.usageOf(a.job.Shard)[a.job.TeamIndex].CPUs-a.job.CPUs >= b.QuotaShare(t, a.job.Shard, t.GuaranteedCPUs)
}

// mayMakeRoom reports whether there can be anything that may be stopped for a
// job, before every machine is looked at.
func (h *reconciler) preemptionPossible(w pendingJob) bool {
	for rank := w.Job.Rank() + 1; rank < maxRank; rank++ {
		if h.liveAttemptsByRank[rank] > 0 {
			return true
		}
	}
	if !w.WithinGuarantee {
		return false
	}
	b := h.controller.view
	for i, u := range h.usageOf(w.Job.Shard) {
		if t := &b.Teams[i]; i != w.Job.TeamIndex && u.CPUs > b.QuotaShare(t, w.Job.Shard, t.GuaranteedCPUs) {
			return true
		}
	}
	return false
}

// stopsNoMore reports whether what may be stopped for w may be stopped for another job
// too, and a place for w would do for it. Looking costs a look at everything that runs,
// so where it was in vain for one job it is left out for those like it.
func (w pendingJob) preemptsNoMoreThan(other pendingJob) bool {
	return placement.Dominates(w.Job, other.Job) && w.Job.Rank() >= other.Job.Rank() && w.Rank >= other.Rank && !w.Job.Spread && !other.Job.Spread && !other.Job.OneZone &&
		(!w.WithinGuarantee || other.WithinGuarantee && w.Job.TeamIndex == other.Job.TeamIndex)
}

// makeRoom stops the least work that lets one task of a job start; false when
// nothing can be done.
func (h *reconciler) preemptFor(w pendingJob, promised map[*agent]*placement.Resources, now time.Duration) bool {
	var best *preemption
	for _, x := range h.sortedAgents {
		if !h.schedulable(x, now) || !h.placementAllowed(x, w.Job, w.progress) {
			continue
		}
		if e := h.preemptionOn(x, w, promised[x], now); e != nil && (best == nil || e.cost < best.cost) {
			best = e
		}
	}
	if best == nil {
		return false
	}
	for _, a := range best.victims {
		a.stopRequested, a.stopSentAt, best.agent.needsAttention = true, 0, true
		if a.job.CheckpointSeconds > 0 {
			a.graceSeconds = a.job.SaveSeconds
		}
		h.controller.Log.Info("preempt", "job", a.job.ID, "task", a.task, "machine", best.agent.machine.Name, "for", w.Job.ID)
	}
	best.remaining.Subtract(w.Job)
	promised[best.agent] = &best.remaining
	return true
}

// eviction is what would have to be stopped on a machine for a waiting task.
type preemption struct {
	agent     *agent
	victims   []*attempt
	remaining placement.Resources // on the machine, with the victims gone
	cost      float64
}

// evictionOn works out what must be stopped on a machine so that a task fits, or nil
// where that is not enough. promised is the room that stops under way will leave there,
// after what it was promised to; nil where it was promised to nobody.
func (h *reconciler) preemptionOn(x *agent, w pendingJob, promised *placement.Resources, now time.Duration) *preemption {
	e := &preemption{agent: x, remaining: h.freeCapacity(x)}
	if promised != nil {
		e.remaining = *promised
	}
	var list []*attempt
	for _, a := range x.attempts {
		switch {
		case !a.live():
		case a.stopRequested:
			if promised == nil {
				e.remaining.Add(a.job)
			}
		case h.mayPreempt(w, a):
			list = append(list, a)
		}
	}
	slices.SortFunc(list, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(b.job.Rank(), a.job.Rank()), cmp.Compare(b.plannedAt, a.plannedAt), cmp.Compare(a.number, b.number), cmp.Compare(a.task, b.task))
	})
	for _, a := range list {
		if e.remaining.Fits(w.Job) {
			break
		}
		e.remaining.Add(a.job)
		e.cost += 1 + a.job.CPUs*(now-a.plannedAt).Seconds()
		e.victims = append(e.victims, a)
	}
	if !e.remaining.Fits(w.Job) {
		return nil
	}
	return e
}
