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
	renewedAt     time.Duration // when the last successful renewal was sent
	nextRenewalAt time.Duration
	// storeContactSince is when the current uninterrupted contact with the store began.
	storeContactSince time.Duration
	tokenCounter      uint64
}

// Term returns the leader's term.
func (l *Leadership) Term() uint64 { return l.term }

// Lease returns the lease to which the leader record is attached.
func (l *Leadership) Lease() uint64 { return l.lease }

// Since returns when the leadership began.
func (l *Leadership) Since() time.Duration { return l.since }

// StoreContactSince returns when the leader's current uninterrupted contact with the store began.
func (l *Leadership) StoreContactSince() time.Duration { return l.storeContactSince }

// Current reports whether this leadership is still in force as far as this controller knows.
func (l *Leadership) Current() bool { return !l.generation.Ended() && l.elector.leadership == l }

// MayAnswer reports whether this controller may still answer peers as the leader. A leader
// that is partitioned from the store cannot know whether another controller was elected.
func (l *Leadership) MayAnswer() bool {
	return l.generation.Now()-l.renewedAt < l.elector.MaxStaleness
}

// LeaseExpiry returns when the leader's lease may expire unless it is renewed before. From then
// on another controller may be elected.
func (l *Leadership) LeaseExpiry() time.Duration { return l.renewedAt + leaseTTL }

// Precondition returns the precondition that this controller is still the leader.
func (l *Leadership) Precondition() protocol.Precondition {
	return protocol.Precondition{Key: storage.KeyLeader, Version: l.replica.View.LeaderVersion}
}

// NextFencingToken returns a fencing token higher than all earlier ones.
func (l *Leadership) NextFencingToken() uint64 {
	l.tokenCounter++
	return l.term<<termShift | l.tokenCounter<<counterShift
}

// Tick checks the conditions that depend on elapsed time and reports whether the leader may
// start new actions. A leader whose lease may have expired starts none: another controller may
// lead by now. If none can be elected because the store is unavailable, the leader could not
// record an action either.
func (l *Leadership) Tick() bool {
	now := l.generation.Now()
	if l.replica.Staleness() > 2*replica.WatchTimeout {
		l.storeContactSince = now
	}
	if now-l.renewedAt > leaseTTL {
		return false
	}
	if l.tokenCounter >= maxTokenCounter {
		l.resignOnTokenExhaustion()
		return false
	}
	return true
}

// resignOnTokenExhaustion ends the term before its tokens overlap those of the next term.
func (l *Leadership) resignOnTokenExhaustion() {
	l.log.Info("leadership resigned, fencing tokens exhausted", "term", l.term)
	l.elector.resign(l)
	l.elector.Store.RevokeLease(l.lease, func(error) {})
}

// renewLease renews the leader lease about once per renewInterval.
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
