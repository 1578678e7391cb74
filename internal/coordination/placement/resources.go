package placement

import (
	"slices"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// Resources is an amount of resources that a machine offers or a task uses. Free resources
// are negative if a machine has less than the records allocate to its tasks.
type Resources struct {
	CPUs, GPUs, MemoryGB float64
	// TaskSlots is a number of tasks. A machine has a limited number of slots, because its
	// agent's heartbeats list all of its tasks.
	TaskSlots int
}

// MachineCapacity returns the resources of an empty machine of a type.
func MachineCapacity(t *protocol.MachineType) Resources {
	return Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB, TaskSlots: protocol.MaxTasksPerMachine}
}

// TaskResources returns the resources that one task of a job uses.
func TaskResources(j *storage.Job) Resources {
	return Resources{CPUs: j.CPUs, GPUs: j.GPUs, MemoryGB: j.MemoryGB, TaskSlots: 1}
}

// Fits reports whether one task of the job fits into r.
func (r Resources) Fits(j *storage.Job) bool { return r.Covers(TaskResources(j)) }

// Covers reports whether r has at least as much of every resource as need.
func (r Resources) Covers(need Resources) bool {
	const tolerance = storage.RoundingTolerance
	return need.CPUs <= r.CPUs+tolerance && need.GPUs <= r.GPUs+tolerance && need.MemoryGB <= r.MemoryGB+tolerance &&
		need.TaskSlots <= r.TaskSlots
}

// Count returns how many tasks of the job fit into r, at most the job's number of tasks.
func (r Resources) Count(j *storage.Job) int {
	count := 0
	for r.Fits(j) && count < j.Tasks {
		r.Subtract(j)
		count++
	}
	return count
}

// Subtract subtracts the resources of one task of the job.
func (r *Resources) Subtract(j *storage.Job) {
	r.CPUs -= j.CPUs
	r.GPUs -= j.GPUs
	r.MemoryGB -= j.MemoryGB
	r.TaskSlots--
}

// Add adds the resources of one task of the job.
func (r *Resources) Add(j *storage.Job) {
	r.CPUs += j.CPUs
	r.GPUs += j.GPUs
	r.MemoryGB += j.MemoryGB
	r.TaskSlots++
}

// Min returns the minimum of r and o for each resource.
func (r Resources) Min(other Resources) Resources {
	return Resources{
		CPUs:      min(r.CPUs, other.CPUs),
		GPUs:      min(r.GPUs, other.GPUs),
		MemoryGB:  min(r.MemoryGB, other.MemoryGB),
		TaskSlots: min(r.TaskSlots, other.TaskSlots),
	}
}

// Dominates reports whether every machine that can run a task of a can also run a task of b:
// a uses at least as much of every resource, and a may run only where b may run too.
func Dominates(a, b *storage.Job) bool {
	if a.Shard != b.Shard || a.CPUs < b.CPUs || a.GPUs < b.GPUs || a.MemoryGB < b.MemoryGB {
		return false
	}
	if a.Spot && !b.Spot || b.ZoneIndex >= 0 && a.ZoneIndex != b.ZoneIndex {
		return false
	}
	return len(b.MachineTypeIndices) == 0 || slices.Equal(a.MachineTypeIndices, b.MachineTypeIndices)
}
