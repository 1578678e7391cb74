package bookkeeping

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"

	"github.com/segmentio/encoding/json"

	"rockrun/internal/protocol"
)

// TaskRef names a task by indices.
type TaskRef struct{ Job, Task int }

// Job is an unfinished job, or one that is over while something still names it.
type Job struct {
	protocol.Spec
	Index    int
	Version  uint64 // of the record; 0 once the job is over
	AtMS     int64
	TeamIdx  int
	TypeIdx  []int // allowed machine types, nil for any
	ZoneIdx  int   // -1 for any
	ImageIdx int
	Home     int  // shard that works on it, -1 while there are no homes
	Done     Bits // durably completed
	DoneN    int
	DonePage map[int]int // page that holds a chunk of the completed tasks
	Intended map[int]int // tasks that intents name, with how many do
	Refs     int         // attempts and pages that name it; they keep the index in use
	// Withdrawn: the controller that confirmed the withdrawal has said so. The
	// record's removal follows with the changes, however late.
	Withdrawn bool

	intendedOpen int // intended tasks that are not done
}

// Over reports whether the job is done or withdrawn.
func (j *Job) Over() bool { return j.Version == 0 }

// Wanted reports whether the job's tasks may run.
func (j *Job) Wanted() bool { return !j.Over() && !j.Withdrawn }

// Withdraw takes in that a job's withdrawal is durable, ahead of the changes.
func (b *Book) Withdraw(id string) {
	if _, j := b.Jobs.Find(id); j != nil {
		j.Withdrawn = true
	}
}

// Open returns how many tasks are neither done nor named by an intent.
func (j *Job) Open() int { return max(j.Tasks-j.DoneN-j.intendedOpen, 0) }

// Running returns how many tasks that are not done intents name.
func (j *Job) Running() int { return j.intendedOpen }

// Standing reports whether the job's tasks run until it is cancelled.
func (j *Job) Standing() bool { return j.Kind == protocol.KindService }

// Intent is an attempt that may be on a machine.
type Intent struct {
	Try   uint64
	Page  int
	count int // entries that say so
}

// Machine is a machine as the durable records tell of it.
type Machine struct {
	Name    string
	Index   int
	Block   string // block it is in; none once no block names it
	Addr    string
	Type    string
	Zone    string
	Spot    bool
	Shard   int
	Token   uint64
	Phase   string
	Drain   uint64
	Yield   bool
	AtMS    int64 // when it was rented
	GoneMS  int64
	TypeIdx int
	ZoneIdx int
	Intents map[TaskRef]Intent
}

// There reports whether a block names the machine and it is not deleted.
func (m *Machine) There() bool { return m.Block != "" && m.Phase != PhaseGone }

// Block is a block of machines.
type Block struct {
	BlockRecord
	Version uint64
}

// intent is one entry of a page, with names turned into indices.
type intent struct {
	m   *Machine
	ref TaskRef
	try uint64
}

// pageOf is a page as last read.
type pageOf[T any] struct {
	version uint64
	entries []T
}

// Grant is a shard's grant.
type Grant struct {
	GrantRecord
	Version uint64
}

// Beat is a controller's last sign of life in the records.
type Beat struct {
	BeatRecord
	Version uint64
}

// Team is a team of the settings.
type Team struct {
	Name          string
	CPUs, CPUsMax float64
	GPUs, GPUsMax float64
	Guaranteed    bool
	Shares        []int // parts of WholeShare by home; nil while not split
}

// Limited reports whether the team has a limit or a guarantee to be split.
func (t *Team) Limited() bool { return t.CPUs > 0 || t.CPUsMax > 0 || t.GPUs > 0 || t.GPUsMax > 0 }

// Book mirrors the durable records.
type Book struct {
	TeamNames, TypeNames, ZoneNames, ImageNames Names

	Teams    []Team
	Types    []protocol.MachineType // by index; zero CPUs where only the name is known
	TypesVer uint64
	Jobs     Table[Job]
	Machines Table[Machine]
	Blocks   map[string]*Block
	Grants   []Grant
	Homes    int // shards that are homes; 0 while that is not settled
	HomesVer uint64

	SharesVer uint64
	// These grow with every job that is read, with every job that is over, and with
	// every change of what there is to hold (blocks, grants, homes). Whoever keeps
	// something that follows from them looks again only when they have grown.
	JobsSeen  uint64
	JobsOver  uint64
	FleetSeen uint64

	intents map[PageID]*pageOf[intent]
	done    map[PageID]*pageOf[*Job]

	Beats     map[string]Beat // by controller
	Leader    LeaderRecord
	LeaderVer uint64
	Term      uint64
	TermVer   uint64
	Target    TargetRecord
	TargetVer uint64
}

// NewBook makes an empty book for the given teams and number of shards.
func NewBook(teams []Team, shards int) *Book {
	b := &Book{
		Teams: teams, Grants: make([]Grant, shards), Blocks: map[string]*Block{}, Beats: map[string]Beat{},
		intents: map[PageID]*pageOf[intent]{}, done: map[PageID]*pageOf[*Job]{},
	}
	for i, t := range teams {
		b.TeamNames.ID(t.Name)
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
			var r HomesRecord
			if err := read(&r); err != nil {
				return err
			}
			if r.Homes < 1 || r.Homes > len(b.Grants) {
				return fmt.Errorf("record %s: %d homes", key, r.Homes)
			}
			b.Homes, b.HomesVer = r.Homes, version
			b.FleetSeen++
			b.Jobs.All(func(_ int, j *Job) { j.Home = b.homeOf(j) })
		}
	case key == KeyShares:
		if version > b.SharesVer {
			var r SharesRecord
			if err := read(&r); err != nil {
				return err
			}
			b.SharesVer = version
			for i := range b.Teams {
				b.Teams[i].Shares = r[b.Teams[i].Name]
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
			b.FleetSeen++
		}
	case strings.HasPrefix(key, preBeat):
		if node := key[len(preBeat):]; version > b.Beats[node].Version {
			var r BeatRecord
			if err := read(&r); err != nil {
				return err
			}
			b.Beats[node] = Beat{r, version}
		}
	case strings.HasPrefix(key, preBlock):
		id := key[len(preBlock):]
		if old := b.Blocks[id]; old == nil || version > old.Version {
			var r BlockRecord
			if err := read(&r); err != nil {
				return err
			}
			b.setBlock(id, r, version)
		}
	case strings.HasPrefix(key, preIntent):
		id, ok := splitPage(key[len(preIntent):])
		if !ok {
			return fmt.Errorf("record %s: not understood", key)
		}
		if p := b.intents[id]; p == nil || version > p.version {
			var r IntentPage
			if err := read(&r); err != nil {
				return err
			}
			return b.setIntents(id, r, version)
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
		id, ok := splitPage(key[len(preDone):])
		if !ok {
			return fmt.Errorf("record %s: not understood", key)
		}
		if p := b.done[id]; p == nil || version > p.version {
			var r DonePage
			if err := read(&r); err != nil {
				return err
			}
			return b.setDone(id, r, version)
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
			if j.Intended[task] > 0 {
				j.intendedOpen--
			}
		}
	}
}

// intend counts an entry that names a task, or one less.
func (j *Job) intend(task, by int) {
	before := j.Intended[task]
	if before+by <= 0 {
		delete(j.Intended, task)
	} else {
		j.Intended[task] = before + by
	}
	if !j.Done.Has(task) && (before > 0) != (before+by > 0) {
		j.intendedOpen += by
	}
}

// Remove takes in that a key was removed.
func (b *Book) Remove(key string, version uint64) {
	switch {
	case key == KeyLeader:
		if version > b.LeaderVer {
			b.Leader, b.LeaderVer = LeaderRecord{}, 0
		}
	case strings.HasPrefix(key, preBlock):
		id := key[len(preBlock):]
		if old := b.Blocks[id]; old != nil && version > old.Version {
			b.setBlock(id, BlockRecord{}, version)
			delete(b.Blocks, id)
		}
	case strings.HasPrefix(key, preIntent):
		if id, ok := splitPage(key[len(preIntent):]); ok {
			if p := b.intents[id]; p != nil && version > p.version {
				_ = b.setIntents(id, nil, version) // an empty page has nothing to refuse
				delete(b.intents, id)
			}
		}
	case strings.HasPrefix(key, preDone):
		if id, ok := splitPage(key[len(preDone):]); ok {
			if p := b.done[id]; p != nil && version > p.version {
				_ = b.setDone(id, nil, version)
				delete(b.done, id)
			}
		}
	case strings.HasPrefix(key, preJob):
		if _, j := b.Jobs.Find(key[len(preJob):]); j != nil && version > j.Version && j.Version != 0 {
			j.Version = 0
			b.JobsOver++
			b.DropJob(j)
		}
	}
}

// IntentVersion returns the version of a page of intents, 0 if there is none.
func (b *Book) IntentVersion(id PageID) uint64 {
	if p := b.intents[id]; p != nil {
		return p.version
	}
	return 0
}

// IntentPages calls f for every page of intents of a shard with the number of
// its entries.
func (b *Book) IntentPages(shard int, f func(page, entries int)) {
	for id, p := range b.intents {
		if id.Shard == shard {
			f(id.Page, len(p.entries))
		}
	}
}

// DoneVersion returns the version of a page of completed tasks, 0 if there is
// none.
func (b *Book) DoneVersion(id PageID) uint64 {
	if p := b.done[id]; p != nil {
		return p.version
	}
	return 0
}

// StaleDone reports whether a page of completed tasks names jobs that are over.
func (b *Book) StaleDone(id PageID) bool {
	p := b.done[id]
	return p != nil && slices.ContainsFunc(p.entries, (*Job).Over)
}

// DonePages calls f for every page of completed tasks of a shard.
func (b *Book) DonePages(shard int, f func(page int)) {
	for id := range b.done {
		if id.Shard == shard {
			f(id.Page)
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
	m := &Machine{Name: name, Shard: -1, Phase: PhaseGone, Intents: map[TaskRef]Intent{}}
	m.Index = b.Machines.Add(name, m)
	return m
}

// dropMachine forgets a machine that no record names any more.
func (b *Book) dropMachine(m *Machine) {
	if m.Block == "" && len(m.Intents) == 0 {
		b.Machines.Drop(m.Name)
	}
}

// setBlock replaces a block. A machine that moves to another block is named by
// both for a moment, in either order; the later word counts.
func (b *Book) setBlock(id string, r BlockRecord, version uint64) {
	b.FleetSeen++
	old := b.Blocks[id]
	b.Blocks[id] = &Block{r, version}
	for i := range r.Machines {
		e := &r.Machines[i]
		m := b.machine(e.Name)
		m.Block, m.Addr, m.Type, m.Zone, m.Spot, m.Shard, m.Token = id, e.Addr, r.Type, r.Zone, r.Spot, r.Shard, r.Token
		m.Phase, m.Drain, m.Yield, m.AtMS, m.GoneMS = e.Phase, e.Drain, e.Yield, r.AtMS, e.GoneMS
		if m.Phase == "" {
			m.Phase = PhaseActive
		}
		m.TypeIdx, m.ZoneIdx = b.TypeID(r.Type), b.ZoneNames.ID(r.Zone)
	}
	if old == nil {
		return
	}
	for i := range old.Machines {
		name := old.Machines[i].Name
		if slices.ContainsFunc(r.Machines, func(e BlockMachine) bool { return e.Name == name }) {
			continue
		}
		if _, m := b.Machines.Find(name); m != nil && m.Block == id {
			m.Block, m.Phase = "", PhaseGone
			b.dropMachine(m)
		}
	}
}

func (b *Book) job(id string) *Job {
	if _, j := b.Jobs.Find(id); j != nil {
		return j
	}
	j := &Job{DonePage: map[int]int{}, Intended: map[int]int{}, TeamIdx: -1, ZoneIdx: -1, Home: -1}
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
	j.Home = b.homeOf(j)
	b.JobsSeen++
}

// homeOf is the home of a job. Work that ends shares one home, where machines
// that one job leaves serve the next; services, which stay, are spread over the
// others by their names.
func (b *Book) homeOf(j *Job) int {
	switch {
	case b.Homes == 0 || j.TeamIdx < 0:
		return -1
	case b.Homes == 1 || !j.Standing():
		return 0
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(j.ID)) // a hash takes everything
	return 1 + int(h.Sum32()%uint32(b.Homes-1))
}

// Share is a home's part of a team's amount.
func (b *Book) Share(t *Team, home int, amount float64) float64 {
	if b.Homes <= 1 {
		return amount
	}
	if home < 0 || home >= len(t.Shares) {
		return 0
	}
	return amount * float64(t.Shares[home]) / WholeShare
}

// setIntents replaces a page of intents. What both pages name is never missing
// in between. An intent can outlive its job, and a job of which only intents are
// known counts as over.
func (b *Book) setIntents(id PageID, r IntentPage, version uint64) error {
	var next []intent
	for name, entries := range r {
		if !protocol.ValidJobID(name) {
			return fmt.Errorf("intents of %q", name)
		}
		for _, e := range entries {
			if strings.HasPrefix(e, headMark) {
				team, amounts, err := splitHead(e)
				if err != nil {
					return err
				}
				if j := b.job(name); j.Over() && j.TeamIdx < 0 {
					j.Team, j.TeamIdx = team, b.TeamNames.Lookup(team)
					j.CPUs, j.GPUs, j.MemoryGB = amounts[0], amounts[1], amounts[2]
				}
				continue
			}
			task, machine, try, err := splitIntent(e)
			if err != nil {
				return err
			}
			next = append(next, intent{b.machine(machine), TaskRef{b.job(name).Index, task}, try})
		}
	}
	for _, e := range next {
		b.Jobs.Get(e.ref.Job).intend(e.ref.Task, 1)
		// A page that is left to empty can name an attempt long after it is over, and
		// be read after the one that names the next at the same task there. Attempts
		// rise, so the higher one is the one that may be running: taken for the other,
		// its task would be started a second time.
		i := e.m.Intents[e.ref]
		if i.Try > e.try {
			continue
		}
		if i.Try != e.try {
			i = Intent{Try: e.try}
		}
		i.Page = id.Page
		i.count++
		e.m.Intents[e.ref] = i
	}
	old := b.intents[id]
	b.intents[id] = &pageOf[intent]{version, next}
	if old == nil {
		return nil
	}
	for _, e := range old.entries {
		j := b.Jobs.Get(e.ref.Job)
		j.intend(e.ref.Task, -1)
		if i := e.m.Intents[e.ref]; i.Try == e.try {
			if i.count--; i.count <= 0 {
				delete(e.m.Intents, e.ref)
				b.dropMachine(e.m)
			} else {
				e.m.Intents[e.ref] = i
			}
		}
		b.DropJob(j)
	}
	return nil
}

// setDone replaces a page of completed tasks. Records are read in the order of
// their keys, so a page can come before its jobs; what it says is kept for them.
func (b *Book) setDone(id PageID, r DonePage, version uint64) error {
	var next []*Job
	for name, bits := range r {
		job, chunk, ok := splitDone(name)
		if !ok || !protocol.ValidJobID(job) {
			return fmt.Errorf("completed tasks of %q", name)
		}
		j := b.job(job)
		j.addDone(chunk, bits)
		j.DonePage[chunk] = id.Page
		j.Refs++
		next = append(next, j)
	}
	old := b.done[id]
	b.done[id] = &pageOf[*Job]{version, next}
	if old != nil {
		for _, j := range old.entries {
			j.Refs--
			b.DropJob(j)
		}
	}
	return nil
}

// DropJob forgets a job that is over once nothing names it any more.
func (b *Book) DropJob(j *Job) {
	if j.Over() && len(j.Intended) == 0 && j.Refs == 0 {
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
