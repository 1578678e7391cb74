package config

import "time"

// Agents are the agents' times.
type Agents struct {
	HeartbeatSeconds float64 `toml:"report_s"`
	LeaseSeconds     float64 `toml:"lease_s"`
	CancelSeconds    float64 `toml:"cancel_s"`
}

// HeartbeatInterval is the time between an agent's heartbeats.
func (a Agents) HeartbeatInterval() time.Duration { return Seconds(a.HeartbeatSeconds) }

// Lease is how long an agent runs its tasks without an answer from a controller.
func (a Agents) Lease() time.Duration { return Seconds(a.LeaseSeconds) }

// CancelTimeout is the time in which all tasks of a cancelled job must be gone.
func (a Agents) CancelTimeout() time.Duration { return Seconds(a.CancelSeconds) }

// LeaseMargin is what the time budgets of leases leave at most for answers on their
// way (an agent drops answers after 4 s) and for slow processes.
const LeaseMargin = 5 * time.Second

// MaxStaleness is how old a holder's knowledge of cancellations may be while it
// still renews agents' leases: a cancellation it has not heard of must reach
// the end of the agent's lease within CancelTimeout.
func (a Agents) MaxStaleness() time.Duration {
	spare := a.CancelTimeout() - a.Lease()
	return min(spare-min(LeaseMargin, spare/4)-a.Lease()/1000, a.Lease())
}

func (a Agents) check(found *fieldErrors) {
	found.requirePositive("cluster.workers.report_s", a.HeartbeatSeconds)
	found.requirePositive("cluster.workers.lease_s", a.LeaseSeconds)
	found.requirePositive("cluster.workers.cancel_s", a.CancelSeconds)
	if a.CancelSeconds > 0 && a.CancelSeconds <= a.LeaseSeconds {
		found.add("cluster.workers.cancel_s", "must exceed lease_s")
	}
}

// Seconds turns a number of the settings or options into a duration.
func Seconds(number float64) time.Duration { return time.Duration(number * float64(time.Second)) }
