// Package election decides which controller is the leader. The leader's record is
// attached to a lease in the key-value store; taking the record and the next term is one
// transaction, so there is one leader a term and terms only rise. A leadership issues the
// fencing tokens of its term.
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

const (
	leaseTTL      = 4 * time.Second
	renewInterval = time.Second
	// candidacySpread spreads the candidates so that mostly one campaigns.
	candidacySpread = 400 * time.Millisecond
)

// Config is all that an Elector is made of.
type Config struct {
	Generation *loop.Generation
	Store      kv.Store
	Committer  *kv.Committer
	Replica    *replica.Replica
	// MaxStaleness is how old a leader's last renewal may be while it still answers as
	// the leader.
	MaxStaleness time.Duration
	Log          *slog.Logger

	// OnElected is called when this controller has become the leader.
	OnElected func(*Leadership)
	// OnDeposed is called when it is the leader no longer, or has resigned.
	OnDeposed func()
}

// Elector campaigns for this controller while nobody leads, and renews its lease while
// it does.
type Elector struct {
	Config
	campaigning bool
	campaignAt  time.Duration   // when to campaign; 0: not settled, or no need
	leases      map[uint64]bool // opened for a campaign of this generation
	leadership  *Leadership     // nil unless this controller leads
}

// New makes an elector.
func New(c Config) *Elector { return &Elector{Config: c, leases: map[uint64]bool{}} }

// Tick renews the leader's lease, or campaigns when nobody leads.
func (e *Elector) Tick() {
	now := e.Generation.Now()
	switch {
	case e.leadership != nil:
		e.leadership.renewLease(now)
	case !e.vacant():
		e.campaignAt = 0
	case e.campaigning:
	default:
		e.campaignWhenDue(now)
	}
}

func (e *Elector) campaignWhenDue(now time.Duration) {
	if e.campaignAt == 0 {
		e.campaignAt = now + time.Duration(e.Generation.Rand.Int64N(int64(candidacySpread)))
	}
	if now >= e.campaignAt {
		e.campaign()
	}
}

// vacant reports whether nobody leads. A former incarnation of this very controller that
// still seems to lead is known to have ended and is succeeded at once.
func (e *Elector) vacant() bool {
	view := e.Replica.View
	return view.LeaderVersion == 0 ||
		view.Leader.Controller == e.Replica.Controller && view.Leader.Incarnation != e.Replica.Incarnation
}

// campaign opens a lease and tries to take the leader's record. Winning shows when the
// record comes back with the changes.
func (e *Elector) campaign() {
	e.campaigning = true
	e.Store.OpenLease(leaseTTL, func(lease uint64, err error) {
		switch {
		case !e.Generation.Active():
		case err != nil:
			e.Generation.Later(e.Generation.Jitter(kv.RetryDelay), e.endCampaign)
		case !e.vacant():
			// Another has won while the lease was being opened; conditions on the record
			// that is in the view by now would depose it.
			e.Store.RevokeLease(lease, func(error) { e.endCampaign() })
		default:
			e.takeLeadership(lease)
		}
	})
}

func (e *Elector) endCampaign() {
	if e.Generation.Ended() {
		return
	}
	e.campaigning = false
	e.campaignAt = 0
}

// takeLeadership writes the leader's record and the next term in one transaction.
func (e *Elector) takeLeadership(lease uint64) {
	e.leases[lease] = true
	view := e.Replica.View
	term := view.Term + 1
	leader := storage.LeaderRecord{
		Controller:  e.Replica.Controller,
		Incarnation: e.Replica.Incarnation,
		Term:        term,
		Lease:       lease,
	}
	e.Committer.Commit(protocol.Transaction{
		Conditions: []protocol.Condition{
			{Key: storage.KeyLeader, Version: view.LeaderVersion},
			{Key: storage.KeyTerm, Version: view.TermVersion},
		},
		Operations: []protocol.Operation{
			{Put: storage.KeyLeader, Value: storage.Encode(leader), Lease: lease},
			{Put: storage.KeyTerm, Value: storage.Encode(storage.TermRecord{Term: term})},
		},
	}, func(_ uint64, err error) {
		// With no answer the transaction may still be applied; its record then arrives
		// with the changes and is recognised by the lease.
		pause := e.Generation.Jitter(kv.RetryDelay)
		if errors.Is(err, protocol.ErrOutcomeUnknown) {
			pause = e.Generation.Jitter(renewInterval)
		}
		e.Generation.Later(pause, e.endCampaign)
	})
}

// ObserveRecord compares the leader's record with what this controller takes itself for.
func (e *Elector) ObserveRecord() {
	record := &e.Replica.View.Leader
	leads := e.leads()
	switch {
	case leads && (e.leadership == nil || e.leadership.term != record.Term):
		e.begin(record)
	case !leads && e.leadership != nil:
		e.Log.Info("leadership lost", "term", e.leadership.term, "leader", record.Controller, "revision", e.Replica.Revision())
		e.leadership = nil
		e.OnDeposed()
	}
}

// leads reports whether the leader's record is one that this generation has written.
func (e *Elector) leads() bool {
	view := e.Replica.View
	record := &view.Leader
	return view.LeaderVersion != 0 && record.Controller == e.Replica.Controller &&
		record.Incarnation == e.Replica.Incarnation && e.leases[record.Lease]
}

func (e *Elector) begin(record *storage.LeaderRecord) {
	now := e.Generation.Now()
	e.leadership = &Leadership{
		elector: e, generation: e.Generation, replica: e.Replica, log: e.Log,
		term: record.Term, lease: record.Lease, since: now, renewedAt: e.Replica.FreshAt(), storeHeardSince: now,
	}
	e.Log.Info("leadership gained", "term", record.Term, "lease", record.Lease, "revision", e.Replica.Revision(), "staleness", e.Replica.Staleness())
	e.OnElected(e.leadership)
}

// resign ends a leadership whose record may still be in the view: it must not be taken up
// again from there, for the tokens of the term would be issued anew.
func (e *Elector) resign(l *Leadership) {
	delete(e.leases, l.lease)
	e.leadership = nil
	e.OnDeposed()
}

// Stop ends a leadership because the controller shuts down. It returns the lease to be
// revoked, or false where this controller does not lead.
func (e *Elector) Stop() (lease uint64, leading bool) {
	if e.leadership == nil {
		return 0, false
	}
	lease = e.leadership.lease
	e.leadership = nil
	e.OnDeposed()
	return lease, true
}
