package protocol

import "time"

// PeerRequest is one message on the link between controllers. Later kinds are further
// fields.
type PeerRequest struct {
	Heartbeat *PeerHeartbeat
	// Cancelled are jobs whose cancellation the sender has confirmed to users. Their
	// tasks are stopped at once, whichever shards the receiver holds by now.
	Cancelled []string
}

// PeerAnswer answers a PeerRequest.
type PeerAnswer struct {
	Reply *PeerHeartbeatReply
}

// PeerHeartbeat is what a controller tells the leader about itself twice a second.
type PeerHeartbeat struct {
	Controller     string
	Incarnation    uint64
	SentAt         time.Duration // on the sender's steady clock, handed back in the reply
	Term           uint64        // the term that the sender knows
	StoreStaleness time.Duration // since the sender has last heard from the key-value store
	Leaving        bool          // the sender ends and gives up its shards
	Machines       []MachineStatus
	// UnrecordedAgents have sent their heartbeats to the sender and are named by no
	// record.
	UnrecordedAgents []AgentHeartbeat
	// QuotaSplitVersion is the version of the quota split that the sender keeps to.
	QuotaSplitVersion uint64
	// GrantsWithinQuota are the fencing tokens of the grants under which the sender
	// holds a job shard whose usage is within the shard's quota.
	GrantsWithinQuota []uint64
	// ShardHeardAgo is, by shard, the time since an agent of the shard sent its
	// heartbeat to the sender, whoever holds the shard; negative where none has.
	ShardHeardAgo []time.Duration
}
