package autoscaler

import (
	"math"
	"slices"
)

// maxMachinesPerCall is the maximum number of machines that one create call requests.
const maxMachinesPerCall = 50

// ScaleOut is a decision to create machines of one pool for one job shard.
type ScaleOut struct {
	Pool
	Shard int
	Count int
}

// matches reports whether machines of a pool for a shard can be created with the same call.
func (s *ScaleOut) matches(pool Pool, shard int) bool { return s.Pool == pool && s.Shard == shard }

// ScaleOuts plans the cheapest machines for the unmet demand. Each job gets the pool with the
// lowest cost per task, given how far the job fills a machine of the pool. Later jobs use the
// resources that remain on planned machines, and machines of one pool for one shard are
// created with one call.
func (p *Planner) ScaleOuts(unmet []Demand) []ScaleOut {
	p.countUnmetReplicas(unmet)
	var plan scaleOutPlan
	for i := range unmet {
		d := unmet[i].Clone()
		for _, supply := range plan.machines {
			p.Fill(supply, &d)
		}
		for d.Count > 0 && p.MachinesAllowed > 0 {
			if !p.extendPlan(&plan, &d) {
				break
			}
		}
	}
	return plan.scaleOuts
}

// scaleOutPlan holds the decisions made so far.
type scaleOutPlan struct {
	scaleOuts []ScaleOut
	machines  []*Supply // supplies of the planned machines
}

// countUnmetReplicas sums the unmet replicas of services by shape.
func (p *Planner) countUnmetReplicas(unmet []Demand) {
	p.unmetReplicas = map[taskShape]int{}
	for i := range unmet {
		if d := &unmet[i]; d.Job.IsService() {
			p.unmetReplicas[shapeOf(d)] += d.Count
		}
	}
}

// extendPlan adds machines of the cheapest pool for a demand to the plan. It returns false if
// no pool is available or a limit is reached.
func (p *Planner) extendPlan(plan *scaleOutPlan, demand *Demand) bool {
	pool, perMachine, ok := p.CheapestPool(demand, plan.scaleOuts)
	if !ok {
		return false
	}
	i := slices.IndexFunc(plan.scaleOuts, func(s ScaleOut) bool { return s.matches(pool, demand.Shard) })
	if i < 0 {
		if len(plan.scaleOuts) >= p.CallsAllowed {
			return false
		}
		i = len(plan.scaleOuts)
		plan.scaleOuts = append(plan.scaleOuts, ScaleOut{Pool: pool, Shard: demand.Shard})
	}
	// Plan only machines that the demand fills; another pool may be cheaper for the remainder.
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
		supply := NewSupply(&p.MachineTypes[pool.MachineType], pool, demand.Shard)
		plan.machines = append(plan.machines, supply)
		p.Fill(supply, demand)
	}
	return true
}

// poolChoice is the best pool found so far.
type poolChoice struct {
	pool       Pool
	perMachine int     // tasks that fit on a machine
	cost       float64 // per task
	preference int     // at equal cost the lowest preference wins
	found      bool
}

// consider replaces the choice if a pool is better.
func (c *poolChoice) consider(pool Pool, perMachine int, cost float64, preference int) {
	const tolerance = 1e-9 // costs that differ by less are equal
	cheaper := cost < c.cost*(1-tolerance)
	preferred := cost <= c.cost*(1+tolerance) && preference < c.preference
	if cheaper || preferred {
		*c = poolChoice{pool: pool, perMachine: perMachine, cost: cost, preference: preference, found: true}
	}
}

// CheapestPool returns the pool with the lowest cost per task for a demand, and how many
// tasks fit on a machine of the pool. Pools of equal cost are ranked by whether a planned
// call already requests machines of the pool, then by machine size, because larger
// machines need fewer heartbeats and share images, then by the lowest number of machines in
// the pool, which keeps machines from concentrating in one zone.
func (p *Planner) CheapestPool(d *Demand, planned []ScaleOut) (pool Pool, perMachine int, found bool) {
	choice := poolChoice{cost: math.Inf(1)}
	for machineType := range p.MachineTypes {
		if !p.Fits(d.Job, machineType) {
			continue
		}
		if perMachine := TasksPerMachine(&p.MachineTypes[machineType], d.Job); perMachine >= 1 {
			p.considerPools(&choice, d, machineType, perMachine, planned)
		}
	}
	return choice.pool, choice.perMachine, choice.found
}

// considerPools considers the pools of a machine type that a demand may use.
func (p *Planner) considerPools(choice *poolChoice, demand *Demand, machineType, perMachine int, planned []ScaleOut) {
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
			choice.consider(pool, perMachine, p.costPerTask(demand, pool, perMachine), p.preference(demand, pool, perMachine, planned))
		}
	}
}

// costPerTask returns the cost of a task of a demand per hour in a pool, adjusted for how
// suitable the pool is.
func (p *Planner) costPerTask(demand *Demand, pool Pool, perMachine int) float64 {
	const (
		imageFactor = 0.1 // a machine that holds more replicas is more likely to have the image of the next replica
		soleFactor  = 1.3 // penalty for a machine type that is the only fitting type of some job
	)
	// A machine much larger than the unmet demand would be paid for while partly idle, so only
	// the tasks that would use the machine share its price.
	used := min(perMachine, max(demand.AllowedIn(pool.Zone), p.unmetReplicas[shapeOf(demand)]))
	cost := hourlyPrice(&p.MachineTypes[pool.MachineType], pool.Spot) / float64(used)
	if demand.Job.IsService() {
		cost *= 1 + imageFactor/float64(perMachine)
	}
	if p.SoleTypes[pool.MachineType] && !demand.Spare {
		cost *= soleFactor
	}
	return cost
}

// preference ranks pools of equal cost; the lowest value is preferred.
func (p *Planner) preference(d *Demand, pool Pool, perMachine int, planned []ScaleOut) int {
	const (
		sizeWeight    = 1000
		plannedWeight = 1_000_000
	)
	preference := p.MachinesByPool[pool] - sizeWeight*perMachine
	if slices.ContainsFunc(planned, func(s ScaleOut) bool { return s.matches(pool, d.Shard) && s.Count < maxMachinesPerCall }) {
		preference -= plannedWeight
	}
	return preference
}

// ScaleOutPossible reports whether any available pool has machines that fit a demand.
func (c Catalogue) ScaleOutPossible(d *Demand, unavailable func(Pool) bool) bool {
	planner := Planner{Catalogue: c, Unavailable: unavailable}
	_, _, found := planner.CheapestPool(d, nil)
	return found
}

// hourlyPricePerCPU returns the price of a CPU per hour in a pool.
func (c Catalogue) hourlyPricePerCPU(pool Pool) float64 {
	t := &c.MachineTypes[pool.MachineType]
	return hourlyPrice(t, pool.Spot) / max(t.CPUs, minCPUs)
}
