package coordination

import (
	"rockrun/internal/coordination/api"
	"rockrun/internal/storage"
)

// minHealthyPeers is the number of healthy peers at which the holder of the batch shard reports
// itself unhealthy, so that users are routed to its peers.
const minHealthyPeers = 2

// Submit submits a job; see jobs.Service.
func (c *Controller) Submit(body []byte, reply func(api.Answer)) { c.jobs.Submit(body, reply) }

// Status answers with the status of a job; see jobs.Service.
func (c *Controller) Status(id string, reply func(api.Answer)) { c.jobs.Status(id, reply) }

// Cancel cancels a job; see jobs.Service.
func (c *Controller) Cancel(id string, reply func(api.Answer)) { c.jobs.Cancel(id, reply) }

// Healthy reports whether users should be routed to this controller: it can answer requests, and
// it does not hold the batch shard while other controllers are healthy. Nearly all heartbeats and
// commands of agents already load the processor of the batch shard's holder. The holder still
// answers the requests that users send to it.
func (c *Controller) Healthy() bool {
	return c.replica.Ready() && !c.generation.Stopping() && c.replica.Staleness() < c.maxStaleness && !c.avoidsUserTraffic()
}

// avoidsUserTraffic reports whether users should be routed to the peers of this controller: it
// holds the batch shard, there are other job shards, and the leader has recently reported at least
// minHealthyPeers healthy peers. Without a recent reply of a leader, or with fewer healthy peers,
// users are routed to this controller too.
func (c *Controller) avoidsUserTraffic() bool {
	return c.replica.View.JobShards > 1 && c.leases.Holds(storage.BatchShard) && c.reporter.KnownHealthyPeers() >= minHealthyPeers
}
