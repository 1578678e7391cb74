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

// testCluster is a controller's elector with a clock and a store that do what a test says.
type testCluster struct {
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

func (c *testCluster) Now() time.Duration                  { return c.now }
func (c *testCluster) Wall() time.Time                     { return time.Unix(1_800_000_000, 0).Add(c.now) }
func (c *testCluster) After(_ time.Duration, f func())     { c.timers = append(c.timers, f) }
func (c *testCluster) RevokeLease(l uint64, _ func(error)) { c.revoked = append(c.revoked, l) }
func (c *testCluster) RenewLease(_ uint64, done func(error)) {
	done(c.renewErr)
}
func (c *testCluster) Get(string, func(protocol.KeyValue, bool, error)) {}
func (c *testCluster) List(_, _ string, done func(protocol.KeyValuePage, error)) {
	done(protocol.KeyValuePage{}, nil)
}
func (c *testCluster) Commit(t protocol.Transaction, done func(uint64, error)) {
	c.committed = append(c.committed, t)
	done(0, c.commitErr)
}
func (c *testCluster) OpenLease(_ time.Duration, done func(uint64, error)) { done(testLease, nil) }
func (c *testCluster) Watch(_ string, after uint64, _ time.Duration, done func(protocol.Changes, error)) {
	done(protocol.Changes{Revision: after}, nil)
}

func newTestCluster(t *testing.T) *testCluster {
	t.Helper()
	c := &testCluster{t: t, now: time.Minute}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	generation := loop.NewGeneration(c, rand.New(rand.NewPCG(1, 2)))
	c.replica = replica.New(replica.Config{
		Generation: generation, Store: c, View: storage.NewView(nil, 1), Controller: "a", Incarnation: 3, WatchPause: time.Second,
		Log: log, OnChange: func(bool) {},
	})
	c.replica.Start()
	limits := config.KVStore{RequestsPerSecond: 200, WritesPerSecond: 100, ValueKiB: 8, TransactionOperations: 8}.Limits()
	committer := kv.NewCommitter(c, limits, log)
	committer.BeginGeneration(generation)
	c.elector = New(Config{
		Generation: generation, Store: c, Committer: committer, Replica: c.replica, MaxStaleness: 10 * time.Second, Log: log,
		OnElected: func(l *Leadership) { c.leader = l },
		OnDeposed: func() { c.leader = nil },
	})
	return c
}

// put lets a record come with the changes.
func (c *testCluster) put(key string, record any) {
	c.revision++
	c.replica.Apply(protocol.Changes{Revision: c.revision, Events: []protocol.Event{
		{Put: key, Value: storage.Encode(record), Version: c.revision},
	}}, c.now)
	c.elector.ObserveRecord()
}

// campaign lets the elector campaign.
func (c *testCluster) campaign() {
	c.t.Helper()
	c.elector.Tick()
	c.now += candidacySpread
	c.elector.Tick()
}

// win lets it campaign and its transaction come back.
func (c *testCluster) win(term uint64) {
	c.t.Helper()
	c.campaign()
	if len(c.committed) != 1 {
		c.t.Fatalf("%d transactions of a campaign", len(c.committed))
	}
	c.put(storage.KeyLeader, storage.LeaderRecord{Controller: "a", Incarnation: 3, Term: term, Lease: testLease})
	if c.leader == nil {
		c.t.Fatal("not the leader")
	}
}

// TestCampaignTakesLeaderAndTerm: a campaign writes the leader's record and the next term
// in one transaction that fails if either has changed.
func TestCampaignTakesLeaderAndTerm(t *testing.T) {
	c := newTestCluster(t)
	c.put(storage.KeyTerm, storage.TermRecord{Term: 4})
	c.campaign()
	if len(c.committed) != 1 {
		t.Fatalf("%d transactions", len(c.committed))
	}
	transaction := c.committed[0]
	conditions := map[string]uint64{}
	for _, condition := range transaction.Conditions {
		conditions[condition.Key] = condition.Version
	}
	if len(conditions) != 2 || conditions[storage.KeyLeader] != 0 || conditions[storage.KeyTerm] != c.replica.View.TermVersion {
		t.Errorf("conditions %v", conditions)
	}
	var term storage.TermRecord
	if err := protocol.Decode(transaction.Operations[1].Value, &term); err != nil || term.Term != 5 {
		t.Errorf("term %d, %v", term.Term, err)
	}
	if transaction.Operations[0].Lease != testLease || transaction.Operations[1].Lease != 0 {
		t.Error("the leader's record alone belongs to the lease")
	}
}

// TestNobodyCampaignsAgainstALeader: while another leads there is no campaign; a former
// incarnation of this controller that seems to lead is succeeded.
func TestNobodyCampaignsAgainstALeader(t *testing.T) {
	for _, test := range []struct {
		name   string
		leader storage.LeaderRecord
		want   int
	}{
		{"another controller", storage.LeaderRecord{Controller: "b", Incarnation: 9, Term: 1}, 0},
		{"a former incarnation", storage.LeaderRecord{Controller: "a", Incarnation: 2, Term: 1}, 1},
	} {
		c := newTestCluster(t)
		c.put(storage.KeyLeader, test.leader)
		c.campaign()
		if len(c.committed) != test.want {
			t.Errorf("%s: %d campaigns", test.name, len(c.committed))
		}
	}
}

// TestLostAnswerIsRecognised: a campaign whose transaction got no answer may have won. Its
// record shows that, and no second campaign begins meanwhile.
func TestLostAnswerIsRecognised(t *testing.T) {
	c := newTestCluster(t)
	c.commitErr = protocol.ErrOutcomeUnknown
	c.win(1)
	if c.leader.Term() != 1 {
		t.Errorf("term %d", c.leader.Term())
	}
}

// TestDeposed: a record of another leader ends the leadership, as does a lease that the
// store does not know any more.
func TestDeposed(t *testing.T) {
	c := newTestCluster(t)
	c.win(1)
	c.put(storage.KeyLeader, storage.LeaderRecord{Controller: "b", Incarnation: 9, Term: 2})
	if c.leader != nil {
		t.Error("leads beside another")
	}

	c = newTestCluster(t)
	c.win(1)
	former := c.leader
	c.renewErr = protocol.ErrLeaseNotFound
	c.elector.Tick()
	c.elector.ObserveRecord()
	if c.leader != nil || former.Current() {
		t.Error("leads on without a lease")
	}
}

// TestExpiredLeaderBeginsNothing: a leader whose renewals fail begins nothing once its
// lease may have expired, and stops answering when its knowledge is too old.
func TestExpiredLeaderBeginsNothing(t *testing.T) {
	c := newTestCluster(t)
	c.win(1)
	if !c.leader.Tick() || !c.leader.MayAnswer() {
		t.Fatal("a new leader does nothing")
	}
	c.renewErr = errors.New("no answer")
	c.now += leaseTTL + time.Second
	c.elector.Tick()
	if c.leader.Tick() {
		t.Error("begins something after its lease may have expired")
	}
	if !c.leader.MayAnswer() {
		t.Error("does not answer although its knowledge is young enough")
	}
	c.now += 10 * time.Second
	if c.leader.MayAnswer() {
		t.Error("answers with knowledge that is too old")
	}
}

// TestLastToken: a leader ends its term before its tokens run into the next one's, and
// does not take the term up again while its record is still there.
func TestLastToken(t *testing.T) {
	c := newTestCluster(t)
	c.win(5)
	leader := c.leader
	leader.tokenCounter = maxTokenCounter - 1
	if top := leader.NextFencingToken(); TermOfToken(top) != 5 {
		t.Errorf("token %x is not of term 5", top)
	}
	if leader.Tick() {
		t.Error("goes on without tokens")
	}
	c.elector.ObserveRecord()
	if c.leader != nil || len(c.revoked) != 1 || c.revoked[0] != testLease {
		t.Errorf("leads on without tokens, or keeps its lease: %v", c.revoked)
	}
}

// TestTokensRise: tokens of a term rise, those of a later term are above them, and what a
// holder derives from one stays below the next.
func TestTokensRise(t *testing.T) {
	first := &Leadership{term: 1}
	second := &Leadership{term: 2}
	a, b := first.NextFencingToken(), first.NextFencingToken()
	if !(a < b && b < second.NextFencingToken()) {
		t.Error("tokens do not rise")
	}
	if last := DerivedNumber(a, HolderSteps-1); last >= b || TokenSerial(last) != TokenSerial(a) {
		t.Errorf("%x is not between %x and %x", last, a, b)
	}
}
