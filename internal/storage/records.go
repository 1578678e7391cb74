package storage

import "rockrun/internal/protocol"

// Times in records are the wall clock's, in milliseconds since the Unix epoch.

// LeaderRecord says who leads. It is attached to the leader's lease, with which the
// store removes it.
type LeaderRecord struct {
	Controller  string `json:"node"`
	Incarnation uint64 `json:"inc"`
	Term        uint64 `json:"term"`
	Lease       uint64 `json:"lease"`
}

// TermRecord is the highest term so far.
type TermRecord struct {
	Term uint64 `json:"term"`
}

// LivenessRecord shows that a controller is alive that holds job shards and that no
// answer of the leader reaches.
type LivenessRecord struct {
	Incarnation uint64 `json:"inc"`
}

// ScalingTargetRecord is the autoscaler's target, stamped with the leader's term.
type ScalingTargetRecord struct {
	Term     uint64   `json:"term"`
	Target   int      `json:"target"`          // machines
	Draining []string `json:"drain,omitempty"` // names of machines that drain, not all of many
}

// GrantRecord assigns a shard to a controller under a fencing token.
type GrantRecord struct {
	Controller   string `json:"node"`
	Incarnation  uint64 `json:"inc"`
	FencingToken uint64 `json:"token"`
}

// MachinePhase is where a machine stands between its rental and its deletion. A machine
// entry without a phase is active.
type MachinePhase string

// Phases of a machine, as they are stored.
const (
	PhaseActive          MachinePhase = "active"    // takes tasks
	PhaseDraining        MachinePhase = "drain"     // takes no new tasks, is decommissioned once empty
	PhaseDecommissioning MachinePhase = "returning" // is being deleted at the cloud; never undone
	PhaseDeleted         MachinePhase = "gone"      // deleted; kept until the cloud's lists have forgotten it
)

// MachineGroupRecord is the leader's record of a machine group: machines of one type,
// zone and market that were rented together and belong to one shard. One value holds many
// machines, so that a wave of rentals or deletions takes few writes.
type MachineGroupRecord struct {
	Type         string         `json:"type"`
	Zone         string         `json:"zone"`
	Spot         bool           `json:"spot,omitempty"`
	Shard        int            `json:"shard"`
	FencingToken uint64         `json:"token"` // the fencing token of the shard's holder is at least this
	RentedAtMS   int64          `json:"at"`
	Machines     []MachineEntry `json:"m"`
}

// MachineEntry is what differs among the machines of a group.
type MachineEntry struct {
	Name        string       `json:"n"`
	Address     string       `json:"a,omitempty"` // of the agent; empty until the cloud has told it
	Phase       MachinePhase `json:"p,omitempty"` // empty: active
	DrainStamp  uint64       `json:"d,omitempty"` // stamp of the drain: the holder's word that the machine is empty names it
	DeletedAtMS int64        `json:"g,omitempty"`
	Evict       bool         `json:"y,omitempty"` // of a drain: what can start elsewhere is stopped
}

// JobShardsRecord says among how many job shards the jobs are split. It is written once.
type JobShardsRecord struct {
	JobShards int `json:"homes"`
}

// WholeQuota is all of a team's guaranteed and maximum amounts. Parts of it must be fine
// enough that what is rounded away never keeps the last task of a quota waiting:
// in thousandths, 13 of 16 CPUs used in one job shard left 2.992 to the other.
const WholeQuota = 1_000_000_000_000

// QuotaSplitRecord splits each team's quota among the job shards: by team, the part of
// WholeQuota of each job shard. The parts of a team never exceed WholeQuota together.
type QuotaSplitRecord map[string][]int

// IntentPage lists attempts that may be on machines, by job: each entry is an
// IntentEntry. One of each job's is an IntentHeader instead.
type IntentPage map[string][]string

// CompletionPage holds the completed tasks of a shard's jobs: task sets by
// CompletionChunkName, each with tasks counted from the first of its chunk.
type CompletionPage map[string][]byte

// JobRecord is an accepted job that has not ended.
type JobRecord struct {
	Spec          protocol.JobSpec `json:"spec"`
	SubmittedAtMS int64            `json:"at"` // time of acceptance
}

// FinalRecord says how a job ended.
type FinalRecord struct {
	Stage          string `json:"stage"` // protocol.StageDone or protocol.StageCancelled
	CompletedTasks int    `json:"done"`
	EndedAtMS      int64  `json:"at,omitempty"` // versions before 0.2 leave it out
}

func (f FinalRecord) outcome() Outcome {
	if f.Stage == protocol.StageDone {
		return OutcomeDone
	}
	return OutcomeCancelled
}
