package transport

import "testing"

// TestSplitSockets: the parts never sum above the limit, from the smallest
// machine that can work at all to a large one.
func TestSplitSockets(t *testing.T) {
	for _, peers := range []int{0, 2, 4, 6, 20} {
		for _, limit := range []int{400, 1290, 4233, 100_000} {
			s := SplitSockets(limit, peers)
			if sum := s.Public + s.Agents + s.KVStore + s.Cloud + s.Peers + peers; sum >= limit {
				t.Errorf("%d sockets and %d peers: %+v sums to %d", limit, peers, s, sum)
			}
			if s.Public < limit/3 || s.Agents < limit/10 {
				t.Errorf("%d sockets and %d peers: %+v", limit, peers, s)
			}
		}
	}
}
