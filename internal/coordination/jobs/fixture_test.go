package jobs

import (
	"cmp"
	"encoding/json"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"rockrun/internal/config"
	"rockrun/internal/coordination/api"
	"rockrun/internal/coordination/kv"
	"rockrun/internal/coordination/loop"
	"rockrun/internal/coordination/replica"
	"rockrun/internal/coordination/sharding"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// fixture is a service whose clock, store, reconciler and peers do what a test says. It
// holds the only shard; run-1 is unfinished.
type fixture struct {
	t          testing.TB
	service    *Service
	generation *loop.Generation
	committer  *kv.Committer
	view       *storage.View
	replica    *replica.Replica
	leases     *sharding.Leases
	now        time.Duration
	timers     []func()

	revision     uint64
	values       map[string][]byte      // what the store holds
	changes      []protocol.Event       // what a read of the changes brings
	reads        []string               // keys that were read
	transactions []protocol.Transaction // sent to the store while it holds answers back
	hold         bool                   // the store records transactions and answers none
	away         error                  // with which the store refuses everything, or nil
	rejects      error                  // with which the store refuses transactions, or nil
	onCommit     func()                 // called before a transaction is looked at

	stops, passes int                 // calls of the reconciler
	needsAll      bool                // the controller needs all outcomes
	told          map[string][]string // cancellations of which each peer was told
	peerError     error               // what comes of messages to peers
}

func (f *fixture) Now() time.Duration                           { return f.now }
func (f *fixture) Wall() time.Time                              { return time.Unix(1_800_000_000, 0).Add(f.now) }
func (f *fixture) After(_ time.Duration, callback func())       { f.timers = append(f.timers, callback) }
func (f *fixture) OpenLease(time.Duration, func(uint64, error)) {}
func (f *fixture) RenewLease(uint64, func(error))               {}
func (f *fixture) RevokeLease(uint64, func(error))              {}
func (f *fixture) StopInactive()                                { f.stops++ }
func (f *fixture) SchedulePass()                                { f.passes++ }

func (f *fixture) Ask(controller string, r protocol.PeerRequest, done func(protocol.PeerAnswer, error)) {
	f.told[controller] = r.Cancelled
	done(protocol.PeerAnswer{}, f.peerError)
}

func (f *fixture) Get(key string, done func(protocol.KeyValue, bool, error)) {
	f.reads = append(f.reads, key)
	if f.away != nil {
		done(protocol.KeyValue{}, false, f.away)
		return
	}
	value, found := f.values[key]
	done(protocol.KeyValue{Key: key, Value: value, Version: 1}, found, nil)
}

func (f *fixture) List(_, _ string, done func(protocol.KeyValuePage, error)) {
	done(protocol.KeyValuePage{}, nil)
}

// Watch brings what the test has put among the changes. The first read makes the records
// count as read.
func (f *fixture) Watch(_ string, after uint64, wait time.Duration, done func(protocol.Changes, error)) {
	if wait > 0 {
		return // the view follows only when asked to
	}
	changes := f.changes
	f.changes = nil
	done(protocol.Changes{Revision: max(after, f.revision), Events: changes}, nil)
}

// Commit carries out a transaction at once, unless the store is away or holds answers
// back. The view sees every job that the store has by then.
func (f *fixture) Commit(t protocol.Transaction, done func(uint64, error)) {
	if f.hold {
		f.transactions = append(f.transactions, t)
		return
	}
	if err := cmp.Or(f.away, f.rejects); err != nil {
		done(0, err)
		return
	}
	if f.onCommit != nil {
		f.onCommit()
	}
	for _, c := range t.Conditions {
		if _, found := f.values[c.Key]; found != (c.Version != 0) {
			done(0, protocol.ErrConflict)
			return
		}
	}
	f.revision++
	for _, key := range slices.Sorted(maps.Keys(f.values)) { // what came before comes first with the changes
		if strings.HasPrefix(key, storage.JobKey("")) {
			f.put(key, f.values[key])
		}
	}
	f.carryOut(t)
	done(f.revision, nil)
}

// carryOut lets the store and the view have the operations of a transaction.
func (f *fixture) carryOut(t protocol.Transaction) {
	f.t.Helper()
	for _, op := range t.Operations {
		if op.Put != "" {
			f.put(op.Put, op.Value)
			continue
		}
		delete(f.values, op.Delete)
		f.view.Remove(op.Delete, f.revision)
	}
	f.advance()
}

// put lets the store and the view have a record.
func (f *fixture) put(key string, value []byte) {
	f.t.Helper()
	f.values[key] = value
	if err := f.view.Apply(key, value, f.revision); err != nil {
		f.t.Fatal(err)
	}
}

// advance lets the view have reached the store's revision, without making it any fresher.
func (f *fixture) advance() { f.replica.Apply(protocol.Changes{Revision: f.revision}, 0) }

func (f *fixture) apply(key string, record any) {
	f.t.Helper()
	f.revision++
	f.put(key, storage.Encode(record))
	f.advance()
}

func newFixture(t testing.TB) *fixture {
	f := &fixture{t: t, now: time.Minute, values: map[string][]byte{}, told: map[string][]string{}, needsAll: true}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	limits := config.KVStore{RequestsPerSecond: 200, WritesPerSecond: 100, ValueKiB: 8, TransactionOperations: 8}.Limits()
	f.committer = kv.NewCommitter(f, limits, log)
	f.service = New(Config{Store: f, Committer: f.committer, Peers: f, PeerNames: []string{"b", "c"}, Log: log})
	f.begin()
	return f
}

// begin begins a generation, whose view has nothing of the former one.
func (f *fixture) begin() {
	f.t.Helper()
	if f.generation != nil {
		f.generation.End()
	}
	log := f.service.Log
	f.generation = loop.NewGeneration(f, rand.New(rand.NewPCG(1, 2)))
	f.committer.BeginGeneration(f.generation)
	f.view = storage.NewView([]storage.Team{{Name: "red", MaxCPUs: 8}}, 1)
	f.replica = replica.New(replica.Config{
		Generation: f.generation, Store: f, View: f.view, Controller: "a", Incarnation: 3, WatchPause: time.Second, Log: log, OnChange: func(bool) {},
	})
	f.leases = sharding.NewLeases(sharding.LeasesConfig{
		Generation: f.generation, Replica: f.replica, ShardLease: time.Minute, MaxStaleness: time.Minute,
	})
	f.service.BeginGeneration(GenerationConfig{
		Generation: f.generation, Replica: f.replica, View: f.view, Leases: f.leases, Reconciler: f,
		NeedsOutcomes: func() bool { return f.needsAll },
	})
	f.replica.Start()
	f.apply(storage.KeyMachineTypes, protocol.MachineTypeCatalogue{Types: []protocol.MachineType{{Name: "small", CPUs: 4, MemoryGB: 8, Zones: []string{"z"}}}})
	f.apply(storage.KeyJobShards, storage.JobShardsRecord{JobShards: 1})
	f.apply(storage.GrantKey(0), storage.GrantRecord{Controller: "a", Incarnation: f.replica.Incarnation, FencingToken: 1})
	f.applyJob(protocol.JobSpec{ID: "run-1", Tasks: 2, CPUs: 4, MemoryGB: 1})
	f.refreshKnowledge()
}

// applyJob lets the store and the view have an unfinished array of team red.
func (f *fixture) applyJob(spec protocol.JobSpec) {
	f.t.Helper()
	spec.Team, spec.Kind, spec.Priority = "red", protocol.KindArray, "normal"
	f.apply(storage.JobKey(spec.ID), storage.JobRecord{Spec: spec})
}

// refreshViewAndLeases renews what the controller knows and holds.
func (f *fixture) refreshKnowledge() {
	f.replica.Apply(protocol.Changes{}, f.now)
	f.leases.Extend(0, f.now)
}

// limitStore lets the store's limits be lower from now on.
func (f *fixture) limitStore(valueBytes, operations int) {
	limits := f.committer.Limits()
	limits.ValueBytes = min(limits.ValueBytes, valueBytes)
	limits.Operations = min(limits.Operations, operations)
	f.committer.SetLimits(limits)
}

// applyTransactions carries out the transactions that were held back, in their order,
// without answering them. It fails where one is over the limits in force.
func (f *fixture) applyTransactions() {
	f.t.Helper()
	limits := f.committer.Limits()
	for _, t := range f.transactions {
		if largest := kv.LargestValue(t); largest > limits.ValueBytes || len(t.Operations) > limits.Operations || len(t.Conditions) > limits.Conditions {
			f.t.Errorf("over the limits %+v: largest value %d, %d changes, %d conditions", limits, largest, len(t.Operations), len(t.Conditions))
		}
		f.revision++
		f.carryOut(t)
	}
	f.transactions = nil
}

// acceptElsewhere is a job that another controller has accepted: the view has not heard of
// it.
func (f *fixture) acceptElsewhere(id, kind string) {
	f.values[storage.JobKey(id)] = storage.Encode(storage.JobRecord{Spec: protocol.JobSpec{ID: id, Team: "red", Kind: kind, Tasks: 1}})
}

// end is a job that has ended, of which only the store knows.
func (f *fixture) end(id, stage string) {
	f.values[storage.FinalKey(id)] = storage.Encode(storage.FinalRecord{Stage: stage})
}

// passSecond lets a second pass, and what waits for a moment come about.
func (f *fixture) passSecond() {
	timers := f.timers
	f.timers = nil
	f.now += time.Second
	f.refreshKnowledge()
	for _, callback := range timers {
		callback()
	}
}

// request makes a request and returns its answer.
func (f *fixture) request(run func(reply func(api.Answer))) api.Answer {
	f.t.Helper()
	var got *api.Answer
	run(func(a api.Answer) { got = &a })
	for range 100 {
		if got != nil {
			return *got
		}
		f.passSecond()
	}
	f.t.Fatal("no answer")
	return api.Answer{}
}

// submission is the body of a submission of one task, with fields changed.
func (f *fixture) submission(id string, changed map[string]any) []byte {
	f.t.Helper()
	fields := map[string]any{
		"id": id, "lane": "c", "crew": "red", "shape": "sweep", "rank": "normal", "pieces": 1, "vcpus": 1, "gpus": 0, "ramGb": 1,
		"bundle": "", "sizeGb": 0, "together": false, "spread": false, "loaner": false, "guessS": 1, "markS": 0, "stashS": 0,
	}
	maps.Copy(fields, changed)
	body, err := json.Marshal(fields)
	if err != nil {
		f.t.Fatal(err)
	}
	return body
}

// submit submits a job that depends on others and returns the answer.
func (f *fixture) submit(id string, dependencies ...string) api.Answer {
	f.t.Helper()
	body := f.submission(id, map[string]any{"waitsOn": dependencies})
	return f.request(func(reply func(api.Answer)) { f.service.Submit(body, reply) })
}

func (f *fixture) status(id string) api.Answer {
	f.t.Helper()
	return f.request(func(reply func(api.Answer)) { f.service.Status(id, reply) })
}

func (f *fixture) cancel(id string) api.Answer {
	f.t.Helper()
	return f.request(func(reply func(api.Answer)) { f.service.Cancel(id, reply) })
}

// expect fails where an answer is not as wanted; stage is that of the body, if it has one.
func (f *fixture) expect(what string, a api.Answer, status int, stage string) {
	f.t.Helper()
	got := ""
	switch body := a.Body.(type) {
	case protocol.JobReceipt:
		got = body.Stage
	case *protocol.JobStatus:
		got = body.Stage
	}
	if a.Status != status || got != stage {
		f.t.Errorf("%s: %d %+v", what, a.Status, a.Body)
	}
}
