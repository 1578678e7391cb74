package quota

import (
	"slices"

	"rockrun/internal/storage"
)

// Demand is what a team uses in a job shard and waits for there, in parts of
// storage.WholeQuota.
type Demand struct{ Used, Waiting int }

// total is what the team needs there.
func (d Demand) total() int { return d.Used + d.Waiting }

// split works out a team's next split from the present one and what each job shard needs.
// A shard gets more only out of what nobody has, and only while all are known to keep to
// the present split; when one lacks, what others have beyond their due is taken from them
// first. It lacks when it needs more than its share, or more than its share of the
// guarantee, which is given in parts of the maximum.
func split(present []int, demands []Demand, guaranteed int, settled bool) []int {
	due := dueShares(demands)
	if len(present) != len(demands) {
		return due
	}
	if !settled || !anyLacks(present, due, demands, guaranteed) {
		return slices.Clone(present)
	}
	return shiftTowards(present, due)
}

// dueShares is what each job shard should have. Services, which are in the shards after
// the batch shard, come first.
func dueShares(demands []Demand) []int {
	shards := len(demands)
	due := make([]int, shards)
	left := storage.WholeQuota
	for i, d := range demands {
		due[i] = d.Used
		left -= d.Used
	}
	for i := range shards {
		shard := (i + 1) % shards
		more := max(0, min(demands[shard].Waiting, left))
		due[shard] += more
		left -= more
	}
	// What nobody waits for is room to grow, in proportion: as long as all of a team's
	// work fits into its guarantee, each shard's part of it then does.
	const roundingGuard = 0.999999 // never more than there is
	whole := 0
	for _, d := range demands {
		whole += d.total() + 1
	}
	for i, d := range demands {
		due[i] += int(float64(max(left, 0)) * roundingGuard * float64(d.total()+1) / float64(whole))
	}
	return due
}

// anyLacks reports whether a job shard needs more than it has and is due more.
func anyLacks(present, due []int, demands []Demand, guaranteed int) bool {
	for i, share := range present {
		needs := demands[i].total()
		shareOfGuarantee := int(float64(share) * float64(guaranteed) / storage.WholeQuota)
		clearlyMore := share + share/8 + storage.WholeQuota/200
		if needs > share && due[i] > share || needs > shareOfGuarantee && due[i] > clearlyMore {
			return true
		}
	}
	return false
}

// shiftTowards takes what shards have beyond their due, and gives out what nobody has.
func shiftTowards(present, due []int) []int {
	unassigned := storage.WholeQuota
	for _, share := range present {
		unassigned -= share
	}
	next := slices.Clone(present)
	for i, share := range present {
		switch {
		case due[i] < share:
			next[i] = due[i]
		case due[i] > share:
			more := min(due[i]-share, unassigned)
			next[i] += more
			unassigned -= more
		}
	}
	return next
}
