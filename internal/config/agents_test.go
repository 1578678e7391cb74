package config

import (
	"testing"
	"time"
)

// TestLeaseBudgets checks that an agent's lease expires within the cancel timeout even if the
// holder that renews it has not read the cancellation. The budget includes the transit time of
// the answer and clock drift.
func TestLeaseBudgets(t *testing.T) {
	for _, agents := range []Agents{{LeaseSeconds: 30, CancelSeconds: 60}, {LeaseSeconds: 44, CancelSeconds: 74}, {LeaseSeconds: 10, CancelSeconds: 100}, {LeaseSeconds: 4, CancelSeconds: 8}} {
		lease, slack := agents.Lease(), agents.CancelTimeout()-agents.Lease()
		staleness := agents.MaxStaleness()
		worst := staleness + lease + lease/1000 + min(4*time.Second, slack/5)
		if staleness <= 0 || staleness > lease || worst >= agents.CancelTimeout() {
			t.Errorf("%+v: maximum staleness %s", agents, staleness)
		}
		shardLease := DefaultOptions().ShardLease(agents)
		if shardLease <= 0 || shardLease > slack/2 || shardLease >= staleness {
			t.Errorf("%+v: shard lease %s", agents, shardLease)
		}
	}
}
