package config

import (
	"testing"
	"time"
)

// TestLeaseBudgets: a cancellation unknown to a holder must reach the end of the agent's
// lease within the time for cancelling, with the answer's way and drift on top.
func TestLeaseBudgets(t *testing.T) {
	for _, agents := range []Agents{{LeaseSeconds: 30, CancelSeconds: 60}, {LeaseSeconds: 44, CancelSeconds: 74}, {LeaseSeconds: 10, CancelSeconds: 100}, {LeaseSeconds: 4, CancelSeconds: 8}} {
		lease, beyond := agents.Lease(), agents.CancelTimeout()-agents.Lease()
		staleness := agents.MaxStaleness()
		worst := staleness + lease + lease/1000 + min(4*time.Second, beyond/5)
		if staleness <= 0 || staleness > lease || worst >= agents.CancelTimeout() {
			t.Errorf("%+v: maximum staleness %s", agents, staleness)
		}
		shardLease := DefaultOptions().ShardLease(agents)
		if shardLease <= 0 || shardLease > beyond/2 || shardLease >= staleness {
			t.Errorf("%+v: shard lease %s", agents, shardLease)
		}
	}
}
