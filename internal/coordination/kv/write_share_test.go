package kv

import (
	"math"
	"testing"
)

// TestWriteShare checks the write shares of controllers by role. Even the controller with all
// roles stays below the total write rate.
func TestWriteShare(t *testing.T) {
	for _, c := range []struct {
		name string
		role Role
		want float64
	}{
		{"standby", Role{JobShards: 2}, 0.02},
		{"leader", Role{Leading: true, JobShards: 2}, 0.27},
		{"holds the only job shard", Role{JobShards: 1, HoldsBatchShard: true}, 0.52},
		{"holds the batch shard", Role{JobShards: 2, HoldsBatchShard: true}, 0.42},
		{"holds one of two service shards", Role{JobShards: 3, ServiceShards: 1}, 0.07},
		{"leader that holds all job shards", Role{Leading: true, JobShards: 3, HoldsBatchShard: true, ServiceShards: 2}, 0.77},
	} {
		if got := c.role.WriteShare(); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%s: share %v, want %v", c.name, got, c.want)
		}
	}
}
