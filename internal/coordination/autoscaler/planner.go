package autoscaler

import (
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// Planner weighs demand against supply for one decision on scale-out. Serving demands uses
// up what the supplies have to offer, and planning uses up what is allowed.
type Planner struct {
	Catalogue
	Supplies []*Supply
	// Unavailable reports whether a pool is not to be asked for machines now.
	Unavailable     func(Pool) bool
	MachinesByPool  map[Pool]int
	SoleTypes       map[int]bool // machine types that are the only ones for some work
	MachinesAllowed int          // machines that may still be rented
	CallsAllowed    int          // calls to the cloud that may still be made
	// ScaleOutPatience is how many boot times of a new machine arrays wait for those that
	// are there.
	ScaleOutPatience float64
	// StartSlackSeconds is how long a task of a job may wait to be in time; nil: for ever.
	StartSlackSeconds func(j *storage.Job) float64

	waitingServices map[taskShape]int // services of a shape that wait, all together
}

// Unmet serves demands in their order from the supply and returns what is left over.
// Machines that boot count as supply.
func (p *Planner) Unmet(demands []Demand) Unmet {
	var unmet Unmet
	for i := range demands {
		demand := demands[i].Clone()
		p.settleZone(&demand)
		for _, x := range p.Supplies {
			if demand.Count == 0 {
				break
			}
			p.Fill(x, &demand)
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

// Fill gives a machine as much of a demand as it takes.
func (p *Planner) Fill(x *Supply, d *Demand) {
	const wholeRun = 1
	for x.Schedulable && x.Shard == d.Shard && d.AllowedIn(x.Zone) > 0 && p.hasRoomFor(x, d.Job) {
		x.take(d.Job)
		x.reserve(&p.MachineTypes[x.MachineType], d.Job, wholeRun)
		d.take(x.Zone)
	}
}

// hasRoomFor reports whether a task of a job fits on a machine.
func (p *Planner) hasRoomFor(x *Supply, j *storage.Job) bool {
	room := x.free
	if j.IsService() {
		room = x.freeBesideServices
	}
	return room.Fits(j) && p.eligible(x, j)
}

// eligible reports whether a job's tasks may be on a machine, room aside.
func (p *Planner) eligible(x *Supply, j *storage.Job) bool {
	return (!x.Spot || j.Spot) && (j.ZoneIndex < 0 || j.ZoneIndex == x.Zone) && p.Fits(j, x.MachineType)
}

// settleZone settles on a zone for tasks that must share one and of which none has been
// placed yet: the one with most room, where that is worth waiting for more.
func (p *Planner) settleZone(demand *Demand) {
	const worthWaitingFor = 4 // room for one in so many
	if !demand.Job.OneZone || demand.zoneCapacity != nil {
		return
	}
	room := map[int]int{}
	best := -1
	for _, x := range p.Supplies {
		room[x.Zone] += p.replicasThatFitOn(x, demand)
		if best < 0 || room[x.Zone] > room[best] || room[x.Zone] == room[best] && x.Zone < best {
			best = x.Zone
		}
	}
	if best >= 0 && room[best]*worthWaitingFor >= demand.Count {
		demand.restrictTo(best)
	}
}

// subtractTurnover takes off a demand what machines that are there will have served by the
// time a new one could start on it: renting for that would only add machines that come up
// to an empty queue.
func (p *Planner) subtractTurnover(demand *Demand) {
	if demand.Job.Kind != protocol.KindArray {
		return
	}
	horizonSeconds, ok := p.turnoverHorizonSeconds(demand)
	if !ok {
		return
	}
	fraction := 0.0 // of a task that a machine has time for beyond whole ones: few have time for just whole ones
	for _, supply := range p.Supplies {
		if !p.servesInTurns(supply, demand) {
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

// turnoverHorizonSeconds is how long a demand may wait for the machines that are there. It
// is false where no new machine is to be had at all.
func (p *Planner) turnoverHorizonSeconds(demand *Demand) (seconds float64, ok bool) {
	const slackShare = 0.6 // the rest is for what takes longer than estimated
	pool, _, ok := p.CheapestPool(demand, nil)
	if !ok {
		return 0, false
	}
	bootSeconds := p.MachineTypes[pool.MachineType].BootSeconds
	seconds = bootSeconds * p.ScaleOutPatience
	if p.StartSlackSeconds != nil {
		seconds = min(seconds, slackShare*max(bootSeconds, p.StartSlackSeconds(demand.Job)))
	}
	return seconds, true
}

// servesInTurns reports whether a machine serves tasks of an array one after the other.
// Beside the services there must be room for one: a machine that always has a replica on
// it never serves a task that takes all of it.
func (p *Planner) servesInTurns(x *Supply, d *Demand) bool {
	return x.Schedulable && x.Shard == d.Shard && d.AllowedIn(x.Zone) >= 1 && p.eligible(x, d.Job) && x.freeBesideServices.Fits(d.Job)
}

// SubtractSupply takes off demands for spare replicas what there is room for, and returns
// those that are left.
func (p *Planner) SubtractSupply(spares []Demand) []Demand {
	var left []Demand
	for i := range spares {
		d := spares[i].Clone()
		for _, x := range p.Supplies {
			for range min(p.replicasThatFitOn(x, &d), d.AllowedIn(x.Zone)) {
				d.take(x.Zone)
			}
		}
		if d.Count > 0 {
			left = append(left, d)
		}
	}
	return left
}

// replicasThatFit is for how many more replicas of a service its job shard has room.
func (p *Planner) replicasThatFit(d *Demand) int {
	count := 0
	for _, x := range p.Supplies {
		count += p.replicasThatFitOn(x, d)
	}
	return count
}

// replicasThatFitOn is for how many more replicas of a service a machine has room.
func (p *Planner) replicasThatFitOn(x *Supply, d *Demand) int {
	if !x.Schedulable || x.Shard != d.Shard || !p.eligible(x, d.Job) {
		return 0
	}
	count := 0
	for room := x.freeBesideServices; room.Fits(d.Job); count++ {
		room.Subtract(d.Job)
	}
	return count
}
