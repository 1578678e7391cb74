// Package replica keeps a controller's view of the records up to date. It reads all records
// once, then watches the store for changes, and tracks the staleness of the view. A write of
// this controller appears in the view only once the watch returns it.
package replica

import (
	"errors"
	"log/slog"
	"strings"
	"time"

	"rockrun/internal/coordination/kv"
	"rockrun/internal/coordination/loop"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// WatchTimeout is how long a watch request waits for a change.
const WatchTimeout = time.Second

// failuresBeforeSlowRetry is the number of consecutive failed watch requests after which the
// delay before a retry doubles.
const failuresBeforeSlowRetry = 10

// Config holds the dependencies and settings of a Replica.
type Config struct {
	Generation *loop.Generation
	Store      kv.Store
	View       *storage.View
	// Controller and Incarnation are the name and the incarnation of this controller. Replica
	// raises the incarnation above all those of this controller in the records.
	Controller  string
	Incarnation uint64
	// MinWatchInterval is the minimum time between two watch requests. Between two requests of Sync
	// it is twice that.
	MinWatchInterval time.Duration
	// SyncNotBefore is the earliest time of the first watch request of Sync.
	SyncNotBefore time.Duration
	Log           *slog.Logger

	// OnChange is called after each successful watch request once all records have been read.
	// changed is false if the request returned no changes.
	OnChange func(changed bool)
	// OnCompacted is called when the store no longer retains the changes that follow the view's
	// revision. It must end the generation.
	OnCompacted func()
}

// Replica is a controller's copy of the records.
type Replica struct {
	Config
	revision uint64        // the view contains all changes up to this revision
	ready    bool          // all records have been read
	freshAt  time.Duration // the view contains everything that was durable at this time

	waiters       []func(error) // callbacks of Sync calls that the next watch request serves
	syncInFlight  bool
	syncScheduled bool
	nextSyncAt    time.Duration
}

// New creates a replica. It reads nothing until Start is called.
func New(c Config) *Replica { return &Replica{Config: c, nextSyncAt: c.SyncNotBefore} }

// Start starts reading the records.
func (r *Replica) Start() { r.readRecords("", 0, 0) }

// Ready reports whether all records have been read.
func (r *Replica) Ready() bool { return r.ready }

// Revision returns the revision up to which the view contains all changes.
func (r *Replica) Revision() uint64 { return r.revision }

// FreshAt returns the latest time for which the view is known to contain everything that was
// durable then.
func (r *Replica) FreshAt() time.Duration { return r.freshAt }

// NextSyncAt returns the earliest time of the next watch request of Sync.
func (r *Replica) NextSyncAt() time.Duration { return r.nextSyncAt }

// Staleness returns the time since FreshAt.
func (r *Replica) Staleness() time.Duration { return r.Generation.Now() - r.freshAt }

// readRecords reads all records page by page and then watches for changes. Pages may be read at
// different revisions, so the watch starts at the revision of the first page, and the view is
// ready once it has reached the revision of the last one.
func (r *Replica) readRecords(after string, firstRevision, readyRevision uint64) {
	r.Store.List(storage.Prefix, after, func(page protocol.KeyValuePage, err error) {
		if !r.Generation.Active() {
			return
		}
		if err != nil {
			r.Log.Debug("record read failed", "err", err)
			r.Generation.AfterIfActive(r.Generation.Jitter(kv.RetryDelay), func() { r.readRecords(after, firstRevision, readyRevision) })
			return
		}
		for _, item := range page.Items {
			r.applyRecord(item.Key, item.Value, item.Version)
		}
		if firstRevision == 0 {
			firstRevision = page.Revision
		}
		if page.More && len(page.Items) > 0 {
			r.readRecords(page.Items[len(page.Items)-1].Key, firstRevision, page.Revision)
			return
		}
		r.revision = firstRevision
		r.watchChanges(page.Revision, 0)
	})
}

// watchChanges watches for changes and applies them to the view, for the rest of the generation.
func (r *Replica) watchChanges(readyRevision uint64, failures int) {
	sentAt := r.Generation.Now()
	wait := WatchTimeout
	if !r.ready {
		wait = 0
	}
	r.Store.Watch(storage.Prefix, r.revision, wait, func(changes protocol.Changes, err error) {
		switch {
		case !r.Generation.Active():
		case errors.Is(err, protocol.ErrCompacted):
			r.Log.Warn("changes compacted, reread of all records started")
			r.OnCompacted()
		case err != nil:
			r.retryWatch(readyRevision, failures)
		default:
			r.processChanges(changes, sentAt, readyRevision)
			r.continueWatch(sentAt, readyRevision)
		}
	})
}

func (r *Replica) retryWatch(readyRevision uint64, failures int) {
	delay := r.Generation.Jitter(kv.RetryDelay)
	if failures > failuresBeforeSlowRetry {
		delay = r.Generation.Jitter(2 * kv.RetryDelay)
	}
	r.Generation.AfterIfActive(delay, func() { r.watchChanges(readyRevision, failures+1) })
}

// processChanges applies changes, marks the replica as ready once it has reached readyRevision, and
// calls OnChange if it is ready.
func (r *Replica) processChanges(changes protocol.Changes, sentAt time.Duration, readyRevision uint64) {
	r.Apply(changes, sentAt)
	if !r.ready && r.revision >= readyRevision {
		r.ready = true
		r.raiseIncarnation()
		r.Log.Info("records read", "revision", r.revision, "incarnation", r.Incarnation)
	}
	if r.ready {
		r.OnChange(len(changes.Events) > 0)
	}
}

// continueWatch sends the next watch request, at least MinWatchInterval after the previous
// one. Under load, changes arrive one at a time. The delay batches them and keeps the requests
// of all controllers far below the limit of the store.
func (r *Replica) continueWatch(sentAt time.Duration, readyRevision uint64) {
	if delay := sentAt + r.MinWatchInterval - r.Generation.Now(); delay > 0 && r.ready {
		r.Generation.AfterIfActive(delay, func() { r.watchChanges(readyRevision, 0) })
		return
	}
	r.watchChanges(readyRevision, 0)
}

// raiseIncarnation raises the incarnation above all earlier ones of this controller in the
// records. Incarnations derive from the wall clock. If a process restarts within a fraction of a
// second, the wall clock may have stepped back in between, within its error bound.
func (r *Replica) raiseIncarnation() {
	earlier := r.View.Liveness[r.Controller].Incarnation
	if r.View.Leader.Controller == r.Controller {
		earlier = max(earlier, r.View.Leader.Incarnation)
	}
	for _, grant := range r.View.Grants {
		if grant.Controller == r.Controller {
			earlier = max(earlier, grant.Incarnation)
		}
	}
	if earlier >= r.Incarnation {
		r.Log.Warn("wall clock stepped back", "incarnation", r.Incarnation, "former", earlier)
		r.Incarnation = earlier + 1
	}
}

// Apply applies the changes returned by a watch request that was sent at sentAt.
func (r *Replica) Apply(changes protocol.Changes, sentAt time.Duration) {
	for _, event := range changes.Events {
		// Two watch requests can be in flight at once, and the later one may be answered
		// first. The other response then contains old events: a key that it puts may have
		// been removed since, and no later event would remove the key again.
		if event.Version <= r.revision {
			continue
		}
		if event.Put != "" {
			r.applyRecord(event.Put, event.Value, event.Version)
		} else {
			r.View.Remove(event.Delete, event.Version)
		}
	}
	r.revision = max(r.revision, changes.Revision)
	// The store answered after the request was sent, so the view contains everything that was
	// durable at sentAt.
	r.freshAt = max(r.freshAt, sentAt)
}

func (r *Replica) applyRecord(key string, value []byte, version uint64) {
	if !strings.HasPrefix(key, storage.Prefix) {
		return
	}
	if err := r.View.Apply(key, value, version); err != nil {
		r.Log.Error("record decode failed", "err", err)
	}
}
