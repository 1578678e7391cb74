package kv

import (
	"math"
	"testing"
)

// TestWriteShare: the parts of a cluster's controllers by their roles, which together stay
// below all writes.
func TestWriteShare(t *testing.T) {
	for _, c := range []struct {
		name string
		role Role
		want float64
	}{
		{"stands by", Role{JobShards: 2}, 0.02},
		{"leads", Role{Leading: true, JobShards: 2}, 0.27},
		{"holds the only job shard", Role{JobShards: 1, HoldsBatchShard: true}, 0.52},
		{"holds the batch shard", Role{JobShards: 2, HoldsBatchShard: true}, 0.42},
		{"holds one of two service shards", Role{JobShards: 3, ServiceShards: 1}, 0.07},
		{"does everything", Role{Leading: true, JobShards: 3, HoldsBatchShard: true, ServiceShards: 2}, 0.77},
	} {
		if got := c.role.WriteShare(); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%s: %v, not %v", c.name, got, c.want)
		}
	}
}
