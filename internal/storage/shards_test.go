package storage

import (
	"testing"

	"rockrun/internal/protocol"
)

// TestGrantPrecondition: the precondition holds the version of the grant last read, or 0 if
// the shard was never granted.
func TestGrantPrecondition(t *testing.T) {
	v := newTestView(t, 2)
	v.put(GrantKey(1), GrantRecord{Controller: "a"})
	for shard, version := range []uint64{0, v.version} {
		want := protocol.Precondition{Key: GrantKey(shard), Version: version}
		if got := v.GrantPrecondition(shard); got != want {
			t.Errorf("shard %d: %+v, want %+v", shard, got, want)
		}
	}
}

// TestHeldSince: a grant that only raises the fencing token does not change the version. A
// grant to another controller or incarnation in between does, even if the last grant is to
// the same holder as the first.
func TestHeldSince(t *testing.T) {
	v := newTestView(t, 1)
	grant := func(controller string, incarnation, token uint64) uint64 {
		v.put(GrantKey(0), GrantRecord{Controller: controller, Incarnation: incarnation, FencingToken: token})
		return v.HeldSince(0)
	}
	first := grant("a", 1, 1)
	if raised := grant("a", 1, 2); raised != first {
		t.Errorf("after the token was raised: held since %d, want %d", raised, first)
	}
	other := grant("b", 1, 3)
	back := grant("a", 1, 4)
	restarted := grant("a", 2, 5)
	if first >= other || other >= back || back >= restarted {
		t.Errorf("held since %d, %d, %d and %d", first, other, back, restarted)
	}
}
