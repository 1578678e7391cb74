package protocol

import "time"

// PeerRequest is one message on the link between controllers. A new kind of message is added
// as a further field.
type PeerRequest struct {
	Heartbeat *PeerHeartbeat
	// Cancelled are the IDs of jobs whose cancellation the sender has confirmed to users.
	// The receiver stops their tasks immediately, whichever shards it currently holds.
	Cancelled []string
}

// PeerAnswer answers a PeerRequest.
type PeerAnswer struct {
	Reply *PeerHeartbeatReply
}

// PeerHeartbeat is the status of a controller, sent to the leader twice a second.
type PeerHeartbeat struct {
	Controller     string
	Incarnation    uint64
	SentAt         time.Duration // on the sender's monotonic clock; returned in the reply
	Term           uint64        // the latest term in the view of the sender
	StoreStaleness time.Duration // time since the sender last heard from the key-value store
	Leaving        bool          // the sender is shutting down and releases its shards
	Machines       []MachineStatus
	// UnrecordedAgents are heartbeats that the sender received from agents whose machines
	// have no record.
	UnrecordedAgents []AgentHeartbeat
	// QuotaSplitVersion is the version of the quota split that the sender enforces.
	QuotaSplitVersion uint64
	// GrantsWithinQuota are the fencing tokens of the grants under which the sender
	// holds a job shard whose usage is within the shard's quota.
	GrantsWithinQuota []uint64
	// ShardHeartbeatAges holds, for each shard, the time since the sender last received a
	// heartbeat from an agent of the shard, whichever controller holds the shard. The time
	// is negative if the sender has received none.
	ShardHeartbeatAges []time.Duration
}
