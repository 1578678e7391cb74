package provisioning

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"rockrun/internal/config"
	"rockrun/internal/coordination/election"
	"rockrun/internal/coordination/kv"
	"rockrun/internal/coordination/loop"
	"rockrun/internal/coordination/replica"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

const (
	testTerm       = 6
	testGrantToken = 5<<44 | 1<<24 // of the previous term
)

// testLeader is a leader whose clock, key-value store, cloud and shard holders are controlled
// by the test.
type testLeader struct {
	t            testing.TB
	now          time.Duration
	tokens       uint64
	revision     uint64
	transactions []protocol.Transaction // committed but not applied yet
	callbacks    []func(uint64, error)
	replica      *replica.Replica
	committer    *kv.Committer
	statuses     func(*storage.Machine) (protocol.MachineStatus, bool)
	cloud        testCloud
	deposed      bool
	provisioner  *Provisioner
}

// testCloud is a cloud that lists the machines set by the test and records its requests.
type testCloud struct {
	listed    []protocol.CloudMachine
	types     protocol.MachineTypeCatalogue
	requests  []protocol.CreateMachinesRequest
	onCreated []func([]string, error)
	deleted   [][]string
	onDeleted []func(error)
}

func (c *testCloud) MachineTypes(done func(protocol.MachineTypeCatalogue, error)) {
	done(c.types, nil)
}
func (c *testCloud) CreateMachines(r protocol.CreateMachinesRequest, done func([]string, error)) {
	c.requests = append(c.requests, r)
	c.onCreated = append(c.onCreated, done)
}
func (c *testCloud) DeleteMachines(names []string, done func(error)) {
	c.deleted = append(c.deleted, names)
	c.onDeleted = append(c.onDeleted, done)
}
func (c *testCloud) ListMachines(done func([]protocol.CloudMachine, error)) { done(c.listed, nil) }

func (l *testLeader) Now() time.Duration                               { return l.now }
func (l *testLeader) Wall() time.Time                                  { return time.Unix(1_800_000_000, 0).Add(l.now) }
func (l *testLeader) After(time.Duration, func())                      {}
func (l *testLeader) Get(string, func(protocol.KeyValue, bool, error)) {}
func (l *testLeader) OpenLease(time.Duration, func(uint64, error))     {}
func (l *testLeader) RenewLease(uint64, func(error))                   {}
func (l *testLeader) RevokeLease(uint64, func(error))                  {}
func (l *testLeader) Term() uint64                                     { return testTerm }
func (l *testLeader) Current() bool                                    { return !l.deposed }
func (l *testLeader) HeartbeatTolerance() time.Duration                { return 6 * time.Second }
func (l *testLeader) RemoveMachineStatus(string)                       {}
func (l *testLeader) MachineStatus(m *storage.Machine) (protocol.MachineStatus, bool) {
	return l.statuses(m)
}
func (l *testLeader) Precondition() protocol.Precondition {
	return protocol.Precondition{Key: storage.KeyLeader, Version: l.replica.View.LeaderVersion}
}
func (l *testLeader) NextFencingToken() uint64 {
	l.tokens++
	return testTerm<<44 | l.tokens<<24
}
func (l *testLeader) List(_, _ string, done func(protocol.KeyValuePage, error)) {
	done(protocol.KeyValuePage{}, nil)
}
func (l *testLeader) Watch(_ string, after uint64, _ time.Duration, done func(protocol.Changes, error)) {
	done(protocol.Changes{Revision: after}, nil)
}
func (l *testLeader) Commit(t protocol.Transaction, done func(uint64, error)) {
	l.transactions = append(l.transactions, t)
	l.callbacks = append(l.callbacks, done)
}

// newTestLeader returns a leader with one machine type and no machines.
func newTestLeader(t testing.TB) *testLeader {
	t.Helper()
	l := &testLeader{t: t, now: time.Minute}
	l.statuses = func(*storage.Machine) (protocol.MachineStatus, bool) { return protocol.MachineStatus{}, false }
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	generation := loop.NewGeneration(l, rand.New(rand.NewPCG(1, 2)))
	l.replica = replica.New(replica.Config{
		Generation: generation, Store: l, View: storage.NewView([]storage.Team{{Name: "red"}}, 2), Controller: "a", Incarnation: 3,
		MinWatchInterval: time.Second, Log: log, OnChange: func(bool) {},
	})
	l.replica.Start()
	cluster := &config.Cluster{
		Agents:  config.Agents{HeartbeatSeconds: 3, LeaseSeconds: 30, CancelSeconds: 60},
		KVStore: config.KVStore{RequestsPerSecond: 200, WritesPerSecond: 100, ValueKiB: 8, TransactionOperations: 8},
		Cloud:   config.Cloud{RequestsPerSecond: 4},
	}
	l.committer = kv.NewCommitter(l, cluster.KVStore.Limits(), log)
	l.committer.BeginGeneration(generation)
	l.provisioner = New(Config{
		Generation: generation, Replica: l.replica, Committer: l.committer, Leadership: l, Members: l, Cloud: &l.cloud,
		Cluster: cluster, Options: config.DefaultOptions(), Log: log,
	})
	l.put(storage.KeyMachineTypes, protocol.MachineTypeCatalogue{Types: []protocol.MachineType{
		{Name: "small", CPUs: 4, MemoryGB: 32, HourlyPrice: 1, HourlySpotPrice: 0.3, BootSeconds: 30, Zones: []string{"z"}},
	}})
	l.put(storage.KeyJobShards, storage.JobShardsRecord{JobShards: 1})
	l.put(storage.GrantKey(0), storage.GrantRecord{Controller: "a", Incarnation: 3, FencingToken: testGrantToken})
	return l
}

// put applies a record to the view, as a change from the key-value store.
func (l *testLeader) put(key string, record any) {
	l.revision++
	l.replica.Apply(protocol.Changes{Revision: l.revision, Events: []protocol.Event{
		{Put: key, Value: storage.Encode(record), Version: l.revision},
	}}, l.now)
}

// putGroup applies the record of a machine group to the view.
func (l *testLeader) putGroup(id string, entries ...storage.MachineEntry) {
	l.put(storage.MachineGroupKey(id), storage.MachineGroupRecord{
		Type: "small", Zone: "z", FencingToken: testGrantToken, CreatedAtMS: l.Wall().Add(-time.Minute).UnixMilli(), Machines: entries,
	})
}

// machine returns a machine from the view, and fails the test if the view lacks it.
func (l *testLeader) machine(name string) *storage.Machine {
	l.t.Helper()
	_, m := l.replica.View.Machines.Find(name)
	if m == nil {
		l.t.Fatalf("no machine %s", name)
	}
	return m
}

// applyTransactions applies the committed transactions to the view in order, and calls the
// callback of each once the view shows it.
func (l *testLeader) applyTransactions() {
	l.t.Helper()
	transactions, callbacks := l.transactions, l.callbacks
	l.transactions, l.callbacks = nil, nil
	for i, t := range transactions {
		l.checkLimits(t)
		l.revision++
		var events []protocol.Event
		for _, op := range t.Operations {
			events = append(events, protocol.Event{Put: op.Put, Value: op.Value, Delete: op.Delete, Version: l.revision})
		}
		l.replica.Apply(protocol.Changes{Revision: l.revision, Events: events}, l.now)
		callbacks[i](l.revision, nil)
	}
}

// checkLimits fails the test if a transaction exceeds the current limits.
func (l *testLeader) checkLimits(t protocol.Transaction) {
	l.t.Helper()
	limits := l.committer.Limits()
	if largest := kv.LargestValue(t); largest > limits.ValueBytes || len(t.Operations) > limits.Operations || len(t.Preconditions) > limits.Preconditions {
		l.t.Errorf("transaction exceeds the limits %+v: largest value %d, %d operations, %d preconditions", limits, largest, len(t.Operations), len(t.Preconditions))
	}
}

// lowerStoreLimits lowers the limits of the key-value store.
func (l *testLeader) lowerStoreLimits(valueBytes, operations, preconditions int) {
	limits := l.committer.Limits()
	limits.ValueBytes = min(limits.ValueBytes, valueBytes)
	limits.Operations = min(limits.Operations, operations)
	limits.Preconditions = min(limits.Preconditions, preconditions)
	l.committer.SetLimits(limits)
}

// Fleet sizes. Every fixed limit must allow the large fleet.
const (
	mediumFleet      = 1200
	largeFleet       = 4000
	fleetGroupSize   = 40
	fleetTasksPerJob = 60
)

func machineName(i int) string { return fmt.Sprintf("m-%06d", i) }

// newFleetLeader returns a leader with a fleet in which every machine is up and runs one task.
func newFleetLeader(t testing.TB, machines int) *testLeader {
	t.Helper()
	l := newTestLeader(t)
	for i := 0; i < machines; i += fleetGroupSize {
		record := storage.MachineGroupRecord{Type: "small", Zone: "z", Spot: true}
		for j := i; j < min(i+fleetGroupSize, machines); j++ {
			record.Machines = append(record.Machines, storage.MachineEntry{Name: machineName(j), Address: fmt.Sprintf("10.1.%d.%d:9000", j/250, j%250)})
		}
		l.put(storage.MachineGroupKey(fmt.Sprint(i)), record)
	}
	const attempt = 5<<24 | 7
	for i := 0; i < machines; i += fleetTasksPerJob {
		id := fmt.Sprintf("run-%06d", i/fleetTasksPerJob)
		l.put(storage.JobKey(id), storage.JobRecord{Spec: protocol.JobSpec{
			ID: id, Class: "report", Team: "red", Kind: protocol.KindArray, Priority: "normal", Tasks: fleetTasksPerJob,
			CPUs: 4, MemoryGB: 29, Spot: true, EstimateSeconds: 15, DeadlineSeconds: 90, Image: "img-03", ImageGB: 0.8,
		}})
		page := storage.IntentPage{id: {storage.IntentHeader("red", 4, 0, 29)}}
		for j := i; j < min(i+fleetTasksPerJob, machines); j++ {
			page[id] = append(page[id], storage.IntentEntry(j-i, machineName(j), attempt))
		}
		l.put(storage.IntentPageKey(storage.PageID{Page: i / fleetTasksPerJob}), page)
	}
	l.statuses = func(m *storage.Machine) (protocol.MachineStatus, bool) {
		return protocol.MachineStatus{Name: m.Name, Seen: true, Tasks: 1}, true
	}
	return l
}

// putBlockedJob adds a job whose tasks do not fit on the fleet.
func (l *testLeader) putBlockedJob() {
	l.put(storage.JobKey("run-999999"), storage.JobRecord{Spec: protocol.JobSpec{
		ID: "run-999999", Class: "report", Team: "red", Kind: protocol.KindArray, Priority: "normal", Tasks: 500, CPUs: 4, MemoryGB: 29, Spot: true, EstimateSeconds: 15,
	}})
}

// largeGroup returns the record of a group that was written under higher limits.
func largeGroup(machines int) storage.MachineGroupRecord {
	record := storage.MachineGroupRecord{Type: "small", Zone: "z", FencingToken: testGrantToken}
	for i := range machines {
		record.Machines = append(record.Machines, storage.MachineEntry{Name: machineName(5000 + i), Address: fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250)})
	}
	return record
}

// TestFixtureTerms checks that the fixture's tokens belong to the terms stated for them.
func TestFixtureTerms(t *testing.T) {
	l := newTestLeader(t)
	if term := election.TermOfToken(l.NextFencingToken()); term != testTerm {
		t.Errorf("issued token is of term %d, want %d", term, testTerm)
	}
	if term := election.TermOfToken(testGrantToken); term >= testTerm {
		t.Errorf("grant token is of term %d, want one before %d", term, testTerm)
	}
}
