package storage

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
	Prefix             = "r/"
	KeyLeader          = "r/leader"
	KeyTerm            = "r/term"
	KeyMachineTypes    = "r/types"
	KeyJobShards       = "r/homes"
	KeyQuotaSplit      = "r/shares"
	KeyScalingTarget   = "r/target"
	prefixGrant        = "r/g/"
	prefixMachineGroup = "r/m/"
	prefixIntent       = "r/i/"
	prefixJob          = "r/j/"
	prefixCompletion   = "r/d/"
	prefixLiveness     = "r/p/"
	prefixFinal        = "f/"
)

// ChunkTasks is how many tasks one entry of completed tasks covers; it stays
// below 1.4 KiB.
const TasksPerChunk = 8192

// GrantKey is the key of a shard's grant.
func GrantKey(shard int) string { return prefixGrant + strconv.Itoa(shard) }

// BlockKey is the key of a block of machines.
func MachineGroupKey(id string) string { return prefixMachineGroup + id }

// PageID names a page of a shard's holder.
type PageID struct{ Shard, Page int }

func (p PageID) path() string { return strconv.Itoa(p.Shard) + "/" + strconv.Itoa(p.Page) }

// IntentKey is the key of a page of intents.
func IntentPageKey(p PageID) string { return prefixIntent + p.path() }

// DoneKey is the key of a page of completed tasks.
func CompletionPageKey(p PageID) string { return prefixCompletion + p.path() }

// JobKey is the key of an unfinished job.
func JobKey(id string) string { return prefixJob + id }

// LivenessKey is the key under which a controller shows that it is alive while the
// leader can't hear it.
func LivenessKey(node string) string { return prefixLiveness + node }

// FinalKey is the key of a job that is over.
func FinalKey(id string) string { return prefixFinal + id }

// splitPage takes a page's key apart.
func parsePagePath(path string) (PageID, bool) {
	shard, page, ok := strings.Cut(path, "/")
	s, err1 := strconv.Atoi(shard)
	p, err2 := strconv.Atoi(page)
	return PageID{s, p}, ok && err1 == nil && err2 == nil && s >= 0 && p >= 0
}

// LeaderRecord says who leads. It is attached to the leader's lease.
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

// LivenessRecord is a liveness record of a controller that holds homes and that no
// answer of the leader reaches.
type LivenessRecord struct {
	Incarnation uint64 `json:"inc"`
}

// TargetRecord is the sizer's stored target, stamped with the leader's term.
type ScalingTargetRecord struct {
	Term     uint64   `json:"term"`
	Target   int      `json:"target"`
	Draining []string `json:"drain,omitempty"`
}

// GrantRecord says which controller holds a shard, under which token.
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

// BlockRecord is the leader's record of a block: machines of one pool that were
// rented together and belong to one shard. One value holds many machines, so
// that a wave of rentals or returns takes few writes.
type MachineGroupRecord struct {
	Type         string         `json:"type"`
	Zone         string         `json:"zone"`
	Spot         bool           `json:"spot,omitempty"`
	Shard        int            `json:"shard"`
	FencingToken uint64         `json:"token"` // the holder's token is at least this
	RentedAtMS   int64          `json:"at"`    // time of day when they were rented
	Machines     []MachineEntry `json:"m"`
}

// BlockMachine is what differs among the machines of a block.
type MachineEntry struct {
	Name        string       `json:"n"`
	Address     string       `json:"a,omitempty"`
	Phase       MachinePhase `json:"p,omitempty"` // none: active
	DrainStamp  uint64       `json:"d,omitempty"` // stamp of the drain: the holder's word that the machine is empty names it
	DeletedAtMS int64        `json:"g,omitempty"` // time of day when it was deleted
	Evict       bool         `json:"y,omitempty"` // of a drain: what can be started elsewhere is stopped
}

// HomesRecord says into how many homes the work is split. It is written once.
type JobShardsRecord struct {
	JobShards int `json:"homes"`
}

// WholeShare is all of a team's guarantee and limit. Parts of it must be fine
// enough that what is rounded away never keeps the last task of a limit waiting:
// in thousandths, 13 of 16 CPUs used in one home left 2.992 to the other.
const WholeQuota = 1_000_000_000_000

// SharesRecord splits each team's guarantee and limit among the homes, in parts
// of WholeShare, which a team's shares never exceed together.
type QuotaSplitRecord map[string][]int

// IntentPage lists tasks that may be on machines, by job: each entry is the
// task's number, the machine and the attempt. One of each job's says instead what a
// task takes, see IntentHead.
type IntentPage map[string][]string

// headMark begins an entry that is an IntentHead.
const headerMark = "@"

// IntentHead says in a page whose quota a job's tasks count against and how much
// each takes. The job's own record is gone once it is cancelled, while its tasks
// may still be on machines that nobody can reach.
func IntentHeader(team string, cpus, gpus, memoryGB float64) string {
	number := func(v float64) string { return " " + strconv.FormatFloat(v, 'g', -1, 64) }
	return headerMark + team + number(cpus) + number(gpus) + number(memoryGB)
}

// splitHead takes an IntentHead apart.
func parseIntentHeader(entry string) (team string, amounts [3]float64, err error) {
	parts := strings.Split(strings.TrimPrefix(entry, headerMark), " ")
	if len(parts) < 4 {
		return "", amounts, fmt.Errorf("intent head %q", entry)
	}
	first := len(parts) - 3 // a team's name may hold spaces
	for i := range amounts {
		if amounts[i], err = strconv.ParseFloat(parts[first+i], 64); err != nil {
			return "", amounts, fmt.Errorf("intent head %q: %w", entry, err)
		}
	}
	return strings.Join(parts[:first], " "), amounts, nil
}

// IntentEntry encodes an entry of an IntentPage.
func IntentEntry(task int, machine string, attempt uint64) string {
	return strconv.Itoa(task) + " " + machine + " " + strconv.FormatUint(attempt, 36)
}

// splitIntent takes an entry of an IntentPage apart.
func parseIntentEntry(entry string) (task int, machine string, attempt uint64, err error) {
	num, rest, ok1 := strings.Cut(entry, " ")
	machine, try, ok2 := strings.Cut(rest, " ")
	task, err1 := strconv.Atoi(num)
	attempt, err2 := strconv.ParseUint(try, 36, 64)
	if !ok1 || !ok2 || err1 != nil || err2 != nil || task < 0 || task >= protocol.MaxTasks {
		return 0, "", 0, fmt.Errorf("intent %q", entry)
	}
	return task, machine, attempt, nil
}

// DonePage holds completed tasks of a home's jobs: bitmaps by DoneName.
type CompletionPage map[string][]byte

// DoneName names a chunk of a job's tasks in a DonePage.
func CompletionChunkName(id string, chunk int) string { return id + "/" + strconv.Itoa(chunk) }

// JobRecord is an accepted job that is not over.
type JobRecord struct {
	Spec          protocol.JobSpec `json:"spec"`
	SubmittedAtMS int64            `json:"at"` // time of day of acceptance
}

// FinalRecord is a job that is over.
type FinalRecord struct {
	Stage          string `json:"stage"`
	CompletedTasks int    `json:"done"`
	EndedAtMS      int64  `json:"at,omitempty"` // time of day of the end; versions before 0.2 leave it out
}

func (f FinalRecord) outcome() Outcome {
	if f.Stage == protocol.StageDone {
		return OutcomeDone
	}
	return OutcomeCancelled
}

// Encode turns a record into a value. Records hold nothing that can't be
// encoded.
func Encode(record any) json.RawMessage {
	data, err := json.Marshal(record)
	if err != nil {
		panic(fmt.Sprintf("storage: encode %T: %v", record, err))
	}
	return data
}

// splitDone takes a name in a DonePage apart.
func parseCompletionChunkName(name string) (id string, chunk int, ok bool) {
	id, num, ok := strings.Cut(name, "/")
	chunk, err := strconv.Atoi(num)
	return id, chunk, ok && err == nil && chunk >= 0 && chunk <= protocol.MaxTasks/TasksPerChunk
}

// DecodeFinal reads the record of a job that is over.
func DecodeFinal(value json.RawMessage) (FinalRecord, error) {
	var f FinalRecord
	if err := json.Unmarshal(value, &f); err != nil {
		return f, fmt.Errorf("final record: %w", err)
	}
	return f, nil
}
