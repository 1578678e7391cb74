package coordination

import (
	"math"
	"slices"

	"rockrun/internal/bookkeeping"
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

// reserve adds a task to what a machine is busy with, of which the given part is
// still to run.
func (x *supply) reserve(t *protocol.MachineType, j *bookkeeping.Job, part float64) {
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
		x.reserve(&s.types[x.typ], d.job, 1)
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
