package bookkeeping

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/segmentio/encoding/json"

	"rockrun/internal/protocol"
)

// TaskRef names a task by indices.
type TaskRef struct{ Job, Task int }

// Grant is a shard's grant.
type Grant struct {
	GrantRecord
	Version uint64
}

// Liveness is a controller's last liveness record in the records.
type Liveness struct {
	LivenessRecord
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

// Cache mirrors the durable records.
type Cache struct {
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

	Liveness  map[string]Liveness // by controller
	Leader    LeaderRecord
	LeaderVer uint64
	Term      uint64
	TermVer   uint64
	Target    TargetRecord
	TargetVer uint64
}

// NewCache makes an empty cache for the given teams and number of shards.
func NewCache(teams []Team, shards int) *Cache {
	b := &Cache{
		Teams: teams, Grants: make([]Grant, shards), Blocks: map[string]*Block{}, Liveness: map[string]Liveness{},
		intents: map[PageID]*pageOf[intent]{}, done: map[PageID]*pageOf[*Job]{},
	}
	for i, t := range teams {
		b.TeamNames.ID(t.Name)
		b.Teams[i].Guaranteed = t.CPUs > 0 || t.GPUs > 0
	}
	return b
}

// decode reads the value of a record.
func decode[T any](key string, value json.RawMessage) (record T, err error) {
	if err = json.Unmarshal(value, &record); err != nil {
		return record, fmt.Errorf("record %s: %w", key, err)
	}
	return record, nil
}

// Apply takes in a record. Older versions than the one known are ignored.
func (b *Cache) Apply(key string, value json.RawMessage, version uint64) error {
	switch key {
	case KeyLeader:
		return b.applyLeader(value, version)
	case KeyTerm:
		return b.applyTerm(value, version)
	case KeyTarget:
		return b.applyTarget(value, version)
	case KeyTypes:
		return b.applyTypes(value, version)
	case KeyHomes:
		return b.applyHomes(value, version)
	case KeyShares:
		return b.applyShares(value, version)
	}
	switch {
	case strings.HasPrefix(key, prefixGrant):
		return b.applyGrant(key, value, version)
	case strings.HasPrefix(key, prefixLiveness):
		return b.applyLiveness(key, value, version)
	case strings.HasPrefix(key, prefixBlock):
		return b.applyBlock(key, value, version)
	case strings.HasPrefix(key, prefixIntent):
		return b.applyIntents(key, value, version)
	case strings.HasPrefix(key, prefixJob):
		return b.applyJob(key, value, version)
	case strings.HasPrefix(key, prefixDone):
		return b.applyDone(key, value, version)
	}
	return nil
}

func (b *Cache) applyLeader(value json.RawMessage, version uint64) error {
	if version <= b.LeaderVer {
		return nil
	}
	r, err := decode[LeaderRecord](KeyLeader, value)
	if err != nil {
		return err
	}
	b.Leader, b.LeaderVer = r, version
	return nil
}

func (b *Cache) applyTerm(value json.RawMessage, version uint64) error {
	if version <= b.TermVer {
		return nil
	}
	r, err := decode[TermRecord](KeyTerm, value)
	if err != nil {
		return err
	}
	b.Term, b.TermVer = r.Term, version
	return nil
}

func (b *Cache) applyTarget(value json.RawMessage, version uint64) error {
	if version <= b.TargetVer {
		return nil
	}
	r, err := decode[TargetRecord](KeyTarget, value)
	if err != nil {
		return err
	}
	b.Target, b.TargetVer = r, version
	return nil
}

func (b *Cache) applyTypes(value json.RawMessage, version uint64) error {
	if version <= b.TypesVer {
		return nil
	}
	r, err := decode[protocol.Catalogue](KeyTypes, value)
	if err != nil {
		return err
	}
	b.TypesVer = version
	for _, t := range r.Types {
		b.Types[b.TypeID(t.Name)] = t
	}
	return nil
}

func (b *Cache) applyHomes(value json.RawMessage, version uint64) error {
	if version <= b.HomesVer {
		return nil
	}
	r, err := decode[HomesRecord](KeyHomes, value)
	if err != nil {
		return err
	}
	if r.Homes < 1 || r.Homes > len(b.Grants) {
		return fmt.Errorf("record %s: %d homes", KeyHomes, r.Homes)
	}
	b.Homes, b.HomesVer = r.Homes, version
	b.FleetSeen++
	b.Jobs.All(func(_ int, j *Job) { j.Home = b.homeOf(j) })
	return nil
}

func (b *Cache) applyShares(value json.RawMessage, version uint64) error {
	if version <= b.SharesVer {
		return nil
	}
	r, err := decode[SharesRecord](KeyShares, value)
	if err != nil {
		return err
	}
	b.SharesVer = version
	for i := range b.Teams {
		b.Teams[i].Shares = r[b.Teams[i].Name]
	}
	return nil
}

func (b *Cache) applyGrant(key string, value json.RawMessage, version uint64) error {
	i, err := strconv.Atoi(key[len(prefixGrant):])
	if err != nil || i < 0 || i >= len(b.Grants) {
		return fmt.Errorf("record %s: no such shard", key)
	}
	if version <= b.Grants[i].Version {
		return nil
	}
	r, err := decode[GrantRecord](key, value)
	if err != nil {
		return err
	}
	b.Grants[i] = Grant{r, version}
	b.FleetSeen++
	return nil
}

func (b *Cache) applyLiveness(key string, value json.RawMessage, version uint64) error {
	node := key[len(prefixLiveness):]
	if version <= b.Liveness[node].Version {
		return nil
	}
	r, err := decode[LivenessRecord](key, value)
	if err != nil {
		return err
	}
	b.Liveness[node] = Liveness{r, version}
	return nil
}

func (b *Cache) applyBlock(key string, value json.RawMessage, version uint64) error {
	id := key[len(prefixBlock):]
	if old := b.Blocks[id]; old != nil && version <= old.Version {
		return nil
	}
	r, err := decode[BlockRecord](key, value)
	if err != nil {
		return err
	}
	b.setBlock(id, r, version)
	return nil
}

func (b *Cache) applyIntents(key string, value json.RawMessage, version uint64) error {
	id, ok := splitPage(key[len(prefixIntent):])
	if !ok {
		return fmt.Errorf("record %s: not understood", key)
	}
	if p := b.intents[id]; p != nil && version <= p.version {
		return nil
	}
	r, err := decode[IntentPage](key, value)
	if err != nil {
		return err
	}
	return b.setIntents(id, r, version)
}

func (b *Cache) applyJob(key string, value json.RawMessage, version uint64) error {
	j := b.job(key[len(prefixJob):])
	if version <= j.Version {
		return nil
	}
	r, err := decode[JobRecord](key, value)
	if err != nil {
		return err
	}
	b.setJob(j, r, version)
	return nil
}

func (b *Cache) applyDone(key string, value json.RawMessage, version uint64) error {
	id, ok := splitPage(key[len(prefixDone):])
	if !ok {
		return fmt.Errorf("record %s: not understood", key)
	}
	if p := b.done[id]; p != nil && version <= p.version {
		return nil
	}
	r, err := decode[DonePage](key, value)
	if err != nil {
		return err
	}
	return b.setDone(id, r, version)
}

// Remove takes in that a key was removed.
func (b *Cache) Remove(key string, version uint64) {
	switch {
	case key == KeyLeader:
		if version > b.LeaderVer {
			b.Leader, b.LeaderVer = LeaderRecord{}, 0
		}
	case strings.HasPrefix(key, prefixBlock):
		id := key[len(prefixBlock):]
		if old := b.Blocks[id]; old != nil && version > old.Version {
			b.setBlock(id, BlockRecord{}, version)
			delete(b.Blocks, id)
		}
	case strings.HasPrefix(key, prefixIntent):
		if id, ok := splitPage(key[len(prefixIntent):]); ok {
			if p := b.intents[id]; p != nil && version > p.version {
				_ = b.setIntents(id, nil, version) // an empty page has nothing to refuse
				delete(b.intents, id)
			}
		}
	case strings.HasPrefix(key, prefixDone):
		if id, ok := splitPage(key[len(prefixDone):]); ok {
			if p := b.done[id]; p != nil && version > p.version {
				_ = b.setDone(id, nil, version)
				delete(b.done, id)
			}
		}
	case strings.HasPrefix(key, prefixJob):
		if _, j := b.Jobs.Find(key[len(prefixJob):]); j != nil && version > j.Version && j.Version != 0 {
			j.Version = 0
			b.JobsOver++
			b.DropJob(j)
		}
	}
}

// TypeID returns the index of a machine type, known to the cloud or not.
func (b *Cache) TypeID(name string) int {
	i := b.TypeNames.ID(name)
	for len(b.Types) <= i {
		b.Types = append(b.Types, protocol.MachineType{Name: b.TypeNames.Name(len(b.Types))})
	}
	return i
}

// Share is a home's part of a team's amount.
func (b *Cache) Share(t *Team, home int, amount float64) float64 {
	if b.Homes <= 1 {
		return amount
	}
	if home < 0 || home >= len(t.Shares) {
		return 0
	}
	return amount * float64(t.Shares[home]) / WholeShare
}
