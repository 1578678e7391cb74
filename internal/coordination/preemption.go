package coordination

import (
	"cmp"
	"slices"
	"time"
)

// mayStop reports whether work may be stopped to make room for a waiting job.
func (h *holder) mayStop(w waiting, a *attempt) bool {
	// What waits has its own priority, what may be stopped the highest of those that
	// need it: a cheap first stage of a pipeline stops nothing and isn't stopped.
	rank := h.n.cache.EffectiveRank(a.job)
	if rank > w.job.Rank() {
		return true
	}
	// Guaranteed share comes before what another team has borrowed. A service is
	// never stopped for it: not for batch work, and one for another gains nobody
	// anything, least of all when machines are lost and they take turns.
	// Nor is what goes before the waiting job in order, or is within its own team's
	// guarantee, or has starved before: it would take the room back, and the two would
	// stop each other for ever.
	if !w.within || a.job.TeamIdx == w.job.TeamIdx || a.job.Standing() || a.prog.within || a.prog.starved || rank < w.rank {
		return false
	}
	b := h.n.cache
	t := &b.Teams[a.job.TeamIdx]
	return h.used(a.job.Home)[a.job.TeamIdx].cpus-a.job.CPUs >= b.Share(t, a.job.Home, t.CPUs)
}

// mayMakeRoom reports whether there can be anything that may be stopped for a
// job, before every machine is looked at.
func (h *holder) mayMakeRoom(w waiting) bool {
	for rank := w.job.Rank() + 1; rank < maxRank; rank++ {
		if h.ranks[rank] > 0 {
			return true
		}
	}
	if !w.within {
		return false
	}
	b := h.n.cache
	for i, u := range h.used(w.job.Home) {
		if t := &b.Teams[i]; i != w.job.TeamIdx && u.cpus > b.Share(t, w.job.Home, t.CPUs) {
			return true
		}
	}
	return false
}

// stopsNoMore reports whether what may be stopped for w may be stopped for another job
// too, and a place for w would do for it. Looking costs a look at everything that runs,
// so where it was in vain for one job it is left out for those like it.
func (w waiting) stopsNoMore(other waiting) bool {
	return harder(w.job, other.job) && w.job.Rank() >= other.job.Rank() && w.rank >= other.rank && !w.job.Spread && !other.job.Spread && !other.job.OneZone &&
		(!w.within || other.within && w.job.TeamIdx == other.job.TeamIdx)
}

// makeRoom stops the least work that lets one task of a job start; false when
// nothing can be done.
func (h *holder) makeRoom(w waiting, promised map[*holding]*room, now time.Duration) bool {
	var best *eviction
	for _, x := range h.list {
		if !h.usable(x, now) || !h.allowed(x, w.job, w.prog) {
			continue
		}
		if e := h.evictionOn(x, w, promised[x], now); e != nil && (best == nil || e.cost < best.cost) {
			best = e
		}
	}
	if best == nil {
		return false
	}
	for _, a := range best.victims {
		a.stop, a.stopSentAt, best.on.busy = true, 0, true
		if a.job.CheckpointS > 0 {
			a.grace = a.job.SaveS
		}
		h.n.Log.Info("preempt", "job", a.job.ID, "task", a.task, "machine", best.on.m.Name, "for", w.job.ID)
	}
	best.left.take(w.job)
	promised[best.on] = &best.left
	return true
}

// eviction is what would have to be stopped on a machine for a waiting task.
type eviction struct {
	on      *holding
	victims []*attempt
	left    room // on the machine, with the victims gone
	cost    float64
}

// evictionOn works out what must be stopped on a machine so that a task fits, or nil
// where that is not enough. promised is the room that stops under way will leave there,
// after what it was promised to; nil where it was promised to nobody.
func (h *holder) evictionOn(x *holding, w waiting, promised *room, now time.Duration) *eviction {
	e := &eviction{on: x, left: h.free(x)}
	if promised != nil {
		e.left = *promised
	}
	var list []*attempt
	for _, a := range x.attempts {
		switch {
		case !a.live():
		case a.stop:
			if promised == nil {
				e.left.leave(a.job)
			}
		case h.mayStop(w, a):
			list = append(list, a)
		}
	}
	slices.SortFunc(list, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(b.job.Rank(), a.job.Rank()), cmp.Compare(b.planned, a.planned), cmp.Compare(a.try, b.try), cmp.Compare(a.task, b.task))
	})
	for _, a := range list {
		if e.left.fits(w.job) {
			break
		}
		e.left.leave(a.job)
		e.cost += 1 + a.job.CPUs*(now-a.planned).Seconds()
		e.victims = append(e.victims, a)
	}
	if !e.left.fits(w.job) {
		return nil
	}
	return e
}
