package autoscaler

import (
	"slices"
	"strings"

	"rockrun/internal/storage"
)

// Demand is a number of equal tasks of one job shard that wait for machines.
type Demand struct {
	Job   *storage.Job
	Shard int
	Count int
	// Spare marks room that is kept for tasks which have not come yet.
	Spare bool
	// InPartitionedZone is how many of the tasks are replicas in a partitioned zone: their
	// agents' leases run out.
	InPartitionedZone int

	zoneCapacity []int // how many more may be in a zone, by index; nil: no bound
}

// AllowedIn is how many of the tasks may go to a zone.
func (d *Demand) AllowedIn(zone int) int {
	if d.zoneCapacity == nil {
		return d.Count
	}
	if zone >= len(d.zoneCapacity) { // a zone that was not known when they were counted
		if d.Job.OneZone {
			return 0
		}
		return d.Count
	}
	return min(d.Count, d.zoneCapacity[zone])
}

// Clone is a copy that can be served without a change of the original.
func (d Demand) Clone() Demand {
	d.zoneCapacity = slices.Clone(d.zoneCapacity)
	return d
}

// take takes off one task that goes to a zone.
func (d *Demand) take(zone int) {
	d.Count--
	if zone < len(d.zoneCapacity) {
		d.zoneCapacity[zone]--
	}
}

// restrictTo lets the tasks go to no other zone.
func (d *Demand) restrictTo(zone int) {
	d.zoneCapacity = make([]int, max(zone+1, len(d.zoneCapacity)))
	d.zoneCapacity[zone] = d.Count
}

// spread lets at most half of the tasks, rounded up, go to each of a number of zones.
func (d *Demand) spread(zones int) {
	d.zoneCapacity = make([]int, zones)
	for zone := range d.zoneCapacity {
		d.zoneCapacity[zone] = (d.Count + 1) / 2
	}
}

// Unmet is the demand for which there are no machines, in the order in which it is served.
type Unmet []Demand

// Shards are the job shards whose work waits.
func (u Unmet) Shards() map[int]bool {
	shards := map[int]bool{}
	for i := range u {
		shards[u[i].Shard] = true
	}
	return shards
}

// TakeShardFor is the job shard whose work waits for the like of a machine of another
// shard, or -1. What the machine would serve is taken off that work.
func (u Unmet) TakeShardFor(m *storage.Machine, view *storage.View) int {
	for i := range u {
		d := &u[i]
		if d.Shard == m.Shard || d.Count <= 0 || d.Job.Ended() || !view.Eligible(d.Job, m) {
			continue
		}
		d.Count -= TasksPerMachine(&view.MachineTypes[m.TypeIndex], d.Job)
		return d.Shard
	}
	return -1
}

// taskShape is what makes demands alike.
type taskShape struct {
	shard, zone        int
	spot, spread       bool
	cpus, gpus, memory float64
	types              string
}

// shapeOf is the shape of a demand's tasks.
func shapeOf(d *Demand) taskShape {
	j := d.Job
	return taskShape{
		shard: d.Shard, zone: j.ZoneIndex, spot: j.Spot, spread: j.Spread && j.Tasks > 1,
		cpus: j.CPUs, gpus: j.GPUs, memory: j.MemoryGB, types: strings.Join(j.Types, " "),
	}
}

// mergeEqual joins demands of the same shape, in the place of the first.
func mergeEqual(list []Demand) []Demand {
	index := map[taskShape]int{}
	var merged []Demand
	for i := range list {
		d := &list[i]
		shape := shapeOf(d)
		if first, ok := index[shape]; ok {
			merged[first].Count += d.Count
			merged[first].InPartitionedZone += d.InPartitionedZone
			continue
		}
		index[shape] = len(merged)
		merged = append(merged, *d)
	}
	return merged
}
