package coordination

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
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

	listing bool
	listAt  time.Duration

	asks      []*ask
	asked     int
	refusedAt map[pool]refusal

	wanted  map[string]bookkeeping.MachineRecord // rented or found, record to be written
	writing map[string]bool                      // by machine, or by key of another record
	waitTo  map[string]uint64                    // revision that must be in the book before the next write

	deleting bool
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

func newFleet(l *leadership) *fleet {
	return &fleet{
		l: l, bounds: boundsOf(l.n.Options), refusedAt: map[pool]refusal{},
		idleSince: windows{}, movableSince: windows{}, drainSince: windows{},
		wanted: map[string]bookkeeping.MachineRecord{}, writing: map[string]bool{}, waitTo: map[string]uint64{},
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
	f.list(now)
	f.records()
	f.tidy(now)
	f.send(now)
	f.delete(now)
	if now >= f.cycleAt {
		f.cycleAt = now + f.cycle
		f.size(now)
	}
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
		for i := range list {
			c := &list[i]
			listed[c.Name] = true
			_, m := n.book.Machines.Find(c.Name)
			if m == nil || m.Version == 0 {
				at := n.Clock.Wall().UnixMilli() - int64(c.AgeS*1000)
				f.found(c.Name, c.Address, c.Type, c.Zone, c.Spot, at)
				continue
			}
			if c.Stage == protocol.MachineFailed && (m.Phase == bookkeeping.PhaseActive || m.Phase == bookkeeping.PhaseDrain) {
				f.phase(m, bookkeeping.PhaseReturning, "failed")
			} else if m.Addr == "" && c.Address != "" {
				rec := m.MachineRecord
				rec.Addr = c.Address
				f.write(m, rec, false)
			}
		}
		// A record of a machine that is gone is kept until no list can name it.
		keep := max(10*time.Minute, seconds(20*n.Settings.Cluster.Cloud.ListLagS))
		n.book.Machines.All(func(_ int, m *bookkeeping.Machine) {
			if m.Phase == bookkeeping.PhaseGone && m.Version != 0 && m.IntentVersion == 0 && !listed[m.Name] && f.l.age(m) > keep {
				f.forget(m)
			}
		})
	})
}

// stranger takes up a machine that reported and that no record names.
func (f *fleet) stranger(r *protocol.Report) {
	if _, m := f.l.n.book.Machines.Find(r.Machine); m == nil || m.Version == 0 {
		f.found(r.Machine, r.Address, r.Type, r.Zone, r.Spot, f.l.n.Clock.Wall().UnixMilli())
	}
}

func (f *fleet) found(name, addr, typ, zone string, spot bool, at int64) {
	if w, ok := f.wanted[name]; ok {
		if w.Addr == "" {
			w.Addr = addr
			f.wanted[name] = w
		}
		return
	}
	f.wanted[name] = bookkeeping.MachineRecord{
		Addr: addr, Type: typ, Zone: zone, Spot: spot, Shard: f.needy(), Phase: bookkeeping.PhaseActive, AtMS: at,
	}
}

// needy is the shard that gets machines nobody asked for: the home of most.
func (f *fleet) needy() int {
	count := make([]int, f.l.n.shards)
	for _, s := range f.l.n.book.Homes {
		if s >= 0 {
			count[s]++
		}
	}
	return slices.Index(count, slices.Max(count))
}

// records writes the records of machines that were rented or found.
func (f *fleet) records() {
	n := f.l.n
	var names []string
	for name := range f.wanted {
		if _, m := n.book.Machines.Find(name); m != nil && m.Version != 0 {
			delete(f.wanted, name)
		} else if !f.writing[name] && n.revision >= f.waitTo[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for len(names) > 0 {
		batch := names[:min(len(names), n.Settings.Cluster.State.TxnOps, 8)]
		if !n.budget.take(n.now(), len(batch)) {
			return
		}
		names = names[len(batch):]
		t := protocol.Txn{If: []protocol.Cond{f.l.cond()}}
		for _, name := range batch {
			rec := f.wanted[name]
			rec.Token = f.l.token()
			t.If = append(t.If, protocol.Cond{Key: bookkeeping.MachineKey(name)})
			t.Then = append(t.Then, protocol.Op{Put: bookkeeping.MachineKey(name), Value: bookkeeping.Encode(rec)})
			f.writing[name] = true
		}
		n.State.Txn(t, func(revision uint64, err error) {
			for _, name := range batch {
				delete(f.writing, name)
				if err == nil {
					f.waitTo[name] = revision
				}
			}
		})
	}
}

// write changes the leader's record of a machine. With empty demanded, it also
// depends on the holder's record naming no task: the two together make sure
// that a machine which goes back, or to another holder, runs nothing.
func (f *fleet) write(m *bookkeeping.Machine, rec bookkeeping.MachineRecord, empty bool) {
	n := f.l.n
	if f.writing[m.Name] || n.revision < f.waitTo[m.Name] || !n.budget.take(n.now(), 1) {
		return
	}
	f.writing[m.Name] = true
	t := protocol.Txn{
		If:   []protocol.Cond{f.l.cond(), {Key: bookkeeping.MachineKey(m.Name), Version: m.Version}},
		Then: []protocol.Op{{Put: bookkeeping.MachineKey(m.Name), Value: bookkeeping.Encode(rec)}},
	}
	if empty {
		t.If = append(t.If, protocol.Cond{Key: bookkeeping.IntentKey(m.Name), Version: m.IntentVersion})
	}
	n.State.Txn(t, func(revision uint64, err error) {
		delete(f.writing, m.Name)
		if err == nil {
			f.waitTo[m.Name] = revision
		}
	})
}

// phase moves a machine on. A return is recorded first and never undone.
func (f *fleet) phase(m *bookkeeping.Machine, phase, why string) {
	n := f.l.n
	if f.writing[m.Name] || n.revision < f.waitTo[m.Name] {
		return
	}
	rec := m.MachineRecord
	rec.Phase = phase
	if phase == bookkeeping.PhaseGone {
		rec.AtMS = n.Clock.Wall().UnixMilli()
	}
	n.Log.Info("machine", "name", m.Name, "type", m.Type, "zone", m.Zone, "spot", m.Spot, "phase", phase, "why", why, "term", f.l.term)
	f.write(m, rec, false)
}

func (f *fleet) forget(m *bookkeeping.Machine) {
	n := f.l.n
	if f.writing[m.Name] || !n.budget.take(n.now(), 1) {
		return
	}
	f.writing[m.Name] = true
	n.State.Txn(protocol.Txn{
		If:   []protocol.Cond{f.l.cond(), {Key: bookkeeping.MachineKey(m.Name), Version: m.Version}},
		Then: []protocol.Op{{Delete: bookkeeping.MachineKey(m.Name)}},
	}, func(uint64, error) {
		delete(f.writing, m.Name)
		delete(f.waitTo, m.Name)
	})
}

// tidy moves machines along: drained ones that are empty go back, silent,
// faulty and overdue ones are given up, leftovers of finished jobs are removed.
func (f *fleet) tidy(now time.Duration) {
	n := f.l.n
	waits := f.blockedSince != 0
	silence := n.Options.Silence(n.Settings.Cluster.Workers)
	report := n.Settings.Cluster.Workers.Report()
	n.book.Machines.All(func(_ int, m *bookkeeping.Machine) {
		if m.Version == 0 || m.Phase == bookkeeping.PhaseGone || m.Phase == bookkeeping.PhaseReturning {
			return
		}
		note, known := f.l.note(m)
		empty := len(m.Intents) == 0
		switch {
		case m.Phase == bookkeeping.PhaseDrain && empty:
			rec := m.MachineRecord
			rec.Phase = bookkeeping.PhaseReturning
			f.write(m, rec, true)
		case known && note.Seen && note.Silent > silence:
			// Lost or hanging: the deletion's answer settles its tasks.
			f.phase(m, bookkeeping.PhaseReturning, "silent")
		case known && !note.Seen && note.Tasks > 0 && note.Silent > silence:
			// It was up under an earlier holder and is not heard of any more. The
			// note itself must say that it has tasks: the records are newer, and a
			// machine that has just come up and got its first is not silent.
			f.phase(m, bookkeeping.PhaseReturning, "silent since its holder changed")
		case known && !note.Seen && empty && note.Tasks == 0 && waits && f.l.overdue(m) && note.Silent > 3*report:
			// A holder that has just been granted the machine has not seen it
			// yet either, so its own silence counts, not only the age.
			f.phase(m, bookkeeping.PhaseReturning, "never came up")
		case known && !note.Seen && f.l.age(m) > 10*time.Minute && note.Silent > silence:
			f.phase(m, bookkeeping.PhaseReturning, "never came up")
		case known && note.Faulty && m.Phase == bookkeeping.PhaseActive:
			f.phase(m, bookkeeping.PhaseDrain, "faulty")
		}
	})
	stray := n.book.StrayDone()
	for _, key := range slices.Sorted(maps.Keys(stray)) {
		version := stray[key]
		if f.writing[key] || n.revision < f.waitTo[key] || !n.budget.take(now, 1) {
			continue
		}
		f.writing[key] = true
		n.State.Txn(protocol.Txn{
			If:   []protocol.Cond{f.l.cond(), {Key: key, Version: version}},
			Then: []protocol.Op{{Delete: key}},
		}, func(revision uint64, err error) {
			delete(f.writing, key)
			if err == nil {
				f.waitTo[key] = revision
			}
		})
	}
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
				n.Log.Info("rented", "machines", names, "type", a.Type, "zone", a.Zone, "spot", a.Spot, "term", f.l.term)
				at := n.Clock.Wall().UnixMilli()
				for _, name := range names {
					f.wanted[name] = bookkeeping.MachineRecord{
						Type: a.Type, Zone: a.Zone, Spot: a.Spot, Shard: a.shard, Phase: bookkeeping.PhaseActive, AtMS: at,
					}
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

// refuse remembers that a pool is empty, for longer each time.
func (f *fleet) refuse(p pool) {
	r := f.refusedAt[p]
	r.pause = min(max(2*r.pause, 5*time.Second), 20*time.Second)
	r.until = f.l.n.now() + r.pause
	f.refusedAt[p] = r
}

// delete gives machines back whose return is recorded.
func (f *fleet) delete(now time.Duration) {
	n := f.l.n
	if f.deleting || now < f.deleteAt {
		return
	}
	var list []*bookkeeping.Machine
	n.book.Machines.All(func(_ int, m *bookkeeping.Machine) {
		if m.Version != 0 && m.Phase == bookkeeping.PhaseReturning && !f.writing[m.Name] && n.revision >= f.waitTo[m.Name] && len(list) < 100 {
			list = append(list, m)
		}
	})
	if len(list) == 0 {
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
			f.phase(m, bookkeeping.PhaseGone, "deleted")
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
		refused: func(p pool) bool { return now < f.refusedAt[p].until },
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
	for _, name := range slices.Sorted(maps.Keys(f.wanted)) {
		rec := f.wanted[name]
		if _, m := n.book.Machines.Find(name); m == nil || m.Version == 0 {
			list = append(list, f.promised(rec.Type, rec.Zone, rec.Spot, rec.Shard))
		}
	}
	s.supply = list
	s.max = n.Options.FleetMax - len(list)
	s.calls = max(0, n.Options.CallsPerTurn-len(f.asks))
	left := s.unmet()
	spares := l.spares(list)
	for _, d := range spares {
		if d.count -= s.spareFor(d, nil); d.count > 0 {
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
	f.drain(now, s, spares, len(left) > 0, share)
	f.move(left)
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
			rec.Drain = append(rec.Drain, x.m.Name)
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

// drain gives back slowly: one machine at a time, after the fleet has been idle
// enough for the whole window, and any blocked work ends it.
func (f *fleet) drain(now time.Duration, s *sizing, spares []demand, blocked bool, share float64) {
	n := f.l.n
	list := f.l.supplies()
	draining := 0
	for _, x := range list {
		if x.m.Phase != bookkeeping.PhaseDrain {
			continue
		}
		note, known := f.l.note(x.m)
		stuck := f.drainSince.held(x.m.Name, x.service, now, 30*time.Second) // its replicas find no place after all
		if (blocked || stuck) && !(known && (note.Faulty || note.Leaves)) {
			delete(f.drainSince, x.m.Name)
			rec := x.m.MachineRecord
			rec.Phase = bookkeeping.PhaseActive
			f.write(x.m, rec, false)
			continue
		}
		draining++
	}
	// A machine is idle enough by its own booked share: services keep the
	// fleet's share up while whole machines beside them stand empty.
	var idle []*supply
	for _, x := range list {
		low := !blocked && x.ready && x.taking && !x.service && x.booked(n.book.Types) < n.Options.GiveBelow
		if f.idleSince.held(x.m.Name, low, now, f.window(x)) &&
			!slices.ContainsFunc(spares, func(d demand) bool { return s.suits(x, d.job) && s.spareFor(d, x.m) < d.count }) {
			idle = append(idle, x)
		}
	}
	if draining > 0 || len(list) <= n.Options.FleetMin {
		return
	}
	if x := giveBack(idle, n.book.Types); x != nil {
		f.phase(x.m, bookkeeping.PhaseDrain, "idle")
		f.note(Decision{Action: "drain", Reason: "booked share is low", Booked: share, Fleet: len(list), Count: 1})
		return
	}
	// Then machines whose services fit beside others: the one that saves most
	// for each replica that has to move.
	var best *supply
	save := 0.0
	for _, x := range list {
		ok := !blocked && x.ready && x.taking && x.service && s.movable(x.m, func(r bookkeeping.TaskRef) *bookkeeping.Job { return n.book.Jobs.Get(r.Job) }, spares)
		if f.movableSince.held(x.m.Name, ok, now, f.give) {
			if v := n.book.Types[x.typ].Price / float64(len(x.m.Intents)); best == nil || v > save {
				best, save = x, v
			}
		}
	}
	if best != nil {
		clear(f.movableSince)
		f.phase(best.m, bookkeeping.PhaseDrain, "services fit elsewhere")
		f.note(Decision{Action: "drain", Reason: "services fit elsewhere", Booked: share, Fleet: len(list), Count: 1})
	}
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

// move hands idle machines of other homes to those that wait.
func (f *fleet) move(left []demand) {
	n := f.l.n
	needs := map[int]bool{}
	for _, d := range left {
		needs[d.shard] = true
	}
	if len(needs) == 0 {
		return
	}
	for _, d := range left {
		n.book.Machines.All(func(_ int, m *bookkeeping.Machine) {
			if d.count <= 0 || m.Version == 0 || m.Phase != bookkeeping.PhaseActive || len(m.Intents) > 0 || m.Shard == d.shard || needs[m.Shard] ||
				!n.book.Suits(d.job, m) || f.writing[m.Name] {
				return
			}
			d.count -= holds(&n.book.Types[m.TypeIdx], d.job)
			rec := m.MachineRecord
			rec.Shard, rec.Token = d.shard, f.l.token()
			n.Log.Info("machine moves", "name", m.Name, "from", m.Shard, "to", d.shard, "term", f.l.term)
			f.write(m, rec, true)
		})
	}
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
		if m.Version != 0 && m.Phase != bookkeeping.PhaseGone {
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
