package coordination

import (
	"rockrun/internal/coordination/api"
	"rockrun/internal/storage"
)

// minHealthyPeers is how many other controllers must be well for users to be left to them.
const minHealthyPeers = 2

// Submit takes a job, see jobs.Service.
func (c *Controller) Submit(body []byte, reply func(api.Answer)) { c.jobs.Submit(body, reply) }

// Status answers a user's question about a job, see jobs.Service.
func (c *Controller) Status(id string, reply func(api.Answer)) { c.jobs.Status(id, reply) }

// Cancel cancels a job, see jobs.Service.
func (c *Controller) Cancel(id string, reply func(api.Answer)) { c.jobs.Cancel(id, reply) }

// Healthy reports whether users had better come here: the controller can take requests,
// and it is not the one whose processor nearly all of the agents' heartbeats and commands
// go through while others are well. Who comes all the same is served.
func (c *Controller) Healthy() bool {
	return c.replica.Ready() && !c.generation.Stopping() && c.replica.Staleness() < c.maxStaleness && !c.prefersUsersElsewhere()
}

// prefersUsersElsewhere reports whether this controller leaves users to others: it holds
// the batch shard, beside other job shards, and the leader has lately said that at least
// two others are well. Where the leader is gone or few are left, it doesn't.
func (c *Controller) prefersUsersElsewhere() bool {
	return c.replica.View.JobShards > 1 && c.leases.Holds(storage.BatchShard) && c.reporter.KnownHealthyPeers() >= minHealthyPeers
}
