package election

import (
	"errors"
	"log/slog"
	"time"

	"rockrun/internal/coordination/kv"
	"rockrun/internal/coordination/loop"
	"rockrun/internal/coordination/replica"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// Leadership is one term of this controller as the leader.
type Leadership struct {
	elector    *Elector
	generation *loop.Generation
	replica    *replica.Replica
	log        *slog.Logger

	term          uint64
	lease         uint64
	since         time.Duration
	renewedAt     time.Duration // when the last renewal that succeeded was sent
	nextRenewalAt time.Duration
	// storeHeardSince is since when this leader has heard from the store without a gap.
	storeHeardSince time.Duration
	tokenCounter    uint64
}

// Term is the number of the leadership.
func (l *Leadership) Term() uint64 { return l.term }

// Lease is the lease to which the leader's record is attached.
func (l *Leadership) Lease() uint64 { return l.lease }

// Since is when the leadership began.
func (l *Leadership) Since() time.Duration { return l.since }

// StoreHeardSince is since when the leader has heard from the store without a gap.
func (l *Leadership) StoreHeardSince() time.Duration { return l.storeHeardSince }

// Current reports whether the leadership is still in office as far as this controller
// knows.
func (l *Leadership) Current() bool { return !l.generation.Ended() && l.elector.leadership == l }

// MayAnswer reports whether the leader may still speak as one: a leader that is
// partitioned from the store cannot know whether it has been succeeded.
func (l *Leadership) MayAnswer() bool {
	return l.generation.Now()-l.renewedAt < l.elector.MaxStaleness
}

// Condition makes a transaction depend on this controller still being the leader.
func (l *Leadership) Condition() protocol.Condition {
	return protocol.Condition{Key: storage.KeyLeader, Version: l.replica.View.LeaderVersion}
}

// NextFencingToken returns a fencing token above every earlier one.
func (l *Leadership) NextFencingToken() uint64 {
	l.tokenCounter++
	return l.term<<termShift | l.tokenCounter<<counterShift
}

// Tick looks at what only the passing of time changes, and reports whether the leader may
// begin anything. One whose lease may have expired begins nothing: another may lead by
// now, and while nobody can be elected nothing could be recorded either.
func (l *Leadership) Tick() bool {
	now := l.generation.Now()
	if l.replica.Staleness() > 2*replica.WatchTimeout {
		l.storeHeardSince = now
	}
	if now-l.renewedAt > leaseTTL {
		return false
	}
	if l.tokenCounter >= maxTokenCounter {
		l.resignOutOfTokens()
		return false
	}
	return true
}

// resignOutOfTokens ends the term before its tokens run into those of the next.
func (l *Leadership) resignOutOfTokens() {
	l.log.Info("leadership given up, term has no tokens left", "term", l.term)
	l.elector.resign(l)
	l.elector.Store.RevokeLease(l.lease, func(error) {})
}

// renewLease renews the leader's lease about once a second.
func (l *Leadership) renewLease(now time.Duration) {
	if now < l.nextRenewalAt {
		return
	}
	l.nextRenewalAt = now + renewInterval
	l.elector.Store.RenewLease(l.lease, func(err error) {
		switch {
		case !l.Current():
		case err == nil:
			l.renewedAt = max(l.renewedAt, now)
		case errors.Is(err, protocol.ErrLeaseNotFound):
			l.log.Info("leadership lost, lease expired", "term", l.term)
			l.elector.resign(l)
		default:
			l.nextRenewalAt = l.generation.Now() + l.generation.Jitter(kv.RetryDelay)
		}
	})
}
