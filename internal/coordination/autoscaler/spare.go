package autoscaler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rockrun/internal/storage"
)

// Arrivals are counted in bins. The fullest quarter of the bins is ignored, so that the
// initial burst of submissions to a new cluster does not count as an arrival rate.
const (
	arrivalBin  = 10 * time.Second
	arrivalBins = 12
)

// arrivals counts replicas by the time since they became ready to start; the first bin is the
// most recent.
type arrivals [arrivalBins]int

// SpareDemands lists the replicas for which spare capacity is reserved, so that they can
// start without waiting for a machine to boot. Each shape of runnable service gets one entry.
// Its count is SpareReplicas, or the number of services of the shape if that is lower, but at
// least the number of replicas expected to arrive while a machine boots. Replicas on suspect
// machines (silent, unresponsive, faulty or to be terminated by the cloud) are added, so that
// new machines are booting before the replicas are confirmed lost.
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
		if d.Job.Spread && d.Count > 1 { // the replicas need capacity in more than one zone
			d.spread(f.View.ZoneNames.Len())
		}
	}
	return spares
}

// services lists the runnable services sorted by ID, as demands for one replica each.
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

// arrivalsByShape counts the replicas of each shape that became ready to start recently.
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

// suspectReplicas lists the replicas on suspect machines.
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

// expectedReplicas estimates how many replicas of a service's shape arrive while a machine
// for them boots: twice the mean plus two standard deviations.
func (f *Fleet) expectedReplicas(j *storage.Job, arrived *arrivals) int {
	sum := 0
	for _, count := range slices.Sorted(slices.Values(arrived[:]))[:arrivalBins*3/4] {
		sum += count
	}
	rate := float64(sum) / (arrivalBin.Seconds() * arrivalBins * 3 / 4) // replicas per second
	expected := rate * f.shortestBootSeconds(j) * 2
	return int(math.Ceil(expected + 2*math.Sqrt(expected*float64(max(j.Tasks, 1)))))
}

// shortestBootSeconds returns the shortest boot time of the machine types that fit a job; 0
// if none fits.
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
