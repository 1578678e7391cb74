package autoscaler

import (
	"math"
	"slices"
)

// maxMachinesPerCall is for how many machines one call to the cloud asks at most.
const maxMachinesPerCall = 50

// ScaleOut is a decision to rent machines.
type ScaleOut struct {
	Pool
	Shard int
	Count int
}

// extends reports whether machines of a pool for a shard are asked for with the same call.
func (s *ScaleOut) extends(pool Pool, shard int) bool { return s.Pool == pool && s.Shard == shard }

// ScaleOuts rents the cheapest machines for the unmet demand: for every job the pool in
// which a task costs least once the machine is filled as far as the job fills it. What a
// machine has left over is used by the jobs that follow, and machines of one pool are asked
// for together.
func (p *Planner) ScaleOuts(unmet []Demand) []ScaleOut {
	p.countWaitingServices(unmet)
	var plan scaleOutPlan
	for i := range unmet {
		d := unmet[i].Clone()
		for _, x := range plan.machines {
			p.Fill(x, &d)
		}
		for d.Count > 0 && p.MachinesAllowed > 0 {
			if !p.extend(&plan, &d) {
				break
			}
		}
	}
	return plan.scaleOuts
}

// scaleOutPlan is what has been decided so far.
type scaleOutPlan struct {
	scaleOuts []ScaleOut
	machines  []*Supply // what they will offer
}

// countWaitingServices sums the services that wait by their shape.
func (p *Planner) countWaitingServices(unmet []Demand) {
	p.waitingServices = map[taskShape]int{}
	for i := range unmet {
		if d := &unmet[i]; d.Job.IsService() {
			p.waitingServices[shapeOf(d)] += d.Count
		}
	}
}

// extend rents machines of the cheapest pool for a demand, and reports whether it did.
func (p *Planner) extend(plan *scaleOutPlan, demand *Demand) bool {
	pool, perMachine, ok := p.CheapestPool(demand, plan.scaleOuts)
	if !ok {
		return false
	}
	i := slices.IndexFunc(plan.scaleOuts, func(s ScaleOut) bool { return s.extends(pool, demand.Shard) })
	if i < 0 {
		if len(plan.scaleOuts) >= p.CallsAllowed {
			return false
		}
		i = len(plan.scaleOuts)
		plan.scaleOuts = append(plan.scaleOuts, ScaleOut{Pool: pool, Shard: demand.Shard})
	}
	// Whole machines first; the rest may be cheaper elsewhere.
	count := min(max(demand.AllowedIn(pool.Zone)/perMachine, 1), p.MachinesAllowed, maxMachinesPerCall-plan.scaleOuts[i].Count)
	if count <= 0 {
		return false
	}
	plan.scaleOuts[i].Count += count
	p.MachinesAllowed -= count
	if demand.Job.OneZone && demand.zoneCapacity == nil {
		demand.restrictTo(pool.Zone)
	}
	for range count {
		x := NewSupply(&p.MachineTypes[pool.MachineType], pool, demand.Shard)
		plan.machines = append(plan.machines, x)
		p.Fill(x, demand)
	}
	return true
}

// poolChoice is the best pool found so far.
type poolChoice struct {
	pool       Pool
	perMachine int     // tasks that a machine there holds
	cost       float64 // of a task
	preference int     // among equal costs the least wins
	found      bool
}

// offer takes a pool that is better.
func (c *poolChoice) offer(pool Pool, perMachine int, cost float64, preference int) {
	const tolerance = 1e-9 // costs that differ by less are equal
	cheaper := cost < c.cost*(1-tolerance)
	preferred := cost <= c.cost*(1+tolerance) && preference < c.preference
	if cheaper || preferred {
		*c = poolChoice{pool: pool, perMachine: perMachine, cost: cost, preference: preference, found: true}
	}
}

// CheapestPool is the pool in which a task of a demand costs least, and how many a machine
// there holds. Of equal ones it is the one that is asked for already, then the one with the
// larger machines, which need fewer heartbeats and share images, then the zone with the
// fewest machines, so that no zone holds too much.
func (p *Planner) CheapestPool(d *Demand, planned []ScaleOut) (pool Pool, perMachine int, found bool) {
	choice := poolChoice{cost: math.Inf(1)}
	for machineType := range p.MachineTypes {
		if !p.Fits(d.Job, machineType) {
			continue
		}
		if perMachine := TasksPerMachine(&p.MachineTypes[machineType], d.Job); perMachine >= 1 {
			p.offerPools(&choice, d, machineType, perMachine, planned)
		}
	}
	return choice.pool, choice.perMachine, choice.found
}

// offerPools offers the pools of a machine type that a demand may use.
func (p *Planner) offerPools(choice *poolChoice, demand *Demand, machineType, perMachine int, planned []ScaleOut) {
	for _, name := range p.MachineTypes[machineType].Zones {
		zone := p.ZoneIndex(name)
		if demand.Job.ZoneIndex >= 0 && demand.Job.ZoneIndex != zone || demand.AllowedIn(zone) < 1 {
			continue
		}
		for _, spot := range []bool{true, false} {
			pool := Pool{MachineType: machineType, Zone: zone, Spot: spot}
			if spot && !demand.Job.Spot || p.Unavailable(pool) {
				continue
			}
			choice.offer(pool, perMachine, p.costPerTask(demand, pool, perMachine), p.preference(demand, pool, perMachine, planned))
		}
	}
}

// costPerTask is what a task of a demand costs an hour in a pool, with what makes the pool
// less or more suitable added.
func (p *Planner) costPerTask(demand *Demand, pool Pool, perMachine int) float64 {
	const (
		imageFactor = 0.1 // a machine with room for many is likelier to have the next one's image
		soleFactor  = 1.3 // other work has no other machines
	)
	// A machine far larger than what waits is paid for idle.
	used := min(perMachine, max(demand.AllowedIn(pool.Zone), p.waitingServices[shapeOf(demand)]))
	cost := hourlyPrice(&p.MachineTypes[pool.MachineType], pool.Spot) / float64(used)
	if demand.Job.IsService() {
		cost *= 1 + imageFactor/float64(perMachine)
	}
	if p.SoleTypes[pool.MachineType] && !demand.Spare {
		cost *= soleFactor
	}
	return cost
}

// preference orders pools of equal cost; the least is preferred.
func (p *Planner) preference(d *Demand, pool Pool, perMachine int, planned []ScaleOut) int {
	const (
		sizeWeight    = 1000
		plannedWeight = 1_000_000
	)
	preference := p.MachinesByPool[pool] - sizeWeight*perMachine
	if slices.ContainsFunc(planned, func(s ScaleOut) bool { return s.extends(pool, d.Shard) && s.Count < maxMachinesPerCall }) {
		preference -= plannedWeight
	}
	return preference
}

// ScaleOutPossible reports whether machines that suit a demand can still be rented.
func (c Catalogue) ScaleOutPossible(d *Demand, unavailable func(Pool) bool) bool {
	planner := Planner{Catalogue: c, Unavailable: unavailable}
	_, _, found := planner.CheapestPool(d, nil)
	return found
}

// priceOfCPU is what a CPU of a machine costs an hour.
func (c Catalogue) priceOfCPU(pool Pool) float64 {
	t := &c.MachineTypes[pool.MachineType]
	return hourlyPrice(t, pool.Spot) / max(t.CPUs, minCPUs)
}
