package protocol

import "time"

// The types in this file are what controllers exchange with encoding/gob, which carries
// Go's field names and drops a field that the other side does not know without an
// error. While a cluster is upgraded two versions talk to each other, so no field here
// is renamed or given another meaning. The rest of the program uses PeerRequest and
// PeerAnswer; package transport converts at the link.

// PeerRequestWire is a PeerRequest on the link.
type PeerRequestWire struct {
	Heartbeat *PeerHeartbeatWire
	Cancelled []string
}

// PeerAnswerWire is a PeerAnswer on the link.
type PeerAnswerWire struct {
	Reply *PeerHeartbeatReply
}

// PeerHeartbeatWire is a PeerHeartbeat on the link.
type PeerHeartbeatWire struct {
	Node        string
	Incarnation uint64
	SentAt      time.Duration
	Term        uint64
	FreshFor    time.Duration
	Leaving     bool
	Machines    []MachineStatus
	Orphans     []AgentHeartbeatWire
	Shares      uint64
	Keeps       []uint64
	Heard       []time.Duration
}

// PeerHeartbeatReply is the leader's answer: the sender's grants hold for another shard
// lease, counted from when the heartbeat was sent.
type PeerHeartbeatReply struct {
	Leader       bool // false: the receiver does not lead and confirms nothing
	Term         uint64
	SentAt       time.Duration // of the heartbeat
	Shards       []int         // shards confirmed
	HealthyPeers int           // other controllers that are well and do not hold the batch shard
}

// MachineStatus is a shard holder's view of one machine. There are thousands in a
// heartbeat, so they are used as they are on the link instead of being copied.
type MachineStatus struct {
	Name         string
	Seen         bool          // the agent has sent a heartbeat under the current grant
	Silent       time.Duration // since the last heartbeat, or since the grant
	Tasks        int           // attempts that may be on it
	Faulty       bool          // tasks fail or run slowly there
	Leaves       bool          // the cloud has announced its termination
	Unresponsive bool          // heartbeats arrive, but neither answers nor commands do
	Addr         string        // address, where the record does not have it yet
	Empty        uint64        // stamp of the drain under which nothing is or can come to be on it; 0: not empty
}

// AgentHeartbeatWire is an AgentHeartbeat on the link.
type AgentHeartbeatWire struct {
	Machine string
	Address string
	Type    string
	Zone    string
	Spot    bool
	Session uint64
	Seq     uint64
	Token   uint64
	NoticeS *float64
	Tasks   []TaskStatusWire
}

// TaskStatusWire is a TaskStatus on the link.
type TaskStatusWire struct {
	Task    string
	Attempt uint64
	State   string
	Cause   string
	Saved   bool
}

// Wire returns the message as it goes over the link.
func (r PeerRequest) Wire() PeerRequestWire {
	wire := PeerRequestWire{Cancelled: r.Cancelled}
	if r.Heartbeat != nil {
		wire.Heartbeat = r.Heartbeat.wire()
	}
	return wire
}

// Request returns the message that came over the link.
func (w PeerRequestWire) Request() PeerRequest {
	request := PeerRequest{Cancelled: w.Cancelled}
	if w.Heartbeat != nil {
		request.Heartbeat = w.Heartbeat.heartbeat()
	}
	return request
}

// Wire returns the answer as it goes over the link.
func (a PeerAnswer) Wire() PeerAnswerWire { return PeerAnswerWire(a) }

// Answer returns the answer that came over the link.
func (w PeerAnswerWire) Answer() PeerAnswer { return PeerAnswer(w) }

func (h *PeerHeartbeat) wire() *PeerHeartbeatWire {
	wire := &PeerHeartbeatWire{
		Node:        h.Controller,
		Incarnation: h.Incarnation,
		SentAt:      h.SentAt,
		Term:        h.Term,
		FreshFor:    h.StoreStaleness,
		Leaving:     h.Leaving,
		Machines:    h.Machines,
		Shares:      h.QuotaSplitVersion,
		Keeps:       h.GrantsWithinQuota,
		Heard:       h.ShardHeardAgo,
	}
	for i := range h.UnrecordedAgents {
		wire.Orphans = append(wire.Orphans, h.UnrecordedAgents[i].wire())
	}
	return wire
}

func (w *PeerHeartbeatWire) heartbeat() *PeerHeartbeat {
	heartbeat := &PeerHeartbeat{
		Controller:        w.Node,
		Incarnation:       w.Incarnation,
		SentAt:            w.SentAt,
		Term:              w.Term,
		StoreStaleness:    w.FreshFor,
		Leaving:           w.Leaving,
		Machines:          w.Machines,
		QuotaSplitVersion: w.Shares,
		GrantsWithinQuota: w.Keeps,
		ShardHeardAgo:     w.Heard,
	}
	for i := range w.Orphans {
		heartbeat.UnrecordedAgents = append(heartbeat.UnrecordedAgents, w.Orphans[i].heartbeat())
	}
	return heartbeat
}

func (h *AgentHeartbeat) wire() AgentHeartbeatWire {
	wire := AgentHeartbeatWire{
		Machine: h.Machine,
		Address: h.Address,
		Type:    h.MachineType,
		Zone:    h.Zone,
		Spot:    h.Spot,
		Session: h.Epoch,
		Seq:     h.Sequence,
		Token:   h.FencingToken,
		NoticeS: h.TerminationSeconds,
	}
	for _, t := range h.Tasks {
		wire.Tasks = append(wire.Tasks, t.wire())
	}
	return wire
}

func (s TaskStatus) wire() TaskStatusWire {
	return TaskStatusWire{Task: s.Task, Attempt: s.Attempt, State: string(s.State), Cause: string(s.Cause), Saved: s.Saved}
}

func (w *AgentHeartbeatWire) heartbeat() AgentHeartbeat {
	heartbeat := AgentHeartbeat{
		Machine:            w.Machine,
		Address:            w.Address,
		MachineType:        w.Type,
		Zone:               w.Zone,
		Spot:               w.Spot,
		Epoch:              w.Session,
		Sequence:           w.Seq,
		FencingToken:       w.Token,
		TerminationSeconds: w.NoticeS,
	}
	for _, t := range w.Tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, t.status())
	}
	return heartbeat
}

func (w TaskStatusWire) status() TaskStatus {
	return TaskStatus{Task: w.Task, Attempt: w.Attempt, State: TaskState(w.State), Cause: TaskCause(w.Cause), Saved: w.Saved}
}
