package autoscaler

import (
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// Planner matches demand with supply for one scale-out decision. Serving demands reduces the
// supplies, and planning reduces MachinesAllowed.
type Planner struct {
	Catalogue
	Supplies []*Supply
	// Unavailable reports whether no machines can be created in a pool at present.
	Unavailable     func(Pool) bool
	MachinesByPool  map[Pool]int
	SoleTypes       map[int]bool // machine types that are the only fitting type of some job
	MachinesAllowed int          // machines that may still be created
	CallsAllowed    int          // create calls that may still be sent to the cloud
	// ScaleOutWaitFactor is the multiple of a new machine's boot time that arrays wait for
	// existing machines before scale-out.
	ScaleOutWaitFactor float64
	// StartSlackSeconds returns how long a task of a job may wait without missing the job's
	// deadline; nil: no limit.
	StartSlackSeconds func(j *storage.Job) float64

	unmetReplicas map[taskShape]int // unmet replicas, summed over the services of a shape
}

// Unmet serves demands in order from the supply and returns the remaining demand. Booting
// machines count as supply.
func (p *Planner) Unmet(demands []Demand) Unmet {
	var unmet Unmet
	for i := range demands {
		demand := demands[i].Clone()
		p.chooseZone(&demand)
		for _, supply := range p.Supplies {
			if demand.Count == 0 {
				break
			}
			p.Fill(supply, &demand)
		}
		if demand.Count > 0 {
			p.subtractTurnover(&demand)
		}
		if demand.Count > 0 {
			unmet = append(unmet, demand)
		}
	}
	return unmet
}

// Fill assigns as many tasks of a demand to a machine as fit.
func (p *Planner) Fill(supply *Supply, d *Demand) {
	const wholeRun = 1 // fraction of a task's run that remains
	for supply.Schedulable && supply.Shard == d.Shard && d.AllowedIn(supply.Zone) > 0 && p.hasRoomFor(supply, d.Job) {
		supply.allocate(d.Job)
		supply.reserveTime(&p.MachineTypes[supply.MachineType], d.Job, wholeRun)
		d.assignTo(supply.Zone)
	}
}

// hasRoomFor reports whether a machine is eligible for a job and has free resources for a
// task. Services may use resources that other tasks occupy, since they preempt them.
func (p *Planner) hasRoomFor(supply *Supply, j *storage.Job) bool {
	free := supply.free
	if j.IsService() {
		free = supply.freeBesideServices
	}
	return free.Fits(j) && p.eligible(supply, j)
}

// eligible reports whether a job allows a machine's type, zone and market, regardless of free
// resources.
func (p *Planner) eligible(supply *Supply, j *storage.Job) bool {
	return (!supply.Spot || j.Spot) && (j.ZoneIndex < 0 || j.ZoneIndex == supply.Zone) && p.Fits(j, supply.MachineType)
}

// chooseZone restricts tasks that must share a zone, and of which none has been placed yet,
// to the zone where most of them fit, if at least a quarter of them fit there. Otherwise the
// demand stays unrestricted.
func (p *Planner) chooseZone(demand *Demand) {
	const minCapacityDivisor = 4 // waiting for more capacity in a zone is worthwhile if a quarter of the tasks fit already
	if !demand.Job.OneZone || demand.zoneCapacity != nil {
		return
	}
	capacity := map[int]int{}
	best := -1
	for _, supply := range p.Supplies {
		capacity[supply.Zone] += p.replicasThatFitOn(supply, demand)
		if best < 0 || capacity[supply.Zone] > capacity[best] || capacity[supply.Zone] == capacity[best] && supply.Zone < best {
			best = supply.Zone
		}
	}
	if best >= 0 && capacity[best]*minCapacityDivisor >= demand.Count {
		demand.restrictTo(best)
	}
}

// subtractTurnover subtracts from the demand of an array the tasks that existing machines
// will serve before a new machine could start them. Machines created for those tasks would
// find no task to run once they have booted.
func (p *Planner) subtractTurnover(demand *Demand) {
	if demand.Job.Kind != protocol.KindArray {
		return
	}
	horizonSeconds, ok := p.turnoverHorizonSeconds(demand)
	if !ok {
		return
	}
	fraction := 0.0 // of a task, carried over to the next machine: few machines have time for a whole number of tasks
	for _, supply := range p.Supplies {
		if !p.countsForTurnover(supply, demand) {
			continue
		}
		perTask := machineSeconds(&p.MachineTypes[supply.MachineType], demand.Job)
		seconds := (horizonSeconds-supply.bootSecondsLeft)*(1-supply.serviceShare) - supply.reservedSeconds
		if seconds <= 0 {
			continue
		}
		fraction += seconds / perTask
		served := min(int(fraction), demand.Count)
		fraction -= float64(served)
		supply.reservedSeconds += min(seconds, float64(demand.Count)*perTask)
		demand.Count -= served
		if demand.Count == 0 {
			return
		}
	}
}

// turnoverHorizonSeconds returns how long a demand may wait for existing machines. ok is
// false if no pool can supply a new machine.
func (p *Planner) turnoverHorizonSeconds(demand *Demand) (seconds float64, ok bool) {
	const slackShare = 0.6 // the rest of the slack covers tasks that run longer than estimated
	pool, _, ok := p.CheapestPool(demand, nil)
	if !ok {
		return 0, false
	}
	bootSeconds := p.MachineTypes[pool.MachineType].BootSeconds
	seconds = bootSeconds * p.ScaleOutWaitFactor
	if p.StartSlackSeconds != nil {
		seconds = min(seconds, slackShare*max(bootSeconds, p.StartSlackSeconds(demand.Job)))
	}
	return seconds, true
}

// countsForTurnover reports whether a machine will serve tasks of an array one after
// another. A task must fit beside the machine's services: a machine that always runs a
// replica never serves a task that needs the whole machine.
func (p *Planner) countsForTurnover(supply *Supply, d *Demand) bool {
	return supply.Schedulable && supply.Shard == d.Shard && d.AllowedIn(supply.Zone) >= 1 && p.eligible(supply, d.Job) && supply.freeBesideServices.Fits(d.Job)
}

// SubtractSupply subtracts from the demands for spare replicas the replicas that fit on the
// supply, and returns the remaining demands.
func (p *Planner) SubtractSupply(spares []Demand) []Demand {
	var left []Demand
	for i := range spares {
		d := spares[i].Clone()
		for _, supply := range p.Supplies {
			for range min(p.replicasThatFitOn(supply, &d), d.AllowedIn(supply.Zone)) {
				d.assignTo(supply.Zone)
			}
		}
		if d.Count > 0 {
			left = append(left, d)
		}
	}
	return left
}

// replicasThatFit returns how many more replicas of a service fit on the machines of its job
// shard.
func (p *Planner) replicasThatFit(d *Demand) int {
	count := 0
	for _, supply := range p.Supplies {
		count += p.replicasThatFitOn(supply, d)
	}
	return count
}

// replicasThatFitOn returns how many more replicas of a demand fit on a machine beside the
// services there. For tasks that cannot preempt the machine's other tasks, the number is an
// upper bound.
func (p *Planner) replicasThatFitOn(supply *Supply, d *Demand) int {
	if !supply.Schedulable || supply.Shard != d.Shard || !p.eligible(supply, d.Job) {
		return 0
	}
	count := 0
	for free := supply.freeBesideServices; free.Fits(d.Job); count++ {
		free.Subtract(d.Job)
	}
	return count
}
