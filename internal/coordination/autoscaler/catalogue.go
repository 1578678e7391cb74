package autoscaler

import (
	"math"

	"rockrun/internal/coordination/placement"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// Pool is a kind of machine in a zone, spot or on demand.
type Pool struct {
	MachineType int // index in the view
	Zone        int // index in the view
	Spot        bool
}

// Catalogue is what can be rented.
type Catalogue struct {
	MachineTypes []protocol.MachineType // by index; no CPUs where only the name is known
	// ZoneIndex is the index of the zone with a name.
	ZoneIndex func(name string) int
	// Fits reports whether a machine type may be used for a job and holds a task of it.
	Fits func(j *storage.Job, machineType int) bool
}

// CatalogueOf is the catalogue that the records name.
func CatalogueOf(view *storage.View) Catalogue {
	return Catalogue{MachineTypes: view.MachineTypes, ZoneIndex: view.ZoneNames.ID, Fits: view.FitsMachineType}
}

// hourlyPrice is what a machine of a type costs an hour.
func hourlyPrice(t *protocol.MachineType, spot bool) float64 {
	if spot {
		return t.HourlySpotPrice
	}
	return t.HourlyPrice
}

// TasksPerMachine is for how many tasks of a job an empty machine of a type has room; 0 for
// tasks that take nothing.
func TasksPerMachine(t *protocol.MachineType, j *storage.Job) int {
	count := math.Inf(1)
	for _, resource := range []struct{ offered, needed float64 }{{t.CPUs, j.CPUs}, {t.GPUs, j.GPUs}, {t.MemoryGB, j.MemoryGB}} {
		if resource.needed > 0 {
			count = min(count, math.Floor(resource.offered/resource.needed+storage.RoundingTolerance))
		}
	}
	if math.IsInf(count, 1) {
		return 0
	}
	return int(count)
}

// machineShare is the part of a machine of a type that one task takes.
func machineShare(t *protocol.MachineType, j *storage.Job) float64 {
	if count := TasksPerMachine(t, j); count > 0 {
		return 1 / float64(count)
	}
	return 1
}

// machineSeconds is the time that one task of a job takes on a machine of a type, as if it
// had the whole machine.
func machineSeconds(t *protocol.MachineType, j *storage.Job) float64 {
	return machineShare(t, j) * placement.ExpectedRunSeconds(j)
}
