package storage

import (
	"hash/fnv"
	"strconv"

	"rockrun/internal/protocol"
)

// BatchShard is the job shard of all arrays. Services belong to the other job shards
// where there are any.
const BatchShard = 0

// Grant is a shard's GrantRecord with its version, 0 while the shard was never granted.
type Grant struct {
	GrantRecord
	Version uint64
}

// sameHolder reports whether a grant is to the holder of another.
func (g *GrantRecord) sameHolder(other *GrantRecord) bool {
	return g.Controller == other.Controller && g.Incarnation == other.Incarnation
}

// Liveness is the last LivenessRecord of a controller with its version.
type Liveness struct {
	LivenessRecord
	Version uint64
}

// ShardAssignment is which controller holds which shard, and which shards own jobs.
type ShardAssignment struct {
	Grants           []Grant // by shard
	JobShards        int     // shards that own jobs, from 0 on; 0 while their number is not settled
	JobShardsVersion uint64
	Liveness         map[string]Liveness // by controller
	heldSince        []uint64            // by shard, see HeldSince
}

// newShardAssignment makes an assignment in which no shard was granted yet.
func newShardAssignment(shards int) ShardAssignment {
	return ShardAssignment{Grants: make([]Grant, shards), Liveness: map[string]Liveness{}, heldSince: make([]uint64, shards)}
}

// HeldSince is the version with which the present incarnation of a shard's holder was granted
// it. Later grants that only raise its token leave it as it is; another holder in between
// changes it, though both grants are read at once.
func (a *ShardAssignment) HeldSince(shard int) uint64 { return a.heldSince[shard] }

// GrantCondition makes a transaction depend on the grant of a shard as it stands.
func (a *ShardAssignment) GrantCondition(shard int) protocol.Condition {
	return protocol.Condition{Key: GrantKey(shard), Version: a.Grants[shard].Version}
}

// shardOf is the job shard of a job, -1 while that is not settled. Arrays share one,
// where machines that one job leaves serve the next; services, which stay, are spread
// over the others by their IDs.
func (a *ShardAssignment) shardOf(j *Job) int {
	switch {
	case a.JobShards == 0 || j.TeamIndex < 0:
		return -1
	case a.JobShards == 1 || !j.IsService():
		return BatchShard
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(j.ID)) // never fails
	return 1 + int(hash.Sum32()%uint32(a.JobShards-1))
}

func (a *ShardAssignment) applyLiveness(stored storedRecord) error {
	record, newer, err := decodeNewer[LivenessRecord](stored, a.Liveness[stored.name].Version)
	if newer {
		a.Liveness[stored.name] = Liveness{record, stored.version}
	}
	return err
}

func (v *View) applyGrant(stored storedRecord) error {
	shard, err := strconv.Atoi(stored.name)
	if err != nil || shard < 0 || shard >= len(v.Grants) {
		return &MalformedError{What: "shard", Text: stored.name}
	}
	grant, newer, err := decodeNewer[GrantRecord](stored, v.Grants[shard].Version)
	if newer {
		if former := &v.Grants[shard]; !grant.sameHolder(&former.GrantRecord) {
			v.heldSince[shard] = stored.version
		}
		v.Grants[shard] = Grant{grant, stored.version}
		v.FleetRevision++
	}
	return err
}

func (v *View) applyJobShards(stored storedRecord) error {
	record, newer, err := decodeNewer[JobShardsRecord](stored, v.JobShardsVersion)
	if !newer {
		return err
	}
	if record.JobShards < 1 || record.JobShards > len(v.Grants) {
		return &MalformedError{What: "number of job shards", Text: strconv.Itoa(record.JobShards)}
	}
	v.JobShards, v.JobShardsVersion = record.JobShards, stored.version
	v.FleetRevision++
	v.Jobs.All(func(_ int, j *Job) { j.Shard = v.shardOf(j) })
	return nil
}
