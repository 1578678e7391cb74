package config

import "fmt"

// KVStore holds the limits of the key-value store, which apply to all controllers together.
type KVStore struct {
	RequestsPerSecond     float64          `toml:"rps"`
	WritesPerSecond       float64          `toml:"write_rps"`
	ValueKiB              float64          `toml:"value_kb"`
	TransactionOperations int              `toml:"txn_ops"`
	Announced             *AnnouncedLimits `toml:"next"`
}

// AnnouncedLimits holds limits that the key-value store will apply from a later time, which is
// not announced. A nil limit stays unchanged.
type AnnouncedLimits struct {
	RequestsPerSecond     *float64 `toml:"rps"`
	WritesPerSecond       *float64 `toml:"write_rps"`
	ValueKiB              *float64 `toml:"value_kb"`
	TransactionOperations *int     `toml:"txn_ops"`
}

// StoreLimits holds the limits that requests to the key-value store must respect.
type StoreLimits struct {
	RequestRate   float64 // requests per second of all controllers together
	WriteRate     float64 // puts and deletes per second of all controllers together
	ValueBytes    int     // maximum size of a value
	Operations    int     // maximum number of puts and deletes in a transaction
	Preconditions int     // maximum number of preconditions in a transaction
}

// PreconditionsPerOperation is the ratio of the maximum number of preconditions in a transaction
// to the maximum number of operations.
const PreconditionsPerOperation = 4

// MinOperations is the minimum for the limit on operations in a transaction: writing the end
// of a job takes two, an election two, and splitting a machine group three.
const MinOperations = 3

// maxLimit bounds each limit so that sums of limits do not overflow their types.
const maxLimit = 1e9

// Limits returns the limits in force: the lower of each current limit and its announced value.
// The change comes without notice, and the store rejects larger values from then on, so every
// value written before the change must already fit.
func (s KVStore) Limits() StoreLimits {
	if next := s.Announced; next != nil {
		s.RequestsPerSecond = effectiveLimit(s.RequestsPerSecond, next.RequestsPerSecond)
		s.WritesPerSecond = effectiveLimit(s.WritesPerSecond, next.WritesPerSecond)
		s.ValueKiB = effectiveLimit(s.ValueKiB, next.ValueKiB)
		s.TransactionOperations = effectiveLimit(s.TransactionOperations, next.TransactionOperations)
	}
	return StoreLimits{
		RequestRate:   s.RequestsPerSecond,
		WriteRate:     s.WritesPerSecond,
		ValueBytes:    int(s.ValueKiB * 1024),
		Operations:    s.TransactionOperations,
		Preconditions: PreconditionsPerOperation * s.TransactionOperations,
	}
}

// effectiveLimit returns the lower of a current limit and its announced value, if there is one.
func effectiveLimit[T int | float64](current T, announced *T) T {
	if announced == nil {
		return current
	}
	return min(current, *announced)
}

// check reports the current and announced limits that are missing or invalid.
func (s KVStore) check(errs *fieldErrors) {
	current := AnnouncedLimits{&s.RequestsPerSecond, &s.WritesPerSecond, &s.ValueKiB, &s.TransactionOperations}
	current.check(errs, "cluster.state.")
	if s.Announced != nil {
		s.Announced.check(errs, "cluster.state.next.")
	}
}

// check reports the invalid limits and skips nil limits.
func (l *AnnouncedLimits) check(errs *fieldErrors, prefix string) {
	for _, limit := range []struct {
		field string
		value *float64
	}{{"rps", l.RequestsPerSecond}, {"write_rps", l.WritesPerSecond}, {"value_kb", l.ValueKiB}} {
		if limit.value != nil && !(*limit.value > 0 && *limit.value <= maxLimit) {
			errs.add(prefix+limit.field, problemNotPositive)
		}
	}
	if operations := l.TransactionOperations; operations != nil && (*operations < MinOperations || *operations > maxLimit) {
		errs.add(prefix+"txn_ops", fmt.Sprintf("missing or below %d", MinOperations))
	}
}
