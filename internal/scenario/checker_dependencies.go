package scenario

import (
	"net/http"
	"slices"
	"time"

	"rockrun/internal/protocol"
)

// Rules for jobs with dependencies.

// dependenciesComplete reports whether all dependencies of a job have actually completed,
// whatever the users have been told.
func (c *checker) dependenciesComplete(job *userJob) bool {
	return !slices.ContainsFunc(job.spec.Dependencies, c.dependencyIncomplete)
}

// dependencyIncomplete reports whether a job that is named as a dependency is unknown or has not
// completed.
func (c *checker) dependencyIncomplete(id string) bool {
	job := c.sim.users.jobs[id]
	return job == nil || !c.isComplete(job)
}

// checkDependencies checks that all dependencies of a job have completed when one of its tasks
// starts.
func (c *checker) checkDependencies(task string, job *userJob) {
	for _, id := range job.spec.Dependencies {
		if c.dependencyIncomplete(id) {
			c.recordViolation(ruleTooEarly, "%s starts before its dependency %s is done", task, id)
		}
	}
}

// dependenciesOf lists the direct and indirect dependencies of a job.
func (c *checker) dependenciesOf(job *userJob) []*userJob {
	var found []*userJob
	for stack := []*userJob{job}; len(stack) > 0; {
		current := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		for _, id := range current.spec.Dependencies {
			if dependency := c.sim.users.jobs[id]; dependency != nil && !slices.Contains(found, dependency) {
				found = append(found, dependency)
				stack = append(stack, dependency)
			}
		}
	}
	return found
}

// dependencyCancelledAt returns when a user was first told that a direct or indirect dependency
// of a job is cancelled; found is false if no dependency is known to be cancelled.
func (c *checker) dependencyCancelledAt(job *userJob) (since time.Duration, found bool) {
	for _, dependency := range c.dependenciesOf(job) {
		if dependency.outcome == protocol.StageCancelled && (!found || dependency.cancelledAt < since) {
			since, found = dependency.cancelledAt, true
		}
	}
	return since, found
}

// dependencyMayBeCancelled reports whether a dependency may have caused the cancellation of a
// job: its cancellation was requested, and no user has been told that it is done instead.
func (c *checker) dependencyMayBeCancelled(job *userJob) bool {
	return slices.ContainsFunc(c.dependenciesOf(job), func(dependency *userJob) bool {
		return dependency.cancelRequested && dependency.outcome != protocol.StageDone
	})
}

// checkOrphaned is called when a job is reported queued or running. That must not happen once one
// of its dependencies has been cancelled for longer than the cancel timeout.
func (c *checker) checkOrphaned(job *userJob, stage string) {
	since, found := c.dependencyCancelledAt(job)
	since = max(since, job.acceptedAt)
	if found && c.sim.now > since+c.sim.cluster.Agents.CancelTimeout() {
		c.recordViolation(ruleOrphaned, "%s is reported %s, but a dependency has been cancelled since %s", job.spec.ID, stage, since)
	}
}

// checkSubmissionAnswer checks the answer to a submission against the job's dependencies.
// allAccepted reports whether all of them had been accepted when the submission was sent.
func (c *checker) checkSubmissionAnswer(job *userJob, status int, allAccepted bool) {
	dependencies := job.spec.Dependencies
	switch {
	case allAccepted && status == http.StatusUnprocessableEntity && len(dependencies) > 0 && !c.dependsOnService(job):
		c.recordViolation(ruleDependencyRejected, "%s is answered with status %d although all of its dependencies were accepted", job.spec.ID, status)
	case status == http.StatusCreated && slices.ContainsFunc(dependencies, c.neverSubmitted):
		c.recordViolation(ruleUnknownJob, "%s is accepted although it depends on a job that nobody submitted", job.spec.ID)
	}
}

func (c *checker) neverSubmitted(id string) bool { return c.sim.users.jobs[id] == nil }

// dependsOnService reports whether a job names a service as a dependency, which is invalid.
func (c *checker) dependsOnService(job *userJob) bool {
	return slices.ContainsFunc(job.spec.Dependencies, func(id string) bool {
		dependency := c.sim.users.jobs[id]
		return dependency != nil && dependency.spec.Kind == protocol.KindService
	})
}
