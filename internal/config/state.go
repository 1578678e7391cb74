package config

import "fmt"

// State is what the state service allows all controllers together.
type State struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
	Next     *Next   `toml:"next"`
}

// Next is what the state service will allow from some later moment that nobody
// announces. What it doesn't name stays as it is.
type Next struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// StateLimits are the limits that requests to the state service keep to.
type StateLimits struct {
	RequestRate float64 // requests a second of all controllers together
	WriteRate   float64 // puts and removals a second of all controllers together
	ValueBytes  int     // of one value
	Changes     int     // puts and removals in a transaction
	Conditions  int     // conditions in a transaction
}

// Limits are the limits in force: the lower ones of today's and those to come. The
// change comes without notice and a larger value is refused from then on, so every
// value written has to fit before.
func (s State) Limits() StateLimits {
	if next := s.Next; next != nil {
		s.RPS = lower(s.RPS, next.RPS)
		s.WriteRPS = lower(s.WriteRPS, next.WriteRPS)
		s.ValueKB = lower(s.ValueKB, next.ValueKB)
		s.TxnOps = lower(s.TxnOps, next.TxnOps)
	}
	return StateLimits{
		RequestRate: s.RPS,
		WriteRate:   s.WriteRPS,
		ValueBytes:  int(s.ValueKB * 1024),
		Changes:     s.TxnOps,
		Conditions:  ConditionsPerChange * s.TxnOps,
	}
}

// ConditionsPerChange is how many conditions a transaction may have for each change.
const ConditionsPerChange = 4

// LeastChanges is how many changes a transaction must allow: a job's end takes two, an
// election two, a block that is split three.
const LeastChanges = 3

// highestLimit keeps sums of limits within their types.
const highestLimit = 1e9

func lower[T int | float64](now T, next *T) T {
	if next == nil {
		return now
	}
	return min(now, *next)
}

// check names the limits that are missing or impossible.
func (s State) check(found *faults) {
	checkLimits(found, "cluster.state.", Next{&s.RPS, &s.WriteRPS, &s.ValueKB, &s.TxnOps})
	if s.Next != nil {
		checkLimits(found, "cluster.state.next.", *s.Next)
	}
}

// checkLimits checks the limits that are given; nil ones are not.
func checkLimits(found *faults, prefix string, limits Next) {
	for _, limit := range []struct {
		field string
		value *float64
	}{{"rps", limits.RPS}, {"write_rps", limits.WriteRPS}, {"value_kb", limits.ValueKB}} {
		if limit.value != nil && !(*limit.value > 0 && *limit.value <= highestLimit) {
			found.add(prefix+limit.field, notPositive)
		}
	}
	if ops := limits.TxnOps; ops != nil && (*ops < LeastChanges || *ops > highestLimit) {
		found.add(prefix+"txn_ops", fmt.Sprintf("missing or below %d", LeastChanges))
	}
}
