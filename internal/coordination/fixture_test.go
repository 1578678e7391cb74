package coordination

import (
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"rockrun/internal/config"
	"rockrun/internal/coordination/api"
	"rockrun/internal/coordination/kv"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// testController is a controller whose surroundings do what a test says: it is its clock, its
// store, its agents and its peers.
type testController struct {
	t               testing.TB
	controller      *Controller
	now             time.Duration
	timers          []func()
	transactions    []protocol.Transaction
	commandRequests []protocol.CommandRequest
	commandAnswers  []func(*protocol.AgentHeartbeat, bool, error) // who waits for theirs
	revision        uint64
	watched         bool              // the changes have been read
	elected         bool              // leases are opened for campaigns
	values          map[string][]byte // what the store holds
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

func (b *testController) Execute(_ string, r protocol.CommandRequest, done func(*protocol.AgentHeartbeat, bool, error)) {
	b.commandRequests = append(b.commandRequests, r)
	b.commandAnswers = append(b.commandAnswers, done)
}

// failCommands lets the commands sent so far have no answer.
func (b *testController) failCommands() {
	answers := b.commandAnswers
	b.commandAnswers = nil
	for _, done := range answers {
		done(nil, false, protocol.ErrOutcomeUnknown)
	}
}

// runTimers calls all that waits for its time, a reconcile pass among it.
func (b *testController) runTimers() {
	timers := b.timers
	b.timers = nil
	for _, callback := range timers {
		callback()
	}
}

// statuses are what the controller says of the machines that it holds, by name.
func (b *testController) statuses() map[string]protocol.MachineStatus {
	statuses := map[string]protocol.MachineStatus{}
	for _, s := range b.controller.reconciler.MachineStatuses() {
		statuses[s.Name] = s
	}
	return statuses
}
func (b *testController) SendRequest(string, protocol.PeerRequest, func(protocol.PeerAnswer, error)) {
}

// firstPage is the first page of the only job shard.
var firstPage = storage.PageID{}

const grantToken = 5<<44 | 1<<24

// newTestController makes a controller that holds one machine under a fresh grant; the record
// of an earlier holder says that run-1/0 may be on it.
func newTestController(t testing.TB, intents ...string) *testController {
	b := &testController{t: t, now: time.Minute, values: map[string][]byte{}}
	b.controller = New(Config{
		Settings: &config.Settings{Controller: "a", Cluster: config.Cluster{
			Teams:   []config.Team{{Name: "red", MaxCPUs: 8}},
			Agents:  config.Agents{HeartbeatSeconds: 3, LeaseSeconds: 30, CancelSeconds: 60},
			KVStore: config.KVStore{RequestsPerSecond: 200, WritesPerSecond: 100, ValueKiB: 8, TransactionOperations: 8},
		}},
		Options: config.DefaultOptions(), Clock: b, Store: b, Agents: b, Peers: b,
		Rand: rand.New(rand.NewPCG(1, 2)), Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	b.controller.beginGeneration()
	b.grantShard(intents...)
	return b
}

// grantShard lets the controller hold its machine under a fresh grant.
func (b *testController) grantShard(intents ...string) {
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
}

// limitStore lets the store's limits be lower from now on.
func (b *testController) limitStore(valueBytes, operations, conditions int) {
	limits := b.controller.committer.Limits()
	limits.ValueBytes = min(limits.ValueBytes, valueBytes)
	limits.Operations = min(limits.Operations, operations)
	limits.Conditions = min(limits.Conditions, conditions)
	b.controller.committer.SetLimits(limits)
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
	if err := b.controller.replica.View.Apply(key, value, b.revision); err != nil {
		b.t.Fatal(err)
	}
}

// applyTransactions applies the transactions that were sent, in their order. They are not
// answered: the view shows what came of them.
func (b *testController) applyTransactions() {
	b.t.Helper()
	sent := b.transactions
	b.transactions = nil
	for _, t := range sent {
		b.withinLimits(t)
		b.revision++
		for _, op := range t.Operations {
			if op.Put != "" {
				b.put(op.Put, op.Value)
				continue
			}
			delete(b.values, op.Delete)
			b.controller.replica.View.Remove(op.Delete, b.revision)
		}
		b.advance(b.revision)
	}
}

// withinLimits fails where a transaction is over the limits in force.
func (b *testController) withinLimits(t protocol.Transaction) {
	b.t.Helper()
	limits := b.controller.committer.Limits()
	if largest := kv.LargestValue(t); largest > limits.ValueBytes || len(t.Operations) > limits.Operations || len(t.Conditions) > limits.Conditions {
		b.t.Errorf("over the limits %+v: largest value %d, %d operations, %d conditions", limits, largest, len(t.Operations), len(t.Conditions))
	}
}

// refreshViewAndLeases renews what the controller knows, and its leases.
func (b *testController) refreshKnowledge() {
	b.controller.replica.Apply(protocol.Changes{}, b.now)
	b.extendLeases(testLease)
}

// leaseExtension is how long the controller may act once its leases are extended.
const testLease = time.Minute

// extendLeases lets the controller act for all its shards for so long.
func (b *testController) extendLeases(d time.Duration) {
	for shard := range b.controller.replica.View.Grants {
		b.controller.leases.Extend(shard, b.now+d-b.controller.shardLease)
	}
}

// heartbeat hands the machine's heartbeat to the controller and returns the answer.
func (b *testController) heartbeat(sequence, token uint64, tasks ...protocol.TaskStatus) api.Answer {
	b.t.Helper()
	var got api.Answer
	r := &protocol.AgentHeartbeat{Machine: "m-1", Address: "w", MachineType: "small", Zone: "z", Epoch: 1, Sequence: sequence, FencingToken: token, Tasks: tasks}
	b.controller.OnAgentHeartbeat(r, func(a api.Answer) { got = a })
	return got
}

// inherited is the intent of an attempt that an earlier holder has started.
var inherited = storage.IntentEntry(0, "m-1", 9)

// becomeLeader makes the controller the leader.
func (b *testController) becomeLeader() {
	b.t.Helper()
	b.apply(storage.KeyTerm, storage.TermRecord{Term: 5})
	b.elected = true
	b.controller.elector.Tick()
	b.now += time.Second // more than candidates wait
	b.controller.elector.Tick()
	b.applyTransactions()
	b.controller.elector.ObserveRecord()
	if b.controller.leader == nil {
		b.t.Fatal("it does not lead")
	}
}
