package coordination

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"rockrun/internal/bookkeeping"
	"rockrun/internal/protocol"
)

// fleet carries out the sizer's decisions: it is the only part of the service
// that talks to the cloud, and only a leader has one.
type fleet struct {
	l *leadership
	bounds

	catalogue   protocol.Catalogue
	gotTypes    bool
	typesAsking bool
	typesAt     time.Duration
	typesWrite  bool

	listing  bool
	listAt   time.Duration
	failed   map[string]bool   // machines that the last list calls failed
	unlisted map[string]bool   // machines that it should have named and did not
	cutOff   map[int]bool      // zones most of whose machines are silent
	addrs    map[string]string // addresses that the records don't have yet
	old      map[string]bool   // machines that are gone and that no list can name any more

	asks      []*ask
	asked     int
	refusedAt map[pool]refusal

	strays  map[string]stray                   // machines found, not in a block yet
	fresh   []*newBlock                        // blocks whose record is to be made
	coming  map[string]bool                    // machines of those
	writing map[string]bool                    // blocks
	waitTo  map[string]uint64                  // revision that must be in the book before a block's next write
	changes map[string][]change                // by block, worked out anew every tick
	left    []demand                           // what the last cycle found no room for
	claims  map[string]int                     // machines that drain for the work of another home
	moves   map[moveKey][]*bookkeeping.Machine // empty ones that go to another home now

	deleting bool
	deleted  map[string]time.Duration // by the cloud, not yet in the records, and since when
	deleteAt time.Duration

	cycleAt      time.Duration
	blockedSince time.Duration
	idleSince    windows
	movableSince windows
	drainSince   windows
	history      []Decision

	targeting bool
	targetAt  time.Duration
}

// ask is a rental request whose answer is not known. It keeps its name until it
// has been answered, and no name is ever used for another.
type ask struct {
	protocol.Rent
	shard  int
	flying bool
	at     time.Duration
}

type refusal struct {
	until time.Duration
	pause time.Duration
}

// stray is a machine that was found and not asked for.
type stray struct {
	addr, typ, zone string
	spot            bool
	atMS            int64
}

// newBlock is a block that is not in the book yet. It keeps its name until it
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

func newFleet(l *leadership) *fleet {
	return &fleet{
		l: l, bounds: boundsOf(l.n.Options), refusedAt: map[pool]refusal{},
		idleSince: windows{}, movableSince: windows{}, drainSince: windows{},
		claims: map[string]int{}, moves: map[moveKey][]*bookkeeping.Machine{}, deleted: map[string]time.Duration{}, cutOff: map[int]bool{}, unlisted: map[string]bool{}, addrs: map[string]string{}, old: map[string]bool{}, strays: map[string]stray{}, coming: map[string]bool{}, writing: map[string]bool{}, waitTo: map[string]uint64{}, changes: map[string][]change{},
	}
}

// alive reports whether callbacks still speak to the leader in office.
func (f *fleet) alive() bool { return f.l.n.lead == f.l }

func (f *fleet) tick() {
	now := f.l.n.now()
	f.types(now)
	if !f.gotTypes || f.l.n.book.TypesVer == 0 {
		return
	}
	clear(f.changes)
	f.list(now)
	f.records()
	clear(f.moves)
	f.tidy(now)
	f.handOver()
	f.send(now)
	f.delete(now)
	if now >= f.cycleAt {
		f.cycleAt = now + f.cycle
		f.size(now)
	}
	f.flush(now)
}

// types reads what the cloud rents, and keeps it for the other controllers.
func (f *fleet) types(now time.Duration) {
	n := f.l.n
	if !f.typesAsking && now >= f.typesAt {
		f.typesAsking = true
		n.Cloud.Catalogue(func(c protocol.Catalogue, err error) {
			f.typesAsking = false
			f.typesAt = n.now() + n.jitter(time.Second)
			if err != nil || len(c.Types) == 0 {
				n.Log.Debug("machine types not read", "err", err)
				return
			}
			f.typesAt = n.now() + 30*time.Second
			f.catalogue, f.gotTypes = c, true
		})
	}
	if !f.gotTypes || f.typesWrite || f.sameTypes() {
		return
	}
	f.typesWrite = true
	n.budget.force(now, 1)
	n.State.Txn(protocol.Txn{
		If:   []protocol.Cond{f.l.cond(), {Key: bookkeeping.KeyTypes, Version: n.book.TypesVer}},
		Then: []protocol.Op{{Put: bookkeeping.KeyTypes, Value: bookkeeping.Encode(f.catalogue)}},
	}, func(uint64, error) {
		n.later(retryPause, func() { f.typesWrite = false })
	})
}

// sameTypes reports whether the durable types match but for small moves of
// spot prices.
func (f *fleet) sameTypes() bool {
	b := f.l.n.book
	if b.TypesVer == 0 {
		return false
	}
	for _, t := range f.catalogue.Types {
		i := b.TypeNames.Lookup(t.Name)
		if i < 0 {
			return false
		}
		o := b.Types[i]
		if d := o.SpotPrice - t.SpotPrice; d > 0.1*o.SpotPrice || d < -0.1*o.SpotPrice {
			return false
		}
		o.SpotPrice, o.Price = t.SpotPrice, t.Price
		if !slices.Equal(o.Zones, t.Zones) || o.CPUs != t.CPUs || o.GPUs != t.GPUs || o.MemoryGB != t.MemoryGB || o.BootS != t.BootS {
			return false
		}
	}
	return true
}

// list compares the cloud's list with the records: unexpected machines are
// taken up, failed ones are given back. Absence from a list proves nothing.
func (f *fleet) list(now time.Duration) {
	n := f.l.n
	if f.listing || now < f.listAt {
		return
	}
	f.listing = true
	n.Cloud.List(func(list []protocol.CloudMachine, err error) {
		f.listing = false
		f.listAt = n.now() + 3*time.Second
		if !f.alive() {
			return
		}
		if err != nil {
			n.Log.Debug("machines not listed", "err", err)
			f.listAt = n.now() + n.jitter(time.Second)
			return
		}
		listed := make(map[string]bool, len(list))
		failed := map[string]bool{}
		for i := range list {
			c := &list[i]
			listed[c.Name] = true
			_, m := n.book.Machines.Find(c.Name)
			if m == nil || m.Block == "" {
				at := n.Clock.Wall().UnixMilli() - int64(c.AgeS*1000)
				f.found(c.Name, stray{c.Address, c.Type, c.Zone, c.Spot, at})
				continue
			}
			if c.Stage == protocol.MachineFailed {
				failed[c.Name] = true
			}
			if m.Addr == "" && c.Address != "" {
				f.addrs[c.Name] = c.Address
			}
		}
		f.failed = failed
		// Machines are listed in the order in which they were made, and stay
		// listed until they are gone: a list that has a later one knows them.
		clear(f.unlisted)
		if len(list) > 0 {
			last := list[len(list)-1].Name
			n.book.Machines.All(func(_ int, m *bookkeeping.Machine) {
				if m.There() && m.Name < last && len(m.Name) == len(last) && !listed[m.Name] && f.l.age(m) > seconds(4*n.Settings.Cluster.Cloud.ListLagS) {
					f.unlisted[m.Name] = true
				}
			})
		}
		// A record of a machine that is gone is kept until no list can name it.
		keep := max(10*time.Minute, seconds(20*n.Settings.Cluster.Cloud.ListLagS))
		n.book.Machines.All(func(_ int, m *bookkeeping.Machine) {
			if m.Block != "" && m.Phase == bookkeeping.PhaseGone && !listed[m.Name] && time.Duration(n.Clock.Wall().UnixMilli()-m.GoneMS)*time.Millisecond > keep {
				f.old[m.Name] = true
			}
		})
	})
}

// stranger takes up a machine that reported and that no record names.
func (f *fleet) stranger(r *protocol.Report) {
	if _, m := f.l.n.book.Machines.Find(r.Machine); m == nil || m.Block == "" {
		f.found(r.Machine, stray{r.Address, r.Type, r.Zone, r.Spot, f.l.n.Clock.Wall().UnixMilli()})
	}
}

func (f *fleet) found(name string, s stray) {
	if !f.coming[name] {
		f.strays[name] = s
	}
}

// blockSize is how many machines with such names a block holds, so that its value
// stays within bounds whatever becomes of them: an entry with an address and the
// longest phase takes up to 70 bytes beside the name.
func (f *fleet) blockSize(name string) int {
	return max(1, (int(f.l.n.Settings.Cluster.State.ValueKB*1024)-250)/(70+len(name)))
}

// block makes a block of machines to be recorded.
func (f *fleet) block(rec bookkeeping.BlockRecord) {
	rec.Token = f.l.token()
	f.fresh = append(f.fresh, &newBlock{id: strconv.FormatUint(rec.Token>>counterShift, 36), rec: rec})
	for _, e := range rec.Machines {
		f.coming[e.Name] = true
	}
}

// records writes the blocks of machines that were rented or found.
func (f *fleet) records() {
	n := f.l.n
	now := n.now()
	// Machines that nobody asked for go to the home of the work that ends.
	var last stray
	rec := bookkeeping.BlockRecord{}
	for _, name := range slices.Sorted(maps.Keys(f.strays)) {
		s := f.strays[name]
		if _, m := n.book.Machines.Find(name); m != nil && m.Block != "" || f.coming[name] {
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
	clear(f.strays)
	f.fresh = slices.DeleteFunc(f.fresh, func(b *newBlock) bool {
		if n.book.Blocks[b.id] == nil {
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
		n.State.Txn(protocol.Txn{
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
	most := min(n.Settings.Cluster.State.TxnOps, 8)
	var ids []string
	for _, id := range slices.Sorted(maps.Keys(f.changes)) {
		if !f.writing[id] && n.revision >= f.waitTo[id] && n.book.Blocks[id] != nil {
			ids = append(ids, id)
		}
	}
	// Where many machines are lost at once there are far more changes than writes,
	// and what replicas wait for must not queue behind the tidying up.
	haste := map[string]int{}
	for _, id := range ids {
		for _, c := range f.changes[id] {
			haste[id] = max(haste[id], f.haste(c))
		}
	}
	slices.SortStableFunc(ids, func(a, b string) int { return cmp.Compare(haste[b], haste[a]) })
	for len(ids) > 0 {
		batch := ids[:min(most, len(ids))]
		ids = ids[len(batch):]
		for len(batch) > 0 && !n.budget.take(now, len(batch)) {
			batch = batch[:len(batch)/2]
		}
		if len(batch) == 0 {
			return
		}
		t := protocol.Txn{If: []protocol.Cond{f.l.cond()}}
		grants := map[int]bool{}
		for _, id := range batch {
			b := n.book.Blocks[id]
			rec := f.changed(b, f.changes[id])
			t.If = append(t.If, protocol.Cond{Key: bookkeeping.BlockKey(id), Version: b.Version})
			t.Then = append(t.Then, f.l.blockOp(id, rec))
			if slices.ContainsFunc(f.changes[id], func(c change) bool { return c.empty }) && !grants[b.Shard] {
				grants[b.Shard] = true
				t.If = append(t.If, f.grantCond(b.Shard))
			}
		}
		f.txn(batch, t)
	}
}

// haste is how much depends on a change being written soon: replicas that can't
// start elsewhere or wait for the machine, then other tasks, then only money.
func (f *fleet) haste(c change) int {
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
	return protocol.Cond{Key: bookkeeping.GrantKey(shard), Version: f.l.n.book.Grants[shard].Version}
}

// txn carries out a transaction that writes blocks.
func (f *fleet) txn(blocks []string, t protocol.Txn) {
	n := f.l.n
	for _, id := range blocks {
		f.writing[id] = true
	}
	n.State.Txn(t, func(revision uint64, err error) {
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
			n.Log.Info("machine", "name", e.Name, "type", b.Type, "zone", b.Zone, "spot", b.Spot, "phase", c.phase, "why", c.why, "term", f.l.term)
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
		b := n.book.Blocks[k.block]
		if b == nil || f.writing[k.block] || n.revision < f.waitTo[k.block] || !n.budget.take(n.now(), 2) {
			continue
		}
		to := bookkeeping.BlockRecord{Type: b.Type, Zone: b.Zone, Spot: b.Spot, Shard: k.to, Token: f.l.token(), AtMS: b.AtMS}
		changes := f.changes[k.block]
		for _, m := range f.moves[k] {
			to.Machines = append(to.Machines, bookkeeping.BlockMachine{Name: m.Name, Addr: m.Addr})
			changes = append(changes, change{m: m, forget: true})
		}
		from := f.changed(b, changes)
		delete(f.changes, k.block)
		key := bookkeeping.BlockKey(strconv.FormatUint(to.Token>>counterShift, 36))
		t := protocol.Txn{
			If:   []protocol.Cond{f.l.cond(), {Key: bookkeeping.BlockKey(k.block), Version: b.Version}, {Key: key}, f.grantCond(b.Shard)},
			Then: []protocol.Op{{Put: key, Value: bookkeeping.Encode(to)}, f.l.blockOp(k.block, from)},
		}
		n.Log.Info("machines move", "count", len(to.Machines), "from", b.Shard, "to", k.to, "term", f.l.term)
		f.txn([]string{k.block}, t)
	}
}

// tidy moves machines along: drained ones that are empty go back or to a home
// that waits, silent, deaf, faulty and overdue ones are given up.
func (f *fleet) tidy(now time.Duration) {
	n := f.l.n
	waits := f.blockedSince != 0
	silence := n.Options.Silence(n.Settings.Cluster.Workers)
	lease := n.Settings.Cluster.Workers.Lease()
	report := n.Settings.Cluster.Workers.Report()
	deaf, held := map[int]int{}, map[int]int{}
	quiet, up := map[int]int{}, map[int]int{}
	n.book.Machines.All(func(_ int, m *bookkeeping.Machine) {
		if m.There() {
			note, known := f.l.note(m)
			held[m.Shard]++
			if known && note.Deaf {
				deaf[m.Shard]++
			}
			// What its holder has only just taken over and not heard yet tells
			// nothing either way.
			switch {
			case !known || !note.Seen && note.Tasks == 0:
			case note.Silent > f.l.quiet():
				up[m.ZoneIdx]++
				quiet[m.ZoneIdx]++
			case note.Seen:
				up[m.ZoneIdx]++
			}
		}
	})
	for id, b := range n.book.Blocks {
		if len(b.Machines) == 0 && b.Token>>termShift < f.l.term {
			f.changes[id] = nil // it can go now
		}
	}
	addresses := 1
	clear(f.cutOff)
	for zone, count := range up {
		if count >= 4 && quiet[zone]*2 > count {
			f.cutOff[zone] = true
		}
	}
	n.book.Machines.All(func(_ int, m *bookkeeping.Machine) {
		if m.Phase == bookkeeping.PhaseGone {
			delete(f.l.lastSeen, m.Name)
		}
		if m.Block != "" && m.Phase == bookkeeping.PhaseGone && f.old[m.Name] {
			f.change(change{m: m, forget: true})
			return
		}
		if !m.There() || m.Phase == bookkeeping.PhaseReturning {
			return
		}
		note, known := f.l.note(m)
		empty := len(m.Intents) == 0
		switch {
		case m.Phase == bookkeeping.PhaseDrain && known && note.Empty != 0 && note.Empty == m.Drain:
			if to := f.wantedBy(m); to >= 0 && !note.Faulty && !note.Leaves {
				k := moveKey{m.Block, to}
				f.moves[k] = append(f.moves[k], m)
				return
			}
			f.change(change{m: m, phase: bookkeeping.PhaseReturning, why: "empty", empty: true})
		case f.unlisted[m.Name] && known && note.Silent > report:
			// Taken without a notice. The deletion costs nothing and settles it.
			f.phase(m, bookkeeping.PhaseReturning, "no longer listed")
		case f.failed[m.Name]:
			f.phase(m, bookkeeping.PhaseReturning, "failed")
		case known && f.cutOff[m.ZoneIdx] && (note.Seen || note.Tasks > 0) && note.Silent < 4*lease && (!f.l.serves(m) || note.Silent < lease-workerPatience/2):
			// Most of the zone is silent: it is cut off, and its machines are of
			// use again as soon as it is back, sooner than any rented there
			// instead. Replicas there run until their lease is nearly out, and
			// room elsewhere is made for them meanwhile; then they must be free to
			// start there at once.
		case known && note.Seen && note.Silent > silence:
			// Lost or hanging: the deletion's answer settles its tasks.
			f.phase(m, bookkeeping.PhaseReturning, "silent")
		case known && !note.Seen && note.Tasks > 0 && note.Silent > silence:
			// It was up under an earlier holder and is not heard of any more. The
			// note itself must say that it has tasks: the records are newer, and a
			// machine that has just come up and got its first is not silent.
			f.phase(m, bookkeeping.PhaseReturning, "silent since its holder changed")
		case known && note.Deaf && deaf[m.Shard] <= max(2, held[m.Shard]/2):
			// Were most of them deaf, it would be their holder that is mute.
			f.phase(m, bookkeeping.PhaseReturning, "hears nothing")
		case known && !note.Seen && empty && note.Tasks == 0 && waits && f.l.overdue(m) && note.Silent > 3*report:
			// A holder that has just been granted the machine has not seen it
			// yet either, so its own silence counts, not only the age.
			f.phase(m, bookkeeping.PhaseReturning, "never came up")
		case known && !note.Seen && f.l.age(m) > 10*time.Minute && note.Silent > silence:
			f.phase(m, bookkeeping.PhaseReturning, "never came up")
		case known && note.Faulty && m.Phase == bookkeeping.PhaseActive:
			f.phase(m, bookkeeping.PhaseDrain, "faulty")
		case m.Addr == "" && addresses > 0 && n.budget.level > n.budget.rate*0.9:
			// For whoever holds it next; nothing waits for it.
			if addr := cmp.Or(note.Addr, f.addrs[m.Name]); addr != "" {
				if !f.pending(m) && len(f.changes[m.Block]) == 0 {
					addresses-- // one block a tick; the others of the block come with it
				}
				f.change(change{m: m, addr: addr})
			}
		}
	})
}

// quiet is how long a machine that is well and can be heard says nothing at most,
// and a little more. One that does may have had a report lost; most of a zone's
// have not.
func (l *leadership) quiet() time.Duration {
	return l.n.Settings.Cluster.Workers.Report()*5/4 + 2*time.Second
}

// serves reports whether replicas may be on a machine.
func (l *leadership) serves(m *bookkeeping.Machine) bool {
	for ref := range m.Intents {
		if j := l.n.book.Jobs.Get(ref.Job); j.Standing() && !j.Over() {
			return true
		}
	}
	return false
}

// wantedBy is the home whose waiting work a machine of another suits, or -1.
func (f *fleet) wantedBy(m *bookkeeping.Machine) int {
	if to, claimed := f.claims[m.Name]; claimed {
		return to
	}
	for i := range f.left {
		d := &f.left[i]
		if d.shard != m.Shard && d.count > 0 && !d.job.Over() && f.l.n.book.Suits(d.job, m) {
			d.count -= holds(&f.l.n.book.Types[m.TypeIdx], d.job)
			return d.shard
		}
	}
	return -1
}

// send sends rental requests and repeats those that had no answer.
func (f *fleet) send(now time.Duration) {
	n := f.l.n
	for _, a := range f.asks {
		if a.flying || now < a.at {
			continue
		}
		a.flying = true
		n.Cloud.Rent(a.Rent, func(names []string, err error) {
			a.flying = false
			p := pool{n.book.TypeNames.Lookup(a.Type), n.book.ZoneNames.Lookup(a.Zone), a.Spot}
			switch {
			case err == nil:
				n.Log.Info("rented", "machines", len(names), "type", a.Type, "zone", a.Zone, "spot", a.Spot, "term", f.l.term)
				rec := bookkeeping.BlockRecord{Type: a.Type, Zone: a.Zone, Spot: a.Spot, Shard: a.shard, AtMS: n.Clock.Wall().UnixMilli()}
				for part := range slices.Chunk(names, f.blockSize(names[0])) { // at least one was rented
					rec.Machines = nil
					for _, name := range part {
						rec.Machines = append(rec.Machines, bookkeeping.BlockMachine{Name: name})
					}
					f.block(rec)
				}
				if len(names) < a.Count {
					f.refuse(p)
				} else {
					delete(f.refusedAt, p)
				}
				f.drop(a)
				if f.alive() {
					f.records()
				}
			case errors.Is(err, protocol.ErrNoCapacity):
				f.refuse(p)
				f.drop(a)
				f.cycleAt = 0 // the demand goes to the next pool at once
			case errors.Is(err, protocol.ErrUnknown):
				a.at = n.now() + n.jitter(500*time.Millisecond)
			default:
				n.Log.Debug("rental refused", "err", err)
				f.drop(a)
			}
		})
	}
}

func (f *fleet) drop(a *ask) {
	f.asks = slices.DeleteFunc(f.asks, func(b *ask) bool { return a == b })
}

// refused tells which pools are not to be asked: those that were empty a moment
// ago, and those in a zone from which nothing is heard.
func (f *fleet) refused(now time.Duration) func(pool) bool {
	return func(p pool) bool { return f.cutOff[p.zone] || now < f.refusedAt[p].until }
}

// refuse remembers that a pool is empty, for longer each time.
func (f *fleet) refuse(p pool) {
	r := f.refusedAt[p]
	r.pause = min(max(2*r.pause, 5*time.Second), 20*time.Second)
	r.until = f.l.n.now() + r.pause
	f.refusedAt[p] = r
}

// goneAfter is how long the record that a machine is gone waits for company
// where nobody waits for it.
const goneAfter = 4 * time.Second

// delete gives machines back whose return is recorded.
func (f *fleet) delete(now time.Duration) {
	n := f.l.n
	// What the cloud has deleted is recorded as gone, however often that takes.
	for name := range f.deleted {
		if _, m := n.book.Machines.Find(name); m == nil || m.Phase != bookkeeping.PhaseReturning {
			delete(f.deleted, name)
		} else if len(m.Intents) > 0 || now-f.deleted[name] > goneAfter {
			f.phase(m, bookkeeping.PhaseGone, "deleted")
		}
	}
	var list []*bookkeeping.Machine
	n.book.Machines.All(func(_ int, m *bookkeeping.Machine) {
		if m.Block != "" && m.Phase == bookkeeping.PhaseReturning && f.deleted[m.Name] == 0 && len(list) < 100 {
			list = append(list, m)
		}
	})
	if len(list) == 0 || f.deleting || now < f.deleteAt {
		return
	}
	names := make([]string, len(list))
	for i, m := range list {
		names[i] = m.Name
	}
	f.deleting = true
	n.Cloud.Delete(names, func(err error) {
		f.deleting = false
		f.deleteAt = n.now() + retryPause
		if !f.alive() {
			return
		}
		if err != nil {
			n.Log.Debug("machines not deleted", "err", err)
			f.deleteAt = n.now() + n.jitter(500*time.Millisecond)
			return
		}
		for _, m := range list {
			f.deleted[m.Name] = n.now()
		}
	})
}

// size is the sizer's cycle.
func (f *fleet) size(now time.Duration) {
	l := f.l
	n := l.n
	list := l.supplies()
	share := bookedShare(list, n.book.Types)
	s := &sizing{
		types: n.book.Types, zones: n.book.ZoneNames.ID, fits: n.book.Fits,
		refused: f.refused(now),
		demands: l.demands(), supply: list, patience: n.Options.RentPatience, slack: l.slack,
	}
	blocked := 0
	for _, d := range s.demands {
		blocked += d.count
	}
	// Rentals that are not in the records yet are supply as well.
	for _, a := range f.asks {
		for range a.Count {
			list = append(list, f.promised(a.Type, a.Zone, a.Spot, a.shard))
		}
	}
	for _, b := range f.fresh {
		for range b.rec.Machines {
			list = append(list, f.promised(b.rec.Type, b.rec.Zone, b.rec.Spot, b.rec.Shard))
		}
	}
	s.supply = list
	s.sole = l.sole()
	s.count = map[pool]int{}
	for _, x := range list {
		s.count[pool{x.typ, x.zone, x.spot}]++
	}
	s.max = n.Options.FleetMax - len(list)
	s.calls = max(0, n.Options.Calls(n.Settings.Cluster.Cloud)-len(f.asks))
	left := s.unmet()
	spares := l.spares(list)
	for _, d := range spares {
		if d = s.lacking(d); d.count > 0 {
			left = append(left, d)
		}
	}
	if held(len(left) > 0, &f.blockedSince, now, f.rent) {
		for _, r := range s.plan(left) {
			f.asked++
			a := &ask{shard: r.shard, Rent: protocol.Rent{
				Request: fmt.Sprintf("r-%d-%d-%d", l.term, n.incarnation, f.asked),
				Type:    n.book.TypeNames.Name(r.typ), Zone: n.book.ZoneNames.Name(r.zone), Spot: r.spot, Count: r.count,
			}}
			f.asks = append(f.asks, a)
			f.note(Decision{Action: "rent", Reason: "work is blocked", Blocked: blocked, Booked: share, Fleet: len(list), Count: r.count,
				Pool: fmt.Sprintf("%s/%s/spot=%t", a.Type, a.Zone, a.Spot)})
		}
		f.send(now)
	}
	f.left = left
	f.drain(now, s, spares, share)
	f.target(now, list)
}

// target stores the fleet's size with the term that set it and the machines
// that drain, so that the next leader carries on from there.
func (f *fleet) target(now time.Duration, list []*supply) {
	n := f.l.n
	rec := bookkeeping.TargetRecord{Term: f.l.term}
	for _, x := range list {
		switch {
		case x.m != nil && x.m.Phase == bookkeeping.PhaseDrain:
			if len(rec.Drain) < 50 { // a page of them is enough for whoever reads it
				rec.Drain = append(rec.Drain, x.m.Name)
			}
		default:
			rec.Target++
		}
	}
	old := n.book.Target
	same := old.Term == rec.Term && old.Target == rec.Target && slices.Equal(old.Drain, rec.Drain)
	if same || f.targeting || now < f.targetAt || !n.budget.take(now, 1) {
		return
	}
	f.targeting = true
	n.State.Txn(protocol.Txn{
		If:   []protocol.Cond{f.l.cond(), {Key: bookkeeping.KeyTarget, Version: n.book.TargetVer}},
		Then: []protocol.Op{{Put: bookkeeping.KeyTarget, Value: bookkeeping.Encode(rec)}},
	}, func(uint64, error) {
		f.targeting = false
		f.targetAt = n.now() + 5*time.Second
	})
}

// promised is a machine that was asked for or rented and has no record yet.
func (f *fleet) promised(typ, zone string, spot bool, shard int) *supply {
	n := f.l.n
	i := n.book.TypeID(typ)
	return newSupply(&n.book.Types[i], pool{i, n.book.ZoneNames.ID(zone), spot}, shard)
}

// drain gives back slowly: after the fleet has been idle enough for the whole
// window, one machine at a time for every thirty-two of the fleet, and work that
// is blocked in a home ends its drains. Idle machines of one home drain at once
// when another waits for their like; they go there once empty.
func (f *fleet) drain(now time.Duration, s *sizing, spares []demand, share float64) {
	n := f.l.n
	list := f.l.supplies()
	blocked := map[int]bool{}
	for _, d := range f.left {
		blocked[d.shard] = true
	}
	f.claim(list)
	draining := 0
	for _, x := range list {
		if x.m.Phase != bookkeeping.PhaseDrain {
			continue
		}
		note, known := f.l.note(x.m)
		stuck := f.drainSince.held(x.m.Name, x.service, now, 30*time.Second) // its replicas find no place after all
		if _, claimed := f.claims[x.m.Name]; claimed {
			continue
		}
		if (blocked[x.shard] || stuck) && !(known && (note.Faulty || note.Leaves)) && !f.pending(x.m) {
			delete(f.drainSince, x.m.Name)
			f.phase(x.m, bookkeeping.PhaseActive, "needed after all")
			continue
		}
		draining++
	}
	// A machine is idle enough by its own booked share: services keep the
	// fleet's share up while whole machines beside them stand empty.
	var idle []*supply
	for _, x := range list {
		low := !blocked[x.shard] && x.ready && x.taking && !x.service && x.booked(n.book.Types) < n.Options.GiveBelow
		if f.idleSince.held(x.m.Name, low, now, f.window(x)) || low && len(x.m.Intents) == 0 && f.wantedBy(x.m) >= 0 {
			idle = append(idle, x)
		}
	}
	most := 1 + len(list)/32
	rest := newSpareRoom(s, spares)
	fleet := len(list)
	giveBack(idle, n.book.Types)
	for _, x := range idle {
		if draining >= most || fleet <= n.Options.FleetMin {
			return
		}
		if f.pending(x.m) || !rest.take(x) {
			continue
		}
		draining++
		fleet--
		f.phase(x.m, bookkeeping.PhaseDrain, "idle")
		f.note(Decision{Action: "drain", Reason: "booked share is low", Booked: share, Fleet: len(list), Count: 1})
	}
	if draining > 0 || fleet <= n.Options.FleetMin {
		return
	}
	// Then machines whose services fit beside others: the one that saves most
	// for each replica that has to move. Looking at one costs a look at all, so
	// only the few with the fewest replicas are looked at.
	var few []*supply
	for _, x := range list {
		if !blocked[x.shard] && x.ready && x.taking && x.service && f.l.mayMove(x.m) {
			few = append(few, x)
		}
	}
	slices.SortStableFunc(few, func(a, b *supply) int { return cmp.Compare(len(a.m.Intents), len(b.m.Intents)) })
	few = few[:min(len(few), maxMovable)]
	var best *supply
	save := 0.0
	for _, x := range few {
		ok := s.movable(x.m, func(r bookkeeping.TaskRef) *bookkeeping.Job { return n.book.Jobs.Get(r.Job) }, spares)
		if f.movableSince.held(x.m.Name, ok, now, f.give) {
			if v := n.book.Types[x.typ].Price / float64(len(x.m.Intents)); best == nil || v > save {
				best, save = x, v
			}
		}
	}
	for name := range f.movableSince {
		if !slices.ContainsFunc(few, func(x *supply) bool { return x.m.Name == name }) {
			delete(f.movableSince, name)
		}
	}
	if best != nil {
		clear(f.movableSince)
		f.phase(best.m, bookkeeping.PhaseDrain, "services fit elsewhere")
		f.note(Decision{Action: "drain", Reason: "services fit elsewhere", Booked: share, Fleet: len(list), Count: 1})
	}
}

// maxMovable bounds how many machines are examined in a cycle.
const maxMovable = 32

// claim drains machines of one home for work of a higher rank that waits in
// another and for which no machine is to be had: those it suits, without
// services, the least booked first. Within a home such work stops other work;
// among homes the other work is let end, and nothing new begins there.
func (f *fleet) claim(list []*supply) {
	n := f.l.n
	s := &sizing{types: n.book.Types, fits: n.book.Fits}
	var rooms []*supply // what claimed machines will offer, filled as the demands are gone through
	room := func(m *bookkeeping.Machine, shard int) *supply {
		x := newSupply(&n.book.Types[m.TypeIdx], pool{m.TypeIdx, m.ZoneIdx, m.Spot}, shard)
		x.m = m
		return x
	}
	// What replicas wait for is taken now, what is kept for those to come may end.
	urgent := map[*bookkeeping.Machine]bool{}
	fill := func(x *supply, d *demand) {
		before := d.count
		s.fill(x, d)
		if d.count < before && (!d.spare || d.lost > 0) {
			urgent[x.m] = true
		}
	}
	var begin []*bookkeeping.Machine // drains to be written
	defer func() {
		for _, x := range rooms {
			if slices.Contains(begin, x.m) {
				f.change(change{m: x.m, phase: bookkeeping.PhaseDrain, why: "claimed by work of a higher rank", yield: urgent[x.m]})
			} else if urgent[x.m] && x.m.Phase == bookkeeping.PhaseDrain && !x.m.Yield && !f.pending(x.m) {
				f.change(change{m: x.m, phase: bookkeeping.PhaseDrain, why: "replicas wait for it", stamp: x.m.Drain, yield: true})
			}
		}
	}()
	for _, name := range slices.Sorted(maps.Keys(f.claims)) {
		_, m := n.book.Machines.Find(name)
		if m == nil || m.Phase == bookkeeping.PhaseReturning || !m.There() || m.Shard == f.claims[name] {
			delete(f.claims, name)
			continue
		}
		rooms = append(rooms, room(m, f.claims[name]))
		if m.Phase == bookkeeping.PhaseActive && !f.pending(m) {
			begin = append(begin, m) // not written yet
		}
	}
	var sorted []*supply
	for i := range f.left {
		d := f.left[i]
		if !d.job.Standing() || f.asking(d) {
			continue
		}
		d.zones = slices.Clone(d.zones)
		for _, x := range rooms {
			fill(x, &d)
		}
		if d.count > 0 && sorted == nil {
			sorted = slices.SortedStableFunc(slices.Values(list), func(a, b *supply) int {
				return cmp.Compare(a.booked(n.book.Types), b.booked(n.book.Types))
			})
		}
		for _, x := range sorted {
			if d.count <= 0 {
				break
			}
			if _, claimed := f.claims[x.m.Name]; claimed || x.shard == d.shard || x.service || !x.ready || !x.taking || d.zone(x.zone) < 1 ||
				!n.book.Suits(d.job, x.m) || f.pending(x.m) || f.l.outranks(x.m, d.job) {
				continue
			}
			f.claims[x.m.Name] = d.shard
			n.Log.Info("machine claimed", "name", x.m.Name, "from", x.shard, "for", d.shard, "term", f.l.term)
			begin = append(begin, x.m)
			rooms = append(rooms, room(x.m, d.shard))
			fill(rooms[len(rooms)-1], &d)
		}
	}
}

// asking reports whether machines that suit a demand can still be rented.
func (f *fleet) asking(d demand) bool {
	s := &sizing{types: f.l.n.book.Types, zones: f.l.n.book.ZoneNames.ID, fits: f.l.n.book.Fits,
		refused: f.refused(f.l.n.now())}
	_, _, ok := s.cheapest(d, nil)
	return ok
}

// outranks reports whether anything on a machine is of the job's rank or above.
func (l *leadership) outranks(m *bookkeeping.Machine, j *bookkeeping.Job) bool {
	for ref := range m.Intents {
		if o := l.n.book.Jobs.Get(ref.Job); !o.Over() && o.Rank() <= j.Rank() {
			return true
		}
	}
	return false
}

// window is how long a machine must be idle before it goes: the give-back
// window for the cheapest CPUs there are, less for dearer ones, so that waiting
// for work costs the same whatever waits.
func (f *fleet) window(x *supply) time.Duration {
	n := f.l.n
	cheapest := math.Inf(1)
	for i := range n.book.Types {
		if t := &n.book.Types[i]; t.CPUs > 0 {
			cheapest = min(cheapest, t.Price/t.CPUs, t.SpotPrice/t.CPUs)
		}
	}
	t := &n.book.Types[x.typ]
	hourly := price(t, x.spot)
	if hourly <= 0 || t.CPUs <= 0 {
		return f.give
	}
	return time.Duration(float64(f.give) * min(1, cheapest*t.CPUs/hourly))
}

const historyLen = 200

func (f *fleet) note(d Decision) {
	d.Term, d.AtMS = f.l.term, f.l.n.Clock.Wall().UnixMilli()
	f.l.n.Log.Info("sizer", "action", d.Action, "reason", d.Reason, "pool", d.Pool, "count", d.Count,
		"blocked", d.Blocked, "booked", d.Booked, "fleet", d.Fleet, "term", d.Term)
	f.history = append(f.history, d)
	if over := len(f.history) - historyLen; over > 0 {
		f.history = slices.Delete(f.history, 0, over)
	}
}

// Status is what an operator sees of the sizer.
type Status struct {
	Node    string `json:"node"`
	Leader  string `json:"leader"`
	Term    uint64 `json:"term"`
	Leading bool   `json:"leading"`
	Ready   bool   `json:"ready"`
	Fleet   int    `json:"fleet"`
	Jobs    int    `json:"jobs"`
	Blocked int    `json:"blocked_tasks"`
	Target  int    `json:"target"`
}

// Autoscaler describes the sizer's state and, on the leader, its decisions.
func (n *Node) Autoscaler() (Status, []Decision) {
	s := Status{Node: n.Settings.Node, Leader: n.book.Leader.Node, Term: n.book.Term, Leading: n.lead != nil, Ready: n.ready, Target: n.book.Target.Target}
	n.book.Machines.All(func(_ int, m *bookkeeping.Machine) {
		if m.There() {
			s.Fleet++
		}
	})
	n.book.Jobs.All(func(_ int, j *bookkeeping.Job) {
		if !j.Over() {
			s.Jobs++
			s.Blocked += j.Open()
		}
	})
	if n.lead == nil {
		return s, []Decision{}
	}
	h := slices.Clone(n.lead.fleet.history)
	slices.SortFunc(h, func(a, b Decision) int { return cmp.Compare(b.AtMS, a.AtMS) })
	return s, h
}
