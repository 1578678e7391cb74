package quota

import (
	"slices"

	"rockrun/internal/storage"
)

// Demand is a team's used and pending resources in a job shard, in units of
// 1/storage.WholeQuota of its quota.
type Demand struct{ Used, Pending int }

// total returns the sum of used and pending resources.
func (d Demand) total() int { return d.Used + d.Pending }

// split computes a team's next split from the current one and the demand in each job shard.
// A first split, or one for a new number of job shards, is the target. Otherwise the split
// changes only while all holders acknowledge the current one and a shard is short. A part
// grows only out of unassigned quota: quota that is taken from a part above its target is
// unassigned first and can be assigned to another part by a later split. guaranteed is the
// team's guarantee in units of 1/storage.WholeQuota of its maximum.
func split(current []int, demands []Demand, guaranteed int, acknowledged bool) []int {
	target := targetSplit(demands)
	if len(current) != len(demands) {
		return target
	}
	if !acknowledged || !anyShardShort(current, target, demands, guaranteed) {
		return slices.Clone(current)
	}
	return shiftTowards(current, target)
}

// targetSplit returns the part that each job shard should have. Pending demand of the
// service shards, which follow the batch shard, has precedence.
func targetSplit(demands []Demand) []int {
	shardCount := len(demands)
	target := make([]int, shardCount)
	unassigned := storage.WholeQuota
	for i, d := range demands {
		target[i] = d.Used
		unassigned -= d.Used
	}
	for i := range shardCount {
		shard := (i + 1) % shardCount
		extra := max(0, min(demands[shard].Pending, unassigned))
		target[shard] += extra
		unassigned -= extra
	}
	// The rest is distributed in proportion to demand. Thus while all work of a team fits
	// its guarantee, the work in each shard fits the shard's part of the guarantee.
	const roundingGuard = 0.999999 // keeps the sum of rounded parts within the whole quota
	totalDemand := 0
	for _, d := range demands {
		totalDemand += d.total() + 1
	}
	for i, d := range demands {
		target[i] += int(float64(max(unassigned, 0)) * roundingGuard * float64(d.total()+1) / float64(totalDemand))
	}
	return target
}

// anyShardShort reports whether a job shard is short of quota: its demand exceeds its part
// and its target is larger than the part, or its demand exceeds its part of the guarantee
// and its target is larger by a margin.
func anyShardShort(current, target []int, demands []Demand, guaranteed int) bool {
	for i, part := range current {
		needed := demands[i].total()
		partOfGuarantee := int(float64(part) * float64(guaranteed) / storage.WholeQuota)
		reallocationThreshold := part + part/8 + storage.WholeQuota/200
		if needed > part && target[i] > part || needed > partOfGuarantee && target[i] > reallocationThreshold {
			return true
		}
	}
	return false
}

// shiftTowards lowers the parts above their target to the target, and raises those below it
// out of the quota that is unassigned in the current split.
func shiftTowards(current, target []int) []int {
	unassigned := storage.WholeQuota
	for _, part := range current {
		unassigned -= part
	}
	next := slices.Clone(current)
	for i, part := range current {
		switch {
		case target[i] < part:
			next[i] = target[i]
		case target[i] > part:
			extra := min(target[i]-part, unassigned)
			next[i] += extra
			unassigned -= extra
		}
	}
	return next
}
