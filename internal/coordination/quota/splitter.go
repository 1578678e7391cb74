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

// updatePause is the least time between two updates of the split.
const updatePause = time.Second

// Leadership is what a Splitter needs of the leader whose it is.
type Leadership interface {
	// Condition makes a transaction depend on the leadership.
	Condition() protocol.Condition
}

// SplitterConfig is all that a Splitter is made of.
type SplitterConfig struct {
	Generation *loop.Generation
	Replica    *replica.Replica
	Committer  *kv.Committer
	Leadership Leadership
	Members    *membership.Registry
}

// Splitter splits the teams' quotas among the job shards, for the leader. What one shard
// is to get more, another gives up first, in a record of its own, and only once that
// shard's holder has said that it keeps to the smaller share is it given on.
type Splitter struct {
	SplitterConfig
	call loop.Call
}

// NewSplitter makes a splitter.
func NewSplitter(c SplitterConfig) *Splitter { return &Splitter{SplitterConfig: c} }

// Update writes a new split if one is due.
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
	s.Committer.Budget.TakeAnyway(now, 1)
	s.Committer.Commit(protocol.Transaction{
		Conditions: s.conditions(),
		Operations: []protocol.Operation{{Put: storage.KeyQuotaSplit, Value: storage.Encode(record)}},
	}, func(uint64, error) {
		s.call.Done(s.Generation.Now() + updatePause)
	})
}

// nextSplit works out the split that is due and reports whether it is another one.
func (s *Splitter) nextSplit() (record storage.QuotaSplitRecord, changed bool) {
	view := s.Replica.View
	settled := s.settled()
	demands := Demands(view)
	record = storage.QuotaSplitRecord{}
	for i := range view.Teams {
		team := &view.Teams[i]
		if !team.HasQuota() {
			continue
		}
		next := split(team.QuotaSplit, demands[i], guaranteedPart(team), settled)
		record[team.Name] = next
		changed = changed || !slices.Equal(next, team.QuotaSplit)
	}
	return record, changed
}

// settled reports whether the holders of all job shards keep to the present split. A
// holder's word counts for the grants that it names: what it said before it was granted a
// shard says nothing of what is on the machines there.
func (s *Splitter) settled() bool {
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

// conditions make a write depend on the leadership, on the present split and on the grants
// of all job shards.
func (s *Splitter) conditions() []protocol.Condition {
	view := s.Replica.View
	conditions := []protocol.Condition{s.Leadership.Condition(), {Key: storage.KeyQuotaSplit, Version: view.QuotaSplitVersion}}
	for shard := range view.JobShards {
		conditions = append(conditions, view.GrantCondition(shard))
	}
	return conditions
}

// Demands is, by team and job shard, what the team uses and waits for there.
func Demands(view *storage.View) [][]Demand {
	used, waiting := usageByShard(view)
	demands := make([][]Demand, len(view.Teams))
	for i := range view.Teams {
		team := &view.Teams[i]
		for shard := range view.JobShards {
			demands[i] = append(demands[i], Demand{
				Used:    largestPart(team, used[i][shard]),
				Waiting: largestPart(team, waiting[i][shard]),
			})
		}
	}
	return demands
}

// largestPart is the larger of the parts that a usage takes of a team's CPUs and GPUs.
func largestPart(t *storage.Team, u Usage) int {
	return max(partOf(u.CPUs, t.MaxCPUs, t.GuaranteedCPUs), partOf(u.GPUs, t.MaxGPUs, t.GuaranteedGPUs))
}

// usageByShard sums, by team and job shard, what the intents name and what could start.
func usageByShard(view *storage.View) (used, waiting [][]Usage) {
	used, waiting = make([][]Usage, len(view.Teams)), make([][]Usage, len(view.Teams))
	for i := range used {
		used[i], waiting[i] = make([]Usage, view.JobShards), make([]Usage, view.JobShards)
	}
	view.Jobs.All(func(_ int, j *storage.Job) {
		if j.Ended() || j.Shard < 0 || j.Shard >= view.JobShards {
			return
		}
		used[j.TeamIndex][j.Shard].Add(j, float64(j.RunningTasks()))
		if j.Runnable() {
			waiting[j.TeamIndex][j.Shard].Add(j, float64(j.OpenTasks()))
		}
	})
	return used, waiting
}
