package coordination

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"rockrun/internal/bookkeeping"
	"rockrun/internal/protocol"
)

// keeper is a state service that answers at once from what it holds, unless it is away.
type keeper struct {
	*bench
	away  bool
	reads []string
}

func newKeeper(t *testing.T) *keeper {
	k := &keeper{bench: newBench(t)}
	k.n.State = k
	return k
}

func (k *keeper) Get(key string, done func(protocol.Item, bool, error)) {
	k.reads = append(k.reads, key)
	if k.away {
		done(protocol.Item{}, false, protocol.ErrNotDone)
		return
	}
	value, found := k.values[key]
	done(protocol.Item{Key: key, Value: value, Version: 1}, found, nil)
}

func (k *keeper) Txn(t protocol.Txn, done func(uint64, error)) {
	if k.away {
		done(0, protocol.ErrNotDone)
		return
	}
	for _, c := range t.If {
		if _, found := k.values[c.Key]; found && c.Version == 0 {
			done(0, protocol.ErrConflict)
			return
		}
	}
	k.rev++
	for _, key := range slices.Sorted(maps.Keys(k.values)) { // what came before comes first with the changes
		if strings.HasPrefix(key, bookkeeping.JobKey("")) {
			k.put(key, k.values[key])
		}
	}
	for _, op := range t.Then {
		k.put(op.Put, op.Value)
	}
	k.n.revision = k.rev
	done(k.rev, nil)
}

func (k *keeper) Follow(_ string, after uint64, _ time.Duration, done func(protocol.Changes, error)) {
	done(protocol.Changes{Revision: after}, nil)
}

// elsewhere is a job that another controller has accepted: the cache has not heard of it.
func (k *keeper) elsewhere(id, kind string) {
	k.values[bookkeeping.JobKey(id)] = bookkeeping.Encode(bookkeeping.JobRecord{Spec: protocol.Spec{ID: id, Team: "red", Kind: kind, Tasks: 1}})
}

func (k *keeper) ended(id, stage string) {
	k.values[bookkeeping.FinalKey(id)] = bookkeeping.Encode(bookkeeping.FinalRecord{Stage: stage})
}

// passSecond lets a second pass, and what waits for a moment come about.
func (k *keeper) passSecond() {
	timers := k.timers
	k.timers = nil
	k.now += time.Second
	k.fresh()
	for _, f := range timers {
		f()
	}
}

// submit submits a job that needs others and returns the answer.
func (k *keeper) submit(id string, needs ...string) Answer {
	k.t.Helper()
	body, err := json.Marshal(map[string]any{
		"id": id, "lane": "c", "crew": "red", "shape": "sweep", "rank": "normal", "pieces": 1, "vcpus": 1, "gpus": 0, "ramGb": 1,
		"bundle": "", "sizeGb": 0, "together": false, "spread": false, "loaner": false, "guessS": 1, "markS": 0, "stashS": 0, "waitsOn": needs,
	})
	if err != nil {
		k.t.Fatal(err)
	}
	var got *Answer
	k.n.Submit(body, func(a Answer) { got = &a })
	for range 100 {
		if got != nil {
			return *got
		}
		k.passSecond()
	}
	k.t.Fatal("no answer")
	return Answer{}
}

// TestSubmissionsThatNameOthers: what a submission is answered for everything that the
// jobs it names can be.
func TestSubmissionsThatNameOthers(t *testing.T) {
	for _, c := range []struct {
		name   string
		before func(k *keeper)
		needs  []string
		status int
		stage  string
	}{
		{"nobody", func(*keeper) {}, nil, http.StatusCreated, protocol.StageQueued},
		{"one that is unfinished", func(*keeper) {}, []string{"run-1"}, http.StatusCreated, protocol.StageQueued},
		{"one accepted elsewhere a moment ago", func(k *keeper) { k.elsewhere("run-5", protocol.KindArray) }, []string{"run-5"}, http.StatusCreated, protocol.StageQueued},
		{"one that is done", func(k *keeper) { k.ended("run-5", protocol.StageDone) }, []string{"run-5"}, http.StatusCreated, protocol.StageQueued},
		{"one that is cancelled", func(k *keeper) { k.ended("run-5", protocol.StageWithdrawn) }, []string{"run-1", "run-5"}, http.StatusCreated, protocol.StageWithdrawn},
		{"one known to be cancelled", func(k *keeper) { k.n.cache.MarkCancelled("run-1") }, []string{"run-1"}, http.StatusCreated, protocol.StageWithdrawn},
		{"one that was never accepted", func(*keeper) {}, []string{"run-1", "run-5"}, http.StatusUnprocessableEntity, ""},
		{"one never accepted beside one cancelled", func(k *keeper) { k.ended("run-5", protocol.StageWithdrawn) }, []string{"run-5", "run-6"}, http.StatusUnprocessableEntity, ""},
		{"a service accepted elsewhere", func(k *keeper) { k.elsewhere("run-5", protocol.KindService) }, []string{"run-5"}, http.StatusUnprocessableEntity, ""},
		{"itself", func(*keeper) {}, []string{"run-9"}, http.StatusUnprocessableEntity, ""},
		{"one of whom nothing can be read", func(k *keeper) { k.away = true }, []string{"run-5"}, http.StatusServiceUnavailable, ""},
		{"many accepted elsewhere", func(k *keeper) {
			for i := range 30 {
				k.elsewhere(fmt.Sprintf("run-5%d", i), protocol.KindArray)
			}
		}, manyNeeds(30), http.StatusCreated, protocol.StageQueued},
		{"many of which one was never accepted", func(k *keeper) {
			for i := range 29 {
				k.elsewhere(fmt.Sprintf("run-5%d", i), protocol.KindArray)
			}
		}, manyNeeds(30), http.StatusUnprocessableEntity, ""},
		{"more than a record holds", func(k *keeper) {
			for i := range 1000 {
				k.elsewhere(fmt.Sprintf("run-5%d", i), protocol.KindArray)
			}
		}, manyNeeds(1000), http.StatusBadRequest, ""},
	} {
		k := newKeeper(t)
		c.before(k)
		a := k.submit("run-9", c.needs...)
		if a.Status != c.status {
			t.Errorf("%s: status %d: %v", c.name, a.Status, a.Body)
			continue
		}
		if a.Status == http.StatusServiceUnavailable && a.RetryAfter == 0 {
			t.Errorf("%s: nothing says when to come back", c.name)
		}
		if r, accepted := a.Body.(protocol.Receipt); accepted && r.Stage != c.stage {
			t.Errorf("%s: it is %s", c.name, r.Stage)
		}
		_, kept := k.values[bookkeeping.JobKey("run-9")]
		_, over := k.values[bookkeeping.FinalKey("run-9")]
		if kept != (c.stage == protocol.StageQueued) || over != (c.stage == protocol.StageWithdrawn) {
			t.Errorf("%s: unfinished %t, over %t in the records", c.name, kept, over)
		}
		if c.status == http.StatusCreated {
			if a := k.submit("run-9", c.needs...); a.Status != http.StatusOK || a.Body.(protocol.Receipt).Stage != c.stage {
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
	k := newKeeper(t)
	for i := range 60 {
		k.elsewhere(fmt.Sprintf("run-5%d", i), protocol.KindArray)
	}
	k.n.limits.ValueBytes = 512
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
	k := newKeeper(t)
	const ended, each = 60, 5
	for i := range ended {
		k.ended(fmt.Sprintf("run-1%02d", i), protocol.StageDone)
		for j := range each {
			id := fmt.Sprintf("run-2%02d%d", i, j)
			k.apply(bookkeeping.JobKey(id), bookkeeping.JobRecord{Spec: protocol.Spec{
				ID: id, Team: "red", Kind: protocol.KindArray, Priority: "normal", Tasks: 1, CPUs: 1, Needs: []string{fmt.Sprintf("run-1%02d", i)},
			}})
		}
	}
	k.n.changed(true)
	atOnce := len(k.reads)
	if most := int(outcomeReadShare * k.n.limits.RequestRate); atOnce > most {
		t.Errorf("%d reads at once, at most %d", atOnce, most)
	}
	for range 20 {
		k.passSecond()
	}
	if len(k.reads) != ended {
		t.Errorf("%d reads for %d jobs", len(k.reads), ended)
	}
	waits := 0
	k.n.cache.Jobs.All(func(_ int, j *bookkeeping.Job) {
		if j.Waits() {
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
	b := newBench(t)
	b.n.limits.Changes = 5
	for i := range 30 {
		id := fmt.Sprintf("run-2%02d", i)
		b.apply(bookkeeping.JobKey(id), bookkeeping.JobRecord{Spec: protocol.Spec{
			ID: id, Team: "red", Kind: protocol.KindArray, Priority: "normal", Tasks: 1, CPUs: 1, Needs: []string{"run-7"},
		}})
	}
	b.n.remember("run-7", bookkeeping.FinalRecord{Stage: protocol.StageWithdrawn})
	b.txns = nil
	for range 20 {
		b.now += time.Second
		b.fresh()
		b.n.hold.writeDependentCancelled()
		b.carryOut()
	}
	written := 0
	for key, value := range b.values {
		if strings.HasPrefix(key, bookkeeping.FinalKey("run-2")) && strings.Contains(string(value), protocol.StageWithdrawn) {
			written++
		}
	}
	if written != 30 {
		t.Errorf("%d final records", written)
	}
}

// TestWaitingCountsForNothing: a job that waits for another is no demand, no reason to
// keep room, has no part of a limit and makes no type of machine the only one.
func TestWaitingCountsForNothing(t *testing.T) {
	b := newBench(t)
	f := b.leading()
	b.apply(bookkeeping.BlockKey("b"), bookkeeping.BlockRecord{})
	_, first := b.n.cache.Jobs.Find("run-1")
	b.n.cache.Remove(bookkeeping.JobKey(first.ID), b.rev+1)
	b.rev++
	for id, kind := range map[string]string{"run-20": protocol.KindArray, "run-21": protocol.KindService} {
		b.apply(bookkeeping.JobKey(id), bookkeeping.JobRecord{Spec: protocol.Spec{
			ID: id, Team: "red", Kind: kind, Priority: "normal", Tasks: 2, CPUs: 2, MemoryGB: 1, Needs: []string{"run-7"},
		}})
	}
	counts := func() (demands, spares, sole, needs int) {
		for _, d := range f.l.demands() {
			demands += d.count
		}
		for _, d := range f.l.spares(nil) {
			spares += d.count
		}
		for _, n := range f.l.needs()[0] {
			needs += n.waits
		}
		return demands, spares, len(f.l.sole()), needs
	}
	if demands, spares, sole, needs := counts(); demands+spares+sole+needs > 0 {
		t.Errorf("while they wait: %d demanded, %d spare, %d sole types, %d of the limit", demands, spares, sole, needs)
	}
	if list := b.n.hold.waitingJobs(b.now); len(list) > 0 {
		t.Errorf("while they wait: %d jobs to place", len(list))
	}
	b.n.remember("run-7", bookkeeping.FinalRecord{Stage: protocol.StageDone})
	if demands, spares, sole, needs := counts(); demands != 4 || spares == 0 || sole != 1 || needs == 0 {
		t.Errorf("released: %d demanded, %d spare, %d sole types, %d of the limit", demands, spares, sole, needs)
	}
	if list := b.n.hold.waitingJobs(b.now); len(list) != 2 {
		t.Errorf("released: %d jobs to place", len(list))
	}
}
