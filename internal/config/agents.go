package config

import "time"

// Agents holds the heartbeat interval, the lease and the cancel timeout of the agents.
type Agents struct {
	HeartbeatSeconds float64 `toml:"report_s"`
	LeaseSeconds     float64 `toml:"lease_s"`
	CancelSeconds    float64 `toml:"cancel_s"`
}

// HeartbeatInterval returns the time between an agent's heartbeats.
func (a Agents) HeartbeatInterval() time.Duration { return Seconds(a.HeartbeatSeconds) }

// Lease returns how long an agent runs its tasks without an answer from a controller.
func (a Agents) Lease() time.Duration { return Seconds(a.LeaseSeconds) }

// CancelTimeout returns the time within which all tasks of a cancelled job must be terminated.
func (a Agents) CancelTimeout() time.Duration { return Seconds(a.CancelSeconds) }

// LeaseMargin is the maximum time that lease budgets reserve for answers in transit (an
// agent discards answers after 4 s) and for slow processes.
const LeaseMargin = 5 * time.Second

// MaxStaleness returns the maximum staleness of a holder's view at which the holder still
// renews agents' leases. If the view lacks a cancellation, the last lease that the holder
// renews must still expire within CancelTimeout of that cancellation. A thousandth of the lease
// is reserved for clock drift.
func (a Agents) MaxStaleness() time.Duration {
	spare := a.CancelTimeout() - a.Lease()
	return min(spare-min(LeaseMargin, spare/4)-a.Lease()/1000, a.Lease())
}

func (a Agents) check(errs *fieldErrors) {
	errs.requirePositive("cluster.workers.report_s", a.HeartbeatSeconds)
	errs.requirePositive("cluster.workers.lease_s", a.LeaseSeconds)
	errs.requirePositive("cluster.workers.cancel_s", a.CancelSeconds)
	if a.CancelSeconds > 0 && a.CancelSeconds <= a.LeaseSeconds {
		errs.add("cluster.workers.cancel_s", "must exceed lease_s")
	}
}

// Seconds converts a number of seconds from the settings or options to a duration.
func Seconds(number float64) time.Duration { return time.Duration(number * float64(time.Second)) }
