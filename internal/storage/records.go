package storage

import "rockrun/internal/protocol"

// Times in records are the wall clock's, in milliseconds since the Unix epoch.

// LeaderRecord names the leader. It is attached to the leader's lease, and the store removes
// it together with the lease.
type LeaderRecord struct {
	Controller  string `json:"node"`
	Incarnation uint64 `json:"inc"`
	Term        uint64 `json:"term"`
	Lease       uint64 `json:"lease"`
}

// TermRecord contains the highest term so far.
type TermRecord struct {
	Term uint64 `json:"term"`
}

// LivenessRecord shows that a controller is alive. A controller that holds job shards writes
// it while no answer from the leader reaches the controller.
type LivenessRecord struct {
	Incarnation uint64 `json:"inc"`
}

// ScalingTargetRecord is the autoscaler's target, with the term of the leader that wrote it.
type ScalingTargetRecord struct {
	Term     uint64   `json:"term"`
	Target   int      `json:"target"`          // number of machines
	Draining []string `json:"drain,omitempty"` // names of draining machines; incomplete if there are many
}

// GrantRecord assigns a shard to a controller under a fencing token.
type GrantRecord struct {
	Controller   string `json:"node"`
	Incarnation  uint64 `json:"inc"`
	FencingToken uint64 `json:"token"`
}

// MachinePhase is a phase in the life of a machine, from its creation to its deletion. A
// machine entry without a phase is active.
type MachinePhase string

// Phases of a machine, with their stored values.
const (
	PhaseActive          MachinePhase = "active"    // accepts tasks
	PhaseDraining        MachinePhase = "drain"     // accepts no new tasks; decommissioned once empty
	PhaseDecommissioning MachinePhase = "returning" // being deleted at the cloud; cannot be reverted
	PhaseDeleted         MachinePhase = "gone"      // deleted; the entry is retained until the cloud no longer lists the machine
)

// MachineGroupRecord is the leader's record of a machine group: machines of one type, zone
// and market that were created together and belong to one shard. One value contains many
// machines, so that creating or deleting many machines at once takes few writes.
type MachineGroupRecord struct {
	Type         string         `json:"type"`
	Zone         string         `json:"zone"`
	Spot         bool           `json:"spot,omitempty"`
	Shard        int            `json:"shard"`
	FencingToken uint64         `json:"token"` // lower bound of the fencing token of the shard's holder
	CreatedAtMS  int64          `json:"at"`
	Machines     []MachineEntry `json:"m"`
}

// MachineEntry contains the fields in which the machines of a group differ.
type MachineEntry struct {
	Name        string       `json:"n"`
	Address     string       `json:"a,omitempty"` // of the agent; empty until the cloud or the agent reports it
	Phase       MachinePhase `json:"p,omitempty"` // empty: active
	DrainStamp  uint64       `json:"d,omitempty"` // identifies the drain; the holder returns it when it reports the machine as empty
	DeletedAtMS int64        `json:"g,omitempty"`
	Evict       bool         `json:"y,omitempty"` // during a drain: stop the tasks that can start elsewhere
}

// JobShardsRecord contains the number of job shards that own the jobs. It is written once.
type JobShardsRecord struct {
	JobShards int `json:"homes"`
}

// WholeQuota is the number of parts into which a team's guaranteed and maximum amounts are
// divided. The parts must be so small that rounding never leaves the last task of a quota
// pending: with thousandths, 13 of 16 CPUs used in one job shard left 2.992 to the other.
const WholeQuota = 1_000_000_000_000

// QuotaSplitRecord splits each team's quota among the job shards: by team, the number of
// parts of WholeQuota for each job shard. The sum for a team never exceeds WholeQuota.
type QuotaSplitRecord map[string][]int

// IntentPage lists attempts that may be on machines, by job ID. Each entry is an IntentEntry,
// except for one IntentHeader for each job.
type IntentPage map[string][]string

// CompletionPage contains completed tasks of a shard's jobs: task sets by
// CompletionChunkName, with task numbers relative to the first task of the chunk.
type CompletionPage map[string][]byte

// JobRecord is an accepted job that has not ended.
type JobRecord struct {
	Spec          protocol.JobSpec `json:"spec"`
	SubmittedAtMS int64            `json:"at"` // time of acceptance
}

// FinalRecord records how a job ended.
type FinalRecord struct {
	Stage          string `json:"stage"` // protocol.StageDone or protocol.StageCancelled
	CompletedTasks int    `json:"done"`
	EndedAtMS      int64  `json:"at,omitempty"` // missing in records written by versions before 0.2
}

func (f FinalRecord) outcome() Outcome {
	if f.Stage == protocol.StageDone {
		return OutcomeDone
	}
	return OutcomeCancelled
}
