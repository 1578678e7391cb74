package storage

import (
	"hash/fnv"
	"strconv"

	"rockrun/internal/protocol"
)

// BatchShard is the job shard that owns all arrays. Services belong to the other job
// shards, or to this one if it is the only one.
const BatchShard = 0

// Grant is a shard's GrantRecord and its version, which is 0 if the shard was never granted.
type Grant struct {
	GrantRecord
	Version uint64
}

// sameHolder reports whether two grants name the same incarnation of the same controller.
func (g *GrantRecord) sameHolder(other *GrantRecord) bool {
	return g.Controller == other.Controller && g.Incarnation == other.Incarnation
}

// Liveness is the last LivenessRecord of a controller and its version.
type Liveness struct {
	LivenessRecord
	Version uint64
}

// ShardAssignment records which controller holds each shard and which shards own jobs.
type ShardAssignment struct {
	Grants           []Grant // by shard
	JobShards        int     // number of job shards, which are the first shards; 0 while not decided
	JobShardsVersion uint64
	Liveness         map[string]Liveness // by controller
	heldSince        []uint64            // by shard; see HeldSince
}

// newShardAssignment returns an assignment in which no shard has been granted.
func newShardAssignment(shards int) ShardAssignment {
	return ShardAssignment{Grants: make([]Grant, shards), Liveness: map[string]Liveness{}, heldSince: make([]uint64, shards)}
}

// HeldSince returns the version of the grant with which the current incarnation of a
// shard's holder acquired the shard. Later grants to the same incarnation, which only raise
// the fencing token, do not change it. A grant to another holder in between does, even if
// it is read together with the grant that follows it.
func (a *ShardAssignment) HeldSince(shard int) uint64 { return a.heldSince[shard] }

// GrantPrecondition returns the precondition that a shard's grant has not changed since it
// was last read.
func (a *ShardAssignment) GrantPrecondition(shard int) protocol.Precondition {
	return protocol.Precondition{Key: GrantKey(shard), Version: a.Grants[shard].Version}
}

// shardOf returns the job shard that owns a job. It returns -1 while the number of job
// shards is not decided and for a job of an unknown team. All arrays share one job shard,
// so that machines released by one array can run the next. Services run until they are
// cancelled and are spread over the other job shards by a hash of their IDs.
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
		if previous := &v.Grants[shard]; !grant.sameHolder(&previous.GrantRecord) {
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
