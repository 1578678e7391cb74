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

// fixture is a controller whose clock, store, agents and peers the test controls.
type fixture struct {
	t               testing.TB
	controller      *Controller
	now             time.Duration
	timers          []func()
	transactions    []protocol.Transaction // sent to the store, not answered
	commandRequests []protocol.CommandRequest
	commandAnswers  []func(*protocol.AgentHeartbeat, bool, error) // callbacks of unanswered command requests
	revision        uint64
	watchAnswered   bool              // the first watch has been answered
	opensLeases     bool              // the store opens leases for campaigns
	values          map[string][]byte // contents of the store
}

func (f *fixture) Now() time.Duration                               { return f.now }
func (f *fixture) Wall() time.Time                                  { return time.Unix(1_800_000_000, 0).Add(f.now) }
func (f *fixture) After(_ time.Duration, callback func())           { f.timers = append(f.timers, callback) }
func (f *fixture) Get(string, func(protocol.KeyValue, bool, error)) {}
func (f *fixture) List(_, _ string, done func(protocol.KeyValuePage, error)) {
	done(protocol.KeyValuePage{}, nil)
}
func (f *fixture) Commit(t protocol.Transaction, _ func(uint64, error)) {
	f.transactions = append(f.transactions, t)
}
func (f *fixture) OpenLease(_ time.Duration, done func(uint64, error)) {
	if f.opensLeases {
		done(9, nil)
	}
}
func (f *fixture) RenewLease(uint64, func(error))  {}
func (f *fixture) RevokeLease(uint64, func(error)) {}

// Watch answers the first watch, after which the replica counts as complete.
func (f *fixture) Watch(_ string, _ uint64, _ time.Duration, done func(protocol.Changes, error)) {
	if !f.watchAnswered {
		f.watchAnswered = true
		done(protocol.Changes{}, nil)
	}
}

func (f *fixture) Execute(_ string, r protocol.CommandRequest, done func(*protocol.AgentHeartbeat, bool, error)) {
	f.commandRequests = append(f.commandRequests, r)
	f.commandAnswers = append(f.commandAnswers, done)
}

// failCommands fails the command requests sent so far with an unknown outcome.
func (f *fixture) failCommands() {
	answers := f.commandAnswers
	f.commandAnswers = nil
	for _, done := range answers {
		done(nil, false, protocol.ErrOutcomeUnknown)
	}
}

// runTimers runs all scheduled callbacks, including a reconcile pass.
func (f *fixture) runTimers() {
	timers := f.timers
	f.timers = nil
	for _, callback := range timers {
		callback()
	}
}

// statuses returns the controller's statuses of the machines that it holds, by name.
func (f *fixture) statuses() map[string]protocol.MachineStatus {
	statuses := map[string]protocol.MachineStatus{}
	for _, s := range f.controller.reconciler.MachineStatuses() {
		statuses[s.Name] = s
	}
	return statuses
}
func (f *fixture) SendRequest(string, protocol.PeerRequest, func(protocol.PeerAnswer, error)) {}

// firstPage identifies the first page of the only job shard.
var firstPage = storage.PageID{}

// grantToken is the fencing token of the fixture's grant.
const grantToken = 5<<44 | 1<<24

// newFixture creates a controller that holds one machine, m-1, under a new grant. The intent
// page of an earlier holder has the given entries of run-1.
func newFixture(t testing.TB, intents ...string) *fixture {
	f := &fixture{t: t, now: time.Minute, values: map[string][]byte{}}
	f.controller = New(Config{
		Settings: &config.Settings{Controller: "a", Cluster: config.Cluster{
			Teams:   []config.Team{{Name: "red", MaxCPUs: 8}},
			Agents:  config.Agents{HeartbeatSeconds: 3, LeaseSeconds: 30, CancelSeconds: 60},
			KVStore: config.KVStore{RequestsPerSecond: 200, WritesPerSecond: 100, ValueKiB: 8, TransactionOperations: 8},
		}},
		Options: config.DefaultOptions(), Clock: f, Store: f, Agents: f, Peers: f,
		Rand: rand.New(rand.NewPCG(1, 2)), Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	f.controller.beginGeneration()
	f.grantShard(intents...)
	return f
}

// grantShard grants the shard with the machine to the controller's current incarnation.
func (f *fixture) grantShard(intents ...string) {
	f.refreshViewAndLeases()
	f.apply(storage.KeyMachineTypes, protocol.MachineTypeCatalogue{Types: []protocol.MachineType{{Name: "small", CPUs: 4, MemoryGB: 8, Zones: []string{"z"}}}})
	f.apply(storage.KeyJobShards, storage.JobShardsRecord{JobShards: 1})
	f.apply(storage.JobKey("run-1"), storage.JobRecord{Spec: protocol.JobSpec{
		ID: "run-1", Team: "red", Kind: protocol.KindArray, Priority: "normal", Tasks: 2, CPUs: 4, MemoryGB: 1,
	}})
	f.apply(storage.MachineGroupKey("b"), storage.MachineGroupRecord{Type: "small", Zone: "z", Machines: []storage.MachineEntry{{Name: "m-1", Address: "w"}}})
	f.apply(storage.IntentPageKey(firstPage), storage.IntentPage{"run-1": intents})
	f.apply(storage.GrantKey(0), storage.GrantRecord{Controller: "a", Incarnation: f.controller.replica.Incarnation, FencingToken: grantToken})
	f.controller.recordsChanged(true)
}

// lowerStoreLimits lowers the store's limits to at most the given ones.
func (f *fixture) lowerStoreLimits(valueBytes, operations, preconditions int) {
	limits := f.controller.committer.Limits()
	limits.ValueBytes = min(limits.ValueBytes, valueBytes)
	limits.Operations = min(limits.Operations, operations)
	limits.Preconditions = min(limits.Preconditions, preconditions)
	f.controller.committer.SetLimits(limits)
}

// apply puts a record into the view, at a new revision.
func (f *fixture) apply(key string, record any) {
	f.t.Helper()
	f.revision++
	f.put(key, storage.Encode(record))
	f.advanceRevision(f.revision)
}

// advanceRevision advances the view to a revision without reducing its staleness.
func (f *fixture) advanceRevision(revision uint64) {
	f.controller.replica.Apply(protocol.Changes{Revision: revision}, 0)
}

func (f *fixture) put(key string, value []byte) {
	f.t.Helper()
	f.values[key] = value
	if err := f.controller.replica.View.Apply(key, value, f.revision); err != nil {
		f.t.Fatal(err)
	}
}

// applyTransactions applies the sent transactions in order. Their senders get no answer and
// see the result only in the view.
func (f *fixture) applyTransactions() {
	f.t.Helper()
	transactions := f.transactions
	f.transactions = nil
	for _, t := range transactions {
		f.checkLimits(t)
		f.revision++
		for _, op := range t.Operations {
			if op.Put != "" {
				f.put(op.Put, op.Value)
				continue
			}
			delete(f.values, op.Delete)
			f.controller.replica.View.Remove(op.Delete, f.revision)
		}
		f.advanceRevision(f.revision)
	}
}

// checkLimits fails the test if a transaction exceeds the limits in force.
func (f *fixture) checkLimits(t protocol.Transaction) {
	f.t.Helper()
	limits := f.controller.committer.Limits()
	if largest := kv.LargestValue(t); largest > limits.ValueBytes || len(t.Operations) > limits.Operations || len(t.Preconditions) > limits.Preconditions {
		f.t.Errorf("transaction exceeds the limits %+v: largest value %d, %d operations, %d preconditions", limits, largest, len(t.Operations), len(t.Preconditions))
	}
}

// refreshViewAndLeases makes the view current and extends the shard leases.
func (f *fixture) refreshViewAndLeases() {
	f.controller.replica.Apply(protocol.Changes{}, f.now)
	f.extendLeases(leaseExtension)
}

// leaseExtension is how long refreshViewAndLeases lets the controller act for its shards.
const leaseExtension = time.Minute

// extendLeases lets the controller act for all its shards for d from now on.
func (f *fixture) extendLeases(d time.Duration) {
	for shard := range f.controller.replica.View.Grants {
		f.controller.leases.Extend(shard, f.now+d-f.controller.shardLease)
	}
}

// heartbeat delivers a heartbeat of m-1 to the controller and returns the answer.
func (f *fixture) heartbeat(sequence, token uint64, tasks ...protocol.TaskStatus) api.Answer {
	f.t.Helper()
	var answer api.Answer
	heartbeat := &protocol.AgentHeartbeat{Machine: "m-1", Address: "w", MachineType: "small", Zone: "z", Epoch: 1, Sequence: sequence, FencingToken: token, Tasks: tasks}
	f.controller.OnAgentHeartbeat(heartbeat, func(a api.Answer) { answer = a })
	return answer
}

// inheritedIntent is an intent entry of an earlier holder: run-1/0 may run on m-1.
var inheritedIntent = storage.IntentEntry(0, "m-1", 9)

// becomeLeader makes the controller win an election.
func (f *fixture) becomeLeader() {
	f.t.Helper()
	f.apply(storage.KeyTerm, storage.TermRecord{Term: 5})
	f.opensLeases = true
	f.controller.elector.Tick()
	f.now += time.Second // longer than the delay before a campaign
	f.controller.elector.Tick()
	f.applyTransactions()
	f.controller.elector.ObserveRecord()
	if f.controller.leader == nil {
		f.t.Fatal("controller is not the leader")
	}
}
