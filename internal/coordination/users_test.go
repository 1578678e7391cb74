package coordination

import (
	"testing"

	"rockrun/internal/coordination/membership"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// The controller that holds the home of the work that ends leaves users to others
// only while the leader says that two of them are well: never where it is the last
// one, where the leader is gone, or where there is but one home.
func TestUsersAreLeftToOthers(t *testing.T) {
	b := newTestController(t)
	healthy := func(want bool, when string) {
		t.Helper()
		if b.controller.Healthy() != want {
			t.Errorf("healthy %t %s", !want, when)
		}
	}
	reply := func(well int) {
		b.controller.reporter.OnReply(&protocol.PeerHeartbeatReply{Leader: true, Term: b.controller.view.Leader.Term, SentAt: b.now, HealthyPeers: well})
	}
	reply(4)
	healthy(true, "with one home")
	b.controller.view.JobShards = 2
	healthy(false, "with four others that are well")
	reply(1)
	healthy(true, "with one other that is well")
	reply(2)
	healthy(false, "with two")
	b.now += membership.PeerTimeout
	b.refreshKnowledge()
	healthy(true, "without a word of the leader")
	reply(2)
	b.apply(storage.GrantKey(0), storage.GrantRecord{Controller: "b", Incarnation: 1, FencingToken: grantToken + 1<<24})
	healthy(true, "once another holds the home")
}
