package autoscaler

import (
	"slices"
	"strings"

	"rockrun/internal/storage"
)

// Demand is a number of pending tasks in one job shard that need the same resources.
type Demand struct {
	Job   *storage.Job
	Shard int
	Count int
	// Spare marks capacity that is reserved for tasks not submitted yet.
	Spare bool
	// InPartitionedZone is how many of the tasks are replicas in a partitioned zone, where
	// the leases of the agents are running out.
	InPartitionedZone int

	zoneCapacity []int // how many more tasks each zone may receive, by index; nil: no limit
}

// AllowedIn returns how many of the tasks may be placed in a zone.
func (d *Demand) AllowedIn(zone int) int {
	if d.zoneCapacity == nil {
		return d.Count
	}
	if zone >= len(d.zoneCapacity) { // the zone was added after the tasks were counted
		if d.Job.OneZone {
			return 0
		}
		return d.Count
	}
	return min(d.Count, d.zoneCapacity[zone])
}

// Clone returns a copy that can be reduced without changing the original.
func (d Demand) Clone() Demand {
	d.zoneCapacity = slices.Clone(d.zoneCapacity)
	return d
}

// assignTo assigns one task to a zone and subtracts it from the demand.
func (d *Demand) assignTo(zone int) {
	d.Count--
	if zone < len(d.zoneCapacity) {
		d.zoneCapacity[zone]--
	}
}

// restrictTo restricts the tasks to one zone.
func (d *Demand) restrictTo(zone int) {
	d.zoneCapacity = make([]int, max(zone+1, len(d.zoneCapacity)))
	d.zoneCapacity[zone] = d.Count
}

// spread allows at most half of the tasks, rounded up, in each of the given number of zones.
func (d *Demand) spread(zones int) {
	d.zoneCapacity = make([]int, zones)
	for zone := range d.zoneCapacity {
		d.zoneCapacity[zone] = (d.Count + 1) / 2
	}
}

// Unmet is the demand that exceeds the supply, in the order in which it is served.
type Unmet []Demand

// Shards returns the job shards that have unmet demand.
func (u Unmet) Shards() map[int]bool {
	shards := map[int]bool{}
	for i := range u {
		shards[u[i].Shard] = true
	}
	return shards
}

// AssignShardFor returns the first job shard with unmet demand that a machine of another shard
// could serve, or -1. It subtracts from that demand the tasks that fit on the machine.
func (u Unmet) AssignShardFor(m *storage.Machine, view *storage.View) int {
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

// taskShape holds the properties of a demand that determine which machines can serve it.
type taskShape struct {
	shard, zone        int
	spot, spread       bool
	cpus, gpus, memory float64
	types              string
}

// shapeOf returns the shape of a demand's tasks.
func shapeOf(d *Demand) taskShape {
	j := d.Job
	return taskShape{
		shard: d.Shard, zone: j.ZoneIndex, spot: j.Spot, spread: j.Spread && j.Tasks > 1,
		cpus: j.CPUs, gpus: j.GPUs, memory: j.MemoryGB, types: strings.Join(j.Types, " "),
	}
}

// mergeEqual merges demands of the same shape into the first demand of that shape.
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
