package coordination

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"rockrun/internal/bookkeeping"
	"rockrun/internal/protocol"
)

// newBlock is a block that is not in the cache yet. It keeps its name until it
// is, so that a write without an answer can't put a machine into two blocks.
type newBlock struct {
	id      string
	rec     bookkeeping.BlockRecord
	writing bool
	at      time.Duration
}

// change is what a machine's entry is to become.
type change struct {
	m      *bookkeeping.Machine
	phase  string
	why    string
	stamp  uint64 // of a drain that goes on; one that begins gets its own when it is written
	yield  bool   // of a drain: its tasks are stopped
	addr   string
	forget bool // the entry goes
	empty  bool // rests on the holder's word that nothing is on the machine
}

// moveKey names machines of a block that go to the same home.
type moveKey struct {
	block string
	to    int
}

// blockSize is how many machines with such names a new block takes.
func (f *fleet) blockSize(name string) int { return blockLimit(f.l.n.limits.ValueBytes, name) }

// block makes a block of machines to be recorded.
func (f *fleet) block(rec bookkeeping.BlockRecord) {
	rec.Token = f.l.token()
	f.fresh = append(f.fresh, &newBlock{id: blockID(rec.Token), rec: rec})
	for _, e := range rec.Machines {
		f.coming[e.Name] = true
	}
}

// records writes the blocks of machines that were rented or found.
func (f *fleet) records() {
	n := f.l.n
	now := n.now()
	// Machines that nobody asked for go to the home of the work that ends.
	var last orphan
	rec := bookkeeping.BlockRecord{}
	for _, name := range slices.Sorted(maps.Keys(f.orphans)) {
		s := f.orphans[name]
		if _, m := n.cache.Machines.Find(name); m != nil && m.Block != "" || f.coming[name] {
			continue
		}
		if len(rec.Machines) > 0 && (s.typ != last.typ || s.zone != last.zone || s.spot != last.spot || len(rec.Machines) >= f.blockSize(name)) {
			f.block(rec)
			rec.Machines = nil
		}
		rec.Type, rec.Zone, rec.Spot, rec.AtMS = s.typ, s.zone, s.spot, s.atMS
		rec.Machines = append(rec.Machines, bookkeeping.BlockMachine{Name: name, Addr: s.addr})
		last = s
	}
	if len(rec.Machines) > 0 {
		f.block(rec)
	}
	clear(f.orphans)
	f.fresh = slices.DeleteFunc(f.fresh, func(b *newBlock) bool {
		if n.cache.Blocks[b.id] == nil {
			return false
		}
		for _, e := range b.rec.Machines {
			delete(f.coming, e.Name)
		}
		return true
	})
	for _, b := range f.fresh {
		if b.writing || now < b.at || !n.budget.take(now, 1) {
			continue
		}
		b.writing = true
		key := bookkeeping.BlockKey(b.id)
		n.txn(protocol.Txn{
			If:   []protocol.Cond{f.l.cond(), {Key: key}},
			Then: []protocol.Op{{Put: key, Value: bookkeeping.Encode(b.rec)}},
		}, func(_ uint64, err error) {
			b.writing = false
			b.at = n.now() + retryPause
			if err == nil {
				b.at = n.now() + time.Second // it comes with the changes
			}
		})
	}
}

// phase moves a machine on. A return is recorded first and never undone.
func (f *fleet) phase(m *bookkeeping.Machine, phase, why string) {
	f.change(change{m: m, phase: phase, why: why})
}

func (f *fleet) change(c change) {
	if c.m.Block != "" && !slices.ContainsFunc(f.changes[c.m.Block], func(o change) bool { return o.m == c.m }) {
		f.changes[c.m.Block] = append(f.changes[c.m.Block], c)
	}
}

// pending reports whether a machine's entry is being changed already.
func (f *fleet) pending(m *bookkeeping.Machine) bool {
	return f.writing[m.Block] || f.l.n.revision < f.waitTo[m.Block] ||
		slices.ContainsFunc(f.changes[m.Block], func(o change) bool { return o.m == m })
}

// flush writes the changes worked out in this tick, several blocks to a
// transaction. What can't be written now is worked out again in the next tick.
func (f *fleet) flush(now time.Duration) {
	n := f.l.n
	var ids []string
	for _, id := range slices.Sorted(maps.Keys(f.changes)) {
		if !f.writing[id] && n.revision >= f.waitTo[id] && n.cache.Blocks[id] != nil {
			ids = append(ids, id)
		}
	}
	// Where many machines are lost at once there are far more changes than writes,
	// and what replicas wait for must not queue behind the tidying up.
	urgency := map[string]int{}
	for _, id := range ids {
		for _, c := range f.changes[id] {
			urgency[id] = max(urgency[id], f.urgency(c))
		}
	}
	slices.SortStableFunc(ids, func(a, b string) int { return cmp.Compare(urgency[b], urgency[a]) })
	batch := f.newBlockBatch()
	for _, id := range ids {
		w, ok := f.writeBlock(id, f.changed(n.cache.Blocks[id], f.changes[id]))
		if !ok {
			continue
		}
		if !n.budget.take(now, len(w.ops)) {
			break
		}
		if !batch.takes(w) {
			batch.send()
			batch = f.newBlockBatch()
		}
		batch.add(id, w)
	}
	batch.send()
}

// urgency is how much depends on a change being written soon: replicas that can't
// start elsewhere or wait for the machine, then other tasks, then only money.
func (f *fleet) urgency(c change) int {
	_, claimed := f.claims[c.m.Name]
	lost := c.phase == bookkeeping.PhaseReturning || c.phase == bookkeeping.PhaseGone
	switch {
	case lost && f.l.serves(c.m), c.yield:
		return 3
	case claimed:
		return 2
	case lost && len(c.m.Intents) > 0, c.phase == bookkeeping.PhaseActive:
		return 1
	}
	return 0
}

// blockOp writes a block, or removes it once it is empty. The transaction that
// made it may have been sent twice, and a late copy of it demands only that the
// key does not exist and that its leader still leads: a block that was removed
// under the same term could come back with machines that are elsewhere by now.
// So an empty one is kept until a later term.
func (l *leadership) blockOp(id string, rec bookkeeping.BlockRecord) protocol.Op {
	if len(rec.Machines) == 0 && rec.Token>>termShift < l.term {
		return protocol.Op{Delete: bookkeeping.BlockKey(id)}
	}
	return protocol.Op{Put: bookkeeping.BlockKey(id), Value: bookkeeping.Encode(rec)}
}

func (f *fleet) grantCond(shard int) protocol.Cond {
	return protocol.Cond{Key: bookkeeping.GrantKey(shard), Version: f.l.n.cache.Grants[shard].Version}
}

// txn carries out a transaction that writes blocks.
func (f *fleet) txn(blocks []string, t protocol.Txn) {
	n := f.l.n
	for _, id := range blocks {
		f.writing[id] = true
	}
	n.txn(t, func(revision uint64, err error) {
		for _, id := range blocks {
			delete(f.writing, id)
			if err == nil {
				f.waitTo[id] = revision
			}
		}
		if err != nil {
			n.Log.Debug("blocks not written", "err", err)
		}
	})
}

// logChanges says what becomes of the machines of a block.
func (f *fleet) logChanges(b *bookkeeping.Block, changes []change) {
	for _, e := range b.Machines {
		i := slices.IndexFunc(changes, func(c change) bool { return c.m.Name == e.Name })
		if i < 0 {
			continue
		}
		if c := &changes[i]; c.phase != "" {
			f.l.n.Log.Info("machine", "name", e.Name, "type", b.Type, "zone", b.Zone, "spot", b.Spot, "phase", c.phase, "why", c.why, "term", f.l.term)
		}
	}
}

// changed is a block with changes carried out.
func (f *fleet) changed(b *bookkeeping.Block, changes []change) bookkeeping.BlockRecord {
	n := f.l.n
	rec := b.BlockRecord
	rec.Machines = nil
	for _, e := range b.Machines {
		i := slices.IndexFunc(changes, func(c change) bool { return c.m.Name == e.Name })
		if i < 0 {
			rec.Machines = append(rec.Machines, e)
			continue
		}
		c := &changes[i]
		if c.forget {
			continue
		}
		if c.addr != "" {
			e.Addr = c.addr
		}
		if c.phase != "" {
			e.Phase, e.Drain, e.Yield = c.phase, c.stamp, c.yield
			if c.phase == bookkeeping.PhaseDrain && c.stamp == 0 {
				e.Drain = f.l.token()
			}
			if c.phase == bookkeeping.PhaseActive {
				e.Phase = ""
			}
			if c.phase == bookkeeping.PhaseGone {
				e.GoneMS = n.Clock.Wall().UnixMilli()
				e.Addr = ""
			}
		}
		rec.Machines = append(rec.Machines, e)
	}
	return rec
}

// handOver gives empty drained machines to other homes: they leave their block for
// a new one under a token above any that they have seen. All of a block that go
// to one home go in one transaction, with what else is to change in the block.
func (f *fleet) handOver() {
	n := f.l.n
	for _, k := range slices.SortedFunc(maps.Keys(f.moves), func(a, b moveKey) int {
		return cmp.Or(cmp.Compare(a.block, b.block), cmp.Compare(a.to, b.to))
	}) {
		b := n.cache.Blocks[k.block]
		if b == nil || f.writing[k.block] || n.revision < f.waitTo[k.block] || !n.budget.take(n.now(), 2) {
			continue
		}
		to := bookkeeping.BlockRecord{Type: b.Type, Zone: b.Zone, Spot: b.Spot, Shard: k.to, Token: f.l.token(), AtMS: b.AtMS}
		changes := f.changes[k.block]
		moves := f.moves[k]
		for _, m := range moves[:min(len(moves), f.blockSize(moves[0].Name))] { // the others with the next tick
			to.Machines = append(to.Machines, bookkeeping.BlockMachine{Name: m.Name, Addr: m.Addr})
			changes = append(changes, change{m: m, forget: true})
		}
		from, ok := f.writeBlock(k.block, f.changed(b, changes))
		delete(f.changes, k.block)
		if !ok {
			continue
		}
		if len(from.ops) >= n.limits.Changes { // so large that it must be split before anything leaves it
			if from, ok = f.writeBlock(k.block, b.BlockRecord); ok {
				f.txn([]string{k.block}, protocol.Txn{If: append(from.conds, f.l.cond()), Then: from.ops})
			}
			continue
		}
		f.logChanges(b, changes)
		key := bookkeeping.BlockKey(blockID(to.Token))
		t := protocol.Txn{
			If:   append([]protocol.Cond{f.l.cond(), {Key: key}, f.grantCond(b.Shard)}, from.conds...),
			Then: append([]protocol.Op{{Put: key, Value: bookkeeping.Encode(to)}}, from.ops...),
		}
		n.Log.Info("machines move", "count", len(to.Machines), "from", b.Shard, "to", k.to, "term", f.l.term)
		f.txn([]string{k.block}, t)
	}
}
