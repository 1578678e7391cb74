package coordination

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"rockrun/internal/coordination/api"
	"rockrun/internal/coordination/quota"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// keeper is a state service that answers at once from what it holds, unless it is away.
type fakeStore struct {
	*testController
	away  bool
	reads []string
}

func newFakeStore(t *testing.T) *fakeStore {
	k := &fakeStore{testController: newTestController(t)}
	k.store.Store = k
	return k
}

func (k *fakeStore) Get(key string, done func(protocol.KeyValue, bool, error)) {
	k.reads = append(k.reads, key)
	if k.away {
		done(protocol.KeyValue{}, false, protocol.ErrNotExecuted)
		return
	}
	value, found := k.values[key]
	done(protocol.KeyValue{Key: key, Value: value, Version: 1}, found, nil)
}

func (k *fakeStore) Commit(t protocol.Transaction, done func(uint64, error)) {
	if k.away {
		done(0, protocol.ErrNotExecuted)
		return
	}
	for _, c := range t.Conditions {
		if _, found := k.values[c.Key]; found && c.Version == 0 {
			done(0, protocol.ErrConflict)
			return
		}
	}
	k.revision++
	for _, key := range slices.Sorted(maps.Keys(k.values)) { // what came before comes first with the changes
		if strings.HasPrefix(key, storage.JobKey("")) {
			k.put(key, k.values[key])
		}
	}
	for _, op := range t.Operations {
		k.put(op.Put, op.Value)
	}
	k.advance(k.revision)
	done(k.revision, nil)
}

func (k *fakeStore) Watch(_ string, after uint64, _ time.Duration, done func(protocol.Changes, error)) {
	done(protocol.Changes{Revision: after}, nil)
}

// elsewhere is a job that another controller has accepted: the cache has not heard of it.
func (k *fakeStore) elsewhere(id, kind string) {
	k.values[storage.JobKey(id)] = storage.Encode(storage.JobRecord{Spec: protocol.JobSpec{ID: id, Team: "red", Kind: kind, Tasks: 1}})
}

func (k *fakeStore) ended(id, stage string) {
	k.values[storage.FinalKey(id)] = storage.Encode(storage.FinalRecord{Stage: stage})
}

// passSecond lets a second pass, and what waits for a moment come about.
func (k *fakeStore) passSecond() {
	timers := k.timers
	k.timers = nil
	k.now += time.Second
	k.refreshKnowledge()
	for _, f := range timers {
		f()
	}
}

// submit submits a job that needs others and returns the answer.
func (k *fakeStore) submit(id string, needs ...string) api.Answer {
	k.t.Helper()
	body, err := json.Marshal(map[string]any{
		"id": id, "lane": "c", "crew": "red", "shape": "sweep", "rank": "normal", "pieces": 1, "vcpus": 1, "gpus": 0, "ramGb": 1,
		"bundle": "", "sizeGb": 0, "together": false, "spread": false, "loaner": false, "guessS": 1, "markS": 0, "stashS": 0, "waitsOn": needs,
	})
	if err != nil {
		k.t.Fatal(err)
	}
	var got *api.Answer
	k.controller.Submit(body, func(a api.Answer) { got = &a })
	for range 100 {
		if got != nil {
			return *got
		}
		k.passSecond()
	}
	k.t.Fatal("no answer")
	return api.Answer{}
}

// TestSubmissionsThatNameOthers: what a submission is answered for everything that the
// jobs it names can be.
func TestSubmissionsThatNameOthers(t *testing.T) {
	for _, c := range []struct {
		name   string
		before func(k *fakeStore)
		needs  []string
		status int
		stage  string
	}{
		{"nobody", func(*fakeStore) {}, nil, http.StatusCreated, protocol.StageQueued},
		{"one that is unfinished", func(*fakeStore) {}, []string{"run-1"}, http.StatusCreated, protocol.StageQueued},
		{"one accepted elsewhere a moment ago", func(k *fakeStore) { k.elsewhere("run-5", protocol.KindArray) }, []string{"run-5"}, http.StatusCreated, protocol.StageQueued},
		{"one that is done", func(k *fakeStore) { k.ended("run-5", protocol.StageDone) }, []string{"run-5"}, http.StatusCreated, protocol.StageQueued},
		{"one that is cancelled", func(k *fakeStore) { k.ended("run-5", protocol.StageCancelled) }, []string{"run-1", "run-5"}, http.StatusCreated, protocol.StageCancelled},
		{"one known to be cancelled", func(k *fakeStore) { k.controller.view.MarkCancelled("run-1") }, []string{"run-1"}, http.StatusCreated, protocol.StageCancelled},
		{"one that was never accepted", func(*fakeStore) {}, []string{"run-1", "run-5"}, http.StatusUnprocessableEntity, ""},
		{"one never accepted beside one cancelled", func(k *fakeStore) { k.ended("run-5", protocol.StageCancelled) }, []string{"run-5", "run-6"}, http.StatusUnprocessableEntity, ""},
		{"a service accepted elsewhere", func(k *fakeStore) { k.elsewhere("run-5", protocol.KindService) }, []string{"run-5"}, http.StatusUnprocessableEntity, ""},
		{"itself", func(*fakeStore) {}, []string{"run-9"}, http.StatusUnprocessableEntity, ""},
		{"one of whom nothing can be read", func(k *fakeStore) { k.away = true }, []string{"run-5"}, http.StatusServiceUnavailable, ""},
		{"many accepted elsewhere", func(k *fakeStore) {
			for i := range 30 {
				k.elsewhere(fmt.Sprintf("run-5%d", i), protocol.KindArray)
			}
		}, manyNeeds(30), http.StatusCreated, protocol.StageQueued},
		{"many of which one was never accepted", func(k *fakeStore) {
			for i := range 29 {
				k.elsewhere(fmt.Sprintf("run-5%d", i), protocol.KindArray)
			}
		}, manyNeeds(30), http.StatusUnprocessableEntity, ""},
		{"more than a record holds", func(k *fakeStore) {
			for i := range 1000 {
				k.elsewhere(fmt.Sprintf("run-5%d", i), protocol.KindArray)
			}
		}, manyNeeds(1000), http.StatusBadRequest, ""},
	} {
		k := newFakeStore(t)
		c.before(k)
		a := k.submit("run-9", c.needs...)
		if a.Status != c.status {
			t.Errorf("%s: status %d: %v", c.name, a.Status, a.Body)
			continue
		}
		if a.Status == http.StatusServiceUnavailable && a.RetryAfter == 0 {
			t.Errorf("%s: nothing says when to come back", c.name)
		}
		if r, accepted := a.Body.(protocol.JobReceipt); accepted && r.Stage != c.stage {
			t.Errorf("%s: it is %s", c.name, r.Stage)
		}
		_, kept := k.values[storage.JobKey("run-9")]
		_, over := k.values[storage.FinalKey("run-9")]
		if kept != (c.stage == protocol.StageQueued) || over != (c.stage == protocol.StageCancelled) {
			t.Errorf("%s: unfinished %t, over %t in the records", c.name, kept, over)
		}
		if c.status == http.StatusCreated {
			if a := k.submit("run-9", c.needs...); a.Status != http.StatusOK || a.Body.(protocol.JobReceipt).Stage != c.stage {
				t.Errorf("%s: repeated: %d %v", c.name, a.Status, a.Body)
			}
		}
	}
}

func manyNeeds(n int) (list []string) {
	for i := range n {
		list = append(list, fmt.Sprintf("run-5%d", i))
	}
	return list
}

// TestKnownLongJobIsNotRefused: a job whose record is longer than the limit by now was
// accepted under a higher one. Its submission repeated at a controller that does not
// know the job yet is answered with the job, not with 400.
func TestKnownLongJobIsNotRefused(t *testing.T) {
	k := newFakeStore(t)
	for i := range 60 {
		k.elsewhere(fmt.Sprintf("run-5%d", i), protocol.KindArray)
	}
	k.limitStore(512, math.MaxInt, math.MaxInt)
	if a := k.submit("run-9", manyNeeds(60)...); a.Status != http.StatusBadRequest {
		t.Errorf("status %d for a record that does not fit", a.Status)
	}
	k.ended("run-9", protocol.StageDone)
	if a := k.submit("run-9", manyNeeds(60)...); a.Status != http.StatusOK {
		t.Errorf("status %d for one that was accepted", a.Status)
	}
}

// TestNeedsAreReadOnce: however many jobs wait for it, the final record of a job that
// they need is read once, and no faster than the share of the requests allows.
func TestNeedsAreReadOnce(t *testing.T) {
	k := newFakeStore(t)
	const ended, each = 60, 5
	for i := range ended {
		k.ended(fmt.Sprintf("run-1%02d", i), protocol.StageDone)
		for j := range each {
			id := fmt.Sprintf("run-2%02d%d", i, j)
			k.apply(storage.JobKey(id), storage.JobRecord{Spec: protocol.JobSpec{
				ID: id, Team: "red", Kind: protocol.KindArray, Priority: "normal", Tasks: 1, CPUs: 1, Dependencies: []string{fmt.Sprintf("run-1%02d", i)},
			}})
		}
	}
	k.controller.recordsChanged(true)
	atOnce := len(k.reads)
	if most := int(outcomeReadShare * k.controller.committer.Limits().RequestRate); atOnce > most {
		t.Errorf("%d reads at once, at most %d", atOnce, most)
	}
	for range 20 {
		k.passSecond()
	}
	if len(k.reads) != ended {
		t.Errorf("%d reads for %d jobs", len(k.reads), ended)
	}
	waits := 0
	k.controller.view.Jobs.All(func(_ int, j *storage.Job) {
		if j.AwaitsDependencies() {
			waits++
		}
	})
	if waits > 0 {
		t.Errorf("%d jobs still wait", waits)
	}
}

// TestDependentsAreWrittenWithinLimits: the final records of what is cancelled with a
// root are written a few to a transaction, however many there are.
func TestDependentsAreWrittenWithinLimits(t *testing.T) {
	b := newTestController(t)
	b.limitStore(math.MaxInt, 5, math.MaxInt)
	for i := range 30 {
		id := fmt.Sprintf("run-2%02d", i)
		b.apply(storage.JobKey(id), storage.JobRecord{Spec: protocol.JobSpec{
			ID: id, Team: "red", Kind: protocol.KindArray, Priority: "normal", Tasks: 1, CPUs: 1, Dependencies: []string{"run-7"},
		}})
	}
	b.controller.rememberFinal("run-7", storage.FinalRecord{Stage: protocol.StageCancelled})
	b.transactions = nil
	for range 20 {
		b.now += time.Second
		b.refreshKnowledge()
		b.controller.writeDependentCancelled()
		b.applyTransactions()
	}
	written := 0
	for key, value := range b.values {
		if strings.HasPrefix(key, storage.FinalKey("run-2")) && strings.Contains(string(value), protocol.StageCancelled) {
			written++
		}
	}
	if written != 30 {
		t.Errorf("%d final records", written)
	}
}

// TestWaitingCountsForNothing: a job that waits for another has no part of a limit and is
// not to be placed. That it is no demand for machines either is tested in the autoscaler.
func TestWaitingCountsForNothing(t *testing.T) {
	b := newTestController(t)
	b.apply(storage.MachineGroupKey("b"), storage.MachineGroupRecord{})
	_, first := b.controller.view.Jobs.Find("run-1")
	b.controller.view.Remove(storage.JobKey(first.ID), b.revision+1)
	b.revision++
	for id, kind := range map[string]string{"run-20": protocol.KindArray, "run-21": protocol.KindService} {
		b.apply(storage.JobKey(id), storage.JobRecord{Spec: protocol.JobSpec{
			ID: id, Team: "red", Kind: kind, Priority: "normal", Tasks: 2, CPUs: 2, MemoryGB: 1, Dependencies: []string{"run-7"},
		}})
	}
	needs := func() (waiting int) {
		for _, n := range quota.Demands(b.controller.view)[0] {
			waiting += n.Waiting
		}
		return waiting
	}
	if waiting := needs(); waiting > 0 {
		t.Errorf("while they wait: %d of the limit", waiting)
	}
	b.controller.rememberFinal("run-7", storage.FinalRecord{Stage: protocol.StageDone})
	if needs() == 0 {
		t.Error("released: nothing of the limit")
	}
}
