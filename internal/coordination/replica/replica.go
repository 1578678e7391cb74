// Package replica keeps a controller's view of the records up to date. It reads all
// records once, follows the changes from there, and tells how old the view may be. The
// view shows a write of this controller only once it comes back with the changes.
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

// WatchTimeout is how long a read of the changes waits for one.
const WatchTimeout = time.Second

// manyFailures is how many reads of the changes fail in a row before the pauses between
// them double.
const manyFailures = 10

// Config is all that a Replica is made of.
type Config struct {
	Generation *loop.Generation
	Store      kv.Store
	View       *storage.View
	// Controller and Incarnation are the name and the incarnation under which this
	// controller acts; Replica raises the incarnation above all that the records name.
	Controller  string
	Incarnation uint64
	// WatchPause is the least time between two reads of the changes; between two that
	// Sync asks for it is twice that.
	WatchPause time.Duration
	// SyncNotBefore is the time before which Sync does not read the changes.
	SyncNotBefore time.Duration
	Log           *slog.Logger

	// OnChange is called after a read of the changes once all records were read; changed
	// is false where the read brought none.
	OnChange func(changed bool)
	// OnCompacted is called when the store no longer keeps the changes that follow the
	// view. The generation must end then.
	OnCompacted func()
}

// Replica is a controller's copy of the records.
type Replica struct {
	Config
	revision uint64        // the view holds all changes up to here
	ready    bool          // all records have been read
	freshAt  time.Duration // the view held everything that was durable at this time

	waiters       []func(error) // callers of Sync that wait for the next read
	syncInFlight  bool
	syncScheduled bool
	nextSyncAt    time.Duration
}

// New makes a replica; Start begins to read.
func New(c Config) *Replica { return &Replica{Config: c, nextSyncAt: c.SyncNotBefore} }

// Start begins to read the records.
func (r *Replica) Start() { r.readRecords("", 0, 0) }

// Ready reports whether all records have been read.
func (r *Replica) Ready() bool { return r.ready }

// Revision is the revision up to which the view holds all changes.
func (r *Replica) Revision() uint64 { return r.revision }

// FreshAt is the last time of which it is known that the view holds everything that was
// durable then.
func (r *Replica) FreshAt() time.Duration { return r.freshAt }

// NextSyncAt is the time before which Sync does not read the changes again.
func (r *Replica) NextSyncAt() time.Duration { return r.nextSyncAt }

// Staleness is the time since FreshAt.
func (r *Replica) Staleness() time.Duration { return r.Generation.Now() - r.freshAt }

// readRecords reads all records page by page and then follows the changes. Pages of
// different ages are made whole by following from the first page's revision; the view
// counts as read once it has caught up with the last.
func (r *Replica) readRecords(after string, from, upTo uint64) {
	r.Store.List(storage.Prefix, after, func(page protocol.KeyValuePage, err error) {
		if !r.Generation.Active() {
			return
		}
		if err != nil {
			r.Log.Debug("records not read", "err", err)
			r.Generation.Later(r.Generation.Jitter(kv.RetryDelay), func() { r.readRecords(after, from, upTo) })
			return
		}
		for _, item := range page.Items {
			r.applyRecord(item.Key, item.Value, item.Version)
		}
		if from == 0 {
			from = page.Revision
		}
		if page.More && len(page.Items) > 0 {
			r.readRecords(page.Items[len(page.Items)-1].Key, from, page.Revision)
			return
		}
		r.revision = from
		r.follow(page.Revision, 0)
	})
}

// follow keeps the view up to date for the rest of the generation.
func (r *Replica) follow(upTo uint64, failures int) {
	sentAt := r.Generation.Now()
	wait := WatchTimeout
	if !r.ready {
		wait = 0
	}
	r.Store.Watch(storage.Prefix, r.revision, wait, func(changes protocol.Changes, err error) {
		switch {
		case !r.Generation.Active():
		case errors.Is(err, protocol.ErrCompacted):
			r.Log.Warn("changes compacted, reading all records again")
			r.OnCompacted()
		case err != nil:
			r.followAfterFailure(upTo, failures)
		default:
			r.takeIn(changes, sentAt, upTo)
			r.followNext(sentAt, upTo)
		}
	})
}

func (r *Replica) followAfterFailure(upTo uint64, failures int) {
	pause := r.Generation.Jitter(kv.RetryDelay)
	if failures > manyFailures {
		pause = r.Generation.Jitter(2 * kv.RetryDelay)
	}
	r.Generation.Later(pause, func() { r.follow(upTo, failures+1) })
}

// takeIn applies changes and says so.
func (r *Replica) takeIn(changes protocol.Changes, sentAt time.Duration, upTo uint64) {
	r.Apply(changes, sentAt)
	if !r.ready && r.revision >= upTo {
		r.ready = true
		r.raiseIncarnation()
		r.Log.Info("records read", "revision", r.revision, "incarnation", r.Incarnation)
	}
	if r.ready {
		r.OnChange(len(changes.Events) > 0)
	}
}

// followNext reads the changes again. They come one by one under load; gathering them for
// a moment keeps the reads of all controllers far below what the store allows.
func (r *Replica) followNext(sentAt time.Duration, upTo uint64) {
	if pause := sentAt + r.WatchPause - r.Generation.Now(); pause > 0 && r.ready {
		r.Generation.Later(pause, func() { r.follow(upTo, 0) })
		return
	}
	r.follow(upTo, 0)
}

// raiseIncarnation raises the incarnation above all former ones that the records name.
// The time of day, from which it is drawn, may step back within its bound between the end
// of a process and a start within a fraction of a second.
func (r *Replica) raiseIncarnation() {
	former := r.View.Liveness[r.Controller].Incarnation
	if r.View.Leader.Controller == r.Controller {
		former = max(former, r.View.Leader.Incarnation)
	}
	for _, grant := range r.View.Grants {
		if grant.Controller == r.Controller {
			former = max(former, grant.Incarnation)
		}
	}
	if former >= r.Incarnation {
		r.Log.Warn("wall clock stepped back", "incarnation", r.Incarnation, "former", former)
		r.Incarnation = former + 1
	}
}

// Apply puts changes that were asked for at a time into the view.
func (r *Replica) Apply(changes protocol.Changes, sentAt time.Duration) {
	for _, event := range changes.Events {
		// Two reads can be under way at once, and the later one may be answered first.
		// What the other then brings is old: a key that it puts may have been removed
		// since, and nothing else would tell.
		if event.Version <= r.revision {
			continue
		}
		if event.Put != "" {
			r.applyRecord(event.Put, event.Value, event.Version)
		} else {
			r.View.Remove(event.Remove, event.Version)
		}
	}
	r.revision = max(r.revision, changes.Revision)
	// The store answered after the request was sent, so everything durable by then is in
	// the view.
	r.freshAt = max(r.freshAt, sentAt)
}

func (r *Replica) applyRecord(key string, value []byte, version uint64) {
	if !strings.HasPrefix(key, storage.Prefix) {
		return
	}
	if err := r.View.Apply(key, value, version); err != nil {
		r.Log.Error("record unreadable", "err", err)
	}
}
