package storage

import (
	"testing"

	"rockrun/internal/protocol"
)

// TestGrantCondition: it holds the version of the grant as it stands, 0 where there is none.
func TestGrantCondition(t *testing.T) {
	v := newTestView(t, 2)
	v.put(GrantKey(1), GrantRecord{Controller: "a"})
	for shard, version := range []uint64{0, v.version} {
		want := protocol.Condition{Key: GrantKey(shard), Version: version}
		if got := v.GrantCondition(shard); got != want {
			t.Errorf("shard %d: %+v, not %+v", shard, got, want)
		}
	}
}
