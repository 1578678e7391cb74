package provisioning

import (
	"cmp"
	"slices"
	"strconv"

	"rockrun/internal/coordination/election"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// An entry of a group with an address and the longest phase takes up to groupEntryBytes
// beside the name; groupHeaderBytes are for all that stands there once.
const (
	groupEntryBytes  = 70
	groupHeaderBytes = 250
)

// maxGroupOperations bounds a transaction of the leader's: small ones get through where all
// controllers together write much.
const maxGroupOperations = 8

// machinesPerGroup is how many machines with such names a new group takes.
func (c *Config) machinesPerGroup(name string) int {
	return machinesPerValue(c.Committer.Limits().ValueBytes, name)
}

// machinesPerValue is how many machines with names like one a group holds, so that its
// value stays within bounds whatever becomes of them.
func machinesPerValue(valueBytes int, name string) int {
	return max(1, (valueBytes-groupHeaderBytes)/(groupEntryBytes+len(name)))
}

// splitGroup divides machines among groups that fit into a value. There are no more of them
// than maxParts, unless that is too few even for the sizes they have now.
func splitGroup(record storage.MachineGroupRecord, valueBytes, maxParts int) []storage.MachineGroupRecord {
	if len(storage.Encode(record)) <= valueBytes || len(record.Machines) < 2 {
		return []storage.MachineGroupRecord{record}
	}
	longest := slices.MaxFunc(record.Machines, func(a, b storage.MachineEntry) int { return cmp.Compare(len(a.Name), len(b.Name)) })
	perPart := machinesPerValue(valueBytes, longest.Name)
	perPart = max(perPart, (len(record.Machines)+maxParts-1)/maxParts)
	var parts []storage.MachineGroupRecord
	for machines := range slices.Chunk(record.Machines, perPart) {
		part := record
		part.Machines = machines
		parts = append(parts, part)
	}
	return parts
}

// groupID names a new group after a fencing token, which is given out once.
func groupID(token uint64) string { return strconv.FormatUint(election.TokenSerial(token), 36) }

// groupWrite is the part of a transaction that writes a group.
type groupWrite struct {
	conditions []protocol.Condition
	operations []protocol.Operation
}

// prepare writes a group as it is to be, and parts of it as new groups where the whole no
// longer fits a value. The parts come first, so that no machine is without a group on the
// way. They keep the fencing token, so that the holder has nothing to show anew.
func (w *groupWriter) prepare(id string, record storage.MachineGroupRecord) (write groupWrite, ok bool) {
	limits := w.Committer.Limits()
	parts := splitGroup(record, limits.ValueBytes, limits.Operations)
	for _, part := range parts {
		if !w.Committer.Fits(part) {
			w.Log.Error("machine group over the limit cannot be split", "group", id, "machines", len(record.Machines), "parts", len(parts))
			return write, false
		}
	}
	for _, part := range parts[1:] {
		key := storage.MachineGroupKey(groupID(w.Leadership.NextFencingToken()))
		write.conditions = append(write.conditions, protocol.Condition{Key: key})
		write.operations = append(write.operations, protocol.Operation{Put: key, Value: storage.Encode(part)})
	}
	write.conditions = append(write.conditions, protocol.Condition{Key: storage.MachineGroupKey(id), Version: w.view().MachineGroups[id].Version})
	write.operations = append(write.operations, w.operation(id, parts[0]))
	return write, true
}

// operation writes a group, or removes it once it is empty. The transaction that made it
// may have been sent twice, and a late copy of it demands only that the key does not exist
// and that its leader still leads: a group that was removed under the same term could come
// back with machines that are elsewhere by now. So an empty one is kept until a later term.
func (w *groupWriter) operation(id string, record storage.MachineGroupRecord) protocol.Operation {
	if w.removable(&record) {
		return protocol.Operation{Delete: storage.MachineGroupKey(id)}
	}
	return protocol.Operation{Put: storage.MachineGroupKey(id), Value: storage.Encode(record)}
}

// removable reports whether a group is empty and of an earlier term.
func (w *groupWriter) removable(record *storage.MachineGroupRecord) bool {
	return len(record.Machines) == 0 && election.TermOfToken(record.FencingToken) < w.Leadership.Term()
}

// groupBatch is a transaction that writes several groups.
type groupBatch struct {
	writer      *groupWriter
	transaction protocol.Transaction
	groups      []string
	grants      map[int]bool // shards on whose grants it depends
}

func newGroupBatch(w *groupWriter) *groupBatch {
	return &groupBatch{writer: w, transaction: protocol.Transaction{Conditions: []protocol.Condition{w.Leadership.Condition()}}, grants: map[int]bool{}}
}

// hasRoomFor reports whether the transaction still has room for a write. A first one always
// fits.
func (b *groupBatch) hasRoomFor(write groupWrite) bool {
	const grantCondition = 1
	if len(b.groups) == 0 {
		return true
	}
	limits := b.writer.Committer.Limits()
	return len(b.transaction.Operations)+len(write.operations) <= min(limits.Operations, maxGroupOperations) &&
		len(b.transaction.Conditions)+len(write.conditions)+grantCondition <= limits.Conditions
}

// add puts the write of a group into the transaction.
func (b *groupBatch) add(id string, write groupWrite) {
	b.groups = append(b.groups, id)
	b.transaction.Conditions = append(b.transaction.Conditions, write.conditions...)
	b.transaction.Operations = append(b.transaction.Operations, write.operations...)
	group, changes := b.writer.view().MachineGroups[id], b.writer.changes[id]
	b.writer.logChanges(group, changes)
	dependsOnHolder := slices.ContainsFunc(changes, func(c machineChange) bool { return c.holderSaysEmpty })
	if dependsOnHolder && !b.grants[group.Shard] {
		b.grants[group.Shard] = true
		b.transaction.Conditions = append(b.transaction.Conditions, b.writer.view().GrantCondition(group.Shard))
	}
}

// send carries the transaction out, if there is anything in it.
func (b *groupBatch) send() {
	if len(b.groups) > 0 {
		b.writer.commit(b.groups, b.transaction)
	}
}
