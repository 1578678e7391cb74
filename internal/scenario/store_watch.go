package scenario

import (
	"slices"
	"time"

	"rockrun/internal/protocol"
)

// storeWatch is an open watch request. It is answered when a matching change is committed, or
// when its wait time expires.
type storeWatch struct {
	process  *process
	prefix   string
	after    uint64 // revision after which changes are reported
	done     func(protocol.Changes, error)
	answered bool
}

// watchRetryInterval is the interval at which an expired watch checks whether the store
// serves its host again.
const watchRetryInterval = time.Second

// answer sends changes to the process. Later calls have no effect.
func (w *storeWatch) answer(changes protocol.Changes) {
	if w.answered {
		return
	}
	w.answered = true
	sim := w.process.host.sim
	sim.after(sim.latency(), w.process.guard(func() { w.done(changes, nil) }))
}

// expire answers a watch whose wait time is over, even if there are no changes. The answer is
// delayed while the store does not serve the host.
func (w *storeWatch) expire() {
	if w.answered || w.process.dead {
		return
	}
	sim := w.process.host.sim
	store := sim.store
	if store.isUnavailableTo(w.process.host) {
		sim.after(watchRetryInterval, w.expire)
		return
	}
	store.watches = slices.DeleteFunc(store.watches, func(other *storeWatch) bool { return other == w })
	w.answer(store.changes(w.prefix, w.after))
}

// answerReadyWatches answers the open watches with matching changes. Watches of hosts that
// are partitioned from the store stay open.
func (s *fakeStore) answerReadyWatches() {
	if s.outage {
		return
	}
	watches := s.watches
	s.watches = nil
	for _, watch := range watches {
		if watch.process.host.storePartitioned {
			s.watches = append(s.watches, watch)
			continue
		}
		if changes := s.changes(watch.prefix, watch.after); len(changes.Events) > 0 {
			watch.answer(changes)
		} else {
			s.watches = append(s.watches, watch)
		}
	}
}
