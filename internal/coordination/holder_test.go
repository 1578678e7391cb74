package coordination

import (
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"rockrun/internal/config"
	"rockrun/internal/coordination/api"
	"rockrun/internal/coordination/election"
	"rockrun/internal/coordination/kv"
	"rockrun/internal/coordination/loop"
	"rockrun/internal/coordination/membership"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// bench is a node whose every neighbour is written down here.
type testController struct {
	t               testing.TB
	controller      *Controller
	now             time.Duration
	timers          []func()
	transactions    []protocol.Transaction
	commandRequests []protocol.CommandRequest
	revision        uint64
	watched         bool              // the changes have been read
	elected         bool              // leases are opened for campaigns
	store           *storeSwitch      // what the controller takes for the key-value store
	values          map[string][]byte // what the state service holds
}

func (b *testController) Now() time.Duration                               { return b.now }
func (b *testController) Wall() time.Time                                  { return time.Unix(1_800_000_000, 0).Add(b.now) }
func (b *testController) After(_ time.Duration, f func())                  { b.timers = append(b.timers, f) }
func (b *testController) Get(string, func(protocol.KeyValue, bool, error)) {}
func (b *testController) List(_, _ string, done func(protocol.KeyValuePage, error)) {
	done(protocol.KeyValuePage{}, nil)
}
func (b *testController) Commit(t protocol.Transaction, _ func(uint64, error)) {
	b.transactions = append(b.transactions, t)
}
func (b *testController) OpenLease(_ time.Duration, done func(uint64, error)) {
	if b.elected {
		done(9, nil)
	}
}
func (b *testController) RenewLease(uint64, func(error))  {}
func (b *testController) RevokeLease(uint64, func(error)) {}

// Watch answers the first read of the changes, so that the records count as read.
func (b *testController) Watch(_ string, _ uint64, _ time.Duration, done func(protocol.Changes, error)) {
	if !b.watched {
		b.watched = true
		done(protocol.Changes{}, nil)
	}
}

func (b *testController) Execute(_ string, o protocol.CommandRequest, _ func(*protocol.AgentHeartbeat, bool, error)) {
	b.commandRequests = append(b.commandRequests, o)
}
func (b *testController) Ask(string, protocol.PeerRequest, func(protocol.PeerAnswer, error)) {}

// peersFunc is a link to other controllers.
type peersFunc func(string, protocol.PeerRequest, func(protocol.PeerAnswer, error))

func (f peersFunc) Ask(node string, r protocol.PeerRequest, done func(protocol.PeerAnswer, error)) {
	f(node, r, done)
}

func settingsSibling(name string) config.Peer { return config.Peer{Controller: name} }

// firstPage is the first page of the only home.
var firstPage = storage.PageID{}

const grantToken = 5<<44 | 1<<24

// storeSwitch is a key-value store that a test can replace by another.
type storeSwitch struct{ kv.Store }

// newTestController makes a controller that holds one machine under a fresh grant; the record
// of an earlier holder says that run-1/0 may be on it.
func newTestController(t testing.TB, intents ...string) *testController {
	b := &testController{t: t, now: time.Minute, values: map[string][]byte{}}
	b.store = &storeSwitch{b}
	b.controller = New(Config{
		Settings: &config.Settings{Controller: "a", Cluster: config.Cluster{
			Teams:   []config.Team{{Name: "red", MaxCPUs: 8}},
			Agents:  config.Agents{HeartbeatSeconds: 3, LeaseSeconds: 30, CancelSeconds: 60},
			KVStore: config.KVStore{RequestsPerSecond: 200, WritesPerSecond: 100, ValueKiB: 8, TransactionOperations: 8},
		}},
		Options: config.DefaultOptions(), Clock: b, Store: b.store, Agents: b, Peers: b,
		Rand: rand.New(rand.NewPCG(1, 2)), Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	b.controller.begin()
	b.refreshKnowledge()
	b.apply(storage.KeyMachineTypes, protocol.MachineTypeCatalogue{Types: []protocol.MachineType{{Name: "small", CPUs: 4, MemoryGB: 8, Zones: []string{"z"}}}})
	b.apply(storage.KeyJobShards, storage.JobShardsRecord{JobShards: 1})
	b.apply(storage.JobKey("run-1"), storage.JobRecord{Spec: protocol.JobSpec{
		ID: "run-1", Team: "red", Kind: protocol.KindArray, Priority: "normal", Tasks: 2, CPUs: 4, MemoryGB: 1,
	}})
	b.apply(storage.MachineGroupKey("b"), storage.MachineGroupRecord{Type: "small", Zone: "z", Machines: []storage.MachineEntry{{Name: "m-1", Address: "w"}}})
	b.apply(storage.IntentPageKey(firstPage), storage.IntentPage{"run-1": intents})
	b.apply(storage.GrantKey(0), storage.GrantRecord{Controller: "a", Incarnation: b.controller.replica.Incarnation, FencingToken: grantToken})
	b.controller.recordsChanged(true)
	return b
}

// limitStore lets the store's limits be lower from now on.
func (b *testController) limitStore(valueBytes, operations, conditions int) {
	limits := b.controller.committer.Limits()
	limits.ValueBytes = min(limits.ValueBytes, valueBytes)
	limits.Operations = min(limits.Operations, operations)
	limits.Conditions = min(limits.Conditions, conditions)
	b.controller.committer.SetLimits(limits)
}

// limitWrites lets the writes of this controller arrive at a rate, of which one is there.
func (b *testController) limitWrites(rate float64) {
	budget := &b.controller.committer.Budget
	*budget = loop.NewTokenBucket(1)
	budget.Fill(b.now)
	budget.SetRate(rate)
}

func (b *testController) apply(key string, record any) {
	b.t.Helper()
	b.revision++
	b.put(key, storage.Encode(record))
	b.advance(b.revision)
}

// advance lets the view have reached a revision, without making it any fresher.
func (b *testController) advance(revision uint64) {
	b.controller.replica.Apply(protocol.Changes{Revision: revision}, 0)
}

func (b *testController) put(key string, value []byte) {
	b.t.Helper()
	b.values[key] = value
	if err := b.controller.view.Apply(key, value, b.revision); err != nil {
		b.t.Fatal(err)
	}
}

// carryOut carries out the transactions that were sent, in their order. They are not
// answered: the cache shows what came of them.
func (b *testController) applyTransactions() {
	b.t.Helper()
	txns := b.transactions
	b.transactions = nil
	for _, t := range txns {
		b.withinLimits(t)
		b.revision++
		for _, op := range t.Operations {
			if op.Put != "" {
				b.put(op.Put, op.Value)
				continue
			}
			delete(b.values, op.Delete)
			b.controller.view.Remove(op.Delete, b.revision)
		}
		b.advance(b.revision)
	}
}

// withinLimits fails where a transaction is over the limits in force.
func (b *testController) withinLimits(t protocol.Transaction) {
	b.t.Helper()
	l := b.controller.committer.Limits()
	if largest := kv.LargestValue(t); largest > l.ValueBytes || len(t.Operations) > l.Operations || len(t.Conditions) > l.Conditions {
		b.t.Errorf("over the limits %+v: largest value %d, %d changes, %d conditions", l, largest, len(t.Operations), len(t.Conditions))
	}
}

// fresh renews what the node knows and holds.
func (b *testController) refreshKnowledge() {
	b.controller.replica.Apply(protocol.Changes{}, b.now)
	b.extendLeases(testLease)
}

// testLease is for how long the controller may act once its leases are extended.
const testLease = time.Minute

// extendLeases lets the controller act for all its shards for so long.
func (b *testController) extendLeases(d time.Duration) {
	for shard := range b.controller.view.Grants {
		b.controller.leases.Extend(shard, b.now+d-b.controller.shardLease)
	}
}

// report hands a report to the node and returns the answer.
func (b *testController) report(seq, token uint64, tasks ...protocol.TaskStatus) api.Answer {
	b.t.Helper()
	var got api.Answer
	r := &protocol.AgentHeartbeat{Machine: "m-1", Address: "w", MachineType: "small", Zone: "z", Epoch: 1, Sequence: seq, FencingToken: token, Tasks: tasks}
	b.controller.OnAgentHeartbeat(r, func(a api.Answer) { got = a })
	return got
}

func (b *testController) agentUnderTest() *agent { return b.controller.reconciler.agents["m-1"] }

// on lists the attempts believed to be on the machine.
func (b *testController) liveAttempts() int {
	n := 0
	for _, a := range b.agentUnderTest().attempts {
		if a.live() {
			n++
		}
	}
	return n
}

var inherited = storage.IntentEntry(0, "m-1", 9)

// Absence from a report proves nothing while a command of an earlier holder may
// still take effect; it does once the worker has seen this holder's token.
func TestFenceBeforeDeciding(t *testing.T) {
	b := newTestController(t, inherited)
	b.report(1, grantToken-1)
	if b.liveAttempts() != 1 {
		t.Fatal("an unfenced report settled what an earlier holder may have started")
	}
	b.report(2, grantToken)
	if b.liveAttempts() != 0 {
		t.Error("a fenced report did not settle it")
	}
}

// A report that was held back on its way is not news.
func TestOldReportsAreIgnored(t *testing.T) {
	b := newTestController(t, inherited)
	running := protocol.TaskStatus{Task: "run-1/0", Attempt: 9, State: protocol.TaskRunning}
	b.report(7, grantToken, running)
	b.report(3, grantToken)
	if b.liveAttempts() != 1 {
		t.Error("an older report ended a running task")
	}
}

// A start repeated late must not run what was reaped: the reap goes out under a
// higher token than any start, and only once the outcome is durable.
func TestReapFencesStarts(t *testing.T) {
	b := newTestController(t)
	b.report(1, grantToken)
	b.controller.reconciler.pass()
	x := b.agentUnderTest()
	if b.liveAttempts() != 1 {
		t.Fatalf("%d attempts are planned", b.liveAttempts())
	}
	var try uint64
	for _, a := range x.attempts {
		try = a.number
	}
	start := func() []protocol.Command {
		return b.report(x.sequence+1, x.currentToken).Body.(protocol.AgentHeartbeatAnswer).Commands
	}
	if cmds := start(); len(cmds) != 0 {
		t.Fatalf("commands before the intent is durable: %v", cmds)
	}
	b.apply(storage.IntentPageKey(firstPage), storage.IntentPage{"run-1": {storage.IntentEntry(0, "m-1", try)}})
	cmds := start()
	if len(cmds) != 1 || cmds[0].Verb != protocol.VerbStart {
		t.Fatalf("commands once it is: %v", cmds)
	}
	sent := x.highestStartToken
	ended := protocol.TaskStatus{Task: "run-1/0", Attempt: try, State: protocol.TaskEnded, Cause: protocol.CauseDone}
	for range 2 {
		a := b.report(x.sequence+1, x.currentToken, ended).Body.(protocol.AgentHeartbeatAnswer)
		for _, c := range a.Commands {
			if c.Verb == protocol.VerbReap {
				t.Fatal("reaped before its completion is durable")
			}
		}
		b.controller.reconciler.pass()
	}
	b.apply(storage.CompletionPageKey(firstPage), storage.CompletionPage{storage.CompletionChunkName("run-1", 0): {1}})
	b.controller.reconciler.pass()
	// It waits for company for a while, and then goes by itself.
	if a := b.report(x.sequence+1, x.currentToken, ended).Body.(protocol.AgentHeartbeatAnswer); len(a.Commands) != 0 {
		t.Fatalf("commands as soon as it is durable: %v", a.Commands)
	}
	b.now += reapAfter
	b.refreshKnowledge()
	a := b.report(x.sequence+1, x.currentToken, ended).Body.(protocol.AgentHeartbeatAnswer)
	if len(a.Commands) == 0 || a.Commands[0].Verb != protocol.VerbReap {
		t.Fatalf("commands after it is durable: %v", a.Commands)
	}
	if a.FencingToken <= sent {
		t.Errorf("the reap's token %d does not fence the start's %d", a.FencingToken, sent)
	}
}

// Silence alone proves nothing; the end of the worker's lease does, counted from
// when an earlier holder may last have renewed it.
func TestLostOnlyWhenLeaseIsOut(t *testing.T) {
	b := newTestController(t, inherited)
	w := b.controller.Settings.Cluster.Agents
	from := b.now
	for _, c := range []struct {
		after time.Duration
		on    int
	}{
		{w.Lease(), 1},
		{b.controller.maxStaleness + w.Lease(), 1},
		{b.controller.maxStaleness + w.Lease() + config.LeaseMargin + time.Second, 0},
	} {
		b.now = from + c.after
		b.refreshKnowledge()
		b.controller.reconciler.tick()
		if b.liveAttempts() != c.on {
			t.Errorf("after %s, %d attempts count", c.after, b.liveAttempts())
		}
	}
}

// Whatever may be on a machine counts against the team's limit, seen or not.
func TestUnprovenAttemptsCount(t *testing.T) {
	b := newTestController(t, inherited)
	if got := b.controller.reconciler.usageOf(0)[0].CPUs; got != 4 {
		t.Errorf("an inherited attempt counts as %v CPUs", got)
	}
	b.report(1, grantToken)
	if got := b.controller.reconciler.usageOf(0)[0].CPUs; got != 0 {
		t.Errorf("once settled it counts as %v CPUs", got)
	}
}

// A holder whose knowledge is too old, or whose block lease is out, does not
// renew workers' leases.
func TestNotEntitled(t *testing.T) {
	b := newTestController(t)
	if a := b.report(1, grantToken); a.Status != 200 {
		t.Fatalf("status %d while entitled", a.Status)
	}
	b.now += b.controller.maxStaleness + time.Second
	b.extendLeases(testLease)
	if a := b.report(2, grantToken); a.Status != 503 {
		t.Errorf("status %d with old knowledge", a.Status)
	}
	b.refreshKnowledge()
	if a := b.report(3, grantToken); a.Status != 200 {
		t.Errorf("status %d with fresh knowledge", a.Status)
	}
	b.now += testLease
	b.controller.replica.Apply(protocol.Changes{}, b.now)
	if a := b.report(4, grantToken); a.Status != 503 {
		t.Errorf("status %d without a block lease", a.Status)
	}
	b.refreshKnowledge()
	if a := b.report(5, grantToken+1<<24); a.Status != 503 {
		t.Errorf("status %d to a worker that has seen a higher token", a.Status)
	}
}

// A copy of a report that comes long after it was sent renews no lease: nobody
// waits for the answer, and the machine may be gone.
func TestCopiesRenewNothing(t *testing.T) {
	b := newTestController(t)
	b.report(5, grantToken)
	answered := b.agentUnderTest().lastAnsweredAt
	b.now += membership.AgentAnswerTimeout + time.Second
	b.refreshKnowledge()
	if a := b.report(5, grantToken); a.Status != 503 {
		t.Errorf("status %d to a late copy", a.Status)
	}
	if a := b.report(3, grantToken); a.Status != 503 || b.agentUnderTest().lastAnsweredAt != answered {
		t.Errorf("status %d to an older one, answered at %s", a.Status, b.agentUnderTest().lastAnsweredAt)
	}
	if a := b.report(6, grantToken); a.Status != 200 || b.agentUnderTest().lastAnsweredAt != b.now {
		t.Errorf("status %d to a new one", a.Status)
	}
}

// A start that was sent and never seen is over once the worker's session has
// moved on: its lease has ended everything, and commands name their session.
func TestNewSessionEndsStarts(t *testing.T) {
	b := newTestController(t)
	b.report(1, grantToken)
	b.controller.reconciler.pass()
	x := b.agentUnderTest()
	for _, a := range x.attempts {
		b.apply(storage.IntentPageKey(firstPage), storage.IntentPage{"run-1": {storage.IntentEntry(0, "m-1", a.number)}})
	}
	if cmds := b.report(2, grantToken).Body.(protocol.AgentHeartbeatAnswer).Commands; len(cmds) != 1 {
		t.Fatalf("commands: %v", cmds)
	}
	b.report(3, grantToken)
	if b.liveAttempts() != 1 {
		t.Fatal("absence alone ended a start that may be on its way")
	}
	r := &protocol.AgentHeartbeat{Machine: "m-1", Address: "w", MachineType: "small", Zone: "z", Epoch: 2, Sequence: 4, FencingToken: grantToken}
	b.controller.reconciler.onHeartbeat(x, r, true)
	if b.liveAttempts() != 0 {
		t.Error("a new session did not end it")
	}
}

// TestLastTry: attempt numbers of one grant rise up to the last; a holder that has used
// them up starts over instead of beginning anew below those that the records name, where
// an attempt that is over would be taken for the later one.
func TestLastTry(t *testing.T) {
	b := newTestController(t)
	b.controller.reconciler.attemptCounter = maxAttemptCounter - 1
	before, last := b.controller.replica.Incarnation, b.controller.reconciler.nextAttemptNumber(b.agentUnderTest())
	if election.TokenSerial(last) != election.TokenSerial(grantToken) || last&(election.HolderSteps-1) != maxAttemptCounter {
		t.Errorf("attempt %x under grant %x", last, uint64(grantToken))
	}
	b.controller.tick()
	if b.controller.replica.Incarnation <= before || b.controller.replica.Ready() || b.controller.reconciler.attemptCounter != 0 {
		t.Errorf("incarnation %d after %d, ready %v, %d tries", b.controller.replica.Incarnation, before, b.controller.replica.Ready(), b.controller.reconciler.attemptCounter)
	}
	if b.controller.leases.Holds(0) {
		t.Error("it still holds what its former incarnation was granted")
	}
}
