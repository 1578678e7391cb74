package scenario

import (
	"net/http"
	"slices"
	"time"

	"rockrun/internal/protocol"
)

// Rules on jobs that wait for others.

// needsDone reports whether all jobs that a job needs are done: as it is, not as
// anybody was told.
func (c *checker) dependenciesComplete(j *userJob) bool {
	return !slices.ContainsFunc(j.spec.Dependencies, c.incomplete)
}

// incomplete reports whether a job that another one names is not done.
func (c *checker) incomplete(id string) bool {
	need := c.sim.users.jobs[id]
	return need == nil || !c.complete(need)
}

// tooEarly is called when a task of a job starts.
func (c *checker) checkDependencies(task string, j *userJob) {
	for _, id := range j.spec.Dependencies {
		if c.incomplete(id) {
			c.violate("too_early", "%s starts before %s is done", task, id)
		}
	}
}

// before lists the jobs that a job needs, directly or through others.
func (c *checker) dependenciesOf(j *userJob) []*userJob {
	var list []*userJob
	for next := []*userJob{j}; len(next) > 0; {
		last := next[len(next)-1]
		next = next[:len(next)-1]
		for _, id := range last.spec.Dependencies {
			if need := c.sim.users.jobs[id]; need != nil && !slices.Contains(list, need) {
				list = append(list, need)
				next = append(next, need)
			}
		}
	}
	return list
}

// cancelledBefore returns since when the user of a job has known that one before it is
// cancelled, or false.
func (c *checker) dependencyCancelledAt(j *userJob) (time.Duration, bool) {
	since, found := time.Duration(0), false
	for _, need := range c.dependenciesOf(j) {
		if need.outcome == protocol.StageCancelled && (!found || need.cancelledAt < since) {
			since, found = need.cancelledAt, true
		}
	}
	return since, found
}

// mayBeCancelled reports whether a job may be called cancelled that its own user
// didn't cancel: one before it was asked to be, and isn't known to be done instead.
func (c *checker) mayBeCancelled(j *userJob) bool {
	return slices.ContainsFunc(c.dependenciesOf(j), func(need *userJob) bool { return need.cancelRequested && need.outcome != protocol.StageDone })
}

// orphaned is called when a job is called queued or running.
func (c *checker) checkOrphaned(j *userJob, stage string) {
	since, found := c.dependencyCancelledAt(j)
	since = max(since, j.acceptedAt)
	if found && c.sim.now > since+c.sim.cluster.Agents.CancelTimeout() {
		c.violate("orphaned", "%s is called %s, one before it has been cancelled since %s", j.spec.ID, stage, since)
	}
}

// acceptedNeeds is called with the answer to a submission; whether all jobs that it
// names had been accepted is what was so when it was sent.
func (c *checker) checkDependencyAnswer(j *userJob, status int, allAccepted bool) {
	switch {
	case allAccepted && status == http.StatusUnprocessableEntity && len(j.spec.Dependencies) > 0 && !c.dependsOnService(j):
		c.violate("refused_needs", "%s is answered %d, all that it needs was accepted", j.spec.ID, status)
	case status == http.StatusCreated && slices.ContainsFunc(j.spec.Dependencies, func(id string) bool { return c.sim.users.jobs[id] == nil }):
		c.violate("invented", "%s is accepted, and needs one that nobody has submitted", j.spec.ID)
	}
}

// needsService reports whether a job names a service, as no user should.
func (c *checker) dependsOnService(j *userJob) bool {
	return slices.ContainsFunc(j.spec.Dependencies, func(id string) bool {
		need := c.sim.users.jobs[id]
		return need != nil && need.spec.Kind == protocol.KindService
	})
}

// causeless names a job that is called cancelled though neither its user cancelled it
// nor any job before it is cancelled.
func (c *checker) cancelledWithoutCause() string {
	for id, j := range c.sim.users.jobs {
		if j.outcome != protocol.StageCancelled || j.cancelRequested {
			continue
		}
		if _, found := c.dependencyCancelledAt(j); !found {
			return id
		}
	}
	return ""
}
