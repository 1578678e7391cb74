package placement

import (
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// Fleet is what placement needs to know of the machines of a shard's holder. M is how the
// holder names a machine. Answers follow from what the holder knows now, tasks placed in
// the same round included.
type Fleet[M comparable] interface {
	// Machines lists all machines, by name.
	Machines() []M
	// Free is what the machine has left.
	Free(machine M) Resources
	// Zone is the index of the machine's zone.
	Zone(machine M) int
	// Eligible reports whether a task of the job may ever be on the machine: it is of the
	// job's own shard, and of a type, zone and kind that the job names.
	Eligible(machine M, j *storage.Job) bool
	// Schedulable reports whether the machine takes new tasks now.
	Schedulable(machine M) bool
	// Booting reports whether the machine is new and has not been heard of yet.
	Booting(machine M) bool
	// ListsTask reports whether the machine still lists an earlier attempt at a task,
	// because of which it would refuse another.
	ListsTask(machine M, j *storage.Job, task int) bool
	// Describe says what weighs in the choice of a machine for a task of the job.
	Describe(machine M, j *storage.Job) Machine
	// ServiceCPUs is what all replicas on all machines take.
	ServiceCPUs() float64
	// AppendRunning appends the attempts that may be on the machine to a list.
	AppendRunning(list []Running, machine M) []Running
}

// Machine is what weighs in the choice of a machine for a task.
type Machine struct {
	Type        *protocol.MachineType
	Spot        bool
	Slow        bool    // takes much longer for its tasks than others
	ImageCached bool    // has the image of the task
	UsedCPUs    float64 // by all tasks on it
	ServiceCPUs float64 // by the replicas among them
}

// Scores of a machine for a task; the highest total wins. Each of the first two outweighs
// all that follow together; the others are weighed against each other.
const (
	// slowPenalty: only where there is nothing else.
	slowPenalty = 5000
	// spotBonus: spot before ordinary machines, which are dearer, where the job allows it.
	spotBonus = 1000
	// cachedBonus: a task whose image is there starts at once.
	cachedBonus = 100
	// fetchPenalty is what a second of fetching the image weighs against a fuller
	// machine, and maxFetchPenalty the most that all of them do.
	fetchPenalty    = 10
	maxFetchPenalty = 80
	// fullnessBonus, times the part of the CPUs that is taken: the fullest machine first,
	// so that others empty and can be given back.
	fullnessBonus = 50
	// crowdingPenalty keeps more than a part of all replicas (1/maxServiceParts) from one
	// machine, with which they may be lost together.
	crowdingPenalty = 120
	maxServiceParts = 4
)

// Score rates a machine for a task of a job. serviceCPUs is what all replicas on all
// machines take.
func (m *Machine) Score(j *storage.Job, serviceCPUs float64) float64 {
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
	// Beside other services: one alone would keep a machine that was rented for a burst
	// of other work from going back. But not all on one, which may die with them.
	score += fullnessBonus * m.ServiceCPUs / m.Type.CPUs
	if m.ServiceCPUs+j.CPUs > serviceCPUs/maxServiceParts && m.ServiceCPUs > 0 {
		score -= crowdingPenalty
	}
	return score
}

// Choose picks the machine for a task among those listed: of the ones that take it, the
// first with the highest score. attemptsByZone counts the attempts at the job's tasks. It
// is false where none takes the task.
func Choose[M comparable](fleet Fleet[M], machines []M, j *storage.Job, task int, attemptsByZone []int) (best M, found bool) {
	var bestScore float64
	serviceCPUs := fleet.ServiceCPUs()
	for _, machine := range machines {
		if !fleet.Free(machine).Fits(j) || !allowed(fleet, machine, j, attemptsByZone) || fleet.ListsTask(machine, j, task) || !fleet.Schedulable(machine) {
			continue
		}
		traits := fleet.Describe(machine, j)
		if score := traits.Score(j, serviceCPUs); !found || score > bestScore {
			best, bestScore, found = machine, score, true
		}
	}
	return best, found
}

// allowed reports whether a machine is one that a task of the job may start on, room
// aside. Only machines of the job's own shard are, even for a controller that holds
// several: the shards may part again, and whoever holds a job shard must hold everything
// that its jobs may be on, or it would not count it.
func allowed[M comparable](fleet Fleet[M], machine M, j *storage.Job, attemptsByZone []int) bool {
	if !fleet.Eligible(machine, j) {
		return false
	}
	return !j.OneZone && !j.Spread || allowedInZone(j, fleet.Zone(machine), attemptsByZone)
}

// allowedInZone reports whether one more task of a job that is bound to one zone, or
// spread over zones, may be in a zone. Tasks that may be on a machine anywhere count, also
// those of which that is not confirmed.
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
