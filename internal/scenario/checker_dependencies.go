package scenario

import (
	"net/http"
	"slices"
	"time"

	"rockrun/internal/protocol"
)

// Rules on jobs that depend on others.

// dependenciesComplete reports whether all jobs that a job depends on are done: as it is,
// not as anybody was told.
func (c *checker) dependenciesComplete(job *userJob) bool {
	return !slices.ContainsFunc(job.spec.Dependencies, c.incomplete)
}

// incomplete reports whether a job that another one names is not done.
func (c *checker) incomplete(id string) bool {
	job := c.sim.users.jobs[id]
	return job == nil || !c.complete(job)
}

// checkDependencies is called when a task of a job starts.
func (c *checker) checkDependencies(task string, job *userJob) {
	for _, id := range job.spec.Dependencies {
		if c.incomplete(id) {
			c.violate(ruleTooEarly, "%s starts before %s is done", task, id)
		}
	}
}

// dependenciesOf lists the jobs that a job depends on, directly or through others.
func (c *checker) dependenciesOf(job *userJob) []*userJob {
	var found []*userJob
	for open := []*userJob{job}; len(open) > 0; {
		last := open[len(open)-1]
		open = open[:len(open)-1]
		for _, id := range last.spec.Dependencies {
			if dependency := c.sim.users.jobs[id]; dependency != nil && !slices.Contains(found, dependency) {
				found = append(found, dependency)
				open = append(open, dependency)
			}
		}
	}
	return found
}

// dependencyCancelledAt returns since when the users have known that a dependency of a job
// is cancelled, or false.
func (c *checker) dependencyCancelledAt(job *userJob) (since time.Duration, found bool) {
	for _, dependency := range c.dependenciesOf(job) {
		if dependency.outcome == protocol.StageCancelled && (!found || dependency.cancelledAt < since) {
			since, found = dependency.cancelledAt, true
		}
	}
	return since, found
}

// mayBeCancelled reports whether a job may be called cancelled that its own user
// didn't cancel: a dependency was asked to be, and isn't known to be done instead.
func (c *checker) mayBeCancelled(job *userJob) bool {
	return slices.ContainsFunc(c.dependenciesOf(job), func(dependency *userJob) bool {
		return dependency.cancelRequested && dependency.outcome != protocol.StageDone
	})
}

// checkOrphaned is called when a job is called queued or running.
func (c *checker) checkOrphaned(job *userJob, stage string) {
	since, found := c.dependencyCancelledAt(job)
	since = max(since, job.acceptedAt)
	if found && c.sim.now > since+c.sim.cluster.Agents.CancelTimeout() {
		c.violate(ruleOrphaned, "%s is called %s, one before it has been cancelled since %s", job.spec.ID, stage, since)
	}
}

// checkDependencyAnswer is called with the answer to a submission; whether all jobs that it
// names had been accepted is what was so when it was sent.
func (c *checker) checkDependencyAnswer(job *userJob, status int, allAccepted bool) {
	dependencies := job.spec.Dependencies
	switch {
	case allAccepted && status == http.StatusUnprocessableEntity && len(dependencies) > 0 && !c.dependsOnService(job):
		c.violate(ruleRefusedNeeds, "%s is answered %d, all that it needs was accepted", job.spec.ID, status)
	case status == http.StatusCreated && slices.ContainsFunc(dependencies, c.neverSubmitted):
		c.violate(ruleInvented, "%s is accepted, and needs one that nobody has submitted", job.spec.ID)
	}
}

func (c *checker) neverSubmitted(id string) bool { return c.sim.users.jobs[id] == nil }

// dependsOnService reports whether a job names a service, as no user should.
func (c *checker) dependsOnService(job *userJob) bool {
	return slices.ContainsFunc(job.spec.Dependencies, func(id string) bool {
		dependency := c.sim.users.jobs[id]
		return dependency != nil && dependency.spec.Kind == protocol.KindService
	})
}
