package bookkeeping

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"rockrun/internal/protocol"
)

// Keys of durable records. All but the final ones are below Prefix, which every
// controller follows; a job that is over leaves it, so that what a starting
// controller reads stays as small as the work at hand.
const (
	Prefix     = "r/"
	KeyLeader  = "r/leader"
	KeyTerm    = "r/term"
	KeyTypes   = "r/types"
	KeyHomes   = "r/homes"
	KeyTarget  = "r/target"
	preGrant   = "r/g/"
	preMachine = "r/m/"
	preIntent  = "r/i/"
	preJob     = "r/j/"
	preDone    = "r/d/"
	preFinal   = "f/"
)

// ChunkTasks is how many tasks one record of completed tasks covers; its value
// stays below 1.4 KiB.
const ChunkTasks = 8192

// GrantKey is the key of a shard's grant.
func GrantKey(shard int) string { return preGrant + strconv.Itoa(shard) }

// MachineKey is the key of the leader's record of a machine.
func MachineKey(name string) string { return preMachine + name }

// IntentKey is the key of the holder's record of a machine.
func IntentKey(name string) string { return preIntent + name }

// JobKey is the key of an unfinished job.
func JobKey(id string) string { return preJob + id }

// DoneKey is the key of a part of a job's completed tasks.
func DoneKey(id string, chunk int) string { return preDone + id + "/" + strconv.Itoa(chunk) }

// FinalKey is the key of a job that is over.
func FinalKey(id string) string { return preFinal + id }

// LeaderRecord says who leads. It is attached to the leader's lease.
type LeaderRecord struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"inc"`
	Term        uint64 `json:"term"`
	Lease       uint64 `json:"lease"`
}

// TermRecord is the highest term so far.
type TermRecord struct {
	Term uint64 `json:"term"`
}

// TargetRecord is the sizer's stored target, stamped with the leader's term.
type TargetRecord struct {
	Term   uint64   `json:"term"`
	Target int      `json:"target"`
	Drain  []string `json:"drain,omitempty"`
}

// GrantRecord says which controller holds a shard, under which token.
type GrantRecord struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"inc"`
	Token       uint64 `json:"token"`
}

// Phases of a machine.
const (
	PhaseActive    = "active"    // takes tasks
	PhaseDrain     = "drain"     // takes no new tasks, goes back once empty
	PhaseReturning = "returning" // is being deleted; never undone
	PhaseGone      = "gone"      // deleted; kept until the cloud's lists have forgotten it
)

// MachineRecord is the leader's record of a machine.
type MachineRecord struct {
	Addr  string `json:"addr,omitempty"`
	Type  string `json:"type"`
	Zone  string `json:"zone"`
	Spot  bool   `json:"spot,omitempty"`
	Shard int    `json:"shard"`
	Token uint64 `json:"token"` // the holder's token is at least this
	Phase string `json:"phase"`
	AtMS  int64  `json:"at"` // time of day when it was rented, or its phase became gone
}

// IntentRecord lists the tasks that may be on a machine.
type IntentRecord struct {
	Tasks []IntentTask `json:"tasks"`
}

// IntentTask is one attempt that may be on a machine.
type IntentTask struct {
	Task    string `json:"t"`
	Attempt uint64 `json:"n"`
}

// JobRecord is an accepted job that is not over.
type JobRecord struct {
	Spec protocol.Spec `json:"spec"`
	AtMS int64         `json:"at"` // time of day of acceptance
}

// FinalRecord is a job that is over.
type FinalRecord struct {
	Stage string `json:"stage"`
	Done  int    `json:"done"`
}

// Encode turns a record into a value. Records hold nothing that can't be
// encoded.
func Encode(record any) json.RawMessage {
	data, err := json.Marshal(record)
	if err != nil {
		panic(fmt.Sprintf("bookkeeping: encode %T: %v", record, err))
	}
	return data
}

// splitDone takes the key of a record of completed tasks apart.
func splitDone(key string) (id string, chunk int, ok bool) {
	id, num, ok := strings.Cut(strings.TrimPrefix(key, preDone), "/")
	chunk, err := strconv.Atoi(num)
	return id, chunk, ok && err == nil && chunk >= 0 && chunk <= protocol.MaxTasks/ChunkTasks
}

// DecodeFinal reads the record of a job that is over.
func DecodeFinal(value json.RawMessage) (FinalRecord, error) {
	var f FinalRecord
	if err := json.Unmarshal(value, &f); err != nil {
		return f, fmt.Errorf("final record: %w", err)
	}
	return f, nil
}
