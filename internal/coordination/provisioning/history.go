package provisioning

import (
	"cmp"
	"slices"
)

// maxHistory is how many decisions are kept.
const maxHistory = 200

// Action is what was decided.
type Action string

// What may be decided, as operators see it.
const (
	ActionScaleOut Action = "rent"
	ActionDrain    Action = "drain"
)

// Decision is one line of the autoscaler's history, in its form for operators.
type Decision struct {
	Action  Action  `json:"action"`
	Reason  string  `json:"reason"`
	Term    uint64  `json:"term"`
	AtMS    int64   `json:"at_ms"`         // time of day
	Blocked int     `json:"blocked_tasks"` // tasks that waited for machines
	Booked  float64 `json:"booked_share"`  // booked part of the fleet's CPUs
	Fleet   int     `json:"fleet"`         // machines there were
	Count   int     `json:"count"`         // machines the decision is about
	Pool    string  `json:"pool,omitempty"`
}

// history keeps the last decisions of a leadership.
type history struct {
	*Config
	decisions []Decision
}

// add logs a decision and keeps it.
func (h *history) add(d Decision) {
	d.Term, d.AtMS = h.Leadership.Term(), h.wallMS()
	h.Log.Info("autoscaler decision", "action", d.Action, "reason", d.Reason, "pool", d.Pool, "count", d.Count,
		"blocked", d.Blocked, "booked", d.Booked, "fleet", d.Fleet, "term", d.Term)
	h.decisions = append(h.decisions, d)
	if excess := len(h.decisions) - maxHistory; excess > 0 {
		h.decisions = slices.Delete(h.decisions, 0, excess)
	}
}

// latestFirst is a copy of the decisions, the latest first.
func (h *history) latestFirst() []Decision {
	list := slices.Clone(h.decisions)
	slices.SortFunc(list, func(a, b Decision) int { return cmp.Compare(b.AtMS, a.AtMS) })
	return list
}
