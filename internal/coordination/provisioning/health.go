package provisioning

import (
	"rockrun/internal/storage"
)

// minPartitionedMachines is the minimum number of known machines in a zone that can count as
// partitioned.
const minPartitionedMachines = 4

// machineCounts counts machines by shard and by zone, to tell faults of single machines from
// those of a holder or a zone.
type machineCounts struct {
	held         map[int]int // existing machines, by shard
	unresponsive map[int]int // unresponsive among them, by shard
	known        map[int]int // heard under the current grant, or silent; by zone
	silent       map[int]int // silent among the known ones, by zone
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
		// A machine that its holder has just acquired and not heard from yet counts
		// neither as heard nor as silent.
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

// partitionedZones returns the zones in which most known machines are silent.
func (c *machineCounts) partitionedZones() map[int]bool {
	zones := map[int]bool{}
	for zone, count := range c.known {
		if count >= minPartitionedMachines && c.silent[zone]*2 > count {
			zones[zone] = true
		}
	}
	return zones
}

// holderUnreachable reports whether so many machines of a shard are unresponsive that the cause
// must be the holder, whose messages don't reach the agents.
func (c *machineCounts) holderUnreachable(shard int) bool {
	const toleratedUnresponsive = 2 // in a shard of any size
	return c.unresponsive[shard] > max(toleratedUnresponsive, c.held[shard]/2)
}

// hostsReplicas reports whether replicas of services that have not ended may be on a machine.
func hostsReplicas(m *storage.Machine, view *storage.View) bool {
	for ref := range m.Intents {
		if j := view.Jobs.Get(ref.Job); j.IsService() && !j.Ended() {
			return true
		}
	}
	return false
}

// hostsEqualOrHigherRank reports whether tasks of the job's rank or a higher one may be on a
// machine.
func hostsEqualOrHigherRank(m *storage.Machine, j *storage.Job, view *storage.View) bool {
	for ref := range m.Intents {
		if other := view.Jobs.Get(ref.Job); !other.Ended() && other.Rank() <= j.Rank() {
			return true
		}
	}
	return false
}
