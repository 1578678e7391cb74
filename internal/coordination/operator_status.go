package coordination

import (
	"rockrun/internal/coordination/provisioning"
	"rockrun/internal/storage"
)

// AutoscalerStatus is the autoscaler status that operators see.
type AutoscalerStatus struct {
	Node    string `json:"node"`
	Leader  string `json:"leader"`
	Term    uint64 `json:"term"`
	Leading bool   `json:"leading"`
	Ready   bool   `json:"ready"`
	Fleet   int    `json:"fleet"`         // machines that exist
	Jobs    int    `json:"jobs"`          // unfinished jobs
	Blocked int    `json:"blocked_tasks"` // unplaced tasks of jobs that await no dependencies
	Waiting int    `json:"waiting_jobs"`  // unfinished jobs that await dependencies
	Target  int    `json:"target"`        // machines to retain
}

// Autoscaler returns the status of the autoscaler and, on the leader, its last decisions. It
// must be called on the controller's goroutine.
func (c *Controller) Autoscaler() (AutoscalerStatus, []provisioning.Decision) {
	status := AutoscalerStatus{
		Node:    c.Settings.Controller,
		Leader:  c.replica.View.Leader.Controller,
		Term:    c.replica.View.Term,
		Leading: c.leader != nil,
		Ready:   c.replica.Ready(),
		Target:  c.replica.View.ScalingTarget.Target,
	}
	c.replica.View.Machines.All(func(_ int, m *storage.Machine) {
		if m.Exists() {
			status.Fleet++
		}
	})
	c.replica.View.Jobs.All(func(_ int, j *storage.Job) {
		switch {
		case j.Ended():
		case j.AwaitsDependencies():
			status.Jobs++
			status.Waiting++
		default:
			status.Jobs++
			status.Blocked += j.UnplacedTasks()
		}
	})
	if c.leader == nil {
		return status, []provisioning.Decision{}
	}
	return status, c.leader.provisioner.History()
}
