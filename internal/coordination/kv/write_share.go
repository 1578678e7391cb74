package kv

// Parts of the writes that all controllers share, by what a controller does. Together they
// stay below the whole: users' requests and ends of jobs never wait for a budget and need
// what is left.
const (
	basicPart    = 0.02 // every controller's
	leaderPart   = 0.25
	onlyPart     = 0.5 // of a job shard that is the only one
	batchPart    = 0.4 // of the batch shard beside others: work that ends writes most
	servicesPart = 0.1 // of all service shards together
)

// Role is what a controller does.
type Role struct {
	Leading bool
	// JobShards is how many shards own jobs in the cluster.
	JobShards int
	// HoldsBatchShard reports whether the controller holds the batch shard, or the only
	// job shard.
	HoldsBatchShard bool
	// ServiceShards is how many of the other job shards it holds.
	ServiceShards int
}

// WriteShare is the part of all writes that a controller may make in its role.
func (r Role) WriteShare() float64 {
	part := basicPart
	if r.Leading {
		part += leaderPart
	}
	switch {
	case !r.HoldsBatchShard:
	case r.JobShards == 1:
		part += onlyPart
	default:
		part += batchPart
	}
	for range r.ServiceShards {
		part += servicesPart / float64(r.JobShards-1)
	}
	return part
}
