package coordination

import (
	"errors"
	"time"

	"rockrun/internal/bookkeeping"
	"rockrun/internal/protocol"
)

// leadership is what a leader knows besides the records. It is rebuilt from
// heartbeats and the cloud's list by every new leader.
type leadership struct {
	n         *Node
	term      uint64
	lease     uint64
	since     time.Duration
	renewedAt time.Duration // when the last renewal that succeeded was sent
	renewAt   time.Duration
	// Since when this leader itself has heard from the state service without a gap.
	freshSince time.Duration
	counter    uint64

	peers        map[string]*peerInfo
	lastSeen     map[string]protocol.MachineNote // by machine: what a holder that had seen it last said
	livenessSeen map[string]uint64               // versions of the liveness records taken in
	movedAt      time.Duration                   // when a home was last moved to a controller with less to do
	relieved     map[string]time.Duration        // when a controller lost a home whose machines could not reach it
	granting     []bool
	grantAt      []time.Duration
	homing       bool
	homeAt       time.Duration
	sharing      bool
	shareAt      time.Duration
	fleet        *fleet
}

// electionTick renews the leader's lease, or stands for election when nobody
// leads. A former incarnation of this very node that still seems to lead is
// known to be over and is succeeded at once.
func (n *Node) electionTick() {
	now := n.now()
	if n.lead != nil {
		n.lead.renewLease(now)
		return
	}
	if !n.vacant() {
		n.candidateAt = 0
		return
	}
	if n.candidate {
		return
	}
	if n.candidateAt == 0 {
		// Spread the candidates so that mostly one stands.
		n.candidateAt = now + time.Duration(n.Rand.Int64N(int64(400*time.Millisecond)))
	}
	if now >= n.candidateAt {
		n.runForLeader()
	}
}

// vacant reports whether nobody leads, or a former incarnation of this node.
func (n *Node) vacant() bool {
	return n.cache.LeaderVer == 0 ||
		n.cache.Leader.Node == n.Settings.Node && n.cache.Leader.Incarnation != n.incarnation
}

// runForLeader opens a lease and tries to take the leader's key and the next term in
// one transaction. Winning shows when the record comes back with the changes.
func (n *Node) runForLeader() {
	n.candidate = true
	era := n.era
	over := func() {
		if era == n.era {
			n.candidate, n.candidateAt = false, 0
		}
	}
	n.State.NewLease(leaderTTL, func(lease uint64, err error) {
		if era != n.era || n.stopped {
			return
		}
		if err != nil {
			n.later(n.jitter(retryPause), over)
			return
		}
		if !n.vacant() {
			// Another has won while the lease was being opened; conditions on
			// the record now in the cache would depose it.
			n.State.EndLease(lease, func(error) { over() })
			return
		}
		n.candidateLeases[lease] = true
		term := n.cache.Term + 1
		rec := bookkeeping.LeaderRecord{Node: n.Settings.Node, Incarnation: n.incarnation, Term: term, Lease: lease}
		n.txn(protocol.Txn{
			If: []protocol.Cond{{Key: bookkeeping.KeyLeader, Version: n.cache.LeaderVer}, {Key: bookkeeping.KeyTerm, Version: n.cache.TermVer}},
			Then: []protocol.Op{
				{Put: bookkeeping.KeyLeader, Value: bookkeeping.Encode(rec), Lease: lease},
				{Put: bookkeeping.KeyTerm, Value: bookkeeping.Encode(bookkeeping.TermRecord{Term: term})},
			},
		}, func(_ uint64, err error) {
			// With no answer the transaction may still be applied; its record
			// then arrives with the changes and is recognised by the lease.
			pause := n.jitter(retryPause)
			if errors.Is(err, protocol.ErrUnknown) {
				pause = n.jitter(leaderRenewEvery)
			}
			n.later(pause, over)
		})
	})
}

// checkLeadership compares the leader's record with what this node is.
func (n *Node) checkLeadership() {
	r := &n.cache.Leader
	mine := n.cache.LeaderVer != 0 && r.Node == n.Settings.Node && r.Incarnation == n.incarnation && n.candidateLeases[r.Lease]
	switch {
	case mine && (n.lead == nil || n.lead.term != r.Term):
		now := n.now()
		n.lead = &leadership{
			n: n, term: r.Term, lease: r.Lease, since: now, renewedAt: n.freshAt, freshSince: now,
			peers:        map[string]*peerInfo{},
			livenessSeen: map[string]uint64{},
			lastSeen:     map[string]protocol.MachineNote{},
			relieved:     map[string]time.Duration{},
			granting:     make([]bool, n.shards), grantAt: make([]time.Duration, n.shards),
		}
		for node, b := range n.cache.Liveness {
			n.lead.livenessSeen[node] = b.Version // how old they are is not known
		}
		n.lead.fleet = newFleet(n.lead)
		n.Log.Info("leading", "term", r.Term)
		n.sendHeartbeat()
	case !mine && n.lead != nil:
		n.Log.Info("no longer leading", "term", n.lead.term)
		n.lead = nil
	}
}

// renewLease renews the lease about once a second.
func (l *leadership) renewLease(now time.Duration) {
	if now < l.renewAt {
		return
	}
	l.renewAt = now + leaderRenewEvery
	n := l.n
	n.State.Renew(l.lease, func(err error) {
		if n.lead != l {
			return
		}
		switch {
		case err == nil:
			l.renewedAt = max(l.renewedAt, now)
		case errors.Is(err, protocol.ErrNoLease):
			n.Log.Info("lease lost, no longer leading", "term", l.term)
			l.resign()
		default:
			l.renewAt = n.now() + n.jitter(retryPause)
		}
	})
}

// resign ends a leadership whose record may still be in the cache: it must not be
// taken up again from there, for the tokens of the term would be given out anew.
func (l *leadership) resign() {
	delete(l.n.candidateLeases, l.lease)
	l.n.lead = nil
}

// mayAnswer reports whether the leader may still speak as one: a leader cut off from
// the state service can't know whether it has been succeeded.
func (l *leadership) mayAnswer() bool { return l.n.now()-l.renewedAt < l.n.authority }

// cond makes a write depend on this node still leading.
func (l *leadership) cond() protocol.Cond {
	return protocol.Cond{Key: bookkeeping.KeyLeader, Version: l.n.cache.LeaderVer}
}

// Where a token holds the term and, below it, the leader's counter; and how far
// the counter may go: more than a tick can use is left to it.
const (
	termShift    = 44
	counterShift = 24
	lastTokens   = 1<<(termShift-counterShift) - 1<<16
)

// token returns a fencing token above every earlier one: the term in the high
// bits, then a counter of this leader's, then room for the holder's own steps.
func (l *leadership) token() uint64 {
	l.counter++
	return l.term<<termShift | l.counter<<counterShift
}

func (l *leadership) tick() {
	if now := l.n.now(); now-l.n.freshAt > 2*followWait {
		l.freshSince = now
	}
	// One whose lease may have run out starts nothing: another may lead by now,
	// and while nobody can be elected nothing could be recorded either.
	if l.n.now()-l.renewedAt > leaderTTL {
		return
	}
	if l.counter >= lastTokens {
		// The counter would run into the bits of the next term.
		l.n.Log.Info("term has no tokens left, no longer leading", "term", l.term)
		l.resign()
		l.n.State.EndLease(l.lease, func(error) {})
		return
	}
	l.grantTick()
	l.fleet.tick()
}
