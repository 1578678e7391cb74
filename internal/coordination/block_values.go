package coordination

import (
	"cmp"
	"slices"
	"strconv"

	"rockrun/internal/coordination/election"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// blockLimit is how many machines with names like one a block holds, so that its value
// stays within bounds whatever becomes of them.
func machinesPerGroup(valueBytes int, name string) int {
	return max(1, (valueBytes-groupHeaderBytes)/(groupEntryBytes+len(name)))
}

// An entry of a block with an address and the longest phase takes up to blockEntry
// bytes beside the name; blockHead is for all that stands there once.
const (
	groupEntryBytes  = 70
	groupHeaderBytes = 250
)

// splitBlock divides machines among blocks that fit. There are no more of them than
// most, unless that is too few even for the sizes they have now.
func splitGroup(rec storage.MachineGroupRecord, valueBytes, most int) []storage.MachineGroupRecord {
	if len(storage.Encode(rec)) <= valueBytes || len(rec.Machines) < 2 {
		return []storage.MachineGroupRecord{rec}
	}
	longest := slices.MaxFunc(rec.Machines, func(a, b storage.MachineEntry) int { return cmp.Compare(len(a.Name), len(b.Name)) })
	each := machinesPerGroup(valueBytes, longest.Name)
	each = max(each, (len(rec.Machines)+most-1)/most)
	var parts []storage.MachineGroupRecord
	for machines := range slices.Chunk(rec.Machines, each) {
		part := rec
		part.Machines = machines
		parts = append(parts, part)
	}
	return parts
}

// blockID names a new block after a token that is given out once.
func groupID(token uint64) string { return strconv.FormatUint(election.TokenSerial(token), 36) }

// blockWrite is the part of a transaction that writes a block.
type groupWrite struct {
	conditions []protocol.Condition
	operations []protocol.Operation
}

// writeBlock writes a block as it is to be, and parts of it as new blocks where the
// whole no longer fits a value. The parts come first, so that no machine is without a
// block on the way. They keep the token, so that the holder has nothing to show anew.
func (f *provisioner) writeGroup(id string, rec storage.MachineGroupRecord) (w groupWrite, ok bool) {
	limits := f.leadership.controller.committer.Limits()
	parts := splitGroup(rec, limits.ValueBytes, limits.Operations)
	for _, part := range parts {
		if !f.leadership.controller.committer.Fits(part) {
			f.leadership.controller.Log.Error("block over the limit can't be split", "block", id, "machines", len(rec.Machines), "parts", len(parts))
			return w, false
		}
	}
	for _, part := range parts[1:] {
		key := storage.MachineGroupKey(groupID(f.leadership.NextFencingToken()))
		w.conditions = append(w.conditions, protocol.Condition{Key: key})
		w.operations = append(w.operations, protocol.Operation{Put: key, Value: storage.Encode(part)})
	}
	w.conditions = append(w.conditions, protocol.Condition{Key: storage.MachineGroupKey(id), Version: f.leadership.controller.view.MachineGroups[id].Version})
	w.operations = append(w.operations, f.leadership.groupOperation(id, parts[0]))
	return w, true
}

// mostBlockChanges bounds a transaction of the leader's: small ones get through where
// all controllers together write much.
const maxGroupOperations = 8

// blockBatch is a transaction that writes several blocks.
type groupBatch struct {
	provisioner *provisioner
	transaction protocol.Transaction
	groups      []string
	grants      map[int]bool // shards on whose grants it depends
}

func (f *provisioner) newGroupBatch() *groupBatch {
	return &groupBatch{provisioner: f, transaction: protocol.Transaction{Conditions: []protocol.Condition{f.leadership.Condition()}}, grants: map[int]bool{}}
}

// takes reports whether the transaction still has room for a write. A first one
// always fits.
func (b *groupBatch) hasRoomFor(w groupWrite) bool {
	limits := b.provisioner.leadership.controller.committer.Limits()
	const grantCond = 1
	return len(b.groups) == 0 || len(b.transaction.Operations)+len(w.operations) <= min(limits.Operations, maxGroupOperations) &&
		len(b.transaction.Conditions)+len(w.conditions)+grantCond <= limits.Conditions
}

func (b *groupBatch) add(id string, w groupWrite) {
	b.groups = append(b.groups, id)
	b.transaction.Conditions = append(b.transaction.Conditions, w.conditions...)
	b.transaction.Operations = append(b.transaction.Operations, w.operations...)
	block := b.provisioner.leadership.controller.view.MachineGroups[id]
	b.provisioner.logChanges(block, b.provisioner.changes[id])
	shard := block.Shard
	if slices.ContainsFunc(b.provisioner.changes[id], func(c machineChange) bool { return c.holderSaysEmpty }) && !b.grants[shard] {
		b.grants[shard] = true
		b.transaction.Conditions = append(b.transaction.Conditions, b.provisioner.grantCond(shard))
	}
}

func (b *groupBatch) send() {
	if len(b.groups) > 0 {
		b.provisioner.commitGroups(b.groups, b.transaction)
	}
}
