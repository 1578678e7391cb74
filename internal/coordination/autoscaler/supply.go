package autoscaler

import (
	"rockrun/internal/coordination/placement"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// Supply describes the resources that a machine will offer to new tasks.
type Supply struct {
	Pool
	Machine      *storage.Machine // nil while the machine has no record
	Shard        int
	HostsService bool
	Ready        bool // the agent has sent a heartbeat under its holder's current grant
	Schedulable  bool // may receive new tasks
	Suspect      bool // silent, unresponsive or MustDrain
	MustDrain    bool // faulty, or the cloud has announced its termination

	free               placement.Resources
	freeBesideServices placement.Resources // not occupied by services, which preempt other tasks

	// For arrays, supply is also counted in machine-seconds from now on, because a machine
	// serves tasks one after another.
	bootSecondsLeft float64 // until the machine is up
	serviceShare    float64 // fraction of the machine that services occupy
	reservedSeconds float64 // machine-seconds that assigned array tasks still need
}

// NewSupply returns the supply of a machine that is booting or not created yet.
func NewSupply(t *protocol.MachineType, pool Pool, shard int) *Supply {
	capacity := placement.MachineCapacity(t)
	return &Supply{
		Pool: pool, Shard: shard, Schedulable: true,
		free: capacity, freeBesideServices: capacity, bootSecondsLeft: t.BootSeconds,
	}
}

// addTask subtracts the resources of a task that is on the machine.
func (s *Supply) addTask(t *protocol.MachineType, j *storage.Job) {
	const remaining = 0.5 // expected fraction of an array task's run that remains, as its progress is unknown
	s.allocate(j)
	s.HostsService = s.HostsService || j.IsService()
	s.reserveTime(t, j, remaining)
}

// allocate subtracts the resources of one task.
func (s *Supply) allocate(j *storage.Job) {
	s.free.Subtract(j)
	if j.IsService() {
		s.freeBesideServices.Subtract(j)
	}
}

// reserveTime adds a task to the machine's load over time; remaining is the fraction of the
// task's run that is left.
func (s *Supply) reserveTime(t *protocol.MachineType, j *storage.Job, remaining float64) {
	if j.IsService() {
		s.serviceShare += machineShare(t, j)
	} else {
		s.reservedSeconds += machineSeconds(t, j) * remaining
	}
}

// BookedShare returns the booked fraction of the machine's CPUs.
func (s *Supply) BookedShare(types []protocol.MachineType) float64 {
	return 1 - s.free.CPUs/max(types[s.MachineType].CPUs, minCPUs)
}

// minCPUs avoids a division by zero for machine types of which only the name is known.
const minCPUs = 1e-9

// BookedShare returns the booked fraction of the CPUs of all schedulable machines; 1 if there
// are none.
func BookedShare(supplies []*Supply, types []protocol.MachineType) float64 {
	total, free := 0.0, 0.0
	for _, supply := range supplies {
		if supply.Schedulable {
			total += types[supply.MachineType].CPUs
			free += max(supply.free.CPUs, 0)
		}
	}
	if total == 0 {
		return 1
	}
	return 1 - free/total
}

// CountByPool returns the number of machines in each pool.
func CountByPool(supplies []*Supply) map[Pool]int {
	counts := map[Pool]int{}
	for _, supply := range supplies {
		counts[supply.Pool]++
	}
	return counts
}
