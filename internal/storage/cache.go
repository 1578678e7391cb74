package storage

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
	Name                    string
	GuaranteedCPUs, MaxCPUs float64
	GuaranteedGPUs, MaxGPUs float64
	HasGuarantee            bool
	QuotaSplit              []int // parts of WholeShare by home; nil while not split
}

// Limited reports whether the team has a limit or a guarantee to be split.
func (t *Team) HasQuota() bool {
	return t.GuaranteedCPUs > 0 || t.MaxCPUs > 0 || t.GuaranteedGPUs > 0 || t.MaxGPUs > 0
}

// Cache mirrors the durable records.
type View struct {
	TeamNames, MachineTypeNames, ZoneNames, ImageNames Names

	Teams               []Team
	MachineTypes        []protocol.MachineType // by index; zero CPUs where only the name is known
	MachineTypesVersion uint64
	Jobs                Table[Job]
	Machines            Table[Machine]
	MachineGroups       map[string]*MachineGroup
	Grants              []Grant
	JobShards           int // shards that are homes; 0 while that is not settled
	JobShardsVersion    uint64

	QuotaSplitVersion uint64
	// These grow with every job that is read, with every job that is over, and with
	// every change of what there is to hold (blocks, grants, homes). Whoever keeps
	// something that follows from them looks again only when they have grown.
	JobsAdded     uint64
	JobsEnded     uint64
	FleetRevision uint64

	intentPages     map[PageID]*recordPage[intentEntry]
	completionPages map[PageID]*recordPage[*Job]

	unreadOutcomes      map[*Job]bool // needed jobs that are over and whose final records were not read
	cancelledDependents map[*Job]bool // unfinished jobs that are cancelled with another

	Liveness             map[string]Liveness // by controller
	Leader               LeaderRecord
	LeaderVersion        uint64
	Term                 uint64
	TermVersion          uint64
	ScalingTarget        ScalingTargetRecord
	ScalingTargetVersion uint64
}

// NewCache makes an empty cache for the given teams and number of shards.
func NewView(teams []Team, shards int) *View {
	b := &View{
		Teams: teams, Grants: make([]Grant, shards), MachineGroups: map[string]*MachineGroup{}, Liveness: map[string]Liveness{},
		intentPages: map[PageID]*recordPage[intentEntry]{}, completionPages: map[PageID]*recordPage[*Job]{},
		unreadOutcomes: map[*Job]bool{}, cancelledDependents: map[*Job]bool{},
	}
	for i, t := range teams {
		b.TeamNames.ID(t.Name)
		b.Teams[i].HasGuarantee = t.GuaranteedCPUs > 0 || t.GuaranteedGPUs > 0
	}
	return b
}

// apply reads a record that is newer than the one known and hands it to set. Older
// ones are ignored.
func applyNewer[T any](key string, value json.RawMessage, version, known uint64, set func(record T) error) error {
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
func (b *View) Apply(key string, value json.RawMessage, version uint64) error {
	switch key {
	case KeyLeader:
		return applyNewer(key, value, version, b.LeaderVersion, func(r LeaderRecord) error {
			b.Leader, b.LeaderVersion = r, version
			return nil
		})
	case KeyTerm:
		return applyNewer(key, value, version, b.TermVersion, func(r TermRecord) error {
			b.Term, b.TermVersion = r.Term, version
			return nil
		})
	case KeyScalingTarget:
		return applyNewer(key, value, version, b.ScalingTargetVersion, func(r ScalingTargetRecord) error {
			b.ScalingTarget, b.ScalingTargetVersion = r, version
			return nil
		})
	case KeyMachineTypes:
		return applyNewer(key, value, version, b.MachineTypesVersion, func(r protocol.MachineTypeCatalogue) error {
			b.setMachineTypes(r, version)
			return nil
		})
	case KeyJobShards:
		return applyNewer(key, value, version, b.JobShardsVersion, func(r JobShardsRecord) error { return b.setJobShards(r, version) })
	case KeyQuotaSplit:
		return applyNewer(key, value, version, b.QuotaSplitVersion, func(r QuotaSplitRecord) error {
			b.setQuotaSplit(r, version)
			return nil
		})
	}
	return b.applyPrefixed(key, value, version)
}

// applyPrefixed takes in a record of which there are many.
func (b *View) applyPrefixed(key string, value json.RawMessage, version uint64) error {
	switch {
	case strings.HasPrefix(key, prefixGrant):
		return b.applyGrant(key, value, version)
	case strings.HasPrefix(key, prefixLiveness):
		node := key[len(prefixLiveness):]
		return applyNewer(key, value, version, b.Liveness[node].Version, func(r LivenessRecord) error {
			b.Liveness[node] = Liveness{r, version}
			return nil
		})
	case strings.HasPrefix(key, prefixMachineGroup):
		return b.applyMachineGroup(key, value, version)
	case strings.HasPrefix(key, prefixJob):
		j := b.job(key[len(prefixJob):])
		return applyNewer(key, value, version, j.Version, func(r JobRecord) error {
			b.setJob(j, r, version)
			return nil
		})
	case strings.HasPrefix(key, prefixIntent):
		id, err := pageFromKey(key, prefixIntent)
		if err != nil {
			return err
		}
		return applyNewer(key, value, version, b.IntentPageVersion(id), func(r IntentPage) error { return b.setIntents(id, r, version) })
	case strings.HasPrefix(key, prefixCompletion):
		id, err := pageFromKey(key, prefixCompletion)
		if err != nil {
			return err
		}
		return applyNewer(key, value, version, b.CompletionPageVersion(id), func(r CompletionPage) error { return b.setCompletions(id, r, version) })
	}
	return nil
}

// pageIn takes the page out of its key.
func pageFromKey(key, prefix string) (PageID, error) {
	id, ok := parsePagePath(key[len(prefix):])
	if !ok {
		return id, fmt.Errorf("record %s: not understood", key)
	}
	return id, nil
}

func (b *View) applyGrant(key string, value json.RawMessage, version uint64) error {
	i, err := strconv.Atoi(key[len(prefixGrant):])
	if err != nil || i < 0 || i >= len(b.Grants) {
		return fmt.Errorf("record %s: no such shard", key)
	}
	return applyNewer(key, value, version, b.Grants[i].Version, func(r GrantRecord) error {
		b.Grants[i] = Grant{r, version}
		b.FleetRevision++
		return nil
	})
}

func (b *View) applyMachineGroup(key string, value json.RawMessage, version uint64) error {
	id := key[len(prefixMachineGroup):]
	known := uint64(0)
	if old := b.MachineGroups[id]; old != nil {
		known = old.Version
	}
	return applyNewer(key, value, version, known, func(r MachineGroupRecord) error {
		b.setMachineGroup(id, r, version)
		return nil
	})
}

func (b *View) setMachineTypes(r protocol.MachineTypeCatalogue, version uint64) {
	b.MachineTypesVersion = version
	for _, t := range r.Types {
		b.MachineTypes[b.MachineTypeID(t.Name)] = t
	}
}

func (b *View) setJobShards(r JobShardsRecord, version uint64) error {
	if r.JobShards < 1 || r.JobShards > len(b.Grants) {
		return fmt.Errorf("record %s: %d homes", KeyJobShards, r.JobShards)
	}
	b.JobShards, b.JobShardsVersion = r.JobShards, version
	b.FleetRevision++
	b.Jobs.All(func(_ int, j *Job) { j.Shard = b.shardOf(j) })
	return nil
}

func (b *View) setQuotaSplit(r QuotaSplitRecord, version uint64) {
	b.QuotaSplitVersion = version
	for i := range b.Teams {
		b.Teams[i].QuotaSplit = r[b.Teams[i].Name]
	}
}

// Remove takes in that a key was removed.
func (b *View) Remove(key string, version uint64) {
	switch {
	case key == KeyLeader:
		if version > b.LeaderVersion {
			b.Leader, b.LeaderVersion = LeaderRecord{}, 0
		}
	case strings.HasPrefix(key, prefixMachineGroup):
		id := key[len(prefixMachineGroup):]
		if old := b.MachineGroups[id]; old != nil && version > old.Version {
			b.setMachineGroup(id, MachineGroupRecord{}, version)
			delete(b.MachineGroups, id)
		}
	case strings.HasPrefix(key, prefixIntent):
		if id, ok := parsePagePath(key[len(prefixIntent):]); ok {
			if p := b.intentPages[id]; p != nil && version > p.version {
				_ = b.setIntents(id, nil, version) // an empty page has nothing to refuse
				delete(b.intentPages, id)
			}
		}
	case strings.HasPrefix(key, prefixCompletion):
		if id, ok := parsePagePath(key[len(prefixCompletion):]); ok {
			if p := b.completionPages[id]; p != nil && version > p.version {
				_ = b.setCompletions(id, nil, version)
				delete(b.completionPages, id)
			}
		}
	case strings.HasPrefix(key, prefixJob):
		if _, j := b.Jobs.Find(key[len(prefixJob):]); j != nil && version > j.Version && j.Version != 0 {
			j.Version = 0
			b.JobsEnded++
			b.endJob(j)
			b.ForgetJob(j)
		}
	}
}

// GrantCondition makes a transaction depend on the grant of a shard as it stands.
func (b *View) GrantCondition(shard int) protocol.Condition {
	return protocol.Condition{Key: GrantKey(shard), Version: b.Grants[shard].Version}
}

// MachineTypeID returns the index of a machine type, known to the cloud or not.
func (b *View) MachineTypeID(name string) int {
	i := b.MachineTypeNames.ID(name)
	for len(b.MachineTypes) <= i {
		b.MachineTypes = append(b.MachineTypes, protocol.MachineType{Name: b.MachineTypeNames.Name(len(b.MachineTypes))})
	}
	return i
}

// Share is a home's part of a team's amount.
func (b *View) QuotaShare(t *Team, home int, amount float64) float64 {
	if b.JobShards <= 1 {
		return amount
	}
	if home < 0 || home >= len(t.QuotaSplit) {
		return 0
	}
	return amount * float64(t.QuotaSplit[home]) / WholeQuota
}
