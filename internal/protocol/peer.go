package protocol

import "time"

// Heartbeat is what a controller tells the leader about itself, about once a second
// and whenever something the leader waits for has changed.
type Heartbeat struct {
	Node        string
	Incarnation uint64
	SentAt      time.Duration // sender's own clock, handed back in the HeartbeatReply
	Term        uint64        // term the sender believes in
	FreshFor    time.Duration // how old the sender's knowledge of the state service is
	Leaving     bool          // it ends now and gives up what it holds
	Machines    []MachineNote // machines it holds
	Orphans     []Report      // machines that reported to it and that no record names
	Shares      uint64        // version of the teams' shares that it keeps to
	// Tokens of the grants under which it holds homes and nothing there is above
	// the home's share.
	Keeps []uint64
	// Since a report of one of its machines last came here, by shard, whoever
	// holds it; below 0: none has.
	Heard []time.Duration
}

// MachineNote is a holder's view of one machine.
type MachineNote struct {
	Name         string
	Seen         bool          // has reported under the current grant
	Silent       time.Duration // since the last report, or since the grant
	Tasks        int           // attempts that may be on it
	Faulty       bool
	Leaves       bool   // the cloud will take it
	Unresponsive bool   // its reports arrive, but nothing reaches it
	Addr         string // where the record does not have it yet
	Empty        uint64 // stamp of the drain under which nothing is or can come to be on it; 0: not so
}

// HeartbeatReply is the leader's answer: the sender's grants hold for another block
// lease, counted from when the Heartbeat was sent.
type HeartbeatReply struct {
	Leader       bool // false: not the leader, nothing is confirmed
	Term         uint64
	SentAt       time.Duration
	Shards       []int // shards confirmed
	HealthyPeers int   // other controllers that are well and don't hold the home of the work that ends
}

// PeerRequest is one message on the link between controllers; later kinds are
// further fields.
type PeerRequest struct {
	Heartbeat *Heartbeat
	// Jobs whose cancellation the sender has confirmed to users: their tasks are to
	// be stopped at once, whatever else the receiver may do now.
	Cancelled []string
}

// PeerAnswer answers a PeerRequest.
type PeerAnswer struct {
	Reply *HeartbeatReply
}
