package coordination

import (
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"rockrun/internal/bookkeeping"
	"rockrun/internal/config"
	"rockrun/internal/protocol"
)

// bench is a node whose every neighbour is written down here.
type bench struct {
	t      testing.TB
	n      *Node
	now    time.Duration
	timers []func()
	txns   []protocol.Txn
	sent   []protocol.CommandRequest
	rev    uint64
	values map[string][]byte // what the state service holds
}

func (b *bench) Now() time.Duration                              { return b.now }
func (b *bench) Wall() time.Time                                 { return time.Unix(1_800_000_000, 0).Add(b.now) }
func (b *bench) After(_ time.Duration, f func())                 { b.timers = append(b.timers, f) }
func (b *bench) Get(string, func(protocol.Item, bool, error))    {}
func (b *bench) List(string, string, func(protocol.Page, error)) {}
func (b *bench) Txn(t protocol.Txn, _ func(uint64, error))       { b.txns = append(b.txns, t) }
func (b *bench) NewLease(time.Duration, func(uint64, error))     {}
func (b *bench) Renew(uint64, func(error))                       {}
func (b *bench) EndLease(uint64, func(error))                    {}
func (b *bench) Follow(string, uint64, time.Duration, func(protocol.Changes, error)) {
}
func (b *bench) Command(_ string, o protocol.CommandRequest, _ func(*protocol.Report, bool, error)) {
	b.sent = append(b.sent, o)
}
func (b *bench) Ask(string, protocol.PeerRequest, func(protocol.PeerAnswer, error)) {}

// peersFunc is a link to other controllers.
type peersFunc func(string, protocol.PeerRequest, func(protocol.PeerAnswer, error))

func (f peersFunc) Ask(node string, r protocol.PeerRequest, done func(protocol.PeerAnswer, error)) {
	f(node, r, done)
}

func settingsSibling(name string) config.Sibling { return config.Sibling{Node: name} }

// firstPage is the first page of the only home.
var firstPage = bookkeeping.PageID{}

const grantToken = 5<<44 | 1<<24

// newBench makes a node that holds one machine under a fresh grant; the record
// of an earlier holder says that run-1/0 may be on it.
func newBench(t testing.TB, intents ...string) *bench {
	b := &bench{t: t, now: time.Minute, values: map[string][]byte{}}
	b.n = New(Config{
		Settings: &config.Settings{Node: "a", Cluster: config.Cluster{
			Teams:   []config.Team{{Name: "red", CPUsMax: 8}},
			Workers: config.Workers{ReportS: 3, LeaseS: 30, CancelS: 60},
			State:   config.State{RPS: 200, WriteRPS: 100, ValueKB: 8, TxnOps: 8},
		}},
		Options: config.DefaultOptions(), Clock: b, State: b, Workers: b, Peers: b,
		Rand: rand.New(rand.NewPCG(1, 2)), Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	b.n.begin()
	b.n.ready = true
	b.fresh()
	b.apply(bookkeeping.KeyTypes, protocol.Catalogue{Types: []protocol.MachineType{{Name: "small", CPUs: 4, MemoryGB: 8, Zones: []string{"z"}}}})
	b.apply(bookkeeping.KeyHomes, bookkeeping.HomesRecord{Homes: 1})
	b.apply(bookkeeping.JobKey("run-1"), bookkeeping.JobRecord{Spec: protocol.Spec{
		ID: "run-1", Team: "red", Kind: protocol.KindArray, Priority: "normal", Tasks: 2, CPUs: 4, MemoryGB: 1,
	}})
	b.apply(bookkeeping.BlockKey("b"), bookkeeping.BlockRecord{Type: "small", Zone: "z", Machines: []bookkeeping.BlockMachine{{Name: "m-1", Addr: "w"}}})
	b.apply(bookkeeping.IntentKey(firstPage), bookkeeping.IntentPage{"run-1": intents})
	b.apply(bookkeeping.GrantKey(0), bookkeeping.GrantRecord{Node: "a", Incarnation: b.n.incarnation, Token: grantToken})
	b.n.changed(true)
	return b
}

func (b *bench) apply(key string, record any) {
	b.t.Helper()
	b.rev++
	b.put(key, bookkeeping.Encode(record))
	b.n.revision = b.rev
}

func (b *bench) put(key string, value []byte) {
	b.t.Helper()
	b.values[key] = value
	if err := b.n.cache.Apply(key, value, b.rev); err != nil {
		b.t.Fatal(err)
	}
}

// carryOut carries out the transactions that were sent, in their order. They are not
// answered: the cache shows what came of them.
func (b *bench) carryOut() {
	b.t.Helper()
	txns := b.txns
	b.txns = nil
	for _, t := range txns {
		b.withinLimits(t)
		b.rev++
		for _, op := range t.Then {
			if op.Put != "" {
				b.put(op.Put, op.Value)
				continue
			}
			delete(b.values, op.Delete)
			b.n.cache.Remove(op.Delete, b.rev)
		}
		b.n.revision = b.rev
	}
}

// withinLimits fails where a transaction is over the limits in force.
func (b *bench) withinLimits(t protocol.Txn) {
	b.t.Helper()
	l := b.n.limits
	if largest := largestValue(t); largest > l.ValueBytes || len(t.Then) > l.Changes || len(t.If) > l.Conditions {
		b.t.Errorf("over the limits %+v: largest value %d, %d changes, %d conditions", l, largest, len(t.Then), len(t.If))
	}
}

// fresh renews what the node knows and holds.
func (b *bench) fresh() {
	b.n.freshAt = b.now
	for s := range b.n.leaseUntil {
		b.n.leaseUntil[s] = b.now + time.Minute
	}
}

// report hands a report to the node and returns the answer.
func (b *bench) report(seq, token uint64, tasks ...protocol.TaskStatus) Answer {
	b.t.Helper()
	var got Answer
	r := &protocol.Report{Machine: "m-1", Address: "w", Type: "small", Zone: "z", Session: 1, Seq: seq, Token: token, Tasks: tasks}
	b.n.OnReport(r, func(a Answer) { got = a })
	return got
}

func (b *bench) holding() *holding { return b.n.hold.machines["m-1"] }

// on lists the attempts believed to be on the machine.
func (b *bench) on() int {
	n := 0
	for _, a := range b.holding().attempts {
		if a.live() {
			n++
		}
	}
	return n
}

var inherited = bookkeeping.IntentEntry(0, "m-1", 9)

// Absence from a report proves nothing while a command of an earlier holder may
// still take effect; it does once the worker has seen this holder's token.
func TestFenceBeforeDeciding(t *testing.T) {
	b := newBench(t, inherited)
	b.report(1, grantToken-1)
	if b.on() != 1 {
		t.Fatal("an unfenced report settled what an earlier holder may have started")
	}
	b.report(2, grantToken)
	if b.on() != 0 {
		t.Error("a fenced report did not settle it")
	}
}

// A report that was held back on its way is not news.
func TestOldReportsAreIgnored(t *testing.T) {
	b := newBench(t, inherited)
	running := protocol.TaskStatus{Task: "run-1/0", Attempt: 9, State: protocol.TaskRunning}
	b.report(7, grantToken, running)
	b.report(3, grantToken)
	if b.on() != 1 {
		t.Error("an older report ended a running task")
	}
}

// A start repeated late must not run what was reaped: the reap goes out under a
// higher token than any start, and only once the outcome is durable.
func TestReapFencesStarts(t *testing.T) {
	b := newBench(t)
	b.report(1, grantToken)
	b.n.hold.pass()
	x := b.holding()
	if b.on() != 1 {
		t.Fatalf("%d attempts are planned", b.on())
	}
	var try uint64
	for _, a := range x.attempts {
		try = a.try
	}
	start := func() []protocol.Command { return b.report(x.seq+1, x.token).Body.(protocol.ReportAnswer).Commands }
	if cmds := start(); len(cmds) != 0 {
		t.Fatalf("commands before the intent is durable: %v", cmds)
	}
	b.apply(bookkeeping.IntentKey(firstPage), bookkeeping.IntentPage{"run-1": {bookkeeping.IntentEntry(0, "m-1", try)}})
	cmds := start()
	if len(cmds) != 1 || cmds[0].Verb != protocol.VerbStart {
		t.Fatalf("commands once it is: %v", cmds)
	}
	sent := x.sent
	ended := protocol.TaskStatus{Task: "run-1/0", Attempt: try, State: protocol.TaskEnded, Cause: protocol.CauseDone}
	for range 2 {
		a := b.report(x.seq+1, x.token, ended).Body.(protocol.ReportAnswer)
		for _, c := range a.Commands {
			if c.Verb == protocol.VerbReap {
				t.Fatal("reaped before its completion is durable")
			}
		}
		b.n.hold.pass()
	}
	b.apply(bookkeeping.DoneKey(firstPage), bookkeeping.DonePage{bookkeeping.DoneName("run-1", 0): {1}})
	b.n.hold.pass()
	// It waits for company for a while, and then goes by itself.
	if a := b.report(x.seq+1, x.token, ended).Body.(protocol.ReportAnswer); len(a.Commands) != 0 {
		t.Fatalf("commands as soon as it is durable: %v", a.Commands)
	}
	b.now += reapAfter
	b.fresh()
	a := b.report(x.seq+1, x.token, ended).Body.(protocol.ReportAnswer)
	if len(a.Commands) == 0 || a.Commands[0].Verb != protocol.VerbReap {
		t.Fatalf("commands after it is durable: %v", a.Commands)
	}
	if a.Token <= sent {
		t.Errorf("the reap's token %d does not fence the start's %d", a.Token, sent)
	}
}

// Silence alone proves nothing; the end of the worker's lease does, counted from
// when an earlier holder may last have renewed it.
func TestLostOnlyWhenLeaseIsOut(t *testing.T) {
	b := newBench(t, inherited)
	w := b.n.Settings.Cluster.Workers
	from := b.now
	for _, c := range []struct {
		after time.Duration
		on    int
	}{
		{w.Lease(), 1},
		{b.n.authority + w.Lease(), 1},
		{b.n.authority + w.Lease() + config.Margin + time.Second, 0},
	} {
		b.now = from + c.after
		b.fresh()
		b.n.hold.tick()
		if b.on() != c.on {
			t.Errorf("after %s, %d attempts count", c.after, b.on())
		}
	}
}

// Whatever may be on a machine counts against the team's limit, seen or not.
func TestUnprovenAttemptsCount(t *testing.T) {
	b := newBench(t, inherited)
	if got := b.n.hold.used(0)[0].cpus; got != 4 {
		t.Errorf("an inherited attempt counts as %v CPUs", got)
	}
	b.report(1, grantToken)
	if got := b.n.hold.used(0)[0].cpus; got != 0 {
		t.Errorf("once settled it counts as %v CPUs", got)
	}
}

// A holder whose knowledge is too old, or whose block lease is out, does not
// renew workers' leases.
func TestNotEntitled(t *testing.T) {
	b := newBench(t)
	if a := b.report(1, grantToken); a.Status != 200 {
		t.Fatalf("status %d while entitled", a.Status)
	}
	b.now += b.n.authority + time.Second
	for s := range b.n.leaseUntil {
		b.n.leaseUntil[s] = b.now + time.Minute
	}
	if a := b.report(2, grantToken); a.Status != 503 {
		t.Errorf("status %d with old knowledge", a.Status)
	}
	b.fresh()
	if a := b.report(3, grantToken); a.Status != 200 {
		t.Errorf("status %d with fresh knowledge", a.Status)
	}
	b.n.leaseUntil[0] = b.now
	if a := b.report(4, grantToken); a.Status != 503 {
		t.Errorf("status %d without a block lease", a.Status)
	}
	b.fresh()
	if a := b.report(5, grantToken+1<<24); a.Status != 503 {
		t.Errorf("status %d to a worker that has seen a higher token", a.Status)
	}
}

// Two reads of the changes may be answered in the wrong order. What the cache has
// seen removed must not come back with the older answer.
func TestAnswersOutOfOrder(t *testing.T) {
	b := newBench(t)
	rec := bookkeeping.Encode(bookkeeping.JobRecord{Spec: protocol.Spec{ID: "run-7", Team: "red", Kind: protocol.KindArray, Priority: "normal", Tasks: 1, CPUs: 1}})
	put := protocol.Event{Put: bookkeeping.JobKey("run-7"), Value: rec, Version: b.rev + 1}
	gone := protocol.Event{Remove: bookkeeping.JobKey("run-7"), Version: b.rev + 2}
	b.n.applyChanges(protocol.Changes{Revision: b.rev + 2, Events: []protocol.Event{put, gone}}, b.now)
	b.n.applyChanges(protocol.Changes{Revision: b.rev + 1, Events: []protocol.Event{put}}, b.now)
	if _, j := b.n.cache.Jobs.Find("run-7"); j != nil && !j.Over() {
		t.Error("a removed job came back")
	}
	block := bookkeeping.BlockKey("c")
	in := protocol.Event{Put: block, Value: bookkeeping.Encode(bookkeeping.BlockRecord{Type: "small", Zone: "z", Machines: []bookkeeping.BlockMachine{{Name: "m-9"}}}), Version: b.rev + 3}
	out := protocol.Event{Remove: block, Version: b.rev + 4}
	b.n.applyChanges(protocol.Changes{Revision: b.rev + 4, Events: []protocol.Event{in, out}}, b.now)
	b.n.applyChanges(protocol.Changes{Revision: b.rev + 3, Events: []protocol.Event{in}}, b.now)
	if _, m := b.n.cache.Machines.Find("m-9"); m != nil && m.There() {
		t.Error("a machine whose block was removed came back")
	}
}

// A late copy of the transaction that made a block must find its key there for
// as long as its leader leads, or machines that have moved on would come back.
func TestEmptyBlocksStayForTheirTerm(t *testing.T) {
	l := &leadership{term: 5}
	empty := bookkeeping.BlockRecord{Token: 5<<termShift | 1}
	if op := l.blockOp("x", empty); op.Delete != "" {
		t.Error("an empty block of this term is removed")
	}
	empty.Token = 4<<termShift | 1
	if op := l.blockOp("x", empty); op.Delete == "" {
		t.Error("an empty block of an earlier term stays")
	}
}

// A copy of a report that comes long after it was sent renews no lease: nobody
// waits for the answer, and the machine may be gone.
func TestCopiesRenewNothing(t *testing.T) {
	b := newBench(t)
	b.report(5, grantToken)
	answered := b.holding().answered
	b.now += workerPatience + time.Second
	b.fresh()
	if a := b.report(5, grantToken); a.Status != 503 {
		t.Errorf("status %d to a late copy", a.Status)
	}
	if a := b.report(3, grantToken); a.Status != 503 || b.holding().answered != answered {
		t.Errorf("status %d to an older one, answered at %s", a.Status, b.holding().answered)
	}
	if a := b.report(6, grantToken); a.Status != 200 || b.holding().answered != b.now {
		t.Errorf("status %d to a new one", a.Status)
	}
}

// A start that was sent and never seen is over once the worker's session has
// moved on: its lease has ended everything, and commands name their session.
func TestNewSessionEndsStarts(t *testing.T) {
	b := newBench(t)
	b.report(1, grantToken)
	b.n.hold.pass()
	x := b.holding()
	for _, a := range x.attempts {
		b.apply(bookkeeping.IntentKey(firstPage), bookkeeping.IntentPage{"run-1": {bookkeeping.IntentEntry(0, "m-1", a.try)}})
	}
	if cmds := b.report(2, grantToken).Body.(protocol.ReportAnswer).Commands; len(cmds) != 1 {
		t.Fatalf("commands: %v", cmds)
	}
	b.report(3, grantToken)
	if b.on() != 1 {
		t.Fatal("absence alone ended a start that may be on its way")
	}
	r := &protocol.Report{Machine: "m-1", Address: "w", Type: "small", Zone: "z", Session: 2, Seq: 4, Token: grantToken}
	b.n.hold.report(x, r, true)
	if b.on() != 0 {
		t.Error("a new session did not end it")
	}
}

// A process that is back at once does not act under the grant of its former self.
func TestFormerIncarnationHoldsNothing(t *testing.T) {
	b := newBench(t)
	b.apply(bookkeeping.GrantKey(0), bookkeeping.GrantRecord{Node: "a", Incarnation: b.n.incarnation - 1, Token: grantToken})
	if b.n.holds(0) {
		t.Error("it holds what its former self was granted")
	}
}

// listed is a cloud that only lists.
type listed []protocol.CloudMachine

func (l listed) Catalogue(func(protocol.Catalogue, error))      {}
func (l listed) Rent(protocol.Rent, func([]string, error))      {}
func (l listed) Delete([]string, func(error))                   {}
func (l listed) List(done func([]protocol.CloudMachine, error)) { done(l, nil) }

// The record of a deleted machine outlives late lists and copies of its reports,
// so that it is not taken up anew.
func TestGoneMachinesAreRemembered(t *testing.T) {
	b := newBench(t)
	b.n.Cloud = listed{}
	l := &leadership{n: b.n, term: 5}
	l.fleet = newFleet(l)
	b.n.lead = l
	gone := func(ago time.Duration) map[string]bool {
		at := b.Wall().Add(-ago).UnixMilli()
		b.apply(bookkeeping.BlockKey("b"), bookkeeping.BlockRecord{Type: "small", Zone: "z", Machines: []bookkeeping.BlockMachine{{Name: "m-1", Phase: bookkeeping.PhaseGone, GoneMS: at}}})
		l.fleet.listAt = 0
		l.fleet.list(b.now)
		return l.fleet.old
	}
	if old := gone(5 * time.Minute); len(old) != 0 {
		t.Errorf("forgotten after five minutes: %v", old)
	}
	if old := gone(time.Hour); !old["m-1"] {
		t.Error("remembered for ever")
	}
}

// TestLastToken: a leader ends its term before its tokens run into the next
// one's, and does not take the term up again while its record is still there.
func TestLastToken(t *testing.T) {
	b := newBench(t)
	b.n.candidateLeases[7] = true
	b.apply(bookkeeping.KeyLeader, bookkeeping.LeaderRecord{Node: "a", Incarnation: b.n.incarnation, Term: 5, Lease: 7})
	b.n.changed(true)
	l := b.n.lead
	if l == nil {
		t.Fatal("not leading")
	}
	l.counter = lastTokens - 1
	if top := l.token(); top>>termShift != 5 {
		t.Errorf("token %x is not of term 5", top)
	}
	l.renewedAt = b.now
	l.tick()
	b.n.changed(true)
	if b.n.lead != nil {
		t.Error("leads on without tokens")
	}
}

// TestLastTry: attempt numbers of one grant rise up to the last; a holder that has used
// them up starts over instead of beginning anew below those that the records name, where
// an attempt that is over would be taken for the later one.
func TestLastTry(t *testing.T) {
	b := newBench(t)
	b.n.hold.tries = lastTry - 1
	before, last := b.n.incarnation, b.n.hold.nextTry(b.holding())
	if last>>counterShift != grantToken>>counterShift || last&(1<<counterShift-1) != lastTry {
		t.Errorf("attempt %x under grant %x", last, uint64(grantToken))
	}
	b.n.tick()
	if b.n.incarnation <= before || b.n.ready || b.n.hold.tries != 0 {
		t.Errorf("incarnation %d after %d, ready %v, %d tries", b.n.incarnation, before, b.n.ready, b.n.hold.tries)
	}
	if b.n.holds(0) {
		t.Error("it still holds what its former incarnation was granted")
	}
}
