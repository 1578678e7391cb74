package placement

import (
	"slices"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// Resources is an amount of what a machine offers and a task takes. It may be negative
// where a machine has less than its tasks were recorded with.
type Resources struct{ CPUs, GPUs, MemoryGB float64 }

// MachineCapacity is what an empty machine of a type offers.
func MachineCapacity(t *protocol.MachineType) Resources {
	return Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}
}

// TaskNeeds is what one task of a job takes.
func TaskNeeds(j *storage.Job) Resources {
	return Resources{CPUs: j.CPUs, GPUs: j.GPUs, MemoryGB: j.MemoryGB}
}

// Fits reports whether one task of a job fits.
func (r Resources) Fits(j *storage.Job) bool { return r.Covers(TaskNeeds(j)) }

// Covers reports whether there is as much of everything as is needed.
func (r Resources) Covers(need Resources) bool {
	const tolerance = storage.RoundingTolerance
	return need.CPUs <= r.CPUs+tolerance && need.GPUs <= r.GPUs+tolerance && need.MemoryGB <= r.MemoryGB+tolerance
}

// Count is how many tasks of a job fit, at most as many as the job has.
func (r Resources) Count(j *storage.Job) int {
	count := 0
	for r.Fits(j) && count < j.Tasks {
		r.Subtract(j)
		count++
	}
	return count
}

// Subtract takes off what one task of a job takes.
func (r *Resources) Subtract(j *storage.Job) {
	r.CPUs -= j.CPUs
	r.GPUs -= j.GPUs
	r.MemoryGB -= j.MemoryGB
}

// Add adds what one task of a job takes.
func (r *Resources) Add(j *storage.Job) {
	r.CPUs += j.CPUs
	r.GPUs += j.GPUs
	r.MemoryGB += j.MemoryGB
}

// Min is the lesser of two amounts, of each resource by itself.
func (r Resources) Min(o Resources) Resources {
	return Resources{CPUs: min(r.CPUs, o.CPUs), GPUs: min(r.GPUs, o.GPUs), MemoryGB: min(r.MemoryGB, o.MemoryGB)}
}

// Dominates reports whether every place for a task of a would also be one for a task of
// b: a takes no less of anything and may go nowhere that b may not.
func Dominates(a, b *storage.Job) bool {
	if a.Shard != b.Shard || a.CPUs < b.CPUs || a.GPUs < b.GPUs || a.MemoryGB < b.MemoryGB {
		return false
	}
	if a.Spot && !b.Spot || b.ZoneIndex >= 0 && a.ZoneIndex != b.ZoneIndex {
		return false
	}
	return len(b.MachineTypeIndices) == 0 || slices.Equal(a.MachineTypeIndices, b.MachineTypeIndices)
}
