package provisioning

import (
	"rockrun/internal/storage"
)

// minPartitionedMachines is how many machines of a zone must be known before it can count
// as partitioned.
const minPartitionedMachines = 4

// machineCounts are counts of machines that single ones are judged by.
type machineCounts struct {
	held         map[int]int // by shard
	unresponsive map[int]int // of those, by shard
	known        map[int]int // heard under their grant or silent, by zone
	silent       map[int]int // of those, by zone
}

// countMachines counts machines by shard and by zone.
func (c *Config) countMachines() *machineCounts {
	counts := &machineCounts{held: map[int]int{}, unresponsive: map[int]int{}, known: map[int]int{}, silent: map[int]int{}}
	c.view().Machines.All(func(_ int, machine *storage.Machine) {
		if !machine.Exists() {
			return
		}
		status, known := c.Members.MachineStatus(machine)
		counts.held[machine.Shard]++
		if known && status.Unresponsive {
			counts.unresponsive[machine.Shard]++
		}
		// What its holder has only just taken over and not heard yet tells nothing either
		// way.
		switch {
		case !known || !status.Seen && status.Tasks == 0:
		case status.Silent > c.Members.HeartbeatTolerance():
			counts.known[machine.ZoneIndex]++
			counts.silent[machine.ZoneIndex]++
		case status.Seen:
			counts.known[machine.ZoneIndex]++
		}
	})
	return counts
}

// partitionedZones are the zones most of whose machines are silent.
func (c *machineCounts) partitionedZones() map[int]bool {
	zones := map[int]bool{}
	for zone, count := range c.known {
		if count >= minPartitionedMachines && c.silent[zone]*2 > count {
			zones[zone] = true
		}
	}
	return zones
}

// holderUnheard reports whether so many machines of a shard are unresponsive that it must be
// their holder that can't be heard.
func (c *machineCounts) holderUnheard(shard int) bool {
	const alwaysMachines = 2 // may be unresponsive of however few
	return c.unresponsive[shard] > max(alwaysMachines, c.held[shard]/2)
}

// hostsReplicas reports whether replicas may be on a machine.
func hostsReplicas(m *storage.Machine, view *storage.View) bool {
	for ref := range m.Intents {
		if j := view.Jobs.Get(ref.Job); j.IsService() && !j.Ended() {
			return true
		}
	}
	return false
}

// hostsEqualOrHigherRank reports whether anything on a machine is of the job's rank or
// above.
func hostsEqualOrHigherRank(m *storage.Machine, j *storage.Job, view *storage.View) bool {
	for ref := range m.Intents {
		if other := view.Jobs.Get(ref.Job); !other.Ended() && other.Rank() <= j.Rank() {
			return true
		}
	}
	return false
}
