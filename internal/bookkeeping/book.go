package bookkeeping

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"rockrun/internal/protocol"
)

// TaskRef names a task by indices.
type TaskRef struct{ Job, Task int }

// Job is an unfinished job, or one that is over while attempts remain.
type Job struct {
	protocol.Spec
	Index    int
	Version  uint64 // of the record; 0 once the job is over
	AtMS     int64
	TeamIdx  int
	TypeIdx  []int // allowed machine types, nil for any
	ZoneIdx  int   // -1 for any
	ImageIdx int
	Done     Bits // durably completed
	DoneN    int
	DoneVer  map[int]uint64 // version of each record of completed tasks
	Intended map[int]int    // tasks that intents name, with how many do
	Refs     int            // attempts a holder still works on; they keep the index in use
}

// Over reports whether the job is done or withdrawn.
func (j *Job) Over() bool { return j.Version == 0 }

// Open returns how many tasks are neither done nor named by an intent.
func (j *Job) Open() int {
	n := j.Tasks - j.DoneN
	for task := range j.Intended {
		if !j.Done.Has(task) {
			n--
		}
	}
	return max(n, 0)
}

// Machine is a machine as the durable records tell of it.
type Machine struct {
	Name          string
	Index         int
	Version       uint64 // of the leader's record; 0 without one
	MachineRecord        // last known
	TypeIdx       int
	ZoneIdx       int
	Intents       map[TaskRef]uint64
	IntentVersion uint64
}

// Grant is a shard's grant.
type Grant struct {
	GrantRecord
	Version uint64
}

// Team is a team of the settings.
type Team struct {
	Name          string
	CPUs, CPUsMax float64
	GPUs, GPUsMax float64
	Guaranteed    bool
}

// Book mirrors the durable records.
type Book struct {
	TeamNames, TypeNames, ZoneNames, ImageNames Names

	Teams    []Team
	Types    []protocol.MachineType // by index; zero CPUs where only the name is known
	TypesVer uint64
	Jobs     Table[Job]
	Machines Table[Machine]
	Grants   []Grant
	Homes    []int // team to shard, -1 while it has none
	HomesVer uint64

	Leader    LeaderRecord
	LeaderVer uint64
	Term      uint64
	TermVer   uint64
	Target    TargetRecord
	TargetVer uint64
}

// NewBook makes an empty book for the given teams and number of shards.
func NewBook(teams []Team, shards int) *Book {
	b := &Book{Teams: teams, Grants: make([]Grant, shards)}
	for i, t := range teams {
		b.TeamNames.ID(t.Name)
		b.Homes = append(b.Homes, -1)
		b.Teams[i].Guaranteed = t.CPUs > 0 || t.GPUs > 0
	}
	return b
}

// Apply takes in a record. Older versions than the one known are ignored.
func (b *Book) Apply(key string, value json.RawMessage, version uint64) error {
	read := func(into any) error {
		if err := json.Unmarshal(value, into); err != nil {
			return fmt.Errorf("record %s: %w", key, err)
		}
		return nil
	}
	switch {
	case key == KeyLeader:
		if version > b.LeaderVer {
			var r LeaderRecord
			if err := read(&r); err != nil {
				return err
			}
			b.Leader, b.LeaderVer = r, version
		}
	case key == KeyTerm:
		if version > b.TermVer {
			var r TermRecord
			if err := read(&r); err != nil {
				return err
			}
			b.Term, b.TermVer = r.Term, version
		}
	case key == KeyTarget:
		if version > b.TargetVer {
			var r TargetRecord
			if err := read(&r); err != nil {
				return err
			}
			b.Target, b.TargetVer = r, version
		}
	case key == KeyTypes:
		if version > b.TypesVer {
			var r protocol.Catalogue
			if err := read(&r); err != nil {
				return err
			}
			b.TypesVer = version
			for _, t := range r.Types {
				i := b.TypeID(t.Name)
				b.Types[i] = t
			}
		}
	case key == KeyHomes:
		if version > b.HomesVer {
			var r map[string]int
			if err := read(&r); err != nil {
				return err
			}
			b.HomesVer = version
			for team, shard := range r {
				if i := b.TeamNames.Lookup(team); i >= 0 && i < len(b.Homes) && shard >= 0 && shard < len(b.Grants) {
					b.Homes[i] = shard
				}
			}
		}
	case strings.HasPrefix(key, preGrant):
		i, err := strconv.Atoi(key[len(preGrant):])
		if err != nil || i < 0 || i >= len(b.Grants) {
			return fmt.Errorf("record %s: no such shard", key)
		}
		if version > b.Grants[i].Version {
			var r GrantRecord
			if err := read(&r); err != nil {
				return err
			}
			b.Grants[i] = Grant{r, version}
		}
	case strings.HasPrefix(key, preMachine):
		m := b.machine(key[len(preMachine):])
		if version > m.Version {
			var r MachineRecord
			if err := read(&r); err != nil {
				return err
			}
			m.MachineRecord, m.Version = r, version
			m.TypeIdx, m.ZoneIdx = b.TypeID(r.Type), b.ZoneNames.ID(r.Zone)
		}
	case strings.HasPrefix(key, preIntent):
		m := b.machine(key[len(preIntent):])
		if version > m.IntentVersion {
			var r IntentRecord
			if err := read(&r); err != nil {
				return err
			}
			return b.setIntents(m, r.Tasks, version)
		}
	case strings.HasPrefix(key, preJob):
		var r JobRecord
		j := b.job(key[len(preJob):])
		if version > j.Version {
			if err := read(&r); err != nil {
				return err
			}
			b.setJob(j, r, version)
		}
	case strings.HasPrefix(key, preDone):
		id, chunk, ok := splitDone(key)
		if !ok {
			return fmt.Errorf("record %s: not understood", key)
		}
		// Records are read in the order of their keys, so this one can come
		// before its job's; what it says is kept for the job either way.
		j := b.job(id)
		if version > j.DoneVer[chunk] {
			var bits []byte
			if err := read(&bits); err != nil {
				return err
			}
			j.DoneVer[chunk] = version
			j.addDone(chunk, bits)
		}
	}
	return nil
}

// addDone takes in a part of the completed tasks; completed tasks stay so.
func (j *Job) addDone(chunk int, bits Bits) {
	for i := range min(ChunkTasks, len(bits)*8) {
		task := chunk*ChunkTasks + i
		if bits.Has(i) && task < protocol.MaxTasks && !j.Done.Has(task) {
			j.Done.Set(task)
			j.DoneN++
		}
	}
}

// StrayDone lists the records of completed tasks that a job which is over has
// left behind, with their versions.
func (b *Book) StrayDone() map[string]uint64 {
	var out map[string]uint64
	b.Jobs.All(func(_ int, j *Job) {
		if !j.Over() {
			return
		}
		for chunk, version := range j.DoneVer {
			if out == nil {
				out = map[string]uint64{}
			}
			out[DoneKey(j.ID, chunk)] = version
		}
	})
	return out
}

// Remove takes in that a key was removed.
func (b *Book) Remove(key string, version uint64) {
	switch {
	case key == KeyLeader:
		if version > b.LeaderVer {
			b.Leader, b.LeaderVer = LeaderRecord{}, 0
		}
	case strings.HasPrefix(key, preMachine):
		if _, m := b.Machines.Find(key[len(preMachine):]); m != nil && version > m.Version {
			m.Version, m.Phase = 0, PhaseGone
			b.dropMachine(m)
		}
	case strings.HasPrefix(key, preIntent):
		if _, m := b.Machines.Find(key[len(preIntent):]); m != nil && version > m.IntentVersion {
			_ = b.setIntents(m, nil, 0) // an empty list has nothing to refuse
			b.dropMachine(m)
		}
	case strings.HasPrefix(key, preJob):
		if _, j := b.Jobs.Find(key[len(preJob):]); j != nil && version > j.Version && j.Version != 0 {
			j.Version = 0
			b.DropJob(j)
		}
	case strings.HasPrefix(key, preDone):
		if id, chunk, ok := splitDone(key); ok {
			if _, j := b.Jobs.Find(id); j != nil && version > j.DoneVer[chunk] {
				delete(j.DoneVer, chunk)
				b.DropJob(j)
			}
		}
	}
}

// TypeID returns the index of a machine type, known to the cloud or not.
func (b *Book) TypeID(name string) int {
	i := b.TypeNames.ID(name)
	for len(b.Types) <= i {
		b.Types = append(b.Types, protocol.MachineType{Name: b.TypeNames.Name(len(b.Types))})
	}
	return i
}

func (b *Book) machine(name string) *Machine {
	if _, m := b.Machines.Find(name); m != nil {
		return m
	}
	m := &Machine{Name: name, Intents: map[TaskRef]uint64{}}
	m.Shard = -1
	m.Index = b.Machines.Add(name, m)
	return m
}

// dropMachine forgets a machine that no record names any more.
func (b *Book) dropMachine(m *Machine) {
	if m.Version == 0 && m.IntentVersion == 0 {
		b.Machines.Drop(m.Name)
	}
}

func (b *Book) job(id string) *Job {
	if _, j := b.Jobs.Find(id); j != nil {
		return j
	}
	j := &Job{DoneVer: map[int]uint64{}, Intended: map[int]int{}, TeamIdx: -1, ZoneIdx: -1}
	j.ID = id
	j.Index = b.Jobs.Add(id, j)
	return j
}

func (b *Book) setJob(j *Job, r JobRecord, version uint64) {
	j.Spec, j.AtMS, j.Version = r.Spec, r.AtMS, version
	j.TeamIdx = b.TeamNames.Lookup(r.Spec.Team)
	j.ImageIdx = b.ImageNames.ID(r.Spec.Image)
	j.ZoneIdx = -1
	if r.Spec.Zone != "" {
		j.ZoneIdx = b.ZoneNames.ID(r.Spec.Zone)
	}
	j.TypeIdx = nil
	for _, t := range r.Spec.Types {
		j.TypeIdx = append(j.TypeIdx, b.TypeID(t))
	}
}

// setIntents replaces a machine's intents. An intent can outlive its job, and a
// job of which only intents are known counts as over.
func (b *Book) setIntents(m *Machine, tasks []IntentTask, version uint64) error {
	next := make(map[TaskRef]uint64, len(tasks))
	for _, t := range tasks {
		id, task, err := protocol.SplitTask(t.Task)
		if err != nil {
			return err
		}
		next[TaskRef{b.job(id).Index, task}] = t.Attempt
	}
	old := m.Intents
	m.Intents, m.IntentVersion = next, version
	for ref := range next {
		if _, same := old[ref]; !same {
			b.Jobs.Get(ref.Job).Intended[ref.Task]++
		}
	}
	for ref := range old {
		if _, same := next[ref]; same {
			continue
		}
		j := b.Jobs.Get(ref.Job)
		if j.Intended[ref.Task]--; j.Intended[ref.Task] <= 0 {
			delete(j.Intended, ref.Task)
		}
		b.DropJob(j)
	}
	return nil
}

// DropJob forgets a job that is over once nothing names it any more.
func (b *Book) DropJob(j *Job) {
	if j.Over() && len(j.Intended) == 0 && len(j.DoneVer) == 0 && j.Refs == 0 {
		b.Jobs.Drop(j.ID)
	}
}

// Fits reports whether a machine of a type is large enough for a task of j.
func (b *Book) Fits(j *Job, typ int) bool {
	t := &b.Types[typ]
	return t.CPUs > 0 && j.CPUs <= t.CPUs+eps && j.GPUs <= t.GPUs+eps && j.MemoryGB <= t.MemoryGB+eps &&
		(len(j.TypeIdx) == 0 || slices.Contains(j.TypeIdx, typ))
}

// Suits reports whether j's owner allows a machine for its tasks, and it is
// large enough for one.
func (b *Book) Suits(j *Job, m *Machine) bool {
	return (!m.Spot || j.Spot) && (j.ZoneIdx < 0 || j.ZoneIdx == m.ZoneIdx) && b.Fits(j, m.TypeIdx)
}

// eps absorbs rounding in sums of decimal amounts.
const eps = 1e-6

// Home returns the shard of a job's team, or -1.
func (b *Book) Home(j *Job) int {
	if j.TeamIdx < 0 {
		return -1
	}
	return b.Homes[j.TeamIdx]
}
