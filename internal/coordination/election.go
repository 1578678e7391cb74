package coordination

import (
	"errors"
	"time"

	"rockrun/internal/coordination/kv"
	"rockrun/internal/coordination/replica"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// leadership is what a leader knows besides the records. It is rebuilt from
// heartbeats and the cloud's list by every new leader.
type leadership struct {
	controller    *Controller
	term          uint64
	lease         uint64
	since         time.Duration
	renewedAt     time.Duration // when the last renewal that succeeded was sent
	nextRenewalAt time.Duration
	// Since when this leader itself has heard from the state service without a gap.
	freshSince   time.Duration
	tokenCounter uint64

	peers               map[string]*peerState
	lastConfirmedStatus map[string]protocol.MachineStatus // by machine: what a holder that had seen it last said
	appliedLiveness     map[string]uint64                 // versions of the liveness records taken in
	lastMoveAt          time.Duration                     // when a home was last moved to a controller with less to do
	relievedAt          map[string]time.Duration          // when a controller lost a home whose machines could not reach it
	grantInFlight       []bool
	nextGrantAt         []time.Duration
	jobShardsInFlight   bool
	nextJobShardsAt     time.Duration
	quotaSplitInFlight  bool
	nextQuotaSplitAt    time.Duration
	provisioner         *provisioner
}

// electionTick renews the leader's lease, or stands for election when nobody
// leads. A former incarnation of this very node that still seems to lead is
// known to be over and is succeeded at once.
func (n *Controller) electionTick() {
	now := n.now()
	if n.leadership != nil {
		n.leadership.renewLease(now)
		return
	}
	if !n.leaderVacant() {
		n.candidacyAt = 0
		return
	}
	if n.candidacyInFlight {
		return
	}
	if n.candidacyAt == 0 {
		// Spread the candidates so that mostly one stands.
		n.candidacyAt = now + time.Duration(n.Rand.Int64N(int64(400*time.Millisecond)))
	}
	if now >= n.candidacyAt {
		n.campaign()
	}
}

// vacant reports whether nobody leads, or a former incarnation of this node.
func (n *Controller) leaderVacant() bool {
	return n.view.LeaderVersion == 0 ||
		n.view.Leader.Controller == n.Settings.Controller && n.view.Leader.Incarnation != n.replica.Incarnation
}

// runForLeader opens a lease and tries to take the leader's key and the next term in
// one transaction. Winning shows when the record comes back with the changes.
func (n *Controller) campaign() {
	n.candidacyInFlight = true
	generation := n.generation
	over := func() {
		if !generation.Ended() {
			n.candidacyInFlight, n.candidacyAt = false, 0
		}
	}
	n.Store.OpenLease(leaderLeaseTTL, func(lease uint64, err error) {
		if !generation.Active() {
			return
		}
		if err != nil {
			n.generation.Later(n.generation.Jitter(kv.RetryPause), over)
			return
		}
		if !n.leaderVacant() {
			// Another has won while the lease was being opened; conditions on
			// the record now in the cache would depose it.
			n.Store.RevokeLease(lease, func(error) { over() })
			return
		}
		n.candidateLeases[lease] = true
		term := n.view.Term + 1
		rec := storage.LeaderRecord{Controller: n.Settings.Controller, Incarnation: n.replica.Incarnation, Term: term, Lease: lease}
		n.committer.Commit(protocol.Transaction{
			Conditions: []protocol.Condition{{Key: storage.KeyLeader, Version: n.view.LeaderVersion}, {Key: storage.KeyTerm, Version: n.view.TermVersion}},
			Operations: []protocol.Operation{
				{Put: storage.KeyLeader, Value: storage.Encode(rec), Lease: lease},
				{Put: storage.KeyTerm, Value: storage.Encode(storage.TermRecord{Term: term})},
			},
		}, func(_ uint64, err error) {
			// With no answer the transaction may still be applied; its record
			// then arrives with the changes and is recognised by the lease.
			pause := n.generation.Jitter(kv.RetryPause)
			if errors.Is(err, protocol.ErrOutcomeUnknown) {
				pause = n.generation.Jitter(leaderRenewInterval)
			}
			n.generation.Later(pause, over)
		})
	})
}

// checkLeadership compares the leader's record with what this node is.
func (n *Controller) checkLeadership() {
	r := &n.view.Leader
	mine := n.view.LeaderVersion != 0 && r.Controller == n.Settings.Controller && r.Incarnation == n.replica.Incarnation && n.candidateLeases[r.Lease]
	switch {
	case mine && (n.leadership == nil || n.leadership.term != r.Term):
		now := n.now()
		n.leadership = &leadership{
			controller: n, term: r.Term, lease: r.Lease, since: now, renewedAt: n.replica.FreshAt(), freshSince: now,
			peers:               map[string]*peerState{},
			appliedLiveness:     map[string]uint64{},
			lastConfirmedStatus: map[string]protocol.MachineStatus{},
			relievedAt:          map[string]time.Duration{},
			grantInFlight:       make([]bool, n.shardCount), nextGrantAt: make([]time.Duration, n.shardCount),
		}
		for node, b := range n.view.Liveness {
			n.leadership.appliedLiveness[node] = b.Version // how old they are is not known
		}
		n.leadership.provisioner = newProvisioner(n.leadership)
		n.Log.Info("leading", "term", r.Term)
		n.sendPeerHeartbeat()
	case !mine && n.leadership != nil:
		n.Log.Info("no longer leading", "term", n.leadership.term)
		n.leadership = nil
	}
}

// renewLease renews the lease about once a second.
func (l *leadership) renewLease(now time.Duration) {
	if now < l.nextRenewalAt {
		return
	}
	l.nextRenewalAt = now + leaderRenewInterval
	n := l.controller
	n.Store.RenewLease(l.lease, func(err error) {
		if n.leadership != l {
			return
		}
		switch {
		case err == nil:
			l.renewedAt = max(l.renewedAt, now)
		case errors.Is(err, protocol.ErrLeaseNotFound):
			n.Log.Info("lease lost, no longer leading", "term", l.term)
			l.resign()
		default:
			l.nextRenewalAt = n.now() + n.generation.Jitter(kv.RetryPause)
		}
	})
}

// resign ends a leadership whose record may still be in the cache: it must not be
// taken up again from there, for the tokens of the term would be given out anew.
func (l *leadership) resign() {
	delete(l.controller.candidateLeases, l.lease)
	l.controller.leadership = nil
}

// mayAnswer reports whether the leader may still speak as one: a leader cut off from
// the state service can't know whether it has been succeeded.
func (l *leadership) mayAnswer() bool {
	return l.controller.now()-l.renewedAt < l.controller.maxStaleness
}

// cond makes a write depend on this node still leading.
func (l *leadership) leaderCondition() protocol.Condition {
	return protocol.Condition{Key: storage.KeyLeader, Version: l.controller.view.LeaderVersion}
}

// Where a token holds the term and, below it, the leader's counter; and how far
// the counter may go: more than a tick can use is left to it.
const (
	termShift       = 44
	counterShift    = 24
	maxTokenCounter = 1<<(termShift-counterShift) - 1<<16
)

// token returns a fencing token above every earlier one: the term in the high
// bits, then a counter of this leader's, then room for the holder's own steps.
func (l *leadership) nextFencingToken() uint64 {
	l.tokenCounter++
	return l.term<<termShift | l.tokenCounter<<counterShift
}

func (l *leadership) tick() {
	if now := l.controller.now(); now-l.controller.replica.FreshAt() > 2*replica.WatchTimeout {
		l.freshSince = now
	}
	// One whose lease may have run out starts nothing: another may lead by now,
	// and while nobody can be elected nothing could be recorded either.
	if l.controller.now()-l.renewedAt > leaderLeaseTTL {
		return
	}
	if l.tokenCounter >= maxTokenCounter {
		// The counter would run into the bits of the next term.
		l.controller.Log.Info("term has no tokens left, no longer leading", "term", l.term)
		l.resign()
		l.controller.Store.RevokeLease(l.lease, func(error) {})
		return
	}
	l.assignShards()
	l.provisioner.tick()
}
