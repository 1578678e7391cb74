package kv

// Shares of the total write rate, by the role of a controller. Their sum stays below 1,
// because user requests and final records are written without waiting for a budget and need
// the rest.
const (
	baseShare          = 0.02 // for every controller
	leaderShare        = 0.25
	soleJobShardShare  = 0.5 // for the holder of the only job shard
	batchShardShare    = 0.4 // for the batch shard if there are others; tasks that complete need the most writes
	serviceShardsShare = 0.1 // for all service shards together
)

// Role describes the duties of a controller that determine its write share.
type Role struct {
	Leading bool
	// JobShards is the number of job shards in the cluster.
	JobShards int
	// HoldsBatchShard reports whether the controller holds the batch shard, or the only
	// job shard.
	HoldsBatchShard bool
	// ServiceShards is the number of other job shards that the controller holds.
	ServiceShards int
}

// WriteShare returns the fraction of the total write rate that a controller with this role
// may use.
func (r Role) WriteShare() float64 {
	share := baseShare
	if r.Leading {
		share += leaderShare
	}
	switch {
	case !r.HoldsBatchShard:
	case r.JobShards == 1:
		share += soleJobShardShare
	default:
		share += batchShardShare
	}
	for range r.ServiceShards {
		share += serviceShardsShare / float64(r.JobShards-1)
	}
	return share
}
