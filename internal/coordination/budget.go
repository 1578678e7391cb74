package coordination

import (
	"rockrun/internal/coordination/kv"
	"rockrun/internal/storage"
)

// updateWriteBudget sets the rate of this controller's write budget. All controllers share the
// write rate of the store, and the part of each depends on its current role.
func (c *Controller) updateWriteBudget() {
	rate := c.role().WriteShare() * c.committer.Limits().WriteRate
	c.committer.Budget.SetRate(max(1, rate))
}

func (c *Controller) role() kv.Role {
	role := kv.Role{Leading: c.leader != nil, JobShards: c.replica.View.JobShards}
	for shard := range c.replica.View.JobShards {
		switch {
		case !c.leases.Holds(shard):
		case shard == storage.BatchShard:
			role.HoldsBatchShard = true
		default:
			role.ServiceShards++
		}
	}
	return role
}
