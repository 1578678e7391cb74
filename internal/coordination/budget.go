package coordination

import (
	"rockrun/internal/coordination/kv"
	"rockrun/internal/storage"
)

// updateWriteBudget gives this controller its part of the writes that all controllers
// share, by what it does now.
func (n *Controller) updateWriteBudget() {
	rate := n.role().WriteShare() * n.committer.Limits().WriteRate
	n.committer.Budget.SetRate(max(1, rate))
}

func (n *Controller) role() kv.Role {
	role := kv.Role{Leading: n.leadership != nil, JobShards: n.view.JobShards}
	for shard := range n.view.JobShards {
		switch {
		case !n.leases.Holds(shard):
		case shard == storage.BatchShard:
			role.HoldsBatchShard = true
		default:
			role.ServiceShards++
		}
	}
	return role
}
