package autoscaler

import (
	"math"

	"rockrun/internal/coordination/placement"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// Pool identifies the machines that are interchangeable for the autoscaler: machine type,
// zone and market (spot or on-demand).
type Pool struct {
	MachineType int // index into the machine types of the view
	Zone        int // index into the zones of the view
	Spot        bool
}

// Catalogue describes the machine types and zones that the cloud offers.
type Catalogue struct {
	MachineTypes []protocol.MachineType // by index; CPUs is 0 for a type of which only the name is known
	// ZoneIndex returns the index of the named zone.
	ZoneIndex func(name string) int
	// Fits reports whether a job allows a machine type and a task of the job fits on an empty
	// machine of the type.
	Fits func(j *storage.Job, machineType int) bool
}

// CatalogueOf returns the catalogue of the machine types and zones in a view.
func CatalogueOf(view *storage.View) Catalogue {
	return Catalogue{MachineTypes: view.MachineTypes, ZoneIndex: view.ZoneNames.Index, Fits: view.FitsMachineType}
}

// hourlyPrice returns the price of a machine of a type per hour.
func hourlyPrice(t *protocol.MachineType, spot bool) float64 {
	if spot {
		return t.HourlySpotPrice
	}
	return t.HourlyPrice
}

// TasksPerMachine returns how many tasks of a job fit on an empty machine of a type; 0 for
// tasks that need no resources.
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
	return int(min(count, protocol.MaxTasksPerMachine))
}

// machineShare returns the fraction of a machine of a type that one task occupies.
func machineShare(t *protocol.MachineType, j *storage.Job) float64 {
	if count := TasksPerMachine(t, j); count > 0 {
		return 1 / float64(count)
	}
	return 1
}

// machineSeconds returns the expected run time of one task of a job multiplied by the
// fraction of a machine of a type that the task occupies.
func machineSeconds(t *protocol.MachineType, j *storage.Job) float64 {
	return machineShare(t, j) * placement.ExpectedRunSeconds(j)
}
