// Package election elects one controller as the leader. The leader record is attached to a
// lease in the key-value store. One transaction writes this record and the next term, so each
// term has one leader and terms only increase. A Leadership issues the fencing tokens of its
// term.
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
	// maxCampaignDelay limits the random delay before a campaign. The delay spreads the
	// candidates, so that usually only one campaigns.
	maxCampaignDelay = 400 * time.Millisecond
)

// Config holds the dependencies and settings of an Elector.
type Config struct {
	Generation *loop.Generation
	Store      kv.Store
	Committer  *kv.Committer
	Replica    *replica.Replica
	// MaxStaleness is the maximum age of a leader's last successful lease renewal at which
	// the leader still answers peers.
	MaxStaleness time.Duration
	Log          *slog.Logger

	// OnElected is called when this controller becomes the leader.
	OnElected func(*Leadership)
	// OnLeadershipEnd is called when this controller stops being the leader.
	OnLeadershipEnd func()
}

// Elector campaigns for this controller while there is no leader, and renews the leader
// lease while this controller leads.
type Elector struct {
	Config
	campaigning    bool
	campaignAt     time.Duration   // 0: no campaign scheduled
	campaignLeases map[uint64]bool // opened for campaigns of this generation
	leadership     *Leadership     // nil unless this controller leads
}

// New creates an elector.
func New(c Config) *Elector { return &Elector{Config: c, campaignLeases: map[uint64]bool{}} }

// Tick renews the leader lease if this controller leads, and campaigns if there is no leader.
func (e *Elector) Tick() {
	now := e.Generation.Now()
	switch {
	case e.leadership != nil:
		e.leadership.renewLease(now)
	case !e.mayCampaign():
		e.campaignAt = 0
	case e.campaigning:
	default:
		e.campaignWhenDue(now)
	}
}

func (e *Elector) campaignWhenDue(now time.Duration) {
	if e.campaignAt == 0 {
		e.campaignAt = now + time.Duration(e.Generation.Rand.Int64N(int64(maxCampaignDelay)))
	}
	if now >= e.campaignAt {
		e.campaign()
	}
}

// mayCampaign reports whether there is no leader. It ignores a leader record of an earlier
// incarnation of this controller: that incarnation has certainly ended, so the controller
// campaigns at once.
func (e *Elector) mayCampaign() bool {
	view := e.Replica.View
	return view.LeaderVersion == 0 ||
		view.Leader.Controller == e.Replica.Controller && view.Leader.Incarnation != e.Replica.Incarnation
}

// campaign opens a lease and tries to write the leader record. The controller is elected
// once the record appears in the view, see ObserveRecord.
func (e *Elector) campaign() {
	e.campaigning = true
	e.Store.OpenLease(leaseTTL, func(lease uint64, err error) {
		switch {
		case !e.Generation.Active():
		case err != nil:
			e.Generation.AfterIfActive(e.Generation.Jitter(kv.RetryDelay), e.endCampaign)
		case !e.mayCampaign():
			// Another controller was elected while the lease was being opened. A
			// transaction conditioned on the record now in the view would replace that
			// leader.
			e.Store.RevokeLease(lease, func(error) { e.endCampaign() })
		default:
			e.writeLeaderRecord(lease)
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

// writeLeaderRecord writes the leader record and the next term in one transaction.
func (e *Elector) writeLeaderRecord(lease uint64) {
	e.campaignLeases[lease] = true
	view := e.Replica.View
	term := view.Term + 1
	leader := storage.LeaderRecord{
		Controller:  e.Replica.Controller,
		Incarnation: e.Replica.Incarnation,
		Term:        term,
		Lease:       lease,
	}
	e.Committer.Commit(protocol.Transaction{
		Preconditions: []protocol.Precondition{
			{Key: storage.KeyLeader, Version: view.LeaderVersion},
			{Key: storage.KeyTerm, Version: view.TermVersion},
		},
		Operations: []protocol.Operation{
			{Put: storage.KeyLeader, Value: storage.Encode(leader), Lease: lease},
			{Put: storage.KeyTerm, Value: storage.Encode(storage.TermRecord{Term: term})},
		},
	}, func(_ uint64, err error) {
		// If the outcome is unknown, the transaction may still be applied. Its record
		// then appears in the view and is identified by the lease.
		delay := e.Generation.Jitter(kv.RetryDelay)
		if errors.Is(err, protocol.ErrOutcomeUnknown) {
			delay = e.Generation.Jitter(renewInterval)
		}
		e.Generation.AfterIfActive(delay, e.endCampaign)
	})
}

// ObserveRecord starts or ends this controller's leadership to match the leader record.
func (e *Elector) ObserveRecord() {
	record := &e.Replica.View.Leader
	leading := e.ownsLeaderRecord()
	switch {
	case leading && (e.leadership == nil || e.leadership.term != record.Term):
		e.beginLeadership(record)
	case !leading && e.leadership != nil:
		e.Log.Info("leadership lost", "term", e.leadership.term, "leader", record.Controller, "revision", e.Replica.Revision())
		e.leadership = nil
		e.OnLeadershipEnd()
	}
}

// ownsLeaderRecord reports whether this generation wrote the leader record in the view.
func (e *Elector) ownsLeaderRecord() bool {
	view := e.Replica.View
	record := &view.Leader
	return view.LeaderVersion != 0 && record.Controller == e.Replica.Controller &&
		record.Incarnation == e.Replica.Incarnation && e.campaignLeases[record.Lease]
}

func (e *Elector) beginLeadership(record *storage.LeaderRecord) {
	now := e.Generation.Now()
	e.leadership = &Leadership{
		elector: e, generation: e.Generation, replica: e.Replica, log: e.Log,
		term: record.Term, lease: record.Lease, since: now, renewedAt: e.Replica.FreshAt(), storeContactSince: now,
	}
	e.Log.Info("leadership gained", "term", record.Term, "lease", record.Lease, "revision", e.Replica.Revision(), "staleness", e.Replica.Staleness())
	e.OnElected(e.leadership)
}

// resign ends a leadership whose record may still be in the view. It deletes the lease from
// campaignLeases, so that the elector does not resume the term from that record and issue the
// term's tokens again.
func (e *Elector) resign(l *Leadership) {
	delete(e.campaignLeases, l.lease)
	e.leadership = nil
	e.OnLeadershipEnd()
}

// Stop ends the leadership at shutdown and returns the lease to revoke. leading is false if
// this controller does not lead.
func (e *Elector) Stop() (lease uint64, leading bool) {
	if e.leadership == nil {
		return 0, false
	}
	lease = e.leadership.lease
	e.leadership = nil
	e.OnLeadershipEnd()
	return lease, true
}
