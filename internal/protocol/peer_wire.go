package protocol

import "time"

// Controllers exchange the types in this file with encoding/gob, which transmits Go field
// names and silently drops a field that the receiver does not have. During an upgrade of a
// cluster two versions communicate with each other, so the fields here must keep their names
// and meanings. The rest of the program uses PeerRequest and PeerAnswer; package transport
// converts between the two forms.

// PeerRequestWire is the wire form of PeerRequest.
type PeerRequestWire struct {
	Heartbeat *PeerHeartbeatWire
	Cancelled []string
}

// PeerAnswerWire is the wire form of PeerAnswer.
type PeerAnswerWire struct {
	Reply *PeerHeartbeatReply
}

// PeerHeartbeatWire is the wire form of PeerHeartbeat.
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

// PeerHeartbeatReply is the answer of the leader to a PeerHeartbeat. It extends the shard leases
// of the confirmed shards, counted from the time at which the heartbeat was sent.
type PeerHeartbeatReply struct {
	Leader       bool // false: the receiver is not the leader and confirms no shard
	Term         uint64
	SentAt       time.Duration // SentAt of the heartbeat
	Shards       []int         // the confirmed shards
	HealthyPeers int           // number of other healthy controllers that do not hold the batch shard
}

// MachineStatus is the status of one machine as observed by the holder of its shard. It has no
// separate wire form because a heartbeat contains thousands of these, and converting them
// would copy them all.
type MachineStatus struct {
	Name         string
	Seen         bool          // the agent has sent a heartbeat under the current grant
	Silent       time.Duration // time since the last heartbeat, or since the grant
	Tasks        int           // number of attempts that may be on the machine
	Faulty       bool          // tasks fail or run slowly on the machine
	Leaves       bool          // the cloud has announced the termination of the machine
	Unresponsive bool          // its heartbeats arrive, but answers and commands do not reach the agent
	Addr         string        // address, if the machine record has none yet
	Empty        uint64        // drain stamp if no attempt is on the machine or can start there; otherwise 0
}

// AgentHeartbeatWire is the wire form of AgentHeartbeat.
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

// TaskStatusWire is the wire form of TaskStatus.
type TaskStatusWire struct {
	Task    string
	Attempt uint64
	State   string
	Cause   string
	Saved   bool
}

// Wire returns the wire form of the request.
func (r PeerRequest) Wire() PeerRequestWire {
	wire := PeerRequestWire{Cancelled: r.Cancelled}
	if r.Heartbeat != nil {
		wire.Heartbeat = r.Heartbeat.wire()
	}
	return wire
}

// Request converts the wire form to a PeerRequest.
func (w PeerRequestWire) Request() PeerRequest {
	request := PeerRequest{Cancelled: w.Cancelled}
	if w.Heartbeat != nil {
		request.Heartbeat = w.Heartbeat.heartbeat()
	}
	return request
}

// Wire returns the wire form of the answer.
func (a PeerAnswer) Wire() PeerAnswerWire { return PeerAnswerWire(a) }

// Answer converts the wire form to a PeerAnswer.
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
		Heard:       h.ShardHeartbeatAges,
	}
	for i := range h.UnrecordedAgents {
		wire.Orphans = append(wire.Orphans, h.UnrecordedAgents[i].wire())
	}
	return wire
}

func (w *PeerHeartbeatWire) heartbeat() *PeerHeartbeat {
	heartbeat := &PeerHeartbeat{
		Controller:         w.Node,
		Incarnation:        w.Incarnation,
		SentAt:             w.SentAt,
		Term:               w.Term,
		StoreStaleness:     w.FreshFor,
		Leaving:            w.Leaving,
		Machines:           w.Machines,
		QuotaSplitVersion:  w.Shares,
		GrantsWithinQuota:  w.Keeps,
		ShardHeartbeatAges: w.Heard,
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
