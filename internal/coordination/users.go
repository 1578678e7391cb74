package coordination

import (
	"rockrun/internal/coordination/api"
	"rockrun/internal/storage"
)

// minHealthyPeers is the number of healthy peers at which the holder of the batch shard leaves
// users to its peers.
const minHealthyPeers = 2

// Submit submits a job; see jobs.Service.
func (c *Controller) Submit(body []byte, reply func(api.Answer)) { c.jobs.Submit(body, reply) }

// Status answers with the status of a job; see jobs.Service.
func (c *Controller) Status(id string, reply func(api.Answer)) { c.jobs.Status(id, reply) }

// Cancel cancels a job; see jobs.Service.
func (c *Controller) Cancel(id string, reply func(api.Answer)) { c.jobs.Cancel(id, reply) }

// Healthy reports whether users should be routed to this controller. It must be able to answer
// requests. It also must not be the holder of the batch shard while other controllers are
// healthy, since its processor handles nearly all heartbeats and commands of agents. Users who
// come anyway are served.
func (c *Controller) Healthy() bool {
	return c.replica.Ready() && !c.generation.Stopping() && c.replica.Staleness() < c.maxStaleness && !c.avoidsUserTraffic()
}

// avoidsUserTraffic reports whether this controller leaves users to its peers: it holds the
// batch shard, there are other job shards, and the leader has recently reported at least
// minHealthyPeers healthy peers. Without a leader, or with fewer healthy peers, it serves users
// too.
func (c *Controller) avoidsUserTraffic() bool {
	return c.replica.View.JobShards > 1 && c.leases.Holds(storage.BatchShard) && c.reporter.KnownHealthyPeers() >= minHealthyPeers
}
