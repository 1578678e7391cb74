package provisioning

import (
	"cmp"
	"slices"
	"strconv"

	"rockrun/internal/coordination/election"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// groupEntryBytes is the most that a machine's entry adds to an encoded group besides its
// name: an address and the longest phase. groupHeaderBytes covers the fields that occur once
// per group.
const (
	groupEntryBytes  = 70
	groupHeaderBytes = 250
)

// maxGroupOperations bounds the operations of a transaction that writes machine groups. Small
// transactions still get through when all controllers together write a lot.
const maxGroupOperations = 8

// machinesPerGroup returns the maximum number of machines in a new group, for machine names
// as long as the given one.
func (c *Config) machinesPerGroup(name string) int {
	return machinesPerValue(c.Committer.Limits().ValueBytes, name)
}

// machinesPerValue returns how many machines fit into a group for machine names as long as
// the given one. The encoded group stays within valueBytes through all later phases of its
// machines.
func machinesPerValue(valueBytes int, name string) int {
	return max(1, (valueBytes-groupHeaderBytes)/(groupEntryBytes+len(name)))
}

// splitGroup divides the machines of a record among groups that each fit into a value. It
// makes at most maxParts groups. If that is too few to leave every entry room to grow, the
// groups hold more machines; the caller checks whether they still fit.
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

// groupID derives the ID of a new group from a fencing token. It is unique, as no token is
// issued twice.
func groupID(token uint64) string { return strconv.FormatUint(election.TokenSerial(token), 36) }

// groupWrite holds the preconditions and operations that write one group within a transaction.
type groupWrite struct {
	preconditions []protocol.Precondition
	operations    []protocol.Operation
}

// prepareWrite returns the write of a group's new record. A record that no longer fits into a
// value is split, and the other parts are written as new groups. Their operations precede
// that of the group itself, so that no machine is without a group in between. The parts
// retain the group's fencing token, so the holder does not have to fence the agents again.
func (w *groupWriter) prepareWrite(id string, record storage.MachineGroupRecord) (write groupWrite, ok bool) {
	limits := w.Committer.Limits()
	parts := splitGroup(record, limits.ValueBytes, limits.Operations)
	for _, part := range parts {
		if !w.Committer.Fits(part) {
			w.Log.Error("oversized machine group split failed", "group", id, "machines", len(record.Machines), "parts", len(parts))
			return write, false
		}
	}
	for _, part := range parts[1:] {
		key := storage.MachineGroupKey(groupID(w.Leadership.NextFencingToken()))
		write.preconditions = append(write.preconditions, protocol.Precondition{Key: key})
		write.operations = append(write.operations, protocol.Operation{Put: key, Value: storage.Encode(part)})
	}
	write.preconditions = append(write.preconditions, protocol.Precondition{Key: storage.MachineGroupKey(id), Version: w.view().MachineGroups[id].Version})
	write.operations = append(write.operations, w.writeOperation(id, parts[0]))
	return write, true
}

// writeOperation returns the operation that writes a group, or deletes an empty group of an
// earlier term. An empty group of the current term is retained: the transaction that created
// it may have been sent twice, and the preconditions of a delayed duplicate are only that the
// key does not exist and that the same leader is in office. If the group had been deleted,
// the duplicate would recreate it with machines that have since moved to other groups.
func (w *groupWriter) writeOperation(id string, record storage.MachineGroupRecord) protocol.Operation {
	if w.removable(&record) {
		return protocol.Operation{Delete: storage.MachineGroupKey(id)}
	}
	return protocol.Operation{Put: storage.MachineGroupKey(id), Value: storage.Encode(record)}
}

// removable reports whether a group is empty and its fencing token is of an earlier term.
func (w *groupWriter) removable(record *storage.MachineGroupRecord) bool {
	return len(record.Machines) == 0 && election.TermOfToken(record.FencingToken) < w.Leadership.Term()
}

// groupBatch is a transaction that writes several groups.
type groupBatch struct {
	writer      *groupWriter
	transaction protocol.Transaction
	groups      []string
	grants      map[int]bool // shards whose grants the transaction depends on
}

func newGroupBatch(w *groupWriter) *groupBatch {
	return &groupBatch{writer: w, transaction: protocol.Transaction{Preconditions: []protocol.Precondition{w.Leadership.Precondition()}}, grants: map[int]bool{}}
}

// hasRoomFor reports whether a write still fits into the transaction. The first write always
// fits.
func (b *groupBatch) hasRoomFor(write groupWrite) bool {
	const grantPreconditions = 1
	if len(b.groups) == 0 {
		return true
	}
	limits := b.writer.Committer.Limits()
	return len(b.transaction.Operations)+len(write.operations) <= min(limits.Operations, maxGroupOperations) &&
		len(b.transaction.Preconditions)+len(write.preconditions)+grantPreconditions <= limits.Preconditions
}

// add appends the write of a group to the transaction. If a change relies on the holder's
// confirmation that a machine is empty, the transaction also depends on the holder's grant.
func (b *groupBatch) add(id string, write groupWrite) {
	b.groups = append(b.groups, id)
	b.transaction.Preconditions = append(b.transaction.Preconditions, write.preconditions...)
	b.transaction.Operations = append(b.transaction.Operations, write.operations...)
	group, changes := b.writer.view().MachineGroups[id], b.writer.changes[id]
	b.writer.logChanges(group, changes)
	dependsOnHolder := slices.ContainsFunc(changes, func(c machineChange) bool { return c.holderConfirmedEmpty })
	if dependsOnHolder && !b.grants[group.Shard] {
		b.grants[group.Shard] = true
		b.transaction.Preconditions = append(b.transaction.Preconditions, b.writer.view().GrantPrecondition(group.Shard))
	}
}

// send commits the transaction unless it is empty.
func (b *groupBatch) send() {
	if len(b.groups) > 0 {
		b.writer.commit(b.groups, b.transaction)
	}
}
