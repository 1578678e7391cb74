package coordination

import (
	"slices"
	"testing"
	"time"

	"rockrun/internal/bookkeeping"
	"rockrun/internal/protocol"
)

// halted reports whether commands stop run-1/0 at once.
func halted(cmds []protocol.Command) bool {
	return slices.ContainsFunc(cmds, func(c protocol.Command) bool {
		return c.Verb == protocol.VerbStop && c.Task == "run-1/0" && c.GraceS != nil && *c.GraceS == 0
	})
}

var running = protocol.TaskStatus{Task: "run-1/0", Attempt: 9, State: protocol.TaskRunning}

// The first answer of a new holder renews the lease of a machine that it has not
// fenced yet. What it knows to be cancelled must stop by that answer: the next may
// never come, and the lease would carry the task past the time for cancelling.
func TestRenewalStopsWithdrawn(t *testing.T) {
	b := newBench(t, inherited)
	b.rev++
	b.n.cache.Remove(bookkeeping.JobKey("run-1"), b.rev)
	b.n.changed(true)
	a := b.report(1, grantToken-1, running)
	if a.Status != 200 || b.holding().fenced {
		t.Fatalf("status %d, fenced %t: this is not the answer in question", a.Status, b.holding().fenced)
	}
	if !halted(a.Body.(protocol.ReportAnswer).Commands) {
		t.Errorf("the lease is renewed without a stop: %v", a.Body)
	}
	if b.on() != 1 {
		t.Error("the task counts as gone before that is proven")
	}
}

// A controller whose knowledge is too old to renew leases still stops what it is
// told was cancelled, starts nothing of it, and answers no report.
func TestToldOfWithdrawal(t *testing.T) {
	b := newBench(t, inherited)
	b.report(1, grantToken, running)
	b.now += b.n.authority + time.Second
	b.holding().inFlight = false // its earlier commands have been answered
	b.sent = nil
	b.n.OnPeer(protocol.PeerRequest{Cancelled: []string{"run-1", "run-77"}}, func(protocol.PeerAnswer) {})
	if len(b.sent) != 1 || !halted(b.sent[0].Commands) {
		t.Fatalf("commands: %v", b.sent)
	}
	if a := b.report(2, grantToken, running); a.Status == 200 {
		t.Error("it renewed a lease that it may not renew")
	}
	b.fresh()
	b.report(3, grantToken)
	b.n.hold.pass()
	if n := b.on(); n != 0 {
		t.Errorf("%d tasks of a withdrawn job are planned", n)
	}
}

// Who confirms a cancellation tells every other controller, again where no answer
// comes, and keeps no more for one that is away than a bounded number.
func TestConfirmedWithdrawalIsSpread(t *testing.T) {
	b := newBench(t)
	b.n.Settings.Siblings = append(b.n.Settings.Siblings, settingsSibling("b"), settingsSibling("c"))
	asked := map[string][]string{}
	fail := error(protocol.ErrUnknown)
	b.n.Peers = peersFunc(func(node string, r protocol.PeerRequest, done func(protocol.PeerAnswer, error)) {
		asked[node] = r.Cancelled
		done(protocol.PeerAnswer{}, fail)
	})
	b.n.cancellationConfirmed("run-1")
	for range 2 {
		clear(asked)
		b.n.sendCancellations()
		if len(asked["b"]) != 1 || len(asked["c"]) != 1 {
			t.Fatalf("told: %v", asked)
		}
		b.now += 2 * time.Second
		fail = nil
	}
	clear(asked)
	b.n.sendCancellations()
	if len(asked) != 0 {
		t.Errorf("told again: %v", asked)
	}
	for i := range 2 * mostNotices {
		b.n.cancellationConfirmed(protocol.TaskName("run", i))
	}
	if n := len(b.n.notices["b"].ids); n != mostNotices {
		t.Errorf("%d are kept", n)
	}
}

// What a controller said of the shares before it was granted a home says nothing
// of what is on the machines there: nobody's share may be raised on that word.
func TestSharesNeedTheHoldersWord(t *testing.T) {
	b := newBench(t, inherited, bookkeeping.IntentEntry(1, "m-1", 10))
	tokens := b.n.hold.keepsShares()
	if !slices.Equal(tokens, []uint64{grantToken}) {
		t.Fatalf("8 of 8 CPUs: %v", tokens)
	}
	b.n.cache.Teams[0].CPUsMax = 4
	if tokens = b.n.hold.keepsShares(); len(tokens) != 0 {
		t.Errorf("8 of 4 CPUs: %v", tokens)
	}
	b.n.cache.Teams[0].CPUsMax = 8
	l := &leadership{n: b.n, term: 5, peers: map[string]*peerInfo{}}
	b.n.cache.Homes = 2
	b.n.cache.Grants[0].Node = "a"
	b.n.cache.Grants = append(b.n.cache.Grants, bookkeeping.Grant{GrantRecord: bookkeeping.GrantRecord{Node: "b", Incarnation: 3, Token: grantToken + 1<<24}, Version: 3})
	b.n.cache.Teams[0].Shares = []int{wholeShare / 4, wholeShare / 4}
	b.apply(bookkeeping.JobKey("run-5"), bookkeeping.JobRecord{Spec: protocol.Spec{
		ID: "run-5", Team: "red", Kind: protocol.KindArray, Priority: "normal", Tasks: 2, CPUs: 4, MemoryGB: 1,
	}})
	l.peers["a"] = &peerInfo{incarnation: b.n.incarnation, keeps: []uint64{grantToken}}
	l.peers["b"] = &peerInfo{incarnation: 3} // it pinged before it was granted the home
	b.n.lead = l
	b.txns = nil
	l.sharesTick()
	if len(b.txns) != 0 {
		t.Fatal("a share was raised on a word given before the grant")
	}
	l.peers["b"].keeps = []uint64{grantToken + 1<<24}
	l.sharesTick()
	if len(b.txns) != 1 {
		t.Error("no share is ever raised")
	}
}

// A machine whose reports reach nobody is not given tasks, although commands
// reach it: its lease runs out under them.
func TestMuteMachineIsNotUsed(t *testing.T) {
	b := newBench(t)
	b.report(1, grantToken)
	x := b.holding()
	if !b.n.hold.usable(x, b.now) {
		t.Fatal("it can't be used at all")
	}
	b.now += 8 * time.Second
	b.fresh()
	b.n.hold.report(x, &protocol.Report{Machine: "m-1", Address: "w", Session: 1, Seq: 9, Token: grantToken}, false)
	if b.n.hold.usable(x, b.now) {
		t.Error("it is used on the strength of an answer to a command")
	}
	if s := b.n.hold.notes()[0].Silent; s != 8*time.Second {
		t.Errorf("silent for %s", s)
	}
}

// The time of day may step back between the end of a process and its start: the
// new incarnation is still above the former one.
func TestIncarnationAboveFormer(t *testing.T) {
	b := newBench(t)
	former := b.n.incarnation + 5
	b.apply(bookkeeping.GrantKey(0), bookkeeping.GrantRecord{Node: "a", Incarnation: former, Token: grantToken})
	b.n.raiseIncarnation()
	if b.n.incarnation <= former || b.n.holds(0) {
		t.Errorf("incarnation %d after %d", b.n.incarnation, former)
	}
}
