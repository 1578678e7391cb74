package bookkeeping

import (
	"fmt"
	"strconv"
	"strings"

	"encoding/json"

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

	unread             map[*Job]bool // needed jobs that are over and whose final records were not read
	dependentCancelled map[*Job]bool // unfinished jobs that are cancelled with another

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
		unread: map[*Job]bool{}, dependentCancelled: map[*Job]bool{},
	}
	for i, t := range teams {
		b.TeamNames.ID(t.Name)
		b.Teams[i].Guaranteed = t.CPUs > 0 || t.GPUs > 0
	}
	return b
}

// apply reads a record that is newer than the one known and hands it to set. Older
// ones are ignored.
func apply[T any](key string, value json.RawMessage, version, known uint64, set func(record T) error) error {
	if version <= known {
		return nil
	}
	var record T
	if err := protocol.Decode(value, &record); err != nil {
		return fmt.Errorf("record %s: %w", key, err)
	}
	return set(record)
}

// Apply takes in a record. Older versions than the one known are ignored.
func (b *Cache) Apply(key string, value json.RawMessage, version uint64) error {
	switch key {
	case KeyLeader:
		return apply(key, value, version, b.LeaderVer, func(r LeaderRecord) error {
			b.Leader, b.LeaderVer = r, version
			return nil
		})
	case KeyTerm:
		return apply(key, value, version, b.TermVer, func(r TermRecord) error {
			b.Term, b.TermVer = r.Term, version
			return nil
		})
	case KeyTarget:
		return apply(key, value, version, b.TargetVer, func(r TargetRecord) error {
			b.Target, b.TargetVer = r, version
			return nil
		})
	case KeyTypes:
		return apply(key, value, version, b.TypesVer, func(r protocol.Catalogue) error {
			b.setTypes(r, version)
			return nil
		})
	case KeyHomes:
		return apply(key, value, version, b.HomesVer, func(r HomesRecord) error { return b.setHomes(r, version) })
	case KeyShares:
		return apply(key, value, version, b.SharesVer, func(r SharesRecord) error {
			b.setShares(r, version)
			return nil
		})
	}
	return b.applyPrefixed(key, value, version)
}

// applyPrefixed takes in a record of which there are many.
func (b *Cache) applyPrefixed(key string, value json.RawMessage, version uint64) error {
	switch {
	case strings.HasPrefix(key, prefixGrant):
		return b.applyGrant(key, value, version)
	case strings.HasPrefix(key, prefixLiveness):
		node := key[len(prefixLiveness):]
		return apply(key, value, version, b.Liveness[node].Version, func(r LivenessRecord) error {
			b.Liveness[node] = Liveness{r, version}
			return nil
		})
	case strings.HasPrefix(key, prefixBlock):
		return b.applyBlock(key, value, version)
	case strings.HasPrefix(key, prefixJob):
		j := b.job(key[len(prefixJob):])
		return apply(key, value, version, j.Version, func(r JobRecord) error {
			b.setJob(j, r, version)
			return nil
		})
	case strings.HasPrefix(key, prefixIntent):
		id, err := pageIn(key, prefixIntent)
		if err != nil {
			return err
		}
		return apply(key, value, version, b.IntentVersion(id), func(r IntentPage) error { return b.setIntents(id, r, version) })
	case strings.HasPrefix(key, prefixDone):
		id, err := pageIn(key, prefixDone)
		if err != nil {
			return err
		}
		return apply(key, value, version, b.DoneVersion(id), func(r DonePage) error { return b.setDone(id, r, version) })
	}
	return nil
}

// pageIn takes the page out of its key.
func pageIn(key, prefix string) (PageID, error) {
	id, ok := splitPage(key[len(prefix):])
	if !ok {
		return id, fmt.Errorf("record %s: not understood", key)
	}
	return id, nil
}

func (b *Cache) applyGrant(key string, value json.RawMessage, version uint64) error {
	i, err := strconv.Atoi(key[len(prefixGrant):])
	if err != nil || i < 0 || i >= len(b.Grants) {
		return fmt.Errorf("record %s: no such shard", key)
	}
	return apply(key, value, version, b.Grants[i].Version, func(r GrantRecord) error {
		b.Grants[i] = Grant{r, version}
		b.FleetSeen++
		return nil
	})
}

func (b *Cache) applyBlock(key string, value json.RawMessage, version uint64) error {
	id := key[len(prefixBlock):]
	known := uint64(0)
	if old := b.Blocks[id]; old != nil {
		known = old.Version
	}
	return apply(key, value, version, known, func(r BlockRecord) error {
		b.setBlock(id, r, version)
		return nil
	})
}

func (b *Cache) setTypes(r protocol.Catalogue, version uint64) {
	b.TypesVer = version
	for _, t := range r.Types {
		b.Types[b.TypeID(t.Name)] = t
	}
}

func (b *Cache) setHomes(r HomesRecord, version uint64) error {
	if r.Homes < 1 || r.Homes > len(b.Grants) {
		return fmt.Errorf("record %s: %d homes", KeyHomes, r.Homes)
	}
	b.Homes, b.HomesVer = r.Homes, version
	b.FleetSeen++
	b.Jobs.All(func(_ int, j *Job) { j.Home = b.homeOf(j) })
	return nil
}

func (b *Cache) setShares(r SharesRecord, version uint64) {
	b.SharesVer = version
	for i := range b.Teams {
		b.Teams[i].Shares = r[b.Teams[i].Name]
	}
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
			b.leave(j)
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
