package reconcile

import (
	"rockrun/internal/coordination/quota"
	"rockrun/internal/storage"
)

// maxRank bounds the ranks of priorities: see storage.Job.Rank.
const maxRank = 8

// usageLedger sums up what all live attempts take.
type usageLedger struct {
	teams       int
	byShard     map[int][]quota.Usage // by team
	countByRank [maxRank]int          // live attempts
	serviceCPUs float64               // CPUs that replicas take
}

func newUsageLedger(teams int) usageLedger {
	return usageLedger{teams: teams, byShard: map[int][]quota.Usage{}}
}

// ofShard is what a job shard's attempts take, by team.
func (u *usageLedger) ofShard(shard int) []quota.Usage {
	usage := u.byShard[shard]
	if usage == nil {
		usage = make([]quota.Usage, u.teams)
		u.byShard[shard] = usage
	}
	return usage
}

// charge adds an attempt to the sums of its machine, team, rank and zone (1), or takes it
// off (-1).
func (u *usageLedger) charge(attempt *attempt, sign int) {
	tasks := float64(sign)
	attempt.agent.load.add(attempt.job, tasks)
	if attempt.job.IsService() {
		u.serviceCPUs += tasks * attempt.job.CPUs
	}
	u.countByRank[min(attempt.job.Rank(), maxRank-1)] += sign
	attempt.progress.countInZone(attempt.agent.machine.ZoneIndex, sign)
	if team := attempt.job.TeamIndex; team >= 0 {
		u.ofShard(attempt.agent.shard)[team].Add(attempt.job, tasks)
	}
}

// anyBelow reports whether any live attempt is of a lower priority than a rank.
func (u *usageLedger) anyBelow(rank int) bool {
	for lower := rank + 1; lower < maxRank; lower++ {
		if u.countByRank[lower] > 0 {
			return true
		}
	}
	return false
}

// withinQuota reports whether no team takes more in a shard than the quota split allows.
func (u *usageLedger) withinQuota(view *storage.View, shard int) bool {
	within := true
	for team, usage := range u.ofShard(shard) {
		within = within && quota.ShardWithin(view, &view.Teams[team], shard, usage)
	}
	return within
}
