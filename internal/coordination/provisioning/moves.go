package provisioning

import (
	"cmp"
	"maps"
	"slices"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// groupMove names machines of a group that go to the same job shard.
type groupMove struct {
	group   string
	toShard int
}

func compareMoves(a, b groupMove) int {
	return cmp.Or(cmp.Compare(a.group, b.group), cmp.Compare(a.toShard, b.toShard))
}

// moves gives empty drained machines to other job shards. They are worked out anew with
// every tick.
type moves struct {
	*Config
	writer   *groupWriter
	machines map[groupMove][]*storage.Machine
}

func newMoves(c *Config, w *groupWriter) *moves {
	return &moves{Config: c, writer: w, machines: map[groupMove][]*storage.Machine{}}
}

// begin forgets the moves of the tick before.
func (v *moves) begin() { clear(v.machines) }

// add takes up a machine that goes to another shard.
func (v *moves) add(m *storage.Machine, toShard int) {
	move := groupMove{m.Group, toShard}
	v.machines[move] = append(v.machines[move], m)
}

// write moves the machines: they leave their group for a new one under a fencing token
// above any that they have seen. All of a group that go to one shard go in one transaction,
// with what else is to change in the group.
func (v *moves) write() {
	const operations = 2
	for _, move := range slices.SortedFunc(maps.Keys(v.machines), compareMoves) {
		group := v.view().MachineGroups[move.group]
		if group == nil || !v.writer.ready(move.group) || !v.Committer.Budget.Take(v.now(), operations) {
			continue
		}
		v.writeMove(move, group)
	}
}

// writeMove carries out one move.
func (v *moves) writeMove(move groupMove, group *storage.MachineGroup) {
	target := storage.MachineGroupRecord{
		Type: group.Type, Zone: group.Zone, Spot: group.Spot, Shard: move.toShard,
		FencingToken: v.Leadership.NextFencingToken(), RentedAtMS: group.RentedAtMS,
	}
	machines := v.machines[move]
	changes := v.writer.changes[move.group]
	for _, m := range machines[:min(len(machines), v.machinesPerGroup(machines[0].Name))] { // the others with the next tick
		target.Machines = append(target.Machines, storage.MachineEntry{Name: m.Name, Address: m.Address})
		changes = append(changes, machineChange{machine: m, forget: true})
	}
	from, ok := v.writer.prepare(move.group, v.writer.apply(group, changes))
	delete(v.writer.changes, move.group)
	if !ok {
		return
	}
	if len(from.operations) >= v.Committer.Limits().Operations {
		v.splitFirst(move.group, group)
		return
	}
	v.writer.logChanges(group, changes)
	v.Log.Info("machines moved", "count", len(target.Machines), "from", group.Shard, "to", move.toShard, "term", v.Leadership.Term())
	key := storage.MachineGroupKey(groupID(target.FencingToken))
	conditions := []protocol.Condition{v.Leadership.Condition(), {Key: key}, v.view().GrantCondition(group.Shard)}
	operations := []protocol.Operation{{Put: key, Value: storage.Encode(target)}}
	v.writer.commit([]string{move.group}, protocol.Transaction{
		Conditions: append(conditions, from.conditions...),
		Operations: append(operations, from.operations...),
	})
}

// splitFirst writes a group that is so large that it must be split before anything leaves
// it.
func (v *moves) splitFirst(id string, group *storage.MachineGroup) {
	write, ok := v.writer.prepare(id, group.MachineGroupRecord)
	if !ok {
		return
	}
	v.writer.commit([]string{id}, protocol.Transaction{
		Conditions: append(write.conditions, v.Leadership.Condition()),
		Operations: write.operations,
	})
}
