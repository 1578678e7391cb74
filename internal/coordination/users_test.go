package coordination

import (
	"testing"

	"rockrun/internal/coordination/membership"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// TestUsersAreLeftToOthers: the controller that holds the batch shard leaves users to others
// only while the leader says that two of them are well: never where it is the last one,
// where the leader is gone, or where there is but one job shard.
func TestUsersAreLeftToOthers(t *testing.T) {
	b := newTestController(t)
	expectHealthy := func(want bool, when string) {
		t.Helper()
		if b.controller.Healthy() != want {
			t.Errorf("healthy %t %s", !want, when)
		}
	}
	leaderSays := func(healthyPeers int) {
		b.controller.reporter.OnReply(&protocol.PeerHeartbeatReply{Leader: true, Term: b.controller.view.Leader.Term, SentAt: b.now, HealthyPeers: healthyPeers})
	}
	leaderSays(4)
	expectHealthy(true, "with one job shard")
	b.controller.view.JobShards = 2
	expectHealthy(false, "with four others that are well")
	leaderSays(1)
	expectHealthy(true, "with one other that is well")
	leaderSays(2)
	expectHealthy(false, "with two")
	b.now += membership.PeerTimeout
	b.refreshKnowledge()
	expectHealthy(true, "without a word of the leader")
	leaderSays(2)
	b.apply(storage.GrantKey(0), storage.GrantRecord{Controller: "b", Incarnation: 1, FencingToken: grantToken + 1<<24})
	expectHealthy(true, "once another holds the batch shard")
}
