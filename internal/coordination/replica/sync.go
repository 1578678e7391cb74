package replica

import (
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// Sync calls done once the view holds everything that was durable when Sync was called,
// or with an error. One read of the changes serves all who wait, so questions from users
// cost the store a few reads a second, however many they are.
func (r *Replica) Sync(done func(error)) {
	r.waiters = append(r.waiters, done)
	if !r.syncInFlight && !r.syncScheduled {
		r.scheduleSync()
	}
}

// Abandon takes out the callers of Sync that still wait; the one who ends the generation
// must tell them so.
func (r *Replica) Abandon() []func(error) {
	waiters := r.waiters
	r.waiters = nil
	return waiters
}

func (r *Replica) scheduleSync() {
	r.syncScheduled = true
	r.Generation.Later(max(0, r.nextSyncAt-r.Generation.Now()), r.readChanges)
}

// readChanges reads the changes for all who wait.
func (r *Replica) readChanges() {
	sentAt := r.Generation.Now()
	waiters := r.Abandon()
	r.syncInFlight, r.syncScheduled = true, false
	r.nextSyncAt = sentAt + 2*r.WatchPause
	r.Store.Watch(storage.Prefix, r.revision, 0, func(changes protocol.Changes, err error) {
		if !r.Generation.Active() {
			answer(waiters, protocol.ErrNotExecuted)
			return
		}
		r.syncInFlight = false
		if err == nil {
			r.Apply(changes, sentAt)
			if r.ready {
				r.OnChange(len(changes.Events) > 0)
			}
		}
		answer(waiters, err)
		if len(r.waiters) > 0 && !r.syncScheduled {
			r.scheduleSync()
		}
	})
}

func answer(waiters []func(error), err error) {
	for _, done := range waiters {
		done(err)
	}
}
