package scenario

import (
	"rockrun/internal/protocol"
)

// Rules on what users are told of their jobs.

// jobAnswered is called with every answer of the service about a job; outcome is the one
// that the user had been told of when it asked, if any.
func (c *checker) jobAnswered(id string, job *userJob, outcome, stage string) {
	if job == nil {
		c.violate(ruleInvented, "%s is %s", id, stage)
		return
	}
	if outcome != "" && stage != outcome {
		c.violate(ruleWentBack, "%s was %s and is %s", id, outcome, stage)
	}
	switch stage {
	case protocol.StageDone:
		c.calledDone(job)
	case protocol.StageCancelled:
		c.calledCancelled(job)
	default:
		c.checkOrphaned(job, stage)
		return
	}
	if job.outcome != "" && job.outcome != stage {
		c.violate(ruleWentBack, "%s was %s and is %s", id, job.outcome, stage)
	}
	job.outcome = stage
}

// calledDone checks that a job that is called done is.
func (c *checker) calledDone(job *userJob) {
	if !c.complete(job) {
		c.violate(ruleNotDone, "%s is called done, not all of its tasks are", job.spec.ID)
	}
}

// calledCancelled checks that somebody asked for the cancellation of a job that is called
// cancelled, and, once the time for it has passed, that its tasks are gone.
func (c *checker) calledCancelled(job *userJob) {
	if !job.cancelRequested && !c.mayBeCancelled(job) {
		c.violate(ruleWentBack, "%s is called cancelled and nobody asked for it", job.spec.ID)
	}
	if job.cancelledAt != 0 {
		return
	}
	job.cancelledAt = c.sim.now
	c.sim.faults.note("cancel-confirmed", 0)
	c.sim.after(c.sim.cluster.Agents.CancelTimeout(), func() { c.checkGone(job.spec.ID) })
}

// checkGone checks that a cancelled job has left every machine.
func (c *checker) checkGone(job string) {
	for task, agents := range c.runningOn {
		if isTaskOf(task, job) && len(agents) > 0 {
			c.violate(ruleRanCancelled, "%s is still on %s", task, agents[0].machine.Name)
		}
	}
}

// cancelledWithoutCause names a job that is called cancelled though neither its user
// cancelled it nor any of its dependencies is cancelled.
func (c *checker) cancelledWithoutCause() string {
	for id, job := range c.sim.users.jobs {
		if job.outcome != protocol.StageCancelled || job.cancelRequested {
			continue
		}
		if _, found := c.dependencyCancelledAt(job); !found {
			return id
		}
	}
	return ""
}
