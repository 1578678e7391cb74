// Package quota enforces the maximum quota of teams and tracks their guaranteed quota. Each
// job shard has its own part of every quota. The leader's Splitter reassigns quota to the
// job shards that need it; the parts of a team never add up to more than its quota.
package quota

import (
	"math"

	"rockrun/internal/storage"
)

// Usage is the resources that a team's tasks use or request.
type Usage struct{ CPUs, GPUs float64 }

// Add adds the resources of the given number of tasks of a job; a negative number subtracts
// them.
func (u *Usage) Add(job *storage.Job, tasks float64) {
	u.CPUs += tasks * job.CPUs
	u.GPUs += tasks * job.GPUs
}

// ExceedsMaximum reports whether an amount is above a maximum; a maximum of 0 means unlimited.
func ExceedsMaximum(amount, maximum float64) bool {
	return maximum > 0 && amount > maximum+storage.RoundingTolerance
}

// WithinPart reports whether an amount is within a shard's part of a maximum; a maximum of 0
// means unlimited.
func WithinPart(amount, maximum, part float64) bool {
	return maximum <= 0 || amount <= part+storage.RoundingTolerance
}

// WithinShardQuota reports whether a team's usage in a job shard is within the shard's part of
// the team's maximum.
func WithinShardQuota(view *storage.View, team *storage.Team, shard int, usage Usage) bool {
	return WithinPart(usage.CPUs, team.MaxCPUs, view.ShardQuota(team, shard, team.MaxCPUs)) &&
		WithinPart(usage.GPUs, team.MaxGPUs, view.ShardQuota(team, shard, team.MaxGPUs))
}

// guaranteedFraction returns a team's guarantee as a fraction of its maximum, in units of
// 1/storage.WholeQuota. The smaller of the fractions for CPUs and GPUs counts.
func guaranteedFraction(team *storage.Team) int {
	fraction := 1.0
	if team.MaxCPUs > 0 && team.GuaranteedCPUs > 0 {
		fraction = min(fraction, team.GuaranteedCPUs/team.MaxCPUs)
	}
	if team.MaxGPUs > 0 && team.GuaranteedGPUs > 0 {
		fraction = min(fraction, team.GuaranteedGPUs/team.MaxGPUs)
	}
	return int(fraction * storage.WholeQuota)
}

// fractionOfQuota returns an amount as a fraction of a team's maximum, or of its guarantee if
// it has no maximum, in units of 1/storage.WholeQuota. The result is at most
// storage.WholeQuota, and 0 if the team has neither.
func fractionOfQuota(amount, maximum, guarantee float64) int {
	total := maximum
	if total <= 0 {
		total = guarantee
	}
	if total <= 0 {
		return 0
	}
	return int(min(math.Ceil(amount/total*storage.WholeQuota), storage.WholeQuota))
}
