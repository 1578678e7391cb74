package config

import "fmt"

// KVStore is what the key-value store allows all controllers together.
type KVStore struct {
	RequestsPerSecond     float64          `toml:"rps"`
	WritesPerSecond       float64          `toml:"write_rps"`
	ValueKiB              float64          `toml:"value_kb"`
	TransactionOperations int              `toml:"txn_ops"`
	Announced             *AnnouncedLimits `toml:"next"`
}

// AnnouncedLimits are what the key-value store will allow from some later moment that
// nobody announces. What they don't name stays as it is.
type AnnouncedLimits struct {
	RequestsPerSecond     *float64 `toml:"rps"`
	WritesPerSecond       *float64 `toml:"write_rps"`
	ValueKiB              *float64 `toml:"value_kb"`
	TransactionOperations *int     `toml:"txn_ops"`
}

// StoreLimits are the limits that requests to the key-value store keep to.
type StoreLimits struct {
	RequestRate   float64 // requests a second of all controllers together
	WriteRate     float64 // puts and removals a second of all controllers together
	ValueBytes    int     // of one value
	Operations    int     // puts and removals in a transaction
	Preconditions int     // conditions in a transaction
}

// PreconditionsPerOperation is how many conditions a transaction may have for each operation
// that it may have.
const PreconditionsPerOperation = 4

// MinOperations is how many operations a transaction must allow: a job's end takes two, an
// election two, a machine group that is split three.
const MinOperations = 3

// highestLimit keeps sums of limits within their types.
const highestLimit = 1e9

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
		RequestRate:   s.RequestsPerSecond,
		WriteRate:     s.WritesPerSecond,
		ValueBytes:    int(s.ValueKiB * 1024),
		Operations:    s.TransactionOperations,
		Preconditions: PreconditionsPerOperation * s.TransactionOperations,
	}
}

// lower is the lower one of a limit and the one announced for it, if there is one.
func lower[T int | float64](today T, announced *T) T {
	if announced == nil {
		return today
	}
	return min(today, *announced)
}

// check names the limits that are missing or impossible.
func (s KVStore) check(found *fieldErrors) {
	today := AnnouncedLimits{&s.RequestsPerSecond, &s.WritesPerSecond, &s.ValueKiB, &s.TransactionOperations}
	today.check(found, "cluster.state.")
	if s.Announced != nil {
		s.Announced.check(found, "cluster.state.next.")
	}
}

// check checks the limits that are given; nil ones are not.
func (l *AnnouncedLimits) check(found *fieldErrors, prefix string) {
	for _, limit := range []struct {
		field string
		value *float64
	}{{"rps", l.RequestsPerSecond}, {"write_rps", l.WritesPerSecond}, {"value_kb", l.ValueKiB}} {
		if limit.value != nil && !(*limit.value > 0 && *limit.value <= highestLimit) {
			found.add(prefix+limit.field, problemNotPositive)
		}
	}
	if operations := l.TransactionOperations; operations != nil && (*operations < MinOperations || *operations > highestLimit) {
		found.add(prefix+"txn_ops", fmt.Sprintf("missing or below %d", MinOperations))
	}
}
