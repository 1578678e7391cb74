package coordination

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"rockrun/internal/bookkeeping"
	"rockrun/internal/protocol"
)

// flushFor lets the writer of a home write for so long, as passes do.
func (b *bench) flushFor(seconds int, each func()) {
	b.t.Helper()
	w := b.n.hold.writers[0]
	for range 5 * seconds {
		b.now += 200 * time.Millisecond
		b.fresh()
		w.flush()
		b.carryOut()
		for _, p := range w.pages {
			p.writing = false
		}
		for _, p := range w.done {
			p.writing = false
		}
		each()
	}
}

// TestOversizedPagesAreEmptied: pages of intents lie there from a time of higher
// limits. What must change on them goes to other pages first, no write is over the
// limits, and at no time is there a task that may be running without a page that names
// it. Before, such a page was written as it was and refused for ever, and a machine
// that drained kept its name on it for as long.
func TestOversizedPagesAreEmptied(t *testing.T) {
	b := grownBench(t)
	b.n.limits.ValueBytes, b.n.limits.Changes = 512, 4
	w := b.n.hold.writers[0]
	before := w.oversizedValues()
	if before < 30 {
		t.Fatalf("%d pages are over the limit", before)
	}
	lost := b.n.hold.machines[grownMachine(17)]
	lost.m.Phase = bookkeeping.PhaseDrain
	b.n.hold.end(lost.attempts[refs(lost.attempts)[0]], "stopped")
	other := b.n.hold.machines[grownMachine(200)] // goes on taking tasks, so there is no hurry
	b.n.hold.end(other.attempts[refs(other.attempts)[0]], "stopped")
	b.flushFor(10, func() {
		t.Helper()
		for _, x := range b.n.hold.list {
			for ref, a := range x.attempts {
				if x.m.Intents[ref].Try != a.try {
					t.Fatalf("no page names the task on %s", x.m.Name)
				}
			}
		}
	})
	for _, x := range []*holding{lost, other} {
		if len(x.m.Intents) > 0 {
			t.Errorf("%s is still named", x.m.Name)
		}
	}
	if left := w.oversizedValues(); left != before-2 {
		t.Errorf("%d pages are over the limit, of %d before", left, before)
	}
}

// TestOversizedDonePageIsEmptied is the same for a page of completed tasks: what has
// completed is in the records all the time.
func TestOversizedDonePageIsEmptied(t *testing.T) {
	b := newBench(t)
	const jobs = 60
	id := func(i int) string { return fmt.Sprintf("run-%06d", 100+i) }
	page := bookkeeping.DonePage{}
	for i := range jobs {
		page[bookkeeping.DoneName(id(i), 0)] = []byte{1}
		b.apply(bookkeeping.JobKey(id(i)), bookkeeping.JobRecord{Spec: protocol.Spec{
			ID: id(i), Team: "red", Kind: protocol.KindArray, Priority: "normal", Tasks: 80, CPUs: 1, MemoryGB: 1,
		}})
	}
	b.apply(bookkeeping.DoneKey(firstPage), page)
	b.n.changed(true)
	w := b.n.hold.writers[0]
	for i := range jobs {
		_, j := b.n.cache.Jobs.Find(id(i))
		b.n.hold.progress(j)
	}
	b.n.limits.ValueBytes, b.n.limits.Changes = 1024, 4
	if w.oversizedValues() != 1 {
		t.Fatalf("%d pages are over the limit", w.oversizedValues())
	}
	completed := func(i, task int) {
		_, j := b.n.cache.Jobs.Find(id(i))
		p := b.n.hold.progress(j)
		p.done.Set(task)
		p.doneN++
		w.completed(p, 0, b.now)
	}
	recorded := func(i, task int) bool {
		for key, value := range b.values {
			var rec bookkeeping.DonePage
			if strings.HasPrefix(key, "r/d/") && json.Unmarshal(value, &rec) == nil && bookkeeping.Bits(rec[bookkeeping.DoneName(id(i), 0)]).Has(task) {
				return true
			}
		}
		return false
	}
	for _, first := range []int{0, 1} {
		for i := first; i < jobs; i += 2 {
			completed(i, 5)
		}
		b.flushFor(10, func() {
			t.Helper()
			for i := range jobs {
				if !recorded(i, 0) {
					t.Fatalf("what had completed of %s is in no page", id(i))
				}
			}
		})
		for i := first; i < jobs; i += 2 {
			if !recorded(i, 5) {
				t.Errorf("what has completed of %s since is in no page", id(i))
			}
		}
	}
	if w.oversizedValues() > 0 {
		t.Errorf("%d pages are over the limit", w.oversizedValues())
	}
}

// leading makes the node the leader, whose fleet knows the machine types.
func (b *bench) leading() *fleet {
	const lease = 9
	b.n.candidateLeases[lease] = true
	b.apply(bookkeeping.KeyLeader, bookkeeping.LeaderRecord{Node: "a", Incarnation: b.n.incarnation, Term: 6, Lease: lease})
	b.n.checkLeadership()
	if b.n.lead == nil {
		b.t.Fatal("it does not lead")
	}
	b.n.lead.fleet.gotTypes = true
	return b.n.lead.fleet
}

// largeBlock is a block that was recorded under higher limits.
func largeBlock(machines int) bookkeeping.BlockRecord {
	rec := bookkeeping.BlockRecord{Type: "small", Zone: "z", Token: grantToken}
	for i := range machines {
		rec.Machines = append(rec.Machines, bookkeeping.BlockMachine{Name: grownMachine(5000 + i), Addr: fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250)})
	}
	return rec
}

// TestOversizedBlockIsSplit: a machine of a block that is too large by now goes back.
// The very write that records it splits the block; every machine stays in just one,
// and is held as before.
func TestOversizedBlockIsSplit(t *testing.T) {
	for _, machines := range []int{60, 69, 90} {
		b := newBench(t)
		f := b.leading()
		b.apply(bookkeeping.BlockKey("large"), largeBlock(machines))
		b.n.changed(true)
		held := map[string]*holding{}
		for name, x := range b.n.hold.machines {
			held[name] = x
		}
		b.n.limits.ValueBytes, b.n.limits.Changes, b.n.limits.Conditions = 2048, 3, 12
		_, leaving := b.n.cache.Machines.Find(grownMachine(5020))
		clear(f.changes)
		f.phase(leaving, bookkeeping.PhaseDrain, "idle")
		b.txns = nil
		f.flush(b.now)
		if len(b.txns) != 1 {
			t.Fatalf("%d transactions", len(b.txns))
		}
		b.carryOut()
		b.n.changed(true)
		blocks := map[string]int{}
		for i := range machines {
			_, m := b.n.cache.Machines.Find(grownMachine(5000 + i))
			blocks[m.Block]++
			if (m.Phase == bookkeeping.PhaseDrain) != (m == leaving) {
				t.Errorf("%s is in phase %s", m.Name, m.Phase)
			}
			if x := b.n.hold.machines[m.Name]; x != held[m.Name] || x.base != grantToken {
				t.Errorf("%s is held anew", m.Name)
			}
		}
		if len(blocks) < 3 || blocks[""] > 0 {
			t.Errorf("machines by block: %v", blocks)
		}
	}
}

// TestOversizedBlockHandsOver: machines leave a block that is too large for another
// home; where that is more than a transaction takes, the block is split first.
func TestOversizedBlockHandsOver(t *testing.T) {
	b := newBench(t)
	f := b.leading()
	b.apply(bookkeeping.BlockKey("large"), largeBlock(60))
	b.n.changed(true)
	b.n.limits.ValueBytes, b.n.limits.Changes, b.n.limits.Conditions = 2048, 3, 12
	moved := 0
	for range 10 {
		b.now += time.Second
		b.fresh()
		b.txns = nil
		clear(f.changes)
		clear(f.moves)
		for i := range 30 {
			_, m := b.n.cache.Machines.Find(grownMachine(5000 + i))
			if m.Shard == 0 {
				k := moveKey{m.Block, 1}
				f.moves[k] = append(f.moves[k], m)
			}
		}
		f.handOver()
		b.carryOut()
		clear(f.writing) // as the answers would
		b.n.changed(true)
	}
	for i := range 60 {
		if _, m := b.n.cache.Machines.Find(grownMachine(5000 + i)); m.Shard == 1 && m.Block != "" {
			moved++
		}
	}
	if moved != 30 {
		t.Errorf("%d machines have moved", moved)
	}
}

// TestRejectedForGood: what the service rejects is not sent again as it is; from then
// on values and transactions are smaller.
func TestRejectedForGood(t *testing.T) {
	b := newBench(t)
	before := b.n.limits
	value := make([]byte, 4000)
	large := protocol.Txn{Then: []protocol.Op{{Put: "r/x", Value: value}, {Put: "r/y"}, {Put: "r/z"}, {Put: "r/u"}, {Put: "r/v"}}}
	after := lowered(before, large)
	if after.ValueBytes >= 4000 || after.ValueBytes < leastValueBytes || after.Changes >= 5 || after.Conditions != 4*after.Changes {
		t.Errorf("%+v after %+v", after, before)
	}
	small := protocol.Txn{Then: []protocol.Op{{Put: "r/x", Value: value[:100]}}}
	if after := lowered(before, small); after != before {
		t.Errorf("%+v: a small transaction says nothing of the limits", after)
	}
}

// TestGauges: pages and blocks over the limit and jobs that wait for others are counted,
// and not counted any more once they are written smaller, or done.
func TestGauges(t *testing.T) {
	b := newBench(t)
	f := b.leading()
	f.l.n.limits.ValueBytes = 2048
	b.apply(bookkeeping.BlockKey("large"), largeBlock(60))
	b.apply(bookkeeping.BlockKey("small"), largeBlock(2))
	b.apply(bookkeeping.JobKey("run-2"), bookkeeping.JobRecord{Spec: protocol.Spec{ID: "run-2", Team: "red", Kind: protocol.KindArray, Priority: "normal", Tasks: 1, CPUs: 1, MemoryGB: 1, Needs: []string{"run-1"}}})
	b.n.refreshGauges()
	if s := b.n.Stats(); s.Oversized != 1 || s.Waiting != 1 {
		t.Errorf("%+v", s)
	}
	b.apply(bookkeeping.BlockKey("large"), largeBlock(3))
	b.n.cache.SetOutcome("run-1", bookkeeping.FinalRecord{Stage: protocol.StageDone})
	b.n.refreshGauges()
	if s := b.n.Stats(); s.Oversized != 1 || s.Waiting != 1 {
		t.Errorf("counted again before it was time: %+v", s)
	}
	b.now += gaugesEvery
	b.n.refreshGauges()
	if s := b.n.Stats(); s.Oversized != 0 || s.Waiting != 0 {
		t.Errorf("%+v after they were mended", s)
	}
}
