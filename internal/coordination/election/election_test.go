package election

import (
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"rockrun/internal/config"
	"rockrun/internal/coordination/kv"
	"rockrun/internal/coordination/loop"
	"rockrun/internal/coordination/replica"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

const testLease = 7

// electorFixture runs the elector of one controller on a scripted clock and store.
type electorFixture struct {
	t         *testing.T
	now       time.Duration
	timers    []func()
	committed []protocol.Transaction
	commitErr error
	renewErr  error
	revoked   []uint64
	revision  uint64

	replica *replica.Replica
	elector *Elector
	leader  *Leadership
}

func (f *electorFixture) Now() time.Duration { return f.now }
func (f *electorFixture) Wall() time.Time    { return time.Unix(1_800_000_000, 0).Add(f.now) }
func (f *electorFixture) After(_ time.Duration, callback func()) {
	f.timers = append(f.timers, callback)
}
func (f *electorFixture) RevokeLease(lease uint64, _ func(error)) {
	f.revoked = append(f.revoked, lease)
}
func (f *electorFixture) RenewLease(_ uint64, done func(error)) {
	done(f.renewErr)
}
func (f *electorFixture) Get(string, func(protocol.KeyValue, bool, error)) {}
func (f *electorFixture) List(_, _ string, done func(protocol.KeyValuePage, error)) {
	done(protocol.KeyValuePage{}, nil)
}
func (f *electorFixture) Commit(t protocol.Transaction, done func(uint64, error)) {
	f.committed = append(f.committed, t)
	done(0, f.commitErr)
}
func (f *electorFixture) OpenLease(_ time.Duration, done func(uint64, error)) { done(testLease, nil) }
func (f *electorFixture) Watch(_ string, after uint64, _ time.Duration, done func(protocol.Changes, error)) {
	done(protocol.Changes{Revision: after}, nil)
}

func newElectorFixture(t *testing.T) *electorFixture {
	t.Helper()
	f := &electorFixture{t: t, now: time.Minute}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	generation := loop.NewGeneration(f, rand.New(rand.NewPCG(1, 2)))
	f.replica = replica.New(replica.Config{
		Generation: generation, Store: f, View: storage.NewView(nil, 1), Controller: "a", Incarnation: 3, MinWatchInterval: time.Second,
		Log: log, OnChange: func(bool) {},
	})
	f.replica.Start()
	limits := config.KVStore{RequestsPerSecond: 200, WritesPerSecond: 100, ValueKiB: 8, TransactionOperations: 8}.Limits()
	committer := kv.NewCommitter(f, limits, log)
	committer.BeginGeneration(generation)
	f.elector = New(Config{
		Generation: generation, Store: f, Committer: committer, Replica: f.replica, MaxStaleness: 10 * time.Second, Log: log,
		OnElected:       func(l *Leadership) { f.leader = l },
		OnLeadershipEnd: func() { f.leader = nil },
	})
	return f
}

// applyRecord delivers a record to the view as a change.
func (f *electorFixture) applyRecord(key string, record any) {
	f.revision++
	f.replica.Apply(protocol.Changes{Revision: f.revision, Events: []protocol.Event{
		{Put: key, Value: storage.Encode(record), Version: f.revision},
	}}, f.now)
	f.elector.ObserveRecord()
}

// campaign lets the elector campaign by passing the maximum delay.
func (f *electorFixture) campaign() {
	f.t.Helper()
	f.elector.Tick()
	f.now += maxCampaignDelay
	f.elector.Tick()
}

// winElection lets the elector campaign and delivers the leader record it wrote.
func (f *electorFixture) winElection(term uint64) {
	f.t.Helper()
	f.campaign()
	if len(f.committed) != 1 {
		f.t.Fatalf("campaign committed %d transactions, want 1", len(f.committed))
	}
	f.applyRecord(storage.KeyLeader, storage.LeaderRecord{Controller: "a", Incarnation: 3, Term: term, Lease: testLease})
	if f.leader == nil {
		f.t.Fatal("controller is not the leader after its record was delivered")
	}
}

// TestCampaignWritesLeaderAndTerm: a campaign writes the leader record and the next term in
// one transaction that fails if either has changed.
func TestCampaignWritesLeaderAndTerm(t *testing.T) {
	f := newElectorFixture(t)
	f.applyRecord(storage.KeyTerm, storage.TermRecord{Term: 4})
	f.campaign()
	if len(f.committed) != 1 {
		t.Fatalf("%d transactions, want 1", len(f.committed))
	}
	transaction := f.committed[0]
	preconditions := map[string]uint64{}
	for _, precondition := range transaction.Preconditions {
		preconditions[precondition.Key] = precondition.Version
	}
	if len(preconditions) != 2 || preconditions[storage.KeyLeader] != 0 || preconditions[storage.KeyTerm] != f.replica.View.TermVersion {
		t.Errorf("preconditions %v, want the leader record and the term", preconditions)
	}
	var term storage.TermRecord
	if err := protocol.Decode(transaction.Operations[1].Value, &term); err != nil || term.Term != 5 {
		t.Errorf("term %d, error %v; want term 5", term.Term, err)
	}
	if transaction.Operations[0].Lease != testLease || transaction.Operations[1].Lease != 0 {
		t.Error("want the leader record, and only it, attached to the lease")
	}
}

// TestNoCampaignWhileAnotherLeads: a controller does not campaign while another one leads. It
// does campaign if the leader record names an earlier incarnation of itself.
func TestNoCampaignWhileAnotherLeads(t *testing.T) {
	for _, test := range []struct {
		name   string
		leader storage.LeaderRecord
		want   int
	}{
		{"another controller", storage.LeaderRecord{Controller: "b", Incarnation: 9, Term: 1}, 0},
		{"an earlier incarnation", storage.LeaderRecord{Controller: "a", Incarnation: 2, Term: 1}, 1},
	} {
		f := newElectorFixture(t)
		f.applyRecord(storage.KeyLeader, test.leader)
		f.campaign()
		if len(f.committed) != test.want {
			t.Errorf("%s leads: %d campaigns, want %d", test.name, len(f.committed), test.want)
		}
	}
}

// TestElectedDespiteLostResponse: a campaign whose transaction has an unknown outcome may have
// succeeded. The leader record shows that, and no second campaign starts in the meantime.
func TestElectedDespiteLostResponse(t *testing.T) {
	f := newElectorFixture(t)
	f.commitErr = protocol.ErrOutcomeUnknown
	f.winElection(1)
	if f.leader.Term() != 1 {
		t.Errorf("term %d, want 1", f.leader.Term())
	}
}

// TestLeadershipLost: a leadership ends when the leader record names another controller, or
// when the store reports that the lease no longer exists.
func TestLeadershipLost(t *testing.T) {
	f := newElectorFixture(t)
	f.winElection(1)
	f.applyRecord(storage.KeyLeader, storage.LeaderRecord{Controller: "b", Incarnation: 9, Term: 2})
	if f.leader != nil {
		t.Error("still leads after another controller was elected")
	}

	f = newElectorFixture(t)
	f.winElection(1)
	earlier := f.leader
	f.renewErr = protocol.ErrLeaseNotFound
	f.elector.Tick()
	f.elector.ObserveRecord()
	if f.leader != nil || earlier.Current() {
		t.Error("still leads after its lease expired")
	}
}

// TestExpiredLeaderStartsNothing: a leader whose renewals fail starts no new actions once its
// lease may have expired, and stops answering once its last renewal is too old.
func TestExpiredLeaderStartsNothing(t *testing.T) {
	f := newElectorFixture(t)
	f.winElection(1)
	if !f.leader.Tick() || !f.leader.MayAnswer() {
		t.Fatal("a new leader may not start actions or answer")
	}
	f.renewErr = errors.New("no answer")
	f.now += leaseTTL + time.Second
	f.elector.Tick()
	if f.leader.Tick() {
		t.Error("may start actions after its lease may have expired")
	}
	if !f.leader.MayAnswer() {
		t.Error("may not answer although its last renewal is recent enough")
	}
	f.now += 10 * time.Second
	if f.leader.MayAnswer() {
		t.Error("may answer although its last renewal is too old")
	}
}

// TestTokenExhaustion: a leader ends its term before its tokens overlap those of the next
// term, and does not resume the term while its record is still in the view.
func TestTokenExhaustion(t *testing.T) {
	f := newElectorFixture(t)
	f.winElection(5)
	leader := f.leader
	leader.tokenCounter = maxTokenCounter - 1
	if last := leader.NextFencingToken(); TermOfToken(last) != 5 {
		t.Errorf("token %x is not of term 5", last)
	}
	if leader.Tick() {
		t.Error("may start actions without tokens")
	}
	f.elector.ObserveRecord()
	if f.leader != nil || len(f.revoked) != 1 || f.revoked[0] != testLease {
		t.Errorf("still leads without tokens, or did not revoke its lease: revoked %v", f.revoked)
	}
}

// TestTokensIncrease: tokens increase within a term and from term to term, and the numbers
// that a holder derives from a token stay below the next token.
func TestTokensIncrease(t *testing.T) {
	first := &Leadership{term: 1}
	second := &Leadership{term: 2}
	a, b := first.NextFencingToken(), first.NextFencingToken()
	if !(a < b && b < second.NextFencingToken()) {
		t.Error("tokens do not increase")
	}
	if last := DerivedNumber(a, DerivedNumbersPerGrant-1); last >= b || TokenSerial(last) != TokenSerial(a) {
		t.Errorf("%x is not between %x and %x", last, a, b)
	}
}
