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

// writtenGroupPause is the pause after a new group was written: it comes with the changes.
const writtenGroupPause = time.Second

// unrecordedMachine is a machine that was found and that no record names.
type unrecordedMachine struct {
	address, machineType, zone string
	spot                       bool
	createdAtMS                int64
}

// sameKind reports whether two machines may be in one group.
func (m unrecordedMachine) sameKind(o unrecordedMachine) bool {
	return m.machineType == o.machineType && m.zone == o.zone && m.spot == o.spot
}

// pendingGroup is a machine group that is not in the view yet. It keeps its name until it
// is, so that a write without an answer can't put a machine into two groups.
type pendingGroup struct {
	id     string
	record storage.MachineGroupRecord
	write  loop.Call
}

// adoptions puts machines that no record names into groups: those that were created, and
// those that were found.
type adoptions struct {
	*Config
	found    map[string]unrecordedMachine // not in a group yet
	groups   []*pendingGroup
	machines map[string]bool // those of the groups
}

func newAdoptions(c *Config) *adoptions {
	return &adoptions{Config: c, found: map[string]unrecordedMachine{}, machines: map[string]bool{}}
}

// adopt takes up a machine that was found, unless it is in a group already.
func (a *adoptions) adopt(name string, m unrecordedMachine) {
	if !a.adopted(name) {
		a.found[name] = m
	}
}

// How the leader learned of the machines of a new group, as in log lines.
const (
	originCreated = "created" // the cloud's answer to a request
	originFound   = "found"   // a heartbeat, or the cloud's list
)

// add makes a group to be recorded.
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

// addCreated makes groups of machines that were created together. The answer that names them
// may come long after they are up: those that were found meanwhile stay in the group that
// they were adopted into. In a second group, of another shard, they would leave their holder
// without its word that nothing runs on them.
func (a *adoptions) addCreated(record storage.MachineGroupRecord, names []string) {
	names = slices.DeleteFunc(slices.Clone(names), a.adopted)
	if len(names) == 0 {
		return
	}
	for part := range slices.Chunk(names, a.machinesPerGroup(names[0])) {
		record.Machines = nil
		for _, name := range part {
			record.Machines = append(record.Machines, storage.MachineEntry{Name: name})
		}
		a.add(record, originCreated)
	}
}

// adopted reports whether a machine is in a group, be it one that is not in the view yet.
func (a *adoptions) adopted(name string) bool {
	return a.machines[name] || a.findRecorded(name) != nil
}

// write records the groups of machines that were created or found.
func (a *adoptions) write() {
	now := a.now()
	a.groupFound()
	a.dropRecorded()
	for _, group := range a.groups {
		if group.write.Ready(now) && a.Committer.Budget.Take(now, 1) {
			a.commit(group)
		}
	}
}

// groupFound makes groups of the machines found. Those that nobody asked for go to the
// batch shard: its work ends.
func (a *adoptions) groupFound() {
	var last unrecordedMachine
	record := storage.MachineGroupRecord{Shard: storage.BatchShard}
	for _, name := range slices.Sorted(maps.Keys(a.found)) {
		machine := a.found[name]
		if a.adopted(name) {
			continue
		}
		if len(record.Machines) > 0 && (!machine.sameKind(last) || len(record.Machines) >= a.machinesPerGroup(name)) {
			a.add(record, originFound)
			record.Machines = nil
		}
		record.Type, record.Zone, record.Spot, record.RentedAtMS = machine.machineType, machine.zone, machine.spot, machine.createdAtMS
		record.Machines = append(record.Machines, storage.MachineEntry{Name: name, Address: machine.address})
		last = machine
	}
	if len(record.Machines) > 0 {
		a.add(record, originFound)
	}
	clear(a.found)
}

// dropRecorded forgets the groups that are in the view.
func (a *adoptions) dropRecorded() {
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

// commit writes a group.
func (a *adoptions) commit(group *pendingGroup) {
	group.write.Begin()
	key := storage.MachineGroupKey(group.id)
	a.Committer.Commit(protocol.Transaction{
		Conditions: []protocol.Condition{a.Leadership.Condition(), {Key: key}},
		Operations: []protocol.Operation{{Put: key, Value: storage.Encode(group.record)}},
	}, func(_ uint64, err error) {
		pause := kv.RetryPause
		if err == nil {
			pause = writtenGroupPause
		}
		group.write.Done(a.now() + pause)
	})
}

// supplies are the machines of the groups that are not in the view yet.
func (a *adoptions) supplies() []*autoscaler.Supply {
	var supplies []*autoscaler.Supply
	for _, group := range a.groups {
		for range group.record.Machines {
			supplies = append(supplies, a.promisedSupply(group.record.Type, group.record.Zone, group.record.Spot, group.record.Shard))
		}
	}
	return supplies
}

// promisedSupply is a machine that was asked for or created and has no record yet.
func (c *Config) promisedSupply(machineType, zone string, spot bool, shard int) *autoscaler.Supply {
	view := c.view()
	index := view.MachineTypeID(machineType)
	return autoscaler.NewSupply(&view.MachineTypes[index], autoscaler.Pool{MachineType: index, Zone: view.ZoneNames.ID(zone), Spot: spot}, shard)
}
