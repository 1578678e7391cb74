package coordination

import (
	"testing"
	"time"

	"rockrun/internal/bookkeeping"
	"rockrun/internal/protocol"
)

// The controller that holds the home of the work that ends leaves users to others
// only while the leader says that two of them are well: never where it is the last
// one, where the leader is gone, or where there is but one home.
func TestUsersAreLeftToOthers(t *testing.T) {
	b := newBench(t)
	healthy := func(want bool, when string) {
		t.Helper()
		if b.n.Healthy() != want {
			t.Errorf("healthy %t %s", !want, when)
		}
	}
	reply := func(well int) {
		b.n.onHeartbeatReply(&protocol.HeartbeatReply{Leader: true, Term: b.n.cache.Leader.Term, SentAt: b.now, HealthyPeers: well})
	}
	reply(4)
	healthy(true, "with one home")
	b.n.cache.Homes = 2
	healthy(false, "with four others that are well")
	reply(1)
	healthy(true, "with one other that is well")
	reply(2)
	healthy(false, "with two")
	b.now += aliveFor
	b.fresh()
	healthy(true, "without a word of the leader")
	reply(2)
	b.apply(bookkeeping.GrantKey(0), bookkeeping.GrantRecord{Node: "b", Incarnation: 1, Token: grantToken + 1<<24})
	healthy(true, "once another holds the home")
}

// A leader counts as well who is alive and fresh, is not leaving, holds other work
// and is not the one that asks.
func TestWellControllers(t *testing.T) {
	b := newBench(t)
	b.n.nodes = []string{"a", "b", "c", "d", "e", "f"}
	b.n.cache.Grants[0].Node = "b"
	at := b.now - time.Second
	l := &leadership{n: b.n, peers: map[string]*peerInfo{
		"a": {heard: at, fresh: true}, "b": {heard: at, fresh: true}, "c": {heard: at, fresh: true},
		"d": {heard: at}, "e": {heard: b.now - 2*aliveFor, fresh: true}, "f": {heard: at, fresh: true, left: true},
	}}
	if n := l.healthyBesides("b"); n != 2 {
		t.Errorf("%d are well beside the holder", n)
	}
	if n := l.healthyBesides("a"); n != 1 {
		t.Errorf("%d are well beside the leader", n)
	}
}
