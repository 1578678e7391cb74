package reconcile

import (
	"rockrun/internal/coordination/quota"
	"rockrun/internal/storage"
)

// maxRank is an exclusive upper bound of priority ranks; see protocol.JobSpec.Rank.
const maxRank = 8

// usageLedger sums the resources that live attempts use.
type usageLedger struct {
	teams       int
	byShard     map[int][]quota.Usage // by team
	countByRank [maxRank]int          // live attempts
	serviceCPUs float64               // CPUs that replicas use
}

func newUsageLedger(teams int) usageLedger {
	return usageLedger{teams: teams, byShard: map[int][]quota.Usage{}}
}

// ofShard returns the resources that a job shard's live attempts use, by team index.
func (u *usageLedger) ofShard(shard int) []quota.Usage {
	usage := u.byShard[shard]
	if usage == nil {
		usage = make([]quota.Usage, u.teams)
		u.byShard[shard] = usage
	}
	return usage
}

// charge adds an attempt to the sums of its machine, team, rank and zone if sign is 1, and
// subtracts it if sign is -1.
func (u *usageLedger) charge(attempt *attempt, sign int) {
	tasks := float64(sign)
	attempt.agent.load.add(attempt.job, tasks)
	if attempt.job.IsService() {
		u.serviceCPUs += tasks * attempt.job.CPUs
	}
	u.countByRank[min(attempt.job.Rank(), maxRank-1)] += sign
	attempt.progress.addAttemptsInZone(attempt.agent.machine.ZoneIndex, sign)
	if team := attempt.job.TeamIndex; team >= 0 {
		u.ofShard(attempt.agent.shard)[team].Add(attempt.job, tasks)
	}
}

// anyLowerPriority reports whether any live attempt has a lower priority than rank.
func (u *usageLedger) anyLowerPriority(rank int) bool {
	for lower := rank + 1; lower < maxRank; lower++ {
		if u.countByRank[lower] > 0 {
			return true
		}
	}
	return false
}

// withinQuota reports whether no team uses more in a shard than the quota split allows.
func (u *usageLedger) withinQuota(view *storage.View, shard int) bool {
	within := true
	for team, usage := range u.ofShard(shard) {
		within = within && quota.WithinShardQuota(view, &view.Teams[team], shard, usage)
	}
	return within
}
