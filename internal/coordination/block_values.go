package coordination

import (
	"cmp"
	"slices"
	"strconv"

	"rockrun/internal/bookkeeping"
	"rockrun/internal/protocol"
)

// blockLimit is how many machines with names like one a block holds, so that its value
// stays within bounds whatever becomes of them.
func blockLimit(valueBytes int, name string) int {
	return max(1, (valueBytes-blockHead)/(blockEntry+len(name)))
}

// An entry of a block with an address and the longest phase takes up to blockEntry
// bytes beside the name; blockHead is for all that stands there once.
const (
	blockEntry = 70
	blockHead  = 250
)

// splitBlock divides machines among blocks that fit. There are no more of them than
// most, unless that is too few even for the sizes they have now.
func splitBlock(rec bookkeeping.BlockRecord, valueBytes, most int) []bookkeeping.BlockRecord {
	if len(bookkeeping.Encode(rec)) <= valueBytes || len(rec.Machines) < 2 {
		return []bookkeeping.BlockRecord{rec}
	}
	longest := slices.MaxFunc(rec.Machines, func(a, b bookkeeping.BlockMachine) int { return cmp.Compare(len(a.Name), len(b.Name)) })
	each := blockLimit(valueBytes, longest.Name)
	each = max(each, (len(rec.Machines)+most-1)/most)
	var parts []bookkeeping.BlockRecord
	for machines := range slices.Chunk(rec.Machines, each) {
		part := rec
		part.Machines = machines
		parts = append(parts, part)
	}
	return parts
}

// blockID names a new block after a token that is given out once.
func blockID(token uint64) string { return strconv.FormatUint(token>>counterShift, 36) }

// blockWrite is the part of a transaction that writes a block.
type blockWrite struct {
	conds []protocol.Cond
	ops   []protocol.Op
}

// writeBlock writes a block as it is to be, and parts of it as new blocks where the
// whole no longer fits a value. The parts come first, so that no machine is without a
// block on the way. They keep the token, so that the holder has nothing to show anew.
func (f *fleet) writeBlock(id string, rec bookkeeping.BlockRecord) (w blockWrite, ok bool) {
	limits := &f.l.n.limits
	parts := splitBlock(rec, limits.ValueBytes, limits.Changes)
	for _, part := range parts {
		if !f.l.n.fits(part) {
			f.l.n.Log.Error("block over the limit can't be split", "block", id, "machines", len(rec.Machines), "parts", len(parts))
			return w, false
		}
	}
	for _, part := range parts[1:] {
		key := bookkeeping.BlockKey(blockID(f.l.token()))
		w.conds = append(w.conds, protocol.Cond{Key: key})
		w.ops = append(w.ops, protocol.Op{Put: key, Value: bookkeeping.Encode(part)})
	}
	w.conds = append(w.conds, protocol.Cond{Key: bookkeeping.BlockKey(id), Version: f.l.n.cache.Blocks[id].Version})
	w.ops = append(w.ops, f.l.blockOp(id, parts[0]))
	return w, true
}

// mostBlockChanges bounds a transaction of the leader's: small ones get through where
// all controllers together write much.
const mostBlockChanges = 8

// blockBatch is a transaction that writes several blocks.
type blockBatch struct {
	f      *fleet
	txn    protocol.Txn
	blocks []string
	grants map[int]bool // shards on whose grants it depends
}

func (f *fleet) newBlockBatch() *blockBatch {
	return &blockBatch{f: f, txn: protocol.Txn{If: []protocol.Cond{f.l.cond()}}, grants: map[int]bool{}}
}

// takes reports whether the transaction still has room for a write. A first one
// always fits.
func (b *blockBatch) takes(w blockWrite) bool {
	limits := &b.f.l.n.limits
	const grantCond = 1
	return len(b.blocks) == 0 || len(b.txn.Then)+len(w.ops) <= min(limits.Changes, mostBlockChanges) &&
		len(b.txn.If)+len(w.conds)+grantCond <= limits.Conditions
}

func (b *blockBatch) add(id string, w blockWrite) {
	b.blocks = append(b.blocks, id)
	b.txn.If = append(b.txn.If, w.conds...)
	b.txn.Then = append(b.txn.Then, w.ops...)
	block := b.f.l.n.cache.Blocks[id]
	b.f.logChanges(block, b.f.changes[id])
	shard := block.Shard
	if slices.ContainsFunc(b.f.changes[id], func(c change) bool { return c.empty }) && !b.grants[shard] {
		b.grants[shard] = true
		b.txn.If = append(b.txn.If, b.f.grantCond(shard))
	}
}

func (b *blockBatch) send() {
	if len(b.blocks) > 0 {
		b.f.txn(b.blocks, b.txn)
	}
}
