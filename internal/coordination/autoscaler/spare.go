package autoscaler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rockrun/internal/storage"
)

// Arrivals are counted in bins; the fullest quarter of them is left out, so that the wave
// in which a cluster is filled for the first time is not taken for a rate.
const (
	arrivalBin  = 10 * time.Second
	arrivalBins = 12
)

// arrivals are how many replicas have come, by age: the first bin is the youngest.
type arrivals [arrivalBins]int

// SpareDemands lists the services whose next replicas must find room at once: one entry
// for every shape of running service, with the number of replicas: some at least, and as
// many as are likely to come while a machine boots. Those on machines that have fallen
// silent or that the cloud takes back come on top, so that room is on its way before they
// are known to be lost.
func (f *Fleet) SpareDemands(supplies []*Supply) []Demand {
	services := f.services()
	shapes := mergeEqual(services)
	arrived := f.arrivalsByShape(shapes, services)
	for i := range shapes {
		d := &shapes[i]
		d.Count = max(min(d.Count, f.SpareReplicas), f.expectedReplicas(d.Job, arrived[shapeOf(d)]))
	}
	spares := mergeEqual(append(shapes, f.suspectReplicas(supplies)...))
	for i := range spares {
		d := &spares[i]
		d.Spare = true
		if d.Job.Spread && d.Count > 1 { // they need their room in more than one zone
			d.spread(f.View.ZoneNames.Len())
		}
	}
	return spares
}

// services lists the running services by name, with one replica each.
func (f *Fleet) services() []Demand {
	var services []Demand
	f.View.Jobs.All(func(_ int, j *storage.Job) {
		if j.Runnable() && j.IsService() && j.Shard >= 0 {
			services = append(services, Demand{Job: j, Shard: j.Shard, Count: 1})
		}
	})
	slices.SortFunc(services, func(a, b Demand) int { return cmp.Compare(a.Job.ID, b.Job.ID) })
	return services
}

// arrivalsByShape counts the replicas that have come lately.
func (f *Fleet) arrivalsByShape(shapes, services []Demand) map[taskShape]*arrivals {
	arrived := map[taskShape]*arrivals{}
	for i := range shapes {
		arrived[shapeOf(&shapes[i])] = &arrivals{}
	}
	nowMS := f.Now.UnixMilli()
	for i := range services {
		d := &services[i]
		if age := (nowMS - d.Job.ReadyAtMS()) / arrivalBin.Milliseconds(); age >= 0 && age < arrivalBins {
			arrived[shapeOf(d)][age] += d.Job.Tasks
		}
	}
	return arrived
}

// suspectReplicas lists the replicas on machines that are suspect.
func (f *Fleet) suspectReplicas(supplies []*Supply) []Demand {
	var replicas []Demand
	for _, supply := range supplies {
		if !supply.Suspect {
			continue
		}
		for _, ref := range storage.SortedTasks(supply.Machine.Intents) {
			j := f.View.Jobs.Get(ref.Job)
			if j.Ended() || !j.IsService() || j.Shard < 0 {
				continue
			}
			d := Demand{Job: j, Shard: j.Shard, Count: 1}
			if f.PartitionedZones[supply.Zone] {
				d.InPartitionedZone = 1
			}
			replicas = append(replicas, d)
		}
	}
	return replicas
}

// expectedReplicas is how many replicas of a service's shape are likely to come while a
// machine boots that could take them: twice the mean, and two standard deviations more.
func (f *Fleet) expectedReplicas(j *storage.Job, arrived *arrivals) int {
	sum := 0
	for _, count := range slices.Sorted(slices.Values(arrived[:]))[:arrivalBins*3/4] {
		sum += count
	}
	rate := float64(sum) / (arrivalBin.Seconds() * arrivalBins * 3 / 4) // a second
	expected := rate * f.shortestBootSeconds(j) * 2
	return int(math.Ceil(expected + 2*math.Sqrt(expected*float64(max(j.Tasks, 1)))))
}

// shortestBootSeconds is the boot time of the machine type for a job that is up first; 0
// where none fits.
func (f *Fleet) shortestBootSeconds(j *storage.Job) float64 {
	shortest := 0.0
	for machineType := range f.View.MachineTypes {
		bootSeconds := f.View.MachineTypes[machineType].BootSeconds
		if f.View.FitsMachineType(j, machineType) && (shortest == 0 || bootSeconds < shortest) {
			shortest = bootSeconds
		}
	}
	return shortest
}
