package coordination

import (
	"math"
	"slices"

	"rockrun/internal/coordination/placement"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// pool is a kind of machine in a zone, spot or ordinary.
type machinePool struct {
	machineType, zone int
	spot              bool
}

// demand is a number of equal tasks of one home that wait for a machine.
type demand struct {
	job               *storage.Job
	shard             int
	count             int
	zoneCapacity      []int // how many more may be in a zone, by index; nil: no bound
	spare             bool  // room to be kept, for work that has not come yet
	inPartitionedZone int   // of those, replicas in a zone that is cut off: their leases run out
}

// zone is how many of the tasks may go to a zone.
func (d *demand) allowedIn(z int) int {
	if d.zoneCapacity == nil {
		return d.count
	}
	if z >= len(d.zoneCapacity) { // a zone that was not known when they were counted
		if d.job.OneZone {
			return 0
		}
		return d.count
	}
	return min(d.count, d.zoneCapacity[z])
}

// take takes off one task that goes to a zone.
func (d *demand) take(z int) {
	d.count--
	if z < len(d.zoneCapacity) {
		d.zoneCapacity[z]--
	}
}

// supply is a machine as the sizer counts it: what it will offer to new work.
type machineSupply struct {
	machine            *storage.Machine
	machineType        int
	zone               int
	spot               bool
	shard              int
	free               placement.Resources
	freeBesideServices placement.Resources // what is left beside services: other work gives way to them
	hostsService       bool
	ready              bool // up and under its holder's grant
	schedulable        bool // may take new tasks
	suspect            bool // silent, or the cloud takes it

	// For work that ends, a machine is supply over time as well, counted in
	// machine-seconds from now on.
	bootSecondsLeft float64 // until it is up
	serviceShare    float64 // share that services hold
	reservedSeconds float64 // machine-seconds that arrays have yet to use
}

// share is the part of a machine of a type that one task takes.
func machineShare(t *protocol.MachineType, j *storage.Job) float64 {
	if n := tasksPerMachine(t, j); n > 0 {
		return 1 / float64(n)
	}
	return 1
}

// reserve adds a task to what a machine is busy with, of which the given part is
// still to run.
func (x *machineSupply) reserve(t *protocol.MachineType, j *storage.Job, part float64) {
	if j.IsService() {
		x.serviceShare += machineShare(t, j)
	} else {
		x.reservedSeconds += machineShare(t, j) * placement.ExpectedRunSeconds(j) * part
	}
}

// rent is a decision to rent machines.
type scaleOut struct {
	machinePool
	shard int
	count int
}

// sizing is all that the sizer's decision depends on.
type scalingInput struct {
	types           []protocol.MachineType
	zoneIndex       func(name string) int
	unavailable     func(p machinePool) bool
	fits            func(j *storage.Job, typ int) bool
	demands         []demand // in the order in which they are served
	supply          []*machineSupply
	machinesByPool  map[machinePool]int // machines there are, by pool
	soleTypes       map[int]bool        // types that are the only ones for some work
	waitingServices map[taskShape]int   // services of a shape that wait, all together
	machinesAllowed int                 // machines that may still be rented
	callsAllowed    int
	// patience is how many boot times of a new machine work waits for those
	// that are there.
	scaleOutPatience  float64
	startSlackSeconds func(j *storage.Job) float64 // seconds until a task must start to be in time
}

// unmet fills the supply with the demand and returns what is left over. Booting
// machines count as supply.
func (s *scalingInput) unmetDemand() []demand {
	var left []demand
	for _, d := range s.demands {
		d.zoneCapacity = slices.Clone(d.zoneCapacity)
		s.settleZone(&d)
		for _, x := range s.supply {
			if d.count == 0 {
				break
			}
			s.fill(x, &d)
		}
		if d.count > 0 {
			s.subtractTurnover(&d)
		}
		if d.count > 0 {
			left = append(left, d)
		}
	}
	return left
}

// gatherIn settles on a zone for tasks that must share one and of which none has
// been placed yet: the one with most room, where that is worth waiting for more.
func (s *scalingInput) settleZone(d *demand) {
	if !d.job.OneZone || d.zoneCapacity != nil {
		return
	}
	by := map[int]int{}
	best := -1
	for _, x := range s.supply {
		by[x.zone] += s.replicasThatFitOn(x, *d)
		if best < 0 || by[x.zone] > by[best] || by[x.zone] == by[best] && x.zone < best {
			best = x.zone
		}
	}
	if best >= 0 && by[best]*4 >= d.count {
		d.restrictTo(best)
	}
}

// only lets the tasks of a demand go to no other zone.
func (d *demand) restrictTo(zone int) {
	d.zoneCapacity = make([]int, max(zone+1, len(d.zoneCapacity)))
	d.zoneCapacity[zone] = d.count
}

// turnover takes off the demand what machines that are there will have served
// by the time a new one could start on it: renting for that would only add
// machines that come up to an empty queue.
func (s *scalingInput) subtractTurnover(d *demand) {
	if d.job.Kind != protocol.KindArray {
		return
	}
	p, _, ok := s.cheapestPool(*d, nil)
	if !ok {
		return
	}
	boot := s.types[p.machineType].BootSeconds
	horizon := boot * s.scaleOutPatience
	if s.startSlackSeconds != nil {
		horizon = min(horizon, 0.6*max(boot, s.startSlackSeconds(d.job)))
	}
	part := 0.0 // of a task that a machine has time for beyond whole ones: few have time for just whole ones
	for _, x := range s.supply {
		// Beside the services there must be room for one: a machine that always has
		// a replica on it never serves a task that takes all of it.
		if !x.schedulable || x.shard != d.shard || d.allowedIn(x.zone) < 1 || !s.eligible(x, d.job) || !x.freeBesideServices.Fits(d.job) {
			continue
		}
		each := machineShare(&s.types[x.machineType], d.job) * placement.ExpectedRunSeconds(d.job)
		time := (horizon-x.bootSecondsLeft)*(1-x.serviceShare) - x.reservedSeconds
		if time <= 0 {
			continue
		}
		part += time / each
		n := min(int(part), d.count)
		part -= float64(n)
		x.reservedSeconds += min(time, float64(d.count)*each)
		d.count -= n
		if d.count == 0 {
			return
		}
	}
}

func (s *scalingInput) hasRoomFor(x *machineSupply, j *storage.Job) bool {
	r := x.free
	if j.IsService() {
		r = x.freeBesideServices
	}
	return r.Fits(j) && s.eligible(x, j)
}

func (s *scalingInput) eligible(x *machineSupply, j *storage.Job) bool {
	return (!x.spot || j.Spot) && (j.ZoneIndex < 0 || j.ZoneIndex == x.zone) && s.fits(j, x.machineType)
}

// plan rents the cheapest machines for the unmet demand: for every job the pool
// in which a task costs least once the machine is filled as far as the job fills
// it. What a machine has left over is used by the jobs that follow, and machines
// of one pool are asked for together.
func (s *scalingInput) planScaleOuts(left []demand) []scaleOut {
	var rents []scaleOut
	var planned []*machineSupply
	s.waitingServices = map[taskShape]int{}
	for _, d := range left {
		if d.job.IsService() {
			s.waitingServices[shapeOf(d)] += d.count
		}
	}
	for _, d := range left {
		d.zoneCapacity = slices.Clone(d.zoneCapacity)
		for _, x := range planned {
			s.fill(x, &d)
		}
		for d.count > 0 && s.machinesAllowed > 0 {
			p, per, ok := s.cheapestPool(d, rents)
			if !ok {
				break
			}
			i := slices.IndexFunc(rents, func(r scaleOut) bool { return r.machinePool == p && r.shard == d.shard })
			if i < 0 {
				if len(rents) >= s.callsAllowed {
					break
				}
				i = len(rents)
				rents = append(rents, scaleOut{machinePool: p, shard: d.shard})
			}
			// Whole machines first; the rest may be cheaper elsewhere.
			count := min(max(d.allowedIn(p.zone)/per, 1), s.machinesAllowed, 50-rents[i].count)
			if count <= 0 {
				break
			}
			rents[i].count += count
			s.machinesAllowed -= count
			if d.job.OneZone && d.zoneCapacity == nil {
				d.restrictTo(p.zone)
			}
			for range count {
				x := newMachineSupply(&s.types[p.machineType], p, d.shard)
				planned = append(planned, x)
				s.fill(x, &d)
			}
		}
	}
	return rents
}

// newSupply is a machine that is not there yet.
func newMachineSupply(t *protocol.MachineType, p machinePool, shard int) *machineSupply {
	r := placement.MachineCapacity(t)
	return &machineSupply{machineType: p.machineType, zone: p.zone, spot: p.spot, shard: shard, schedulable: true, free: r, freeBesideServices: r, bootSecondsLeft: t.BootSeconds}
}

// fill gives a machine as much of a demand as it takes.
func (s *scalingInput) fill(x *machineSupply, d *demand) {
	for x.schedulable && x.shard == d.shard && d.allowedIn(x.zone) > 0 && s.hasRoomFor(x, d.job) {
		x.free.Subtract(d.job)
		if d.job.IsService() {
			x.freeBesideServices.Subtract(d.job)
		}
		x.reserve(&s.types[x.machineType], d.job, 1)
		d.take(x.zone)
	}
}

// price is what a machine of a type costs an hour.
func hourlyPrice(t *protocol.MachineType, spot bool) float64 {
	if spot {
		return t.HourlySpotPrice
	}
	return t.HourlyPrice
}

// cheapest is the pool in which a task of a demand costs least, and how many a
// machine there holds. Of equal ones it is the one that is asked for already,
// then the one with the larger machines, which need fewer reports and share
// images, then the zone with the fewest machines, so that no zone holds too much.
func (s *scalingInput) cheapestPool(d demand, rents []scaleOut) (best machinePool, per int, ok bool) {
	bestCost := math.Inf(1)
	bestTie := 0
	for typ := range s.types {
		t := &s.types[typ]
		if !s.fits(d.job, typ) {
			continue
		}
		n := tasksPerMachine(t, d.job)
		if n < 1 {
			continue
		}
		for _, zone := range t.Zones {
			z := s.zoneIndex(zone)
			if d.job.ZoneIndex >= 0 && d.job.ZoneIndex != z || d.allowedIn(z) < 1 {
				continue
			}
			for _, spot := range []bool{true, false} {
				p := machinePool{typ, z, spot}
				if spot && !d.job.Spot || s.unavailable(p) {
					continue
				}
				// A machine far larger than what waits is paid for idle.
				cost := hourlyPrice(t, spot) / float64(min(n, max(d.allowedIn(z), s.waitingServices[shapeOf(d)])))
				if d.job.IsService() {
					cost *= 1 + 0.1/float64(n) // one with room for many is likelier to have the next one's image
				}
				if s.soleTypes[typ] && !d.spare {
					cost *= 1.3 // other work has no other machines
				}
				tie := s.machinesByPool[p] - 1000*n
				if slices.ContainsFunc(rents, func(r scaleOut) bool { return r.machinePool == p && r.shard == d.shard && r.count < 50 }) {
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
func tasksPerMachine(t *protocol.MachineType, j *storage.Job) int {
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
func (s *scalingInput) replicasThatFit(d demand) int {
	n := 0
	for _, x := range s.supply {
		n += s.replicasThatFitOn(x, d)
	}
	return n
}

// lacking takes off a demand what there is room for.
func (s *scalingInput) subtractSupply(d demand) demand {
	d.zoneCapacity = slices.Clone(d.zoneCapacity)
	for _, x := range s.supply {
		for range min(s.replicasThatFitOn(x, d), d.allowedIn(x.zone)) {
			d.take(x.zone)
		}
	}
	return d
}

// roomOn returns for how many more replicas of a service a machine has room.
func (s *scalingInput) replicasThatFitOn(x *machineSupply, d demand) int {
	if !x.schedulable || x.shard != d.shard || !s.eligible(x, d.job) {
		return 0
	}
	n := 0
	for r := x.freeBesideServices; r.Fits(d.job); n++ {
		r.Subtract(d.job)
	}
	return n
}
