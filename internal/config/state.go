package config

import "fmt"

// State is what the state service allows all controllers together.
type KVStore struct {
	RequestsPerSecond     float64          `toml:"rps"`
	WritesPerSecond       float64          `toml:"write_rps"`
	ValueKiB              float64          `toml:"value_kb"`
	TransactionOperations int              `toml:"txn_ops"`
	Announced             *AnnouncedLimits `toml:"next"`
}

// Next is what the state service will allow from some later moment that nobody
// announces. What it doesn't name stays as it is.
type AnnouncedLimits struct {
	RequestsPerSecond     *float64 `toml:"rps"`
	WritesPerSecond       *float64 `toml:"write_rps"`
	ValueKiB              *float64 `toml:"value_kb"`
	TransactionOperations *int     `toml:"txn_ops"`
}

// StateLimits are the limits that requests to the state service keep to.
type StoreLimits struct {
	RequestRate float64 // requests a second of all controllers together
	WriteRate   float64 // puts and removals a second of all controllers together
	ValueBytes  int     // of one value
	Operations  int     // puts and removals in a transaction
	Conditions  int     // conditions in a transaction
}

// Limits are the limits in force: the lower ones of today's and those to come. The
// change comes without notice and a larger value is refused from then on, so every
// value written has to fit before.
func (s KVStore) Limits() StoreLimits {
	if next := s.Announced; next != nil {
		s.RequestsPerSecond = lower(s.RequestsPerSecond, next.RequestsPerSecond)
		s.WritesPerSecond = lower(s.WritesPerSecond, next.WritesPerSecond)
		s.ValueKiB = lower(s.ValueKiB, next.ValueKiB)
		s.TransactionOperations = lower(s.TransactionOperations, next.TransactionOperations)
	}
	return StoreLimits{
		RequestRate: s.RequestsPerSecond,
		WriteRate:   s.WritesPerSecond,
		ValueBytes:  int(s.ValueKiB * 1024),
		Operations:  s.TransactionOperations,
		Conditions:  ConditionsPerOperation * s.TransactionOperations,
	}
}

// ConditionsPerChange is how many conditions a transaction may have for each change.
const ConditionsPerOperation = 4

// LeastChanges is how many changes a transaction must allow: a job's end takes two, an
// election two, a block that is split three.
const MinOperations = 3

// highestLimit keeps sums of limits within their types.
const highestLimit = 1e9

func lower[T int | float64](now T, next *T) T {
	if next == nil {
		return now
	}
	return min(now, *next)
}

// check names the limits that are missing or impossible.
func (s KVStore) check(found *faults) {
	checkLimits(found, "cluster.state.", AnnouncedLimits{&s.RequestsPerSecond, &s.WritesPerSecond, &s.ValueKiB, &s.TransactionOperations})
	if s.Announced != nil {
		checkLimits(found, "cluster.state.next.", *s.Announced)
	}
}

// checkLimits checks the limits that are given; nil ones are not.
func checkLimits(found *faults, prefix string, limits AnnouncedLimits) {
	for _, limit := range []struct {
		field string
		value *float64
	}{{"rps", limits.RequestsPerSecond}, {"write_rps", limits.WritesPerSecond}, {"value_kb", limits.ValueKiB}} {
		if limit.value != nil && !(*limit.value > 0 && *limit.value <= highestLimit) {
			found.add(prefix+limit.field, notPositive)
		}
	}
	if ops := limits.TransactionOperations; ops != nil && (*ops < MinOperations || *ops > highestLimit) {
		found.add(prefix+"txn_ops", fmt.Sprintf("missing or below %d", MinOperations))
	}
}
