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

// fixture is a Service with a simulated clock, store, reconciler and peers. Its controller
// holds the only shard; run-1 is an unfinished job.
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

	revision         uint64
	values           map[string][]byte      // contents of the store, by key
	pendingChanges   []protocol.Event       // returned by the next read of the changes
	reads            []string               // keys read with Get
	heldTransactions []protocol.Transaction // transactions recorded while holdCommits is set
	holdCommits      bool                   // transactions are recorded and not answered
	storeErr         error                  // fails all reads and transactions; nil: none
	commitErr        error                  // fails all transactions; nil: none
	onCommit         func()                 // called before the preconditions are checked

	stopCalls, passRequests int                 // calls of StopInactive and SchedulePass
	needsOutcomes           bool                // result of GenerationConfig.NeedsOutcomes
	notified                map[string][]string // by peer: the cancellations in its last notice
	peerErr                 error               // result of requests to peers
}

func (f *fixture) Now() time.Duration                           { return f.now }
func (f *fixture) Wall() time.Time                              { return time.Unix(1_800_000_000, 0).Add(f.now) }
func (f *fixture) After(_ time.Duration, callback func())       { f.timers = append(f.timers, callback) }
func (f *fixture) OpenLease(time.Duration, func(uint64, error)) {}
func (f *fixture) RenewLease(uint64, func(error))               {}
func (f *fixture) RevokeLease(uint64, func(error))              {}
func (f *fixture) StopInactive()                                { f.stopCalls++ }
func (f *fixture) SchedulePass()                                { f.passRequests++ }

func (f *fixture) SendRequest(controller string, request protocol.PeerRequest, done func(protocol.PeerAnswer, error)) {
	f.notified[controller] = request.Cancelled
	done(protocol.PeerAnswer{}, f.peerErr)
}

func (f *fixture) Get(key string, done func(protocol.KeyValue, bool, error)) {
	f.reads = append(f.reads, key)
	if f.storeErr != nil {
		done(protocol.KeyValue{}, false, f.storeErr)
		return
	}
	value, found := f.values[key]
	done(protocol.KeyValue{Key: key, Value: value, Version: 1}, found, nil)
}

func (f *fixture) List(_, _ string, done func(protocol.KeyValuePage, error)) {
	done(protocol.KeyValuePage{}, nil)
}

// Watch returns pendingChanges at once. The first call, without a wait, completes the
// initial read of the records.
func (f *fixture) Watch(_ string, after uint64, wait time.Duration, done func(protocol.Changes, error)) {
	if wait > 0 {
		return // the view follows the changes only through Sync
	}
	changes := f.pendingChanges
	f.pendingChanges = nil
	done(protocol.Changes{Revision: max(after, f.revision), Events: changes}, nil)
}

// Commit applies a transaction at once, unless holdCommits, storeErr or commitErr is set.
// The view first receives every job record in the store.
func (f *fixture) Commit(transaction protocol.Transaction, done func(uint64, error)) {
	if f.holdCommits {
		f.heldTransactions = append(f.heldTransactions, transaction)
		return
	}
	if err := cmp.Or(f.storeErr, f.commitErr); err != nil {
		done(0, err)
		return
	}
	if f.onCommit != nil {
		f.onCommit()
	}
	for _, c := range transaction.Preconditions {
		if _, found := f.values[c.Key]; found != (c.Version != 0) {
			done(0, protocol.ErrConflict)
			return
		}
	}
	f.revision++
	for _, key := range slices.Sorted(maps.Keys(f.values)) { // the changes bring earlier writes first
		if strings.HasPrefix(key, storage.JobKey("")) {
			f.put(key, f.values[key])
		}
	}
	f.applyOperations(transaction)
	done(f.revision, nil)
}

// applyOperations applies the operations of a transaction to the store and the view.
func (f *fixture) applyOperations(t protocol.Transaction) {
	f.t.Helper()
	for _, op := range t.Operations {
		if op.Put != "" {
			f.put(op.Put, op.Value)
			continue
		}
		delete(f.values, op.Delete)
		f.view.Remove(op.Delete, f.revision)
	}
	f.advanceRevision()
}

// put writes a record to the store and applies it to the view.
func (f *fixture) put(key string, value []byte) {
	f.t.Helper()
	f.values[key] = value
	if err := f.view.Apply(key, value, f.revision); err != nil {
		f.t.Fatal(err)
	}
}

// advanceRevision advances the view to the store's revision without changing its staleness.
func (f *fixture) advanceRevision() { f.replica.Apply(protocol.Changes{Revision: f.revision}, 0) }

func (f *fixture) apply(key string, record any) {
	f.t.Helper()
	f.revision++
	f.put(key, storage.Encode(record))
	f.advanceRevision()
}

func newFixture(t testing.TB) *fixture {
	f := &fixture{t: t, now: time.Minute, values: map[string][]byte{}, notified: map[string][]string{}, needsOutcomes: true}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	limits := config.KVStore{RequestsPerSecond: 200, WritesPerSecond: 100, ValueKiB: 8, TransactionOperations: 8}.Limits()
	f.committer = kv.NewCommitter(f, limits, log)
	f.service = New(Config{Store: f, Committer: f.committer, Peers: f, PeerNames: []string{"b", "c"}, Log: log})
	f.beginGeneration()
	return f
}

// beginGeneration ends the current generation and begins a new one with a new view.
func (f *fixture) beginGeneration() {
	f.t.Helper()
	if f.generation != nil {
		f.generation.End()
	}
	log := f.service.Log
	f.generation = loop.NewGeneration(f, rand.New(rand.NewPCG(1, 2)))
	f.committer.BeginGeneration(f.generation)
	f.view = storage.NewView([]storage.Team{{Name: "red", MaxCPUs: 8}}, 1)
	f.replica = replica.New(replica.Config{
		Generation: f.generation, Store: f, View: f.view, Controller: "a", Incarnation: 3, MinWatchInterval: time.Second, Log: log, OnChange: func(bool) {},
	})
	f.leases = sharding.NewLeases(sharding.LeasesConfig{
		Generation: f.generation, Replica: f.replica, ShardLease: time.Minute, MaxStaleness: time.Minute,
	})
	f.service.BeginGeneration(GenerationConfig{
		Generation: f.generation, Replica: f.replica, View: f.view, Leases: f.leases, Reconciler: f,
		NeedsOutcomes: func() bool { return f.needsOutcomes },
	})
	f.replica.Start()
	f.apply(storage.KeyMachineTypes, protocol.MachineTypeCatalogue{Types: []protocol.MachineType{{Name: "small", CPUs: 4, MemoryGB: 8, Zones: []string{"z"}}}})
	f.apply(storage.KeyJobShards, storage.JobShardsRecord{JobShards: 1})
	f.apply(storage.GrantKey(0), storage.GrantRecord{Controller: "a", Incarnation: f.replica.Incarnation, FencingToken: 1})
	f.applyJob(protocol.JobSpec{ID: "run-1", Tasks: 2, CPUs: 4, MemoryGB: 1})
	f.refreshViewAndLeases()
}

// applyJob writes an unfinished array of team red to the store and the view.
func (f *fixture) applyJob(spec protocol.JobSpec) {
	f.t.Helper()
	spec.Team, spec.Kind, spec.Priority = "red", protocol.KindArray, "normal"
	f.apply(storage.JobKey(spec.ID), storage.JobRecord{Spec: spec})
}

// refreshViewAndLeases resets the staleness of the view and extends the shard lease.
func (f *fixture) refreshViewAndLeases() {
	f.replica.Apply(protocol.Changes{}, f.now)
	f.leases.Extend(0, f.now)
}

// lowerStoreLimits lowers the committer's limits to at most the given ones.
func (f *fixture) lowerStoreLimits(valueBytes, operations int) {
	limits := f.committer.Limits()
	limits.ValueBytes = min(limits.ValueBytes, valueBytes)
	limits.Operations = min(limits.Operations, operations)
	f.committer.SetLimits(limits)
}

// applyHeldTransactions applies heldTransactions in their order without answering them. It
// fails the test if a transaction exceeds the limits in force.
func (f *fixture) applyHeldTransactions() {
	f.t.Helper()
	limits := f.committer.Limits()
	for _, transaction := range f.heldTransactions {
		if largest := kv.LargestValue(transaction); largest > limits.ValueBytes || len(transaction.Operations) > limits.Operations || len(transaction.Preconditions) > limits.Preconditions {
			f.t.Errorf("transaction over the limits %+v: largest value %d bytes, %d operations, %d preconditions", limits, largest, len(transaction.Operations), len(transaction.Preconditions))
		}
		f.revision++
		f.applyOperations(transaction)
	}
	f.heldTransactions = nil
}

// storeUnseenJob writes a job that another controller accepted to the store only: the view
// lacks it.
func (f *fixture) storeUnseenJob(id, kind string) {
	f.values[storage.JobKey(id)] = storage.Encode(storage.JobRecord{Spec: protocol.JobSpec{ID: id, Team: "red", Kind: kind, Tasks: 1}})
}

// storeFinalRecord writes the final record of an ended job to the store only.
func (f *fixture) storeFinalRecord(id, stage string) {
	f.values[storage.FinalKey(id)] = storage.Encode(storage.FinalRecord{Stage: stage})
}

// advanceOneSecond advances the clock by one second, refreshes the view and the lease, and
// runs the timers that were set before.
func (f *fixture) advanceOneSecond() {
	timers := f.timers
	f.timers = nil
	f.now += time.Second
	f.refreshViewAndLeases()
	for _, callback := range timers {
		callback()
	}
}

// request makes a request, advances the clock until it is answered, and returns the answer.
func (f *fixture) request(run func(reply func(api.Answer))) api.Answer {
	f.t.Helper()
	var got *api.Answer
	run(func(a api.Answer) { got = &a })
	for range 100 {
		if got != nil {
			return *got
		}
		f.advanceOneSecond()
	}
	f.t.Fatal("request not answered after 100 seconds")
	return api.Answer{}
}

// submission returns the body of a submission of one task, with some fields replaced.
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

// submit submits a job with dependencies and returns the answer.
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

// expectAnswer checks the status of an answer and the stage in its body; stage is "" for a
// body without one.
func (f *fixture) expectAnswer(label string, answer api.Answer, status int, stage string) {
	f.t.Helper()
	got := ""
	switch body := answer.Body.(type) {
	case protocol.JobReceipt:
		got = body.Stage
	case *protocol.JobStatus:
		got = body.Stage
	}
	if answer.Status != status || got != stage {
		f.t.Errorf("%s: status %d, body %+v; want status %d, stage %q", label, answer.Status, answer.Body, status, stage)
	}
}
