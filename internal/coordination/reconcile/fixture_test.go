package reconcile

import (
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"rockrun/internal/config"
	"rockrun/internal/coordination/kv"
	"rockrun/internal/coordination/loop"
	"rockrun/internal/coordination/replica"
	"rockrun/internal/coordination/sharding"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// fixture is a reconciler whose clock, store and agents the test controls. The reconciler
// holds one machine, m-1, under a new grant.
type fixture struct {
	t                testing.TB
	reconciler       *Reconciler
	leases           *sharding.Leases
	replica          *replica.Replica
	committer        *kv.Committer
	view             *storage.View
	now              time.Duration
	timers           []func()
	transactions     []protocol.Transaction // sent to the store, not answered
	commandRequests  []protocol.CommandRequest
	revision         uint64
	watchAnswered    bool              // the first watch has been answered
	values           map[string][]byte // contents of the store
	endedJobs        []string          // jobs whose final records are durable
	commandsDeferred int               // commands that did not fit into a message
}

func (f *fixture) Now() time.Duration                               { return f.now }
func (f *fixture) Wall() time.Time                                  { return time.Unix(1_800_000_000, 0).Add(f.now) }
func (f *fixture) After(_ time.Duration, callback func())           { f.timers = append(f.timers, callback) }
func (f *fixture) Get(string, func(protocol.KeyValue, bool, error)) {}
func (f *fixture) OpenLease(time.Duration, func(uint64, error))     {}
func (f *fixture) RenewLease(uint64, func(error))                   {}
func (f *fixture) RevokeLease(uint64, func(error))                  {}
func (f *fixture) RecordOutcome(job string, _ storage.FinalRecord) {
	f.endedJobs = append(f.endedJobs, job)
}

func (f *fixture) List(_, _ string, done func(protocol.KeyValuePage, error)) {
	done(protocol.KeyValuePage{}, nil)
}

func (f *fixture) Commit(transaction protocol.Transaction, _ func(uint64, error)) {
	f.transactions = append(f.transactions, transaction)
}

// Watch answers the first watch, after which the replica counts as complete.
func (f *fixture) Watch(_ string, _ uint64, _ time.Duration, done func(protocol.Changes, error)) {
	if !f.watchAnswered {
		f.watchAnswered = true
		done(protocol.Changes{}, nil)
	}
}

func (f *fixture) Execute(_ string, request protocol.CommandRequest, _ func(*protocol.AgentHeartbeat, bool, error)) {
	f.commandRequests = append(f.commandRequests, request)
}

const (
	// grantToken is the fencing token of the fixture's grant.
	grantToken = 5<<44 | 1<<24
	// testShardLease is the duration of a shard lease.
	testShardLease = 3 * time.Second
	// leaseExtension is how long refreshViewAndLeases lets the controller act for its shards.
	leaseExtension = time.Minute
)

// firstPage identifies the first page of the only job shard.
var firstPage = storage.PageID{}

var (
	// inheritedIntent is an intent entry of an earlier holder: run-1/0 may run on m-1.
	inheritedIntent = storage.IntentEntry(0, "m-1", 9)
	// runningStatus is the agent's report that this task runs.
	runningStatus = protocol.TaskStatus{Task: "run-1/0", Attempt: 9, State: protocol.TaskRunning}
)

// newFixture creates a fixture. The intent page of an earlier holder has the given entries of
// run-1.
func newFixture(t testing.TB, intents ...string) *fixture {
	f := &fixture{t: t, now: time.Minute, values: map[string][]byte{}}
	agents := config.Agents{HeartbeatSeconds: 3, LeaseSeconds: 30, CancelSeconds: 60}
	limits := config.KVStore{RequestsPerSecond: 200, WritesPerSecond: 100, ValueKiB: 8, TransactionOperations: 8}.Limits()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	generation := loop.NewGeneration(f, rand.New(rand.NewPCG(1, 2)))
	f.committer = kv.NewCommitter(f, limits, log)
	f.committer.BeginGeneration(generation)
	f.view = storage.NewView([]storage.Team{{Name: "red", MaxCPUs: 8}}, 1)
	f.replica = replica.New(replica.Config{
		Generation: generation, Store: f, View: f.view, Controller: "a", Incarnation: 3, MinWatchInterval: time.Second, Log: log, OnChange: func(bool) {},
	})
	f.leases = sharding.NewLeases(sharding.LeasesConfig{
		Generation: generation, Replica: f.replica, ShardLease: testShardLease, MaxStaleness: agents.MaxStaleness(),
	})
	f.reconciler = New(Config{
		Generation: generation, Replica: f.replica, View: f.view, Committer: f.committer, Leases: f.leases, Agents: f, Outcomes: f, Log: log,
		AgentSettings: agents, MaxStaleness: agents.MaxStaleness(), OnPassEnd: func() {},
		OnCommandsDeferred: func(commands int) { f.commandsDeferred += commands },
	})
	f.replica.Start()
	f.refreshViewAndLeases()
	f.apply(storage.KeyMachineTypes, protocol.MachineTypeCatalogue{Types: []protocol.MachineType{{Name: "small", CPUs: 4, MemoryGB: 8, Zones: []string{"z"}}}})
	f.apply(storage.KeyJobShards, storage.JobShardsRecord{JobShards: 1})
	f.apply(storage.JobKey("run-1"), storage.JobRecord{Spec: protocol.JobSpec{
		ID: "run-1", Team: "red", Kind: protocol.KindArray, Priority: "normal", Tasks: 2, CPUs: 4, MemoryGB: 1,
	}})
	f.apply(storage.MachineGroupKey("b"), storage.MachineGroupRecord{Type: "small", Zone: "z", Machines: []storage.MachineEntry{{Name: "m-1", Address: "w"}}})
	f.apply(storage.IntentPageKey(firstPage), storage.IntentPage{"run-1": intents})
	f.apply(storage.GrantKey(0), storage.GrantRecord{Controller: "a", Incarnation: f.replica.Incarnation, FencingToken: grantToken})
	f.recordsChanged()
	return f
}

// recordsChanged makes the reconciler process the records that were applied.
func (f *fixture) recordsChanged() {
	f.leases.ObserveGrants()
	f.reconciler.SyncWithRecords()
	f.reconciler.SchedulePass()
}

// lowerStoreLimits lowers the store's limits to at most the given ones.
func (f *fixture) lowerStoreLimits(valueBytes, operations, preconditions int) {
	limits := f.committer.Limits()
	limits.ValueBytes = min(limits.ValueBytes, valueBytes)
	limits.Operations = min(limits.Operations, operations)
	limits.Preconditions = min(limits.Preconditions, preconditions)
	f.committer.SetLimits(limits)
}

// setWriteRate sets the controller's write budget to one available write, refilled at a rate.
func (f *fixture) setWriteRate(rate float64) {
	budget := &f.committer.Budget
	*budget = loop.NewTokenBucket(1)
	budget.Refill(f.now)
	budget.SetRate(rate)
}

// apply puts a record into the view, at a new revision.
func (f *fixture) apply(key string, record any) {
	f.t.Helper()
	f.revision++
	f.put(key, storage.Encode(record))
	f.advanceRevision(f.revision)
}

// remove removes a record from the view, at a new revision.
func (f *fixture) remove(key string) {
	f.revision++
	f.view.Remove(key, f.revision)
}

// advanceRevision advances the view to a revision without reducing its staleness.
func (f *fixture) advanceRevision(revision uint64) {
	f.replica.Apply(protocol.Changes{Revision: revision}, 0)
}

func (f *fixture) put(key string, value []byte) {
	f.t.Helper()
	f.values[key] = value
	if err := f.view.Apply(key, value, f.revision); err != nil {
		f.t.Fatal(err)
	}
}

// applyTransactions applies the sent transactions in order. Their senders get no answer and
// see the result only in the view.
func (f *fixture) applyTransactions() {
	f.t.Helper()
	transactions := f.transactions
	f.transactions = nil
	for _, transaction := range transactions {
		f.checkLimits(transaction)
		f.revision++
		for _, op := range transaction.Operations {
			if op.Put != "" {
				f.put(op.Put, op.Value)
				continue
			}
			delete(f.values, op.Delete)
			f.view.Remove(op.Delete, f.revision)
		}
		f.advanceRevision(f.revision)
	}
}

// checkLimits fails the test if a transaction exceeds the limits in force.
func (f *fixture) checkLimits(transaction protocol.Transaction) {
	f.t.Helper()
	limits := f.committer.Limits()
	if largest := kv.LargestValue(transaction); largest > limits.ValueBytes || len(transaction.Operations) > limits.Operations || len(transaction.Preconditions) > limits.Preconditions {
		f.t.Errorf("transaction exceeds the limits %+v: largest value %d, %d operations, %d preconditions", limits, largest, len(transaction.Operations), len(transaction.Preconditions))
	}
}

// refreshViewAndLeases makes the view current and extends the shard leases.
func (f *fixture) refreshViewAndLeases() {
	f.refreshView()
	f.extendLeases(leaseExtension)
}

// refreshView makes the view count as current now.
func (f *fixture) refreshView() { f.replica.Apply(protocol.Changes{}, f.now) }

// extendLeases lets the controller act for all its shards for d from now on.
func (f *fixture) extendLeases(d time.Duration) {
	for shard := range f.view.Grants {
		f.leases.Extend(shard, f.now+d-testShardLease)
	}
}

// heartbeat delivers a heartbeat of m-1 to the reconciler and returns the answer.
func (f *fixture) heartbeat(sequence, token uint64, tasks ...protocol.TaskStatus) (answer protocol.AgentHeartbeatAnswer, err error) {
	f.t.Helper()
	return f.deliver(&protocol.AgentHeartbeat{
		Machine: "m-1", Address: "w", MachineType: "small", Zone: "z", Epoch: 1, Sequence: sequence, FencingToken: token, Tasks: tasks,
	})
}

// heartbeatCommands delivers a heartbeat of m-1 and returns the commands of the answer. A
// rejected heartbeat fails the test.
func (f *fixture) heartbeatCommands(sequence, token uint64, tasks ...protocol.TaskStatus) []protocol.Command {
	f.t.Helper()
	answer, err := f.heartbeat(sequence, token, tasks...)
	if err != nil {
		f.t.Fatal(err)
	}
	return answer.Commands
}

// deliver delivers a heartbeat to the reconciler and returns the answer.
func (f *fixture) deliver(heartbeat *protocol.AgentHeartbeat) (answer protocol.AgentHeartbeatAnswer, err error) {
	_, machine := f.view.Machines.Find(heartbeat.Machine)
	err = f.reconciler.OnHeartbeat(machine, heartbeat, func(a protocol.AgentHeartbeatAnswer) { answer = a })
	return answer, err
}

// agent returns the agent of m-1.
func (f *fixture) agent() *agent { return f.reconciler.agents.find("m-1") }

// liveAttempts returns the number of attempts that may still run on m-1.
func (f *fixture) liveAttempts() int {
	count := 0
	for _, a := range f.agent().attempts {
		if a.live() {
			count++
		}
	}
	return count
}

// stopsWithoutGrace reports whether commands stop run-1/0 without grace.
func stopsWithoutGrace(commands []protocol.Command) bool {
	return slices.ContainsFunc(commands, func(c protocol.Command) bool {
		return c.Verb == protocol.VerbStop && c.Task == "run-1/0" && c.GraceSeconds != nil && *c.GraceSeconds == 0
	})
}
