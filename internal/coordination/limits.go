package coordination

import (
	"errors"

	"rockrun/internal/bookkeeping"
	"rockrun/internal/config"
	"rockrun/internal/protocol"
)

// valueReserve is how much of a value's limit is left free: sizes are worked out in
// advance, from the parts of a record.
const valueReserve = 128

// leastValueBytes is how far rejected transactions lower the limit of a value.
const leastValueBytes = 1024

// capacity is how many bytes a value may take by the limits in force.
func (n *Node) capacity() int { return n.limits.ValueBytes - valueReserve }

// fits reports whether a record may be written as a value.
func (n *Node) fits(record any) bool {
	return len(bookkeeping.Encode(record)) <= n.limits.ValueBytes
}

// txn carries out a transaction. One that the service rejects for good is never sent
// again as it is: it shows that the limits are lower than the settings say, and
// whatever is written from then on keeps to lower ones.
func (n *Node) txn(t protocol.Txn, done func(revision uint64, err error)) {
	era := n.era
	n.State.Txn(t, func(revision uint64, err error) {
		if errors.Is(err, protocol.ErrRejected) && era == n.era {
			n.limits = lowered(n.limits, t)
			n.Log.Error("transaction rejected", "changes", len(t.Then), "largest_value", largestValue(t), "err", err,
				"value_bytes", n.limits.ValueBytes, "txn_changes", n.limits.Changes)
		}
		done(revision, err)
	})
}

func largestValue(t protocol.Txn) int {
	largest := 0
	for _, op := range t.Then {
		largest = max(largest, len(op.Value))
	}
	return largest
}

// lowered are the limits after a transaction that kept to them was rejected.
func lowered(l config.StateLimits, t protocol.Txn) config.StateLimits {
	if largest := largestValue(t); largest > leastValueBytes {
		l.ValueBytes = min(l.ValueBytes, max(leastValueBytes, largest*3/4))
	}
	if changes := len(t.Then); changes > config.LeastChanges {
		l.Changes = min(l.Changes, max(config.LeastChanges, changes*3/4))
		l.Conditions = config.ConditionsPerChange * l.Changes
	}
	return l
}
