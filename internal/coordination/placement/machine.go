package placement

import (
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// Fleet describes the machines of a shard's holder to placement. M is the type by which the
// holder identifies a machine. Results reflect the holder's current state, including tasks
// placed earlier in the same round.
type Fleet[M comparable] interface {
	// Machines returns all machines, sorted by name.
	Machines() []M
	// Free returns the unallocated resources of the machine.
	Free(machine M) Resources
	// Zone returns the index of the machine's zone.
	Zone(machine M) int
	// Eligible reports whether tasks of the job may run on the machine at all: the machine
	// belongs to the job's own shard, and the job allows its type, zone and market.
	Eligible(machine M, j *storage.Job) bool
	// Schedulable reports whether the machine accepts new tasks now.
	Schedulable(machine M) bool
	// Booting reports whether the machine is new and its agent has not sent a heartbeat yet.
	Booting(machine M) bool
	// ListsTask reports whether the machine's agent still lists an earlier attempt at the
	// task. The agent would reject another attempt at it.
	ListsTask(machine M, j *storage.Job, task int) bool
	// Traits returns the properties by which the machine is scored for a task of the job.
	Traits(machine M, j *storage.Job) MachineTraits
	// ServiceCPUs returns the CPUs of all service replicas on all machines.
	ServiceCPUs() float64
	// AppendRunning appends the attempts that may be on the machine to list.
	AppendRunning(list []RunningAttempt, machine M) []RunningAttempt
}

// MachineTraits holds the properties by which a machine is scored for a task.
type MachineTraits struct {
	Type        *protocol.MachineType
	Spot        bool
	Slow        bool    // runs tasks much more slowly than other machines
	ImageCached bool    // has the task's image
	UsedCPUs    float64 // allocated to all tasks on the machine
	ServiceCPUs float64 // allocated to service replicas on the machine
}

// Score components of a machine for a task; the machine with the highest sum wins.
// slowPenalty and spotBonus each outweigh all components after them combined. The remaining
// components trade off against each other.
const (
	// slowPenalty makes a slow machine the last resort.
	slowPenalty = 5000
	// spotBonus prefers spot machines where the job allows them, because on-demand machines
	// cost more.
	spotBonus = 1000
	// cachedBonus prefers machines that have the task's image: the task starts at once.
	cachedBonus = 100
	// fetchPenalty is the penalty for each second of image fetching. maxFetchPenalty caps
	// the total.
	fetchPenalty    = 10
	maxFetchPenalty = 80
	// fullnessBonus is multiplied by the allocated fraction of the machine's CPUs. It
	// prefers the fullest machine, so that other machines become empty and can be scaled in.
	fullnessBonus = 50
	// crowdingPenalty applies where one machine would run more than 1/serviceCPUDivisor of
	// all service CPUs, because those replicas could be lost together.
	crowdingPenalty   = 120
	serviceCPUDivisor = 4
)

// Score returns the score of the machine for a task of the job. serviceCPUs is the CPUs of
// all service replicas on all machines.
func (m *MachineTraits) Score(j *storage.Job, serviceCPUs float64) float64 {
	score := 0.0
	if m.Slow {
		score -= slowPenalty
	}
	if m.Spot {
		score += spotBonus
	}
	if m.ImageCached {
		score += cachedBonus
	} else if m.Type.FetchGBPS > 0 {
		score -= min(fetchPenalty*j.ImageGB/m.Type.FetchGBPS, maxFetchPenalty)
	}
	if !j.IsService() {
		return score + fullnessBonus*m.UsedCPUs/m.Type.CPUs
	}
	// Replicas are placed next to other replicas: a lone replica would prevent the scale-in
	// of a machine created for a burst of other work. The crowding penalty keeps them from
	// all running on one machine, whose failure would stop them all.
	score += fullnessBonus * m.ServiceCPUs / m.Type.CPUs
	if m.ServiceCPUs+j.CPUs > serviceCPUs/serviceCPUDivisor && m.ServiceCPUs > 0 {
		score -= crowdingPenalty
	}
	return score
}

// Choose picks the machine for a task: the first one with the highest score among those
// listed that can run the task. attemptsByZone counts the attempts at the job's tasks in each
// zone. Choose returns found = false if no listed machine can run the task.
func Choose[M comparable](fleet Fleet[M], machines []M, j *storage.Job, task int, attemptsByZone []int) (best M, found bool) {
	var bestScore float64
	serviceCPUs := fleet.ServiceCPUs()
	for _, machine := range machines {
		if !fleet.Free(machine).Fits(j) || !allowed(fleet, machine, j, attemptsByZone) || fleet.ListsTask(machine, j, task) || !fleet.Schedulable(machine) {
			continue
		}
		traits := fleet.Traits(machine, j)
		if score := traits.Score(j, serviceCPUs); !found || score > bestScore {
			best, bestScore, found = machine, score, true
		}
	}
	return best, found
}

// allowed reports whether a task of the job may start on the machine, regardless of free
// resources. Only machines of the job's own shard are allowed, even if the controller holds
// several shards. The shards may later have different holders, and the holder of a job shard
// must hold every machine on which the shard's jobs may run; otherwise it would not count
// the attempts there.
func allowed[M comparable](fleet Fleet[M], machine M, j *storage.Job, attemptsByZone []int) bool {
	if !fleet.Eligible(machine, j) {
		return false
	}
	return !j.OneZone && !j.Spread || allowedInZone(j, fleet.Zone(machine), attemptsByZone)
}

// allowedInZone reports whether another task of a one-zone or spread job may run in the
// zone. attemptsByZone counts every attempt that may be on a machine, including unconfirmed
// attempts.
func allowedInZone(j *storage.Job, zone int, attemptsByZone []int) bool {
	inZone, elsewhere := 0, 0
	for z, count := range attemptsByZone {
		if z == zone {
			inZone = count
		} else {
			elsewhere += count
		}
	}
	if j.OneZone && elsewhere > 0 {
		return false
	}
	return !j.Spread || inZone+1 <= (j.Tasks+1)/2
}
