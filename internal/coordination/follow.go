package coordination

import (
	"errors"
	"strings"
	"time"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// load reads all records page by page and then follows the changes. Pages of
// different ages are made whole by following from the first page's revision;
// the cache counts as read once it has caught up with the last.
func (n *Controller) readRecords(after string, from, upTo uint64) {
	era := n.generation
	n.Store.List(storage.Prefix, after, func(p protocol.KeyValuePage, err error) {
		if era != n.generation || n.stopped {
			return
		}
		if err != nil {
			n.Log.Debug("reading records", "err", err)
			n.later(n.jitter(retryPause), func() { n.readRecords(after, from, upTo) })
			return
		}
		for _, it := range p.Items {
			n.apply(it.Key, it.Value, it.Version)
		}
		if from == 0 {
			from = p.Revision
		}
		if p.More && len(p.Items) > 0 {
			n.readRecords(p.Items[len(p.Items)-1].Key, from, p.Revision)
			return
		}
		n.revision = from
		n.watchChanges(p.Revision, 0)
	})
}

// follow keeps the cache up to date for the rest of the incarnation.
func (n *Controller) watchChanges(upTo uint64, failures int) {
	era, sent := n.generation, n.now()
	wait := watchTimeout
	if !n.ready {
		wait = 0
	}
	n.Store.Watch(storage.Prefix, n.revision, wait, func(c protocol.Changes, err error) {
		if era != n.generation || n.stopped {
			return
		}
		if errors.Is(err, protocol.ErrCompacted) {
			n.Log.Warn("lost track of changes, starting over")
			n.begin()
			return
		}
		if err != nil {
			pause := n.jitter(retryPause)
			if failures > 10 {
				pause = n.jitter(2 * retryPause)
			}
			n.later(pause, func() { n.watchChanges(upTo, failures+1) })
			return
		}
		n.applyChanges(c, sent)
		if !n.ready && n.revision >= upTo {
			n.ready = true
			n.raiseIncarnation()
			n.Log.Info("records read", "revision", n.revision, "incarnation", n.incarnation)
		}
		if len(c.Events) > 0 || n.ready {
			n.recordsChanged(len(c.Events) > 0)
		}
		// Changes come one by one under load; gathering them for a moment keeps
		// the reads of all controllers far below what the service allows.
		if pause := sent + n.watchPause - n.now(); pause > 0 && n.ready {
			n.later(pause, func() { n.watchChanges(upTo, 0) })
			return
		}
		n.watchChanges(upTo, 0)
	})
}

// raiseIncarnation raises the incarnation above all former ones that the records name.
// The time of day may step back, within its bound, between the end of a process
// and a start within a fraction of a second.
func (n *Controller) raiseIncarnation() {
	former := n.view.Liveness[n.Settings.Controller].Incarnation
	if n.view.Leader.Controller == n.Settings.Controller {
		former = max(former, n.view.Leader.Incarnation)
	}
	for _, g := range n.view.Grants {
		if g.Controller == n.Settings.Controller {
			former = max(former, g.Incarnation)
		}
	}
	if former >= n.incarnation {
		n.Log.Warn("time of day has stepped back", "incarnation", n.incarnation, "former", former)
		n.incarnation = former + 1
	}
}

// applyChanges puts changes into the cache that were asked for at a time.
func (n *Controller) applyChanges(c protocol.Changes, sent time.Duration) {
	for _, e := range c.Events {
		// Two reads can be under way at once, and the later one may be answered
		// first. What the other then brings is old news: a key that it puts may
		// have been removed since, and nothing else would tell.
		if e.Version <= n.revision {
			continue
		}
		if e.Put != "" {
			n.apply(e.Put, e.Value, e.Version)
		} else {
			n.view.Remove(e.Remove, e.Version)
		}
	}
	n.revision = max(n.revision, c.Revision)
	// The service answered after the request was sent, so everything durable by
	// then is in the cache.
	n.freshAt = max(n.freshAt, sent)
}

// sync calls done once the cache holds everything that was durable when sync was
// called. One read of the changes serves all who wait, so questions from users
// cost the state service a few reads a second, however many they are.
func (n *Controller) sync(done func(error)) {
	n.syncWaiters = append(n.syncWaiters, done)
	if n.syncInFlight || n.syncScheduled {
		return
	}
	n.syncScheduled = true
	n.later(max(0, n.nextSyncAt-n.now()), n.readChanges)
}

func (n *Controller) readChanges() {
	era, sent := n.generation, n.now()
	waits := n.syncWaiters
	n.syncWaiters, n.syncInFlight, n.syncScheduled, n.nextSyncAt = nil, true, false, sent+2*n.watchPause
	n.Store.Watch(storage.Prefix, n.revision, 0, func(c protocol.Changes, err error) {
		if era != n.generation || n.stopped {
			for _, f := range waits {
				f(protocol.ErrNotExecuted)
			}
			return
		}
		n.syncInFlight = false
		if err == nil {
			n.applyChanges(c, sent)
			n.recordsChanged(len(c.Events) > 0)
		}
		for _, f := range waits {
			f(err)
		}
		if len(n.syncWaiters) > 0 && !n.syncScheduled {
			n.syncScheduled = true
			n.later(max(0, n.nextSyncAt-n.now()), n.readChanges)
		}
	})
}

func (n *Controller) apply(key string, value []byte, version uint64) {
	if !strings.HasPrefix(key, storage.Prefix) {
		return
	}
	if err := n.view.Apply(key, value, version); err != nil {
		n.Log.Error("unreadable record", "err", err)
	}
}

// changed works out what follows from new records.
func (n *Controller) recordsChanged(events bool) {
	if !n.ready {
		return
	}
	n.checkLeadership()
	if events {
		for s := range n.shardCount {
			if !n.holdsShard(s) {
				n.grantSeenAt[s] = 0
			} else if n.grantSeenAt[s] == 0 {
				n.grantSeenAt[s] = n.now()
				// The grant is fresh: its lease begins with it. The leader
				// made it no earlier than the request that brought it.
				n.shardLeaseExpiry[s] = max(n.shardLeaseExpiry[s], n.freshAt+n.shardLease)
			}
		}
		n.outcomes.readWanted()
		n.reconciler.syncWithRecords()
		n.reconciler.schedulePass()
	}
}
