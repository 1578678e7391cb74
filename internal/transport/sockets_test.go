package transport

import "testing"

// TestSplitSockets checks that the parts sum to less than the limit, from the smallest limit that
// works at all to a large one, and that agents and the public address get enough of them.
func TestSplitSockets(t *testing.T) {
	for _, peers := range []int{0, 2, 4, 6, 20} {
		for _, limit := range []int{400, 1290, 4233, 100_000} {
			sockets := SplitSockets(limit, peers)
			if sum := sockets.Public + sockets.Agents + sockets.KVStore + sockets.Cloud + sockets.Peers + peers; sum >= limit {
				t.Errorf("%d sockets and %d peers: %+v sums to %d", limit, peers, sockets, sum)
			}
			if sockets.Public < limit/3 || sockets.Agents < limit/10 {
				t.Errorf("%d sockets and %d peers: %+v", limit, peers, sockets)
			}
		}
	}
}
