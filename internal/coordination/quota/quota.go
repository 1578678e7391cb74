// Package quota keeps teams within their maximum and gives them what they are guaranteed.
// Each job shard works with its own part of every quota; the leader's Splitter moves parts
// to where they are needed, and a team's parts never sum above the whole.
package quota

import (
	"math"

	"rockrun/internal/storage"
)

// Usage is what a team's tasks use, or wait for.
type Usage struct{ CPUs, GPUs float64 }

// Add adds what a number of tasks of a job take; a negative number takes it off.
func (u *Usage) Add(j *storage.Job, tasks float64) {
	u.CPUs += tasks * j.CPUs
	u.GPUs += tasks * j.GPUs
}

// Exceeds reports whether an amount is above a maximum; 0 is no maximum.
func Exceeds(amount, maximum float64) bool {
	return maximum > 0 && amount > maximum+storage.RoundingTolerance
}

// Within reports whether an amount keeps a shard's share of a maximum; a maximum of 0
// is none.
func Within(amount, maximum, share float64) bool {
	return maximum <= 0 || amount <= share+storage.RoundingTolerance
}

// ShardWithin reports whether a team's usage in a job shard is within the shard's share of
// the team's maximum.
func ShardWithin(view *storage.View, team *storage.Team, shard int, u Usage) bool {
	return Within(u.CPUs, team.MaxCPUs, view.QuotaShare(team, shard, team.MaxCPUs)) &&
		Within(u.GPUs, team.MaxGPUs, view.QuotaShare(team, shard, team.MaxGPUs))
}

// guaranteedPart is a team's guarantee in parts of its maximum, of storage.WholeQuota.
func guaranteedPart(t *storage.Team) int {
	part := 1.0
	if t.MaxCPUs > 0 && t.GuaranteedCPUs > 0 {
		part = min(part, t.GuaranteedCPUs/t.MaxCPUs)
	}
	if t.MaxGPUs > 0 && t.GuaranteedGPUs > 0 {
		part = min(part, t.GuaranteedGPUs/t.MaxGPUs)
	}
	return int(part * storage.WholeQuota)
}

// partOf is an amount in parts of a team's maximum, or of its guarantee where it has no
// maximum: at most storage.WholeQuota, and 0 where it has neither.
func partOf(amount, maximum, guarantee float64) int {
	whole := maximum
	if whole <= 0 {
		whole = guarantee
	}
	if whole <= 0 {
		return 0
	}
	return int(min(math.Ceil(amount/whole*storage.WholeQuota), storage.WholeQuota))
}
