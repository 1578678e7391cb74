package coordination

import (
	"errors"

	"rockrun/internal/config"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// valueReserve is how much of a value's limit is left free: sizes are worked out in
// advance, from the parts of a record.
const valueReserve = 128

// leastValueBytes is how far rejected transactions lower the limit of a value.
const minValueBytes = 1024

// capacity is how many bytes a value may take by the limits in force.
func (n *Controller) valueCapacity() int { return n.storeLimits.ValueBytes - valueReserve }

// fits reports whether a record may be written as a value.
func (n *Controller) fitsValue(record any) bool {
	return len(storage.Encode(record)) <= n.storeLimits.ValueBytes
}

// txn carries out a transaction. One that the service rejects for good is never sent
// again as it is: it shows that the limits are lower than the settings say, and
// whatever is written from then on keeps to lower ones.
func (n *Controller) commit(t protocol.Transaction, done func(revision uint64, err error)) {
	era := n.generation
	n.Store.Commit(t, func(revision uint64, err error) {
		if errors.Is(err, protocol.ErrRejected) && era == n.generation {
			n.storeLimits = reducedLimits(n.storeLimits, t)
			n.Log.Error("transaction rejected", "changes", len(t.Operations), "largest_value", largestValue(t), "err", err,
				"value_bytes", n.storeLimits.ValueBytes, "txn_changes", n.storeLimits.Operations)
		}
		done(revision, err)
	})
}

func largestValue(t protocol.Transaction) int {
	largest := 0
	for _, op := range t.Operations {
		largest = max(largest, len(op.Value))
	}
	return largest
}

// lowered are the limits after a transaction that kept to them was rejected.
func reducedLimits(l config.StoreLimits, t protocol.Transaction) config.StoreLimits {
	if largest := largestValue(t); largest > minValueBytes {
		l.ValueBytes = min(l.ValueBytes, max(minValueBytes, largest*3/4))
	}
	if changes := len(t.Operations); changes > config.MinOperations {
		l.Operations = min(l.Operations, max(config.MinOperations, changes*3/4))
		l.Conditions = config.ConditionsPerOperation * l.Operations
	}
	return l
}
