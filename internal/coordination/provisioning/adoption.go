package provisioning

import (
	"maps"
	"slices"
	"time"

	"rockrun/internal/coordination/autoscaler"
	"rockrun/internal/coordination/kv"
	"rockrun/internal/coordination/loop"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// writtenGroupRetryDelay is the delay before a new group that was written successfully is
// written again: normally the view shows the group before that.
const writtenGroupRetryDelay = time.Second

// unrecordedMachine is a machine that was found and has no record.
type unrecordedMachine struct {
	address, machineType, zone string
	spot                       bool
	createdAtMS                int64
}

// samePool reports whether two machines are of the same pool and may share a group.
func (m unrecordedMachine) samePool(other unrecordedMachine) bool {
	return m.machineType == other.machineType && m.zone == other.zone && m.spot == other.spot
}

// pendingGroup is a machine group that is not in the view yet. Its ID stays the same until
// then, so that retrying a write without an answer cannot put a machine into two groups.
type pendingGroup struct {
	id     string
	record storage.MachineGroupRecord
	write  loop.Call
}

// adoptions records machines without a record in new machine groups: machines that the leader
// created, and machines that were found.
type adoptions struct {
	*Config
	found    map[string]unrecordedMachine // by name; not in a group yet
	groups   []*pendingGroup
	machines map[string]bool // names of the machines in groups
}

func newAdoptions(c *Config) *adoptions {
	return &adoptions{Config: c, found: map[string]unrecordedMachine{}, machines: map[string]bool{}}
}

// adopt queues a machine that was found, unless it is in a group already.
func (a *adoptions) adopt(name string, m unrecordedMachine) {
	if !a.adopted(name) {
		a.found[name] = m
	}
}

// Origins of the machines of a new group: log values.
const (
	originCreated = "created" // named in the cloud's answer to a create request
	originFound   = "found"   // named in an agent's heartbeat or in the cloud's list
)

// add queues a new group to be recorded.
func (a *adoptions) add(record storage.MachineGroupRecord, origin string) {
	record.FencingToken = a.Leadership.NextFencingToken()
	id := groupID(record.FencingToken)
	a.groups = append(a.groups, &pendingGroup{id: id, record: record})
	names := make([]string, 0, len(record.Machines))
	for _, entry := range record.Machines {
		a.machines[entry.Name] = true
		names = append(names, entry.Name)
	}
	a.Log.Info("machine group added", "group", id, "shard", record.Shard, "token", record.FencingToken, "machines", names,
		"origin", origin, "revision", a.Replica.Revision(), "term", a.Leadership.Term())
}

// addCreated makes groups of machines that were created together. The cloud's answer may
// arrive long after the machines are up: a machine adopted in the meantime stays in the group
// that it was adopted into. A second group, in another shard, would take the machine from its
// holder without the holder's confirmation that the machine is empty.
func (a *adoptions) addCreated(record storage.MachineGroupRecord, names []string) {
	names = slices.DeleteFunc(slices.Clone(names), a.adopted)
	if len(names) == 0 {
		return
	}
	for chunk := range slices.Chunk(names, a.machinesPerGroup(names[0])) {
		record.Machines = nil
		for _, name := range chunk {
			record.Machines = append(record.Machines, storage.MachineEntry{Name: name})
		}
		a.add(record, originCreated)
	}
}

// adopted reports whether a machine is in a group, including groups not in the view yet.
func (a *adoptions) adopted(name string) bool {
	return a.machines[name] || a.findRecorded(name) != nil
}

// write records the pending groups of machines that were created or found.
func (a *adoptions) write() {
	now := a.now()
	a.groupFoundMachines()
	a.removeRecorded()
	for _, group := range a.groups {
		if group.write.Ready(now) && a.Committer.Budget.TryConsume(now, 1) {
			a.commit(group)
		}
	}
}

// groupFoundMachines makes groups of the machines found. No request is known for these
// machines, so they go to the batch shard: its arrays end and free the machines, while services
// run on.
func (a *adoptions) groupFoundMachines() {
	var previous unrecordedMachine
	record := storage.MachineGroupRecord{Shard: storage.BatchShard}
	for _, name := range slices.Sorted(maps.Keys(a.found)) {
		machine := a.found[name]
		if a.adopted(name) {
			continue
		}
		if len(record.Machines) > 0 && (!machine.samePool(previous) || len(record.Machines) >= a.machinesPerGroup(name)) {
			a.add(record, originFound)
			record.Machines = nil
		}
		record.Type, record.Zone, record.Spot, record.CreatedAtMS = machine.machineType, machine.zone, machine.spot, machine.createdAtMS
		record.Machines = append(record.Machines, storage.MachineEntry{Name: name, Address: machine.address})
		previous = machine
	}
	if len(record.Machines) > 0 {
		a.add(record, originFound)
	}
	clear(a.found)
}

// removeRecorded removes the pending groups that the view shows.
func (a *adoptions) removeRecorded() {
	a.groups = slices.DeleteFunc(a.groups, func(group *pendingGroup) bool {
		if a.view().MachineGroups[group.id] == nil {
			return false
		}
		for _, entry := range group.record.Machines {
			delete(a.machines, entry.Name)
		}
		return true
	})
}

// commit writes a pending group.
func (a *adoptions) commit(group *pendingGroup) {
	group.write.Begin()
	key := storage.MachineGroupKey(group.id)
	a.Committer.Commit(protocol.Transaction{
		Preconditions: []protocol.Precondition{a.Leadership.Precondition(), {Key: key}},
		Operations:    []protocol.Operation{{Put: key, Value: storage.Encode(group.record)}},
	}, func(_ uint64, err error) {
		delay := kv.RetryDelay
		if err == nil {
			delay = writtenGroupRetryDelay
		}
		group.write.FinishAndDelayUntil(a.now() + delay)
	})
}

// supplies returns the machines of the groups that are not in the view yet.
func (a *adoptions) supplies() []*autoscaler.Supply {
	var supplies []*autoscaler.Supply
	for _, group := range a.groups {
		for range group.record.Machines {
			supplies = append(supplies, a.pendingSupply(group.record.Type, group.record.Zone, group.record.Spot, group.record.Shard))
		}
	}
	return supplies
}

// pendingSupply returns the supply of a machine that was requested or created and has no
// record yet.
func (c *Config) pendingSupply(machineType, zone string, spot bool, shard int) *autoscaler.Supply {
	view := c.view()
	index := view.MachineTypeIndex(machineType)
	return autoscaler.NewSupply(&view.MachineTypes[index], autoscaler.Pool{MachineType: index, Zone: view.ZoneNames.Index(zone), Spot: spot}, shard)
}
