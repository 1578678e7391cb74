package scenario

import (
	"rockrun/internal/protocol"
)

// Rules for what users are told about their jobs.

// jobAnswered is called with the stage in every answer about a job; job is nil if nobody submitted
// it. outcome is the outcome that the user already knew when it sent the request, if any.
func (c *checker) jobAnswered(id string, job *userJob, outcome, stage string) {
	if job == nil {
		c.recordViolation(ruleUnknownJob, "%s, which nobody submitted, is reported %s", id, stage)
		return
	}
	if outcome != "" && stage != outcome {
		c.recordViolation(ruleInvalidOutcome, "%s was reported %s before the request and is now reported %s", id, outcome, stage)
	}
	switch stage {
	case protocol.StageDone:
		c.checkDoneAnswer(job)
	case protocol.StageCancelled:
		c.checkCancelledAnswer(job)
	default:
		c.checkOrphaned(job, stage)
		return
	}
	if job.outcome != "" && job.outcome != stage {
		c.recordViolation(ruleInvalidOutcome, "%s was reported %s and is now reported %s", id, job.outcome, stage)
	}
	job.outcome = stage
}

// checkDoneAnswer checks that all tasks of a job that is reported done have completed.
func (c *checker) checkDoneAnswer(job *userJob) {
	if !c.isComplete(job) {
		c.recordViolation(ruleNotDone, "%s is reported done, but not all of its tasks are", job.spec.ID)
	}
}

// checkCancelledAnswer checks that the cancellation of a job that is reported cancelled was
// requested, for the job or for a dependency, and that the job runs nowhere once the cancel
// timeout has passed.
func (c *checker) checkCancelledAnswer(job *userJob) {
	if !job.cancelRequested && !c.dependencyMayBeCancelled(job) {
		c.recordViolation(ruleInvalidOutcome, "%s is reported cancelled, but nobody requested it", job.spec.ID)
	}
	if job.cancelledAt != 0 {
		return
	}
	job.cancelledAt = c.sim.now
	c.sim.faults.record("cancel-confirmed", 0)
	c.sim.after(c.sim.cluster.Agents.CancelTimeout(), func() { c.checkNotRunning(job.spec.ID) })
}

// checkNotRunning checks that no task of a cancelled job runs on any machine.
func (c *checker) checkNotRunning(job string) {
	for task, agents := range c.runningOn {
		if isTaskOf(task, job) && len(agents) > 0 {
			c.recordViolation(ruleRanCancelled, "%s still runs on %s after the cancel timeout", task, agents[0].machine.Name)
		}
	}
}

// findCancelledWithoutCause returns the ID of a job that was reported cancelled although its user
// did not cancel it and none of its dependencies was reported cancelled, or "" if there is none.
func (c *checker) findCancelledWithoutCause() string {
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
