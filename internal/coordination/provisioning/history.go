package provisioning

import (
	"cmp"
	"slices"
)

// maxHistory is the maximum number of decisions retained.
const maxHistory = 200

// Action is the kind of an autoscaler decision.
type Action string

// Actions, by the names that operators see.
const (
	ActionScaleOut Action = "rent"
	ActionDrain    Action = "drain"
)

// Decision is one entry of the autoscaler's history, in the form served to operators.
type Decision struct {
	Action  Action  `json:"action"`
	Reason  string  `json:"reason"`
	Term    uint64  `json:"term"`
	AtMS    int64   `json:"at_ms"`         // wall-clock time
	Blocked int     `json:"blocked_tasks"` // pending tasks
	Booked  float64 `json:"booked_share"`  // booked share of the fleet's CPUs
	Fleet   int     `json:"fleet"`         // machines in the fleet
	Count   int     `json:"count"`         // machines affected
	Pool    string  `json:"pool,omitempty"`
}

// history retains the latest decisions of this leader's term.
type history struct {
	*Config
	decisions []Decision
}

// add logs a decision and appends it to the history.
func (h *history) add(d Decision) {
	d.Term, d.AtMS = h.Leadership.Term(), h.wallMS()
	h.Log.Info("autoscaler decision made", "action", d.Action, "reason", d.Reason, "pool", d.Pool, "count", d.Count,
		"blocked", d.Blocked, "booked", d.Booked, "fleet", d.Fleet, "term", d.Term)
	h.decisions = append(h.decisions, d)
	if excess := len(h.decisions) - maxHistory; excess > 0 {
		h.decisions = slices.Delete(h.decisions, 0, excess)
	}
}

// latestFirst returns a copy of the decisions, sorted from the latest to the oldest.
func (h *history) latestFirst() []Decision {
	list := slices.Clone(h.decisions)
	slices.SortFunc(list, func(a, b Decision) int { return cmp.Compare(b.AtMS, a.AtMS) })
	return list
}
