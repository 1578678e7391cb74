package scenario

import (
	"slices"
	"time"

	"rockrun/internal/protocol"
)

// storeWatch is a request for changes that is open until there are some, or for a while.
type storeWatch struct {
	process *process
	prefix  string
	after   uint64 // revision
	done    func(protocol.Changes, error)
	over    bool
}

// watchRetryPause is how long a watch that is due waits while the store is away.
const watchRetryPause = time.Second

// answer sends changes to the process, once.
func (w *storeWatch) answer(changes protocol.Changes) {
	if w.over {
		return
	}
	w.over = true
	sim := w.process.host.sim
	sim.after(sim.latency(), w.process.guard(func() { w.done(changes, nil) }))
}

// expire answers a watch that has been open for long enough, with nothing if need be. A
// watch waits while the store is away.
func (w *storeWatch) expire() {
	if w.over || w.process.dead {
		return
	}
	sim := w.process.host.sim
	store := sim.store
	if store.refuses(w.process.host) {
		sim.after(watchRetryPause, w.expire)
		return
	}
	store.watches = slices.DeleteFunc(store.watches, func(other *storeWatch) bool { return other == w })
	w.answer(store.changes(w.prefix, w.after))
}

// answerWatches answers the watches that have something to tell.
func (s *fakeStore) answerWatches() {
	if s.outage {
		return
	}
	open := s.watches
	s.watches = nil
	for _, watch := range open {
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
