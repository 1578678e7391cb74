package autoscaler

import (
	"rockrun/internal/coordination/placement"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// Supply is a machine as it is counted here: what it will offer to new work.
type Supply struct {
	Pool
	Machine      *storage.Machine // nil while no record names it
	Shard        int
	HostsService bool
	Ready        bool // up, and under its holder's grant
	Schedulable  bool // may take new tasks
	Suspect      bool // silent, or must go
	MustLeave    bool // faulty, or the cloud takes it back

	free               placement.Resources
	freeBesideServices placement.Resources // what is left beside services: other work gives way to them

	// For arrays a machine is supply over time as well, counted in machine-seconds from
	// now on.
	bootSecondsLeft float64 // until it is up
	serviceShare    float64 // share that services hold
	reservedSeconds float64 // machine-seconds that arrays have yet to use
}

// NewSupply is a machine that is not up yet, or not even asked for.
func NewSupply(t *protocol.MachineType, pool Pool, shard int) *Supply {
	capacity := placement.MachineCapacity(t)
	return &Supply{
		Pool: pool, Shard: shard, Schedulable: true,
		free: capacity, freeBesideServices: capacity, bootSecondsLeft: t.BootSeconds,
	}
}

// host takes off what a task that is on the machine uses.
func (x *Supply) host(t *protocol.MachineType, j *storage.Job) {
	const remaining = 0.5 // of an array's task that may be anywhere in its run
	x.take(j)
	x.HostsService = x.HostsService || j.IsService()
	x.reserve(t, j, remaining)
}

// take takes off the room of one task.
func (x *Supply) take(j *storage.Job) {
	x.free.Subtract(j)
	if j.IsService() {
		x.freeBesideServices.Subtract(j)
	}
}

// reserve adds a task to what a machine is busy with, of which the given part is still to
// run.
func (x *Supply) reserve(t *protocol.MachineType, j *storage.Job, remaining float64) {
	if j.IsService() {
		x.serviceShare += machineShare(t, j)
	} else {
		x.reservedSeconds += machineSeconds(t, j) * remaining
	}
}

// BookedShare is the booked part of the machine's CPUs.
func (x *Supply) BookedShare(types []protocol.MachineType) float64 {
	return 1 - x.free.CPUs/max(types[x.MachineType].CPUs, minCPUs)
}

// minCPUs keeps a machine type of which only the name is known from being divided by.
const minCPUs = 1e-9

// BookedShare is the booked part of the CPUs of all machines that take new tasks; 1 where
// there are none.
func BookedShare(supplies []*Supply, types []protocol.MachineType) float64 {
	total, free := 0.0, 0.0
	for _, x := range supplies {
		if x.Schedulable {
			total += types[x.MachineType].CPUs
			free += max(x.free.CPUs, 0)
		}
	}
	if total == 0 {
		return 1
	}
	return 1 - free/total
}

// CountByPool counts machines by pool.
func CountByPool(supplies []*Supply) map[Pool]int {
	counts := map[Pool]int{}
	for _, x := range supplies {
		counts[x.Pool]++
	}
	return counts
}
