package provisioning

import (
	"cmp"
	"maps"
	"slices"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// groupMove identifies a move of machines from a group to a job shard.
type groupMove struct {
	group   string
	toShard int
}

func compareMoves(a, b groupMove) int {
	return cmp.Or(cmp.Compare(a.group, b.group), cmp.Compare(a.toShard, b.toShard))
}

// moves transfers empty drained machines to other job shards. The moves are computed in
// every tick.
type moves struct {
	*Config
	writer   *groupWriter
	machines map[groupMove][]*storage.Machine
}

func newMoves(c *Config, w *groupWriter) *moves {
	return &moves{Config: c, writer: w, machines: map[groupMove][]*storage.Machine{}}
}

// reset discards the moves of the previous tick.
func (v *moves) reset() { clear(v.machines) }

// add adds a machine to those that move to the given shard.
func (v *moves) add(m *storage.Machine, toShard int) {
	move := groupMove{m.Group, toShard}
	v.machines[move] = append(v.machines[move], m)
}

// write moves the machines from their groups to new groups, whose fencing tokens are above any
// that the machines have seen. One transaction moves the machines of a group that go to the
// same shard, as many as fit into a new group, and includes the group's other changes.
func (v *moves) write() {
	const operations = 2
	for _, move := range slices.SortedFunc(maps.Keys(v.machines), compareMoves) {
		group := v.view().MachineGroups[move.group]
		if group == nil || !v.writer.ready(move.group) || !v.Committer.Budget.TryConsume(v.now(), operations) {
			continue
		}
		v.writeMove(move, group)
	}
}

// writeMove commits one move.
func (v *moves) writeMove(move groupMove, group *storage.MachineGroup) {
	target := storage.MachineGroupRecord{
		Type: group.Type, Zone: group.Zone, Spot: group.Spot, Shard: move.toShard,
		FencingToken: v.Leadership.NextFencingToken(), CreatedAtMS: group.CreatedAtMS,
	}
	machines := v.machines[move]
	changes := v.writer.changes[move.group]
	for _, m := range machines[:min(len(machines), v.machinesPerGroup(machines[0].Name))] { // the others move in a later tick
		target.Machines = append(target.Machines, storage.MachineEntry{Name: m.Name, Address: m.Address})
		changes = append(changes, machineChange{machine: m, remove: true})
	}
	sourceWrite, ok := v.writer.prepareWrite(move.group, v.writer.apply(group, changes))
	delete(v.writer.changes, move.group)
	if !ok {
		return
	}
	if len(sourceWrite.operations) >= v.Committer.Limits().Operations {
		v.splitBeforeMove(move.group, group)
		return
	}
	v.writer.logChanges(group, changes)
	v.Log.Info("machines moved", "count", len(target.Machines), "from", group.Shard, "to", move.toShard, "term", v.Leadership.Term())
	key := storage.MachineGroupKey(groupID(target.FencingToken))
	preconditions := []protocol.Precondition{v.Leadership.Precondition(), {Key: key}, v.view().GrantPrecondition(group.Shard)}
	operations := []protocol.Operation{{Put: key, Value: storage.Encode(target)}}
	v.writer.commit([]string{move.group}, protocol.Transaction{
		Preconditions: append(preconditions, sourceWrite.preconditions...),
		Operations:    append(operations, sourceWrite.operations...),
	})
}

// splitBeforeMove splits a group that is too large to be split and moved from in the same
// transaction. The machines move in a later tick.
func (v *moves) splitBeforeMove(id string, group *storage.MachineGroup) {
	write, ok := v.writer.prepareWrite(id, group.MachineGroupRecord)
	if !ok {
		return
	}
	v.writer.commit([]string{id}, protocol.Transaction{
		Preconditions: append(write.preconditions, v.Leadership.Precondition()),
		Operations:    write.operations,
	})
}
