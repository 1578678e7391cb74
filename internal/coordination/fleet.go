package coordination

import (
	"cmp"
	"errors"
	"fmt"
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

	orphans map[string]orphan                  // machines found, not in a block yet
	fresh   []*newBlock                        // blocks whose record is to be made
	coming  map[string]bool                    // machines of those
	writing map[string]bool                    // blocks
	waitTo  map[string]uint64                  // revision that must be in the cache before a block's next write
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

// orphan is a machine that was found and not asked for.
type orphan struct {
	addr, typ, zone string
	spot            bool
	atMS            int64
}

func newFleet(l *leadership) *fleet {
	return &fleet{
		l: l, bounds: boundsOf(l.n.Options), refusedAt: map[pool]refusal{},
		idleSince: windows{}, movableSince: windows{}, drainSince: windows{},
		claims: map[string]int{}, moves: map[moveKey][]*bookkeeping.Machine{}, deleted: map[string]time.Duration{}, cutOff: map[int]bool{}, unlisted: map[string]bool{}, addrs: map[string]string{}, old: map[string]bool{}, orphans: map[string]orphan{}, coming: map[string]bool{}, writing: map[string]bool{}, waitTo: map[string]uint64{}, changes: map[string][]change{},
	}
}

// alive reports whether callbacks still speak to the leader in office.
func (f *fleet) alive() bool { return f.l.n.lead == f.l }

func (f *fleet) tick() {
	now := f.l.n.now()
	f.types(now)
	if !f.gotTypes || f.l.n.cache.TypesVer == 0 {
		return
	}
	clear(f.changes)
	f.list(now)
	f.records()
	clear(f.moves)
	f.advanceMachines(now)
	f.handOver()
	f.send(now)
	f.deleteReturning(now)
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
	n.txn(protocol.Txn{
		If:   []protocol.Cond{f.l.cond(), {Key: bookkeeping.KeyTypes, Version: n.cache.TypesVer}},
		Then: []protocol.Op{{Put: bookkeeping.KeyTypes, Value: bookkeeping.Encode(f.catalogue)}},
	}, func(uint64, error) {
		n.later(retryPause, func() { f.typesWrite = false })
	})
}

// sameTypes reports whether the durable types match but for small moves of
// spot prices.
func (f *fleet) sameTypes() bool {
	b := f.l.n.cache
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

// onOrphanReport takes up a machine that reported and that no record names.
func (f *fleet) onOrphanReport(r *protocol.Report) {
	if _, m := f.l.n.cache.Machines.Find(r.Machine); m == nil || m.Block == "" {
		f.found(r.Machine, orphan{r.Address, r.Type, r.Zone, r.Spot, f.l.n.Clock.Wall().UnixMilli()})
	}
}

func (f *fleet) found(name string, s orphan) {
	if !f.coming[name] {
		f.orphans[name] = s
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
			p := pool{n.cache.TypeNames.Lookup(a.Type), n.cache.ZoneNames.Lookup(a.Zone), a.Spot}
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

// size is the sizer's cycle.
func (f *fleet) size(now time.Duration) {
	l := f.l
	n := l.n
	list := l.supplies()
	share := bookedShare(list, n.cache.Types)
	s := &sizing{
		types: n.cache.Types, zones: n.cache.ZoneNames.ID, fits: n.cache.Fits,
		refused: f.refused(now),
		demands: l.demands(), supply: list, patience: n.Options.RentPatience, slack: l.slack,
	}
	blocked := 0
	for _, d := range s.demands {
		blocked += d.count
	}
	list = append(list, f.unrecorded()...)
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
			a := f.ask(r)
			f.note(Decision{Action: "rent", Reason: "work is blocked", Blocked: blocked, Booked: share, Fleet: len(list), Count: r.count,
				Pool: fmt.Sprintf("%s/%s/spot=%t", a.Type, a.Zone, a.Spot)})
		}
		f.send(now)
	}
	f.left = left
	f.drain(now, s, spares, share)
	f.target(now, list)
}

// unrecorded lists rentals that are not in the records yet: they are supply as well.
func (f *fleet) unrecorded() (list []*supply) {
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
	return list
}

// ask begins a rental under a name that is never used for another.
func (f *fleet) ask(r rent) *ask {
	n := f.l.n
	f.asked++
	a := &ask{shard: r.shard, Rent: protocol.Rent{
		Request: fmt.Sprintf("r-%d-%d-%d", f.l.term, n.incarnation, f.asked),
		Type:    n.cache.TypeNames.Name(r.typ), Zone: n.cache.ZoneNames.Name(r.zone), Spot: r.spot, Count: r.count,
	}}
	f.asks = append(f.asks, a)
	return a
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
	old := n.cache.Target
	same := old.Term == rec.Term && old.Target == rec.Target && slices.Equal(old.Drain, rec.Drain)
	if same || f.targeting || now < f.targetAt || !n.budget.take(now, 1) {
		return
	}
	f.targeting = true
	n.txn(protocol.Txn{
		If:   []protocol.Cond{f.l.cond(), {Key: bookkeeping.KeyTarget, Version: n.cache.TargetVer}},
		Then: []protocol.Op{{Put: bookkeeping.KeyTarget, Value: bookkeeping.Encode(rec)}},
	}, func(uint64, error) {
		f.targeting = false
		f.targetAt = n.now() + 5*time.Second
	})
}

// promised is a machine that was asked for or rented and has no record yet.
func (f *fleet) promised(typ, zone string, spot bool, shard int) *supply {
	n := f.l.n
	i := n.cache.TypeID(typ)
	return newSupply(&n.cache.Types[i], pool{i, n.cache.ZoneNames.ID(zone), spot}, shard)
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
	Waiting int    `json:"waiting_jobs"`
	Target  int    `json:"target"`
}

// Autoscaler describes the sizer's state and, on the leader, its decisions.
func (n *Node) Autoscaler() (Status, []Decision) {
	s := Status{Node: n.Settings.Node, Leader: n.cache.Leader.Node, Term: n.cache.Term, Leading: n.lead != nil, Ready: n.ready, Target: n.cache.Target.Target}
	n.cache.Machines.All(func(_ int, m *bookkeeping.Machine) {
		if m.There() {
			s.Fleet++
		}
	})
	n.cache.Jobs.All(func(_ int, j *bookkeeping.Job) {
		switch {
		case j.Over():
		case j.Waits():
			s.Jobs++
			s.Waiting++
		default:
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
