package coordination

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"rockrun/internal/bookkeeping"
	"rockrun/internal/config"
	"rockrun/internal/protocol"
)

// pool is a kind of machine in a zone, spot or ordinary.
type pool struct {
	typ, zone int
	spot      bool
}

// demand is a number of equal tasks of one home that wait for a machine.
type demand struct {
	job   *bookkeeping.Job
	shard int
	count int
	zones []int // how many more may be in a zone, by index; nil: no bound
	spare bool  // room to be kept, for work that has not come yet
	lost  int   // of those, replicas in a zone that is cut off: their leases run out
}

// zone is how many of the tasks may go to a zone.
func (d *demand) zone(z int) int {
	if d.zones == nil {
		return d.count
	}
	if z >= len(d.zones) { // a zone that was not known when they were counted
		if d.job.OneZone {
			return 0
		}
		return d.count
	}
	return min(d.count, d.zones[z])
}

// take takes off one task that goes to a zone.
func (d *demand) take(z int) {
	d.count--
	if z < len(d.zones) {
		d.zones[z]--
	}
}

// supply is a machine as the sizer counts it: what it will offer to new work.
type supply struct {
	m        *bookkeeping.Machine
	typ      int
	zone     int
	spot     bool
	shard    int
	free     room
	firm     room // what is left beside services: other work gives way to them
	service  bool
	ready    bool // up and under its holder's grant
	taking   bool // may take new tasks
	doubtful bool // silent, or the cloud takes it

	// For work that ends, a machine is supply over time as well, counted in
	// machine-seconds from now on.
	bootLeft float64 // until it is up
	fixed    float64 // share that services hold
	busy     float64 // machine-seconds that arrays have yet to use
}

// share is the part of a machine of a type that one task takes.
func share(t *protocol.MachineType, j *bookkeeping.Job) float64 {
	if n := holds(t, j); n > 0 {
		return 1 / float64(n)
	}
	return 1
}

// book adds a task to what a machine is busy with, of which the given part is
// still to run.
func (x *supply) book(t *protocol.MachineType, j *bookkeeping.Job, part float64) {
	if j.Standing() {
		x.fixed += share(t, j)
	} else {
		x.busy += share(t, j) * runS(j) * part
	}
}

// runS is how long a task of a job is expected to run.
func runS(j *bookkeeping.Job) float64 { return max(j.EstimateS, 1) }

// rent is a decision to rent machines.
type rent struct {
	pool
	shard int
	count int
}

// sizing is all that the sizer's decision depends on.
type sizing struct {
	types   []protocol.MachineType
	zones   func(name string) int
	refused func(p pool) bool
	fits    func(j *bookkeeping.Job, typ int) bool
	demands []demand // in the order in which they are served
	supply  []*supply
	count   map[pool]int  // machines there are, by pool
	sole    map[int]bool  // types that are the only ones for some work
	alike   map[shape]int // services of a shape that wait, all together
	max     int           // machines that may still be rented
	calls   int
	// patience is how many boot times of a new machine work waits for those
	// that are there.
	patience float64
	slack    func(j *bookkeeping.Job) float64 // seconds until a task must start to be in time
}

// unmet fills the supply with the demand and returns what is left over. Booting
// machines count as supply.
func (s *sizing) unmet() []demand {
	var left []demand
	for _, d := range s.demands {
		d.zones = slices.Clone(d.zones)
		s.gatherIn(&d)
		for _, x := range s.supply {
			if d.count == 0 {
				break
			}
			s.fill(x, &d)
		}
		if d.count > 0 {
			s.turnover(&d)
		}
		if d.count > 0 {
			left = append(left, d)
		}
	}
	return left
}

// gatherIn settles on a zone for tasks that must share one and of which none has
// been placed yet: the one with most room, where that is worth waiting for more.
func (s *sizing) gatherIn(d *demand) {
	if !d.job.OneZone || d.zones != nil {
		return
	}
	by := map[int]int{}
	best := -1
	for _, x := range s.supply {
		by[x.zone] += s.roomOn(x, *d)
		if best < 0 || by[x.zone] > by[best] || by[x.zone] == by[best] && x.zone < best {
			best = x.zone
		}
	}
	if best >= 0 && by[best]*4 >= d.count {
		d.only(best)
	}
}

// only lets the tasks of a demand go to no other zone.
func (d *demand) only(zone int) {
	d.zones = make([]int, max(zone+1, len(d.zones)))
	d.zones[zone] = d.count
}

// turnover takes off the demand what machines that are there will have served
// by the time a new one could start on it: renting for that would only add
// machines that come up to an empty queue.
func (s *sizing) turnover(d *demand) {
	if d.job.Kind != protocol.KindArray {
		return
	}
	p, _, ok := s.cheapest(*d, nil)
	if !ok {
		return
	}
	boot := s.types[p.typ].BootS
	horizon := boot * s.patience
	if s.slack != nil {
		horizon = min(horizon, 0.6*max(boot, s.slack(d.job)))
	}
	part := 0.0 // of a task that a machine has time for beyond whole ones: few have time for just whole ones
	for _, x := range s.supply {
		// Beside the services there must be room for one: a machine that always has
		// a replica on it never serves a task that takes all of it.
		if !x.taking || x.shard != d.shard || d.zone(x.zone) < 1 || !s.suits(x, d.job) || !x.firm.fits(d.job) {
			continue
		}
		each := share(&s.types[x.typ], d.job) * runS(d.job)
		time := (horizon-x.bootLeft)*(1-x.fixed) - x.busy
		if time <= 0 {
			continue
		}
		part += time / each
		n := min(int(part), d.count)
		part -= float64(n)
		x.busy += min(time, float64(d.count)*each)
		d.count -= n
		if d.count == 0 {
			return
		}
	}
}

func (s *sizing) takes(x *supply, j *bookkeeping.Job) bool {
	r := x.free
	if j.Standing() {
		r = x.firm
	}
	return r.fits(j) && s.suits(x, j)
}

func (s *sizing) suits(x *supply, j *bookkeeping.Job) bool {
	return (!x.spot || j.Spot) && (j.ZoneIdx < 0 || j.ZoneIdx == x.zone) && s.fits(j, x.typ)
}

// sole finds the types that are the only ones which some unfinished work fits.
func (l *leadership) sole() map[int]bool {
	b := l.n.book
	out := map[int]bool{}
	b.Jobs.All(func(_ int, j *bookkeeping.Job) {
		if j.Over() {
			return
		}
		only, n := 0, 0
		for typ := range b.Types {
			if b.Fits(j, typ) {
				only = typ
				n++
			}
		}
		if n == 1 {
			out[only] = true
		}
	})
	return out
}

// plan rents the cheapest machines for the unmet demand: for every job the pool
// in which a task costs least once the machine is filled as far as the job fills
// it. What a machine has left over is used by the jobs that follow, and machines
// of one pool are asked for together.
func (s *sizing) plan(left []demand) []rent {
	var rents []rent
	var planned []*supply
	s.alike = map[shape]int{}
	for _, d := range left {
		if d.job.Standing() {
			s.alike[shapeOf(d)] += d.count
		}
	}
	for _, d := range left {
		d.zones = slices.Clone(d.zones)
		for _, x := range planned {
			s.fill(x, &d)
		}
		for d.count > 0 && s.max > 0 {
			p, per, ok := s.cheapest(d, rents)
			if !ok {
				break
			}
			i := slices.IndexFunc(rents, func(r rent) bool { return r.pool == p && r.shard == d.shard })
			if i < 0 {
				if len(rents) >= s.calls {
					break
				}
				i = len(rents)
				rents = append(rents, rent{pool: p, shard: d.shard})
			}
			// Whole machines first; the rest may be cheaper elsewhere.
			count := min(max(d.zone(p.zone)/per, 1), s.max, 50-rents[i].count)
			if count <= 0 {
				break
			}
			rents[i].count += count
			s.max -= count
			if d.job.OneZone && d.zones == nil {
				d.only(p.zone)
			}
			for range count {
				x := newSupply(&s.types[p.typ], p, d.shard)
				planned = append(planned, x)
				s.fill(x, &d)
			}
		}
	}
	return rents
}

// newSupply is a machine that is not there yet.
func newSupply(t *protocol.MachineType, p pool, shard int) *supply {
	r := room{t.CPUs, t.GPUs, t.MemoryGB}
	return &supply{typ: p.typ, zone: p.zone, spot: p.spot, shard: shard, taking: true, free: r, firm: r, bootLeft: t.BootS}
}

// fill gives a machine as much of a demand as it takes.
func (s *sizing) fill(x *supply, d *demand) {
	for x.taking && x.shard == d.shard && d.zone(x.zone) > 0 && s.takes(x, d.job) {
		x.free.take(d.job)
		if d.job.Standing() {
			x.firm.take(d.job)
		}
		x.book(&s.types[x.typ], d.job, 1)
		d.take(x.zone)
	}
}

// price is what a machine of a type costs an hour.
func price(t *protocol.MachineType, spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.Price
}

// cheapest is the pool in which a task of a demand costs least, and how many a
// machine there holds. Of equal ones it is the one that is asked for already,
// then the one with the larger machines, which need fewer reports and share
// images, then the zone with the fewest machines, so that no zone holds too much.
func (s *sizing) cheapest(d demand, rents []rent) (best pool, per int, ok bool) {
	bestCost := math.Inf(1)
	bestTie := 0
	for typ := range s.types {
		t := &s.types[typ]
		if !s.fits(d.job, typ) {
			continue
		}
		n := holds(t, d.job)
		if n < 1 {
			continue
		}
		for _, zone := range t.Zones {
			z := s.zones(zone)
			if d.job.ZoneIdx >= 0 && d.job.ZoneIdx != z || d.zone(z) < 1 {
				continue
			}
			for _, spot := range []bool{true, false} {
				p := pool{typ, z, spot}
				if spot && !d.job.Spot || s.refused(p) {
					continue
				}
				// A machine far larger than what waits is paid for idle.
				cost := price(t, spot) / float64(min(n, max(d.zone(z), s.alike[shapeOf(d)])))
				if d.job.Standing() {
					cost *= 1 + 0.1/float64(n) // one with room for many is likelier to have the next one's image
				}
				if s.sole[typ] && !d.spare {
					cost *= 1.3 // other work has no other machines
				}
				tie := s.count[p] - 1000*n
				if slices.ContainsFunc(rents, func(r rent) bool { return r.pool == p && r.shard == d.shard && r.count < 50 }) {
					tie -= 1_000_000
				}
				if cost < bestCost*(1-1e-9) || cost <= bestCost*(1+1e-9) && tie < bestTie {
					best, per, bestCost, bestTie, ok = p, n, cost, tie, true
				}
			}
		}
	}
	return best, per, ok
}

// holds returns how many tasks of a job a machine of a type has room for.
func holds(t *protocol.MachineType, j *bookkeeping.Job) int {
	n := math.Inf(1)
	for _, q := range [][2]float64{{t.CPUs, j.CPUs}, {t.GPUs, j.GPUs}, {t.MemoryGB, j.MemoryGB}} {
		if q[1] > 0 {
			n = min(n, math.Floor(q[0]/q[1]+1e-6))
		}
	}
	if math.IsInf(n, 1) {
		return 0
	}
	return int(n)
}

// spareFor returns for how many more replicas of a service its home has room.
func (s *sizing) spareFor(d demand) int {
	n := 0
	for _, x := range s.supply {
		n += s.roomOn(x, d)
	}
	return n
}

// lacking takes off a demand what there is room for.
func (s *sizing) lacking(d demand) demand {
	d.zones = slices.Clone(d.zones)
	for _, x := range s.supply {
		for range min(s.roomOn(x, d), d.zone(x.zone)) {
			d.take(x.zone)
		}
	}
	return d
}

// roomOn returns for how many more replicas of a service a machine has room.
func (s *sizing) roomOn(x *supply, d demand) int {
	if !x.taking || x.shard != d.shard || !s.suits(x, d.job) {
		return 0
	}
	n := 0
	for r := x.firm; r.fits(d.job); n++ {
		r.take(d.job)
	}
	return n
}

// spareRoom is the room that homes have beyond what is kept for services.
type spareRoom struct {
	s      *sizing
	spares []demand
	over   []int // by spare
}

func newSpareRoom(s *sizing, spares []demand) *spareRoom {
	r := &spareRoom{s: s, spares: spares}
	for _, d := range spares {
		r.over = append(r.over, s.spareFor(d)-d.count)
	}
	return r
}

// take takes a machine's room off if the spare room can do without it.
func (r *spareRoom) take(x *supply) bool {
	for i, d := range r.spares {
		if n := r.s.roomOn(x, d); n > 0 && n > r.over[i] {
			return false
		}
	}
	for i, d := range r.spares {
		r.over[i] -= r.s.roomOn(x, d)
	}
	return true
}

// mayMove reports whether everything on a machine could be moved, room aside.
func (l *leadership) mayMove(m *bookkeeping.Machine) bool {
	for ref := range m.Intents {
		j := l.n.book.Jobs.Get(ref.Job)
		if !j.Over() && (!j.Standing() || j.OneZone || j.Spread && j.Tasks > 1) {
			return false
		}
	}
	return true
}

// movable reports whether everything on a machine that does not end by itself
// finds room on others, with the spare room that is kept still there.
func (s *sizing) movable(m *bookkeeping.Machine, jobs func(bookkeeping.TaskRef) *bookkeeping.Job, spares []demand) bool {
	var rest []*supply
	for _, x := range s.supply {
		if x.taking && x.m != nil && x.m != m && x.ready && x.shard == m.Shard {
			c := *x
			rest = append(rest, &c)
		}
	}
	after := &sizing{types: s.types, fits: s.fits, supply: rest}
	for _, ref := range refs(m.Intents) {
		j := jobs(ref)
		if j.Over() {
			continue
		}
		d := demand{job: j, shard: m.Shard, count: 1}
		for _, x := range rest {
			after.fill(x, &d)
		}
		if d.count > 0 {
			return false
		}
	}
	return !slices.ContainsFunc(spares, func(d demand) bool { return d.shard == m.Shard && after.spareFor(d) < d.count })
}

// spares lists the services whose next replicas must find room at once: one
// entry for every shape of running service, with the number of replicas: some at
// least, and as many as are likely to come while a machine boots.
// Those on machines that have fallen silent or that the cloud takes come on top,
// so that room is on its way before they are known to be lost.
func (l *leadership) spares(list []*supply) []demand {
	n := l.n
	var out []demand
	nowMS := n.Clock.Wall().UnixMilli()
	arrived := map[*bookkeeping.Job]*[arrivalBins]int{}
	var bins []*[arrivalBins]int
	n.book.Jobs.All(func(_ int, j *bookkeeping.Job) {
		if !j.Over() && j.Standing() && j.Home >= 0 {
			out = append(out, demand{job: j, shard: j.Home, count: 1})
		}
	})
	slices.SortFunc(out, func(a, b demand) int { return cmp.Compare(a.job.ID, b.job.ID) })
	shapes := gather(out)
	for i := range shapes {
		b := &[arrivalBins]int{}
		bins = append(bins, b)
		arrived[shapes[i].job] = b
	}
	at := map[shape]*[arrivalBins]int{}
	for i := range shapes {
		at[shapeOf(shapes[i])] = bins[i]
	}
	for _, d := range out {
		if age := (nowMS - d.job.AtMS) / arrivalBin.Milliseconds(); age >= 0 && age < arrivalBins {
			at[shapeOf(d)][age] += d.job.Tasks
		}
	}
	for i := range shapes {
		d := &shapes[i]
		d.count = max(min(d.count, n.Options.ServiceSpare), l.coming(d.job, bins[i]))
	}
	for _, x := range list {
		if !x.doubtful {
			continue
		}
		for _, ref := range refs(x.m.Intents) {
			if j := n.book.Jobs.Get(ref.Job); !j.Over() && j.Standing() && j.Home >= 0 {
				d := demand{job: j, shard: j.Home, count: 1}
				if l.fleet.cutOff[x.zone] {
					d.lost = 1
				}
				shapes = append(shapes, d)
			}
		}
	}
	out = gather(shapes)
	for i := range out {
		// Services that are spread need their room in more than one zone.
		out[i].spare = true
		if d := &out[i]; d.job.Spread && d.count > 1 {
			d.zones = make([]int, n.book.ZoneNames.Len())
			for z := range d.zones {
				d.zones[z] = (d.count + 1) / 2
			}
		}
	}
	return out
}

// Arrivals are counted in bins; the fullest quarter of them is left out, so that
// the wave in which a cluster is filled for the first time is not taken for a
// rate.
const (
	arrivalBin  = 10 * time.Second
	arrivalBins = 12
)

// coming is how many replicas of a service's shape are likely to come while a
// machine boots that could take them.
func (l *leadership) coming(j *bookkeeping.Job, bins *[arrivalBins]int) int {
	b := l.n.book
	boot := 0.0
	for typ := range b.Types {
		if b.Fits(j, typ) && (boot == 0 || b.Types[typ].BootS < boot) {
			boot = b.Types[typ].BootS
		}
	}
	sum := 0
	for _, c := range slices.Sorted(slices.Values(bins[:]))[:arrivalBins*3/4] {
		sum += c
	}
	rate := float64(sum) / (arrivalBin.Seconds() * arrivalBins * 3 / 4)
	expect := rate * boot * 2
	return int(math.Ceil(expect + 2*math.Sqrt(expect*float64(max(j.Tasks, 1)))))
}

// slack is how many seconds are left until a task of a job must start if the job
// is to meet its deadline.
func (l *leadership) slack(j *bookkeeping.Job) float64 {
	if j.DeadlineS <= 0 {
		return math.Inf(1)
	}
	return j.DeadlineS - runS(j) - float64(l.n.Clock.Wall().UnixMilli()-j.AtMS)/1000
}

// shape is what makes demands alike.
type shape struct {
	shard, zone        int
	spot, spread       bool
	cpus, gpus, memory float64
	types              string
}

func shapeOf(d demand) shape {
	j := d.job
	return shape{d.shard, j.ZoneIdx, j.Spot, j.Spread && j.Tasks > 1, j.CPUs, j.GPUs, j.MemoryGB, strings.Join(j.Types, " ")}
}

// gather joins equal jobs of a home, in the place of the first.
func gather(list []demand) []demand {
	at := map[shape]int{}
	var out []demand
	for _, d := range list {
		k := shapeOf(d)
		if i, ok := at[k]; ok {
			out[i].count += d.count
			out[i].lost += d.lost
			continue
		}
		at[k] = len(out)
		out = append(out, d)
	}
	return out
}

// booked is the booked part of a machine's CPUs.
func (x *supply) booked(types []protocol.MachineType) float64 {
	return 1 - x.free.cpus/max(types[x.typ].CPUs, 1e-9)
}

// giveBack puts idle machines into the order in which they drain: the least
// booked first, of equal ones the dearest, and those of a block together, whose
// changes then share their writes.
func giveBack(idle []*supply, types []protocol.MachineType) {
	each := func(x *supply) float64 { return price(&types[x.typ], x.spot) / max(types[x.typ].CPUs, 1e-9) }
	slices.SortFunc(idle, func(a, b *supply) int {
		return cmp.Or(cmp.Compare(a.booked(types), b.booked(types)), cmp.Compare(each(b), each(a)),
			cmp.Compare(a.m.Block, b.m.Block), cmp.Compare(a.m.Name, b.m.Name))
	})
}

// bookedShare is the booked part of the fleet's CPUs.
func bookedShare(list []*supply, types []protocol.MachineType) float64 {
	total, free := 0.0, 0.0
	for _, x := range list {
		if x.taking {
			total += types[x.typ].CPUs
			free += max(x.free.cpus, 0)
		}
	}
	if total == 0 {
		return 1
	}
	return 1 - free/total
}

// Decision is one line of the sizer's history.
type Decision struct {
	Action  string  `json:"action"`
	Reason  string  `json:"reason"`
	Term    uint64  `json:"term"`
	AtMS    int64   `json:"at_ms"`
	Blocked int     `json:"blocked_tasks"`
	Booked  float64 `json:"booked_share"`
	Fleet   int     `json:"fleet"`
	Count   int     `json:"count"`
	Pool    string  `json:"pool,omitempty"`
}

// demands lists what waits, home by home, in the order in which homes serve it,
// within the teams' limits.
func (l *leadership) demands() []demand {
	n := l.n
	var list []waiting
	used := make([]usage, len(n.book.Teams))
	nowMS := n.Clock.Wall().UnixMilli()
	in := map[int][]int{} // tasks that may be in a zone, by job, of those waiting to which it matters
	n.book.Jobs.All(func(i int, j *bookkeeping.Job) {
		if j.TeamIdx < 0 {
			return
		}
		used[j.TeamIdx].cpus += j.CPUs * float64(len(j.Intended))
		used[j.TeamIdx].gpus += j.GPUs * float64(len(j.Intended))
		if !j.Over() && j.Home >= 0 && j.Open() > 0 {
			w := waiting{job: j}
			w.rate(j.Tasks-j.DoneN, j.Running() > 0 || j.DoneN > 0, n.Settings.Cluster.Objectives, nowMS)
			list = append(list, w)
			if j.Spread && j.Tasks > 1 || j.OneZone && j.Running() > 0 {
				in[i] = make([]int, n.book.ZoneNames.Len())
			}
		}
	})
	if len(in) > 0 {
		n.book.Machines.All(func(_ int, m *bookkeeping.Machine) {
			for ref := range m.Intents {
				if zones := in[ref.Job]; zones != nil {
					zones[m.ZoneIdx]++
				}
			}
		})
	}
	order(list, false)
	var out []demand
	for _, w := range list {
		j := w.job
		t, u := &n.book.Teams[j.TeamIdx], &used[j.TeamIdx]
		count := j.Open()
		for _, q := range [][3]float64{{u.cpus, j.CPUs, t.CPUsMax}, {u.gpus, j.GPUs, t.GPUsMax}} {
			if q[2] > 0 && q[1] > 0 {
				count = min(count, int((q[2]-q[0])/q[1]+1e-6))
			}
		}
		if count <= 0 {
			continue
		}
		u.cpus += float64(count) * j.CPUs
		u.gpus += float64(count) * j.GPUs
		zones := in[j.Index]
		for z, there := range zones {
			zones[z] = count
			if j.Spread && j.Tasks > 1 {
				zones[z] = max(0, (j.Tasks+1)/2-there)
			}
			// Tasks that share a zone can't use room in any other: counted as supply,
			// or rented anew each time it is given back, they would never get theirs.
			if j.OneZone && j.Running() > 0 && there == 0 {
				zones[z] = 0
			}
		}
		out = append(out, demand{job: j, shard: j.Home, count: count, zones: zones})
	}
	return out
}

// supplies lists the machines as the sizer counts them.
func (l *leadership) supplies() []*supply {
	n := l.n
	var out []*supply
	n.book.Machines.All(func(_ int, m *bookkeeping.Machine) {
		if !m.There() || m.Phase == bookkeeping.PhaseReturning {
			return
		}
		t := &n.book.Types[m.TypeIdx]
		x := &supply{
			m: m, typ: m.TypeIdx, zone: m.ZoneIdx, spot: m.Spot, shard: m.Shard,
			free: room{t.CPUs, t.GPUs, t.MemoryGB}, firm: room{t.CPUs, t.GPUs, t.MemoryGB}, taking: m.Phase == bookkeeping.PhaseActive,
		}
		for ref := range m.Intents {
			j := n.book.Jobs.Get(ref.Job)
			if j.Over() || j.Done.Has(ref.Task) {
				continue // about to leave
			}
			x.free.take(j)
			if j.Standing() {
				x.firm.take(j)
			}
			x.service = x.service || j.Standing()
			x.book(t, j, 0.5)
		}
		note, known := l.note(m)
		x.ready = known && note.Seen
		if !x.ready {
			x.bootLeft = max(0, t.BootS-l.age(m).Seconds())
		}
		patience := 3 * n.Settings.Cluster.Workers.Report()
		if l.fleet.cutOff[m.ZoneIdx] {
			patience = l.quiet()
		}
		if known && (note.Faulty || note.Leaves || note.Deaf || (note.Seen || note.Tasks > 0) && note.Silent > patience) {
			x.taking = false
			x.doubtful = true
		}
		// What no holder has spoken of may well be up: a leader that can't hear the
		// holder must not rent the whole fleet anew.
		if known && !x.ready && l.overdue(m) {
			x.taking = false
		}
		out = append(out, x)
	})
	slices.SortFunc(out, func(a, b *supply) int { return cmp.Compare(a.m.Name, b.m.Name) })
	return out
}

// note is what the holder of a machine last said of it.
func (l *leadership) note(m *bookkeeping.Machine) (protocol.MachineNote, bool) {
	g := &l.n.book.Grants[m.Shard]
	p := l.peers[g.Node]
	if p == nil || p.incarnation != g.Incarnation {
		return protocol.MachineNote{}, false
	}
	i, ok := p.notes[m.Name]
	return i, ok
}

// age is the time since a machine was rented.
func (l *leadership) age(m *bookkeeping.Machine) time.Duration {
	return time.Duration(l.n.Clock.Wall().UnixMilli()-m.AtMS) * time.Millisecond
}

// overdue reports whether a machine should have come up long ago.
func (l *leadership) overdue(m *bookkeeping.Machine) bool {
	boot := l.n.book.Types[m.TypeIdx].BootS
	return l.age(m).Seconds() > boot*l.n.Options.BootPatience+5
}

// windows keeps since when a condition has held, by machine.
type windows map[string]time.Duration

// held reports whether a machine's condition has held for the whole window.
func (w windows) held(name string, cond bool, now, window time.Duration) bool {
	since := w[name]
	ok := held(cond, &since, now, window)
	if since == 0 {
		delete(w, name)
	} else {
		w[name] = since
	}
	return ok
}

// held keeps since at the time when a condition began to hold, and reports
// whether it has held for the whole window.
func held(cond bool, since *time.Duration, now, window time.Duration) bool {
	if !cond {
		*since = 0
		return false
	}
	if *since == 0 {
		*since = max(now, 1)
	}
	return now-*since >= window
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// bounds are the options' windows.
type bounds struct{ cycle, rent, give time.Duration }

func boundsOf(o config.Options) bounds {
	return bounds{seconds(o.CycleS), seconds(o.RentWindowS), seconds(o.GiveWindowS)}
}
