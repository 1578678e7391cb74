package replica

import (
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// Sync calls done once the view contains everything that was durable when Sync was called, or
// with an error. One watch request serves all waiting callers, so status queries cost the store
// only a few requests a second, regardless of their number.
func (r *Replica) Sync(done func(error)) {
	r.waiters = append(r.waiters, done)
	if !r.syncInFlight && !r.syncScheduled {
		r.scheduleSync()
	}
}

// RemoveWaiters removes and returns the callbacks of the Sync calls that still wait. A caller that
// ends the generation must call them with an error.
func (r *Replica) RemoveWaiters() []func(error) {
	waiters := r.waiters
	r.waiters = nil
	return waiters
}

func (r *Replica) scheduleSync() {
	r.syncScheduled = true
	r.Generation.AfterIfActive(max(0, r.nextSyncAt-r.Generation.Now()), r.readChanges)
}

// readChanges sends one watch request for all waiting callers of Sync.
func (r *Replica) readChanges() {
	sentAt := r.Generation.Now()
	waiters := r.RemoveWaiters()
	r.syncInFlight, r.syncScheduled = true, false
	r.nextSyncAt = sentAt + 2*r.MinWatchInterval
	r.Store.Watch(storage.Prefix, r.revision, 0, func(changes protocol.Changes, err error) {
		if !r.Generation.Active() {
			notifyWaiters(waiters, protocol.ErrNotExecuted)
			return
		}
		r.syncInFlight = false
		if err == nil {
			r.Apply(changes, sentAt)
			if r.ready {
				r.OnChange(len(changes.Events) > 0)
			}
		}
		notifyWaiters(waiters, err)
		if len(r.waiters) > 0 && !r.syncScheduled {
			r.scheduleSync()
		}
	})
}

func notifyWaiters(waiters []func(error), err error) {
	for _, done := range waiters {
		done(err)
	}
}
