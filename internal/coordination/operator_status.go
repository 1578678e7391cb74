package coordination

import (
	"rockrun/internal/coordination/provisioning"
	"rockrun/internal/storage"
)

// Status is what an operator sees of the autoscaler.
type Status struct {
	Node    string `json:"node"`
	Leader  string `json:"leader"`
	Term    uint64 `json:"term"`
	Leading bool   `json:"leading"`
	Ready   bool   `json:"ready"`
	Fleet   int    `json:"fleet"`         // machines there are
	Jobs    int    `json:"jobs"`          // unfinished jobs
	Blocked int    `json:"blocked_tasks"` // tasks that wait for a place
	Waiting int    `json:"waiting_jobs"`  // jobs that wait for others
	Target  int    `json:"target"`        // machines that are to stay
}

// Autoscaler describes the autoscaler's state and, on the leader, its last decisions. It
// must be called on the controller's goroutine.
func (n *Controller) Autoscaler() (Status, []provisioning.Decision) {
	status := Status{
		Node:    n.Settings.Controller,
		Leader:  n.view.Leader.Controller,
		Term:    n.view.Term,
		Leading: n.leadership != nil,
		Ready:   n.replica.Ready(),
		Target:  n.view.ScalingTarget.Target,
	}
	n.view.Machines.All(func(_ int, m *storage.Machine) {
		if m.Exists() {
			status.Fleet++
		}
	})
	n.view.Jobs.All(func(_ int, j *storage.Job) {
		switch {
		case j.Ended():
		case j.AwaitsDependencies():
			status.Jobs++
			status.Waiting++
		default:
			status.Jobs++
			status.Blocked += j.OpenTasks()
		}
	})
	if n.leadership == nil {
		return status, []provisioning.Decision{}
	}
	return status, n.leadership.provisioner.History()
}
