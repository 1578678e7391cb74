package quota

import (
	"slices"
	"time"

	"rockrun/internal/coordination/kv"
	"rockrun/internal/coordination/loop"
	"rockrun/internal/coordination/membership"
	"rockrun/internal/coordination/replica"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// minUpdateInterval is the minimum time between two updates of the split.
const minUpdateInterval = time.Second

// Leadership is the leadership under which a Splitter acts.
type Leadership interface {
	// Precondition returns the precondition that this controller is still the leader.
	Precondition() protocol.Precondition
}

// SplitterConfig holds the dependencies of a Splitter.
type SplitterConfig struct {
	Generation *loop.Generation
	Replica    *replica.Replica
	Committer  *kv.Committer
	Leadership Leadership
	Members    *membership.Registry
}

// Splitter splits the teams' quotas among the job shards on behalf of the leader. To move
// quota from one shard to another, it first writes a split with the smaller part. Only after
// the holder of that shard has acknowledged this split does a later split give the quota to
// the other shard.
type Splitter struct {
	SplitterConfig
	call loop.Call
}

// NewSplitter returns a splitter with the given dependencies.
func NewSplitter(c SplitterConfig) *Splitter { return &Splitter{SplitterConfig: c} }

// Update writes a new split if the split should change and no write is in progress.
func (s *Splitter) Update() {
	view := s.Replica.View
	now := s.Generation.Now()
	if view.JobShards <= 1 || !s.call.Ready(now) {
		return
	}
	record, changed := s.nextSplit()
	if !changed {
		return
	}
	s.call.Begin()
	s.Committer.Budget.ForceConsume(now, 1)
	s.Committer.Commit(protocol.Transaction{
		Preconditions: s.preconditions(),
		Operations:    []protocol.Operation{{Put: storage.KeyQuotaSplit, Value: storage.Encode(record)}},
	}, func(uint64, error) {
		s.call.FinishAndDelayUntil(s.Generation.Now() + minUpdateInterval)
	})
}

// nextSplit computes the next split and reports whether it differs from the current one.
func (s *Splitter) nextSplit() (record storage.QuotaSplitRecord, changed bool) {
	view := s.Replica.View
	acknowledged := s.splitAcknowledged()
	demands := Demands(view)
	record = storage.QuotaSplitRecord{}
	for i := range view.Teams {
		team := &view.Teams[i]
		if !team.HasQuota() {
			continue
		}
		next := split(team.QuotaSplit, demands[i], guaranteedFraction(team), acknowledged)
		record[team.Name] = next
		changed = changed || !slices.Equal(next, team.QuotaSplit)
	}
	return record, changed
}

// splitAcknowledged reports whether the holders of all job shards have acknowledged the current
// split: the last heartbeat of each holder names the version of the split, and names the
// shard's grant among the grants whose usage is within quota. A heartbeat sent before the holder
// was granted the shard does not name the grant, because it does not cover the usage on the
// shard's machines.
func (s *Splitter) splitAcknowledged() bool {
	view := s.Replica.View
	for shard := range view.JobShards {
		grant := &view.Grants[shard]
		holder := s.Members.Peer(grant.Controller)
		if holder == nil || holder.Incarnation != grant.Incarnation || holder.QuotaSplitVersion != view.QuotaSplitVersion ||
			!slices.Contains(holder.GrantsWithinQuota, grant.FencingToken) {
			return false
		}
	}
	return true
}

// preconditions returns the preconditions of a write: the leadership, the current split and the
// grants of all job shards are unchanged.
func (s *Splitter) preconditions() []protocol.Precondition {
	view := s.Replica.View
	preconditions := []protocol.Precondition{s.Leadership.Precondition(), {Key: storage.KeyQuotaSplit, Version: view.QuotaSplitVersion}}
	for shard := range view.JobShards {
		preconditions = append(preconditions, view.GrantPrecondition(shard))
	}
	return preconditions
}

// Demands returns the used and pending resources by team and job shard.
func Demands(view *storage.View) [][]Demand {
	used, pending := usageByShard(view)
	demands := make([][]Demand, len(view.Teams))
	for i := range view.Teams {
		team := &view.Teams[i]
		for shard := range view.JobShards {
			demands[i] = append(demands[i], Demand{
				Used:    dominantFraction(team, used[i][shard]),
				Pending: dominantFraction(team, pending[i][shard]),
			})
		}
	}
	return demands
}

// dominantFraction returns the larger of the fractions that a usage takes of a team's CPU and
// GPU quota.
func dominantFraction(team *storage.Team, usage Usage) int {
	return max(fractionOfQuota(usage.CPUs, team.MaxCPUs, team.GuaranteedCPUs), fractionOfQuota(usage.GPUs, team.MaxGPUs, team.GuaranteedGPUs))
}

// usageByShard sums by team and job shard: used covers the tasks named by intents, pending
// the tasks that could start.
func usageByShard(view *storage.View) (used, pending [][]Usage) {
	used, pending = make([][]Usage, len(view.Teams)), make([][]Usage, len(view.Teams))
	for i := range used {
		used[i], pending[i] = make([]Usage, view.JobShards), make([]Usage, view.JobShards)
	}
	view.Jobs.All(func(_ int, job *storage.Job) {
		if job.Ended() || job.Shard < 0 || job.Shard >= view.JobShards {
			return
		}
		used[job.TeamIndex][job.Shard].Add(job, float64(job.RunningTasks()))
		if job.Runnable() {
			pending[job.TeamIndex][job.Shard].Add(job, float64(job.UnplacedTasks()))
		}
	})
	return used, pending
}
