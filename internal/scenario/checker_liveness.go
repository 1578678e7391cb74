package scenario

import (
	"maps"
	"slices"
	"time"

	"rockrun/internal/protocol"
)

// Rules on what must happen once all faults are over.

const (
	// maxUnanswered is how long after the last fault a job may go unanswered.
	maxUnanswered = 75 * time.Second
	// maxWaiting is how long a job may wait once all faults are over while a machine that
	// fits has room and its team is under its maximum.
	maxWaiting = 90 * time.Second
	// livenessPeriod is how often that is checked.
	livenessPeriod = 5 * time.Second
)

// checkLiveness is called once all faults are over: from then on no accepted job may go
// unanswered for long, or wait for nothing.
func (c *checker) checkLiveness() {
	c.livenessFrom = max(c.sim.now, 1)
	var look func()
	look = func() {
		c.checkAnswered()
		c.checkWaiting()
		c.sim.after(livenessPeriod, look)
	}
	look()
}

// checkAnswered looks for jobs that go unanswered, however others fare.
func (c *checker) checkAnswered() {
	for _, job := range c.sim.users.jobs {
		since := max(c.livenessFrom, job.answeredAt, job.acceptedAt)
		if job.accepted && job.outcome == "" && c.sim.now-since > maxUnanswered {
			c.violate(ruleForgotten, "no question about %s was answered since %s", job.spec.ID, since)
		}
	}
}

// checkWaiting looks for jobs that wait for nothing.
func (c *checker) checkWaiting() {
	now := c.sim.now
	for _, id := range slices.Sorted(maps.Keys(c.sim.users.jobs)) {
		job := c.sim.users.jobs[id]
		if !c.waitsForNothing(job) {
			job.waitingSince = 0
			continue
		}
		if job.waitingSince == 0 {
			job.waitingSince = max(now, 1)
		}
		if now-job.waitingSince > maxWaiting {
			c.violate(ruleLeftWaiting, "%s waits since %s while there is room", id, job.waitingSince)
			job.waitingSince = 0
		}
	}
}

// waitsForNothing reports whether a job could run and no task of it does.
func (c *checker) waitsForNothing(job *userJob) bool {
	if !job.accepted || job.cancelRequested || job.outcome != "" || job.failsEverywhere {
		return false
	}
	return len(c.machinesOf(job.spec.ID)) == 0 && c.dependenciesComplete(job) && c.withinMaximum(job) && c.hasRoom(job)
}

// withinMaximum reports whether one more task of a job is within its team's maximum.
func (c *checker) withinMaximum(job *userJob) bool {
	used := 0.0
	for _, agent := range c.sim.agents {
		for _, task := range agent.tasks {
			if task.occupies() && task.spec.Team == job.spec.Team {
				used += task.spec.CPUs
			}
		}
	}
	for _, team := range c.sim.cluster.Teams {
		if team.Name == job.spec.Team && team.MaxCPUs > 0 && used+job.spec.CPUs > team.MaxCPUs+capacityTolerance {
			return false
		}
	}
	return true
}

// hasRoom reports whether a task of a job fits on a machine that works.
func (c *checker) hasRoom(job *userJob) bool {
	for _, agent := range c.sim.agents {
		if agent.fits(&job.spec) && allowedOn(&job.spec, agent.machine) && agent.works() {
			return true
		}
	}
	return false
}

// occupies reports whether a task takes room on its machine.
func (t *agentTask) occupies() bool { return t.State != protocol.TaskEnded && t.spec != nil }

// fits reports whether there is room for a task of a job beside what is on the machine.
func (a *fakeAgent) fits(spec *protocol.JobSpec) bool {
	cpus, memory := a.machineType.CPUs, a.machineType.MemoryGB
	for _, task := range a.tasks {
		if task.occupies() {
			cpus -= task.spec.CPUs
			memory -= task.spec.MemoryGB
		}
	}
	return spec.CPUs <= cpus+capacityTolerance && spec.MemoryGB <= memory+capacityTolerance
}

// works reports whether a machine suffers no fault and is not about to be reclaimed.
func (a *fakeAgent) works() bool {
	cutOff := a.partitioned || a.inboundPartition || a.outboundPartition
	return !cutOff && !a.faulty && a.terminatedAt == 0 && !a.isPaused()
}

// unservedJob names an accepted job that neither is over nor runs as it should.
func (c *checker) unservedJob() string {
	running := map[string]int{} // tasks by job
	for task, agents := range c.runningOn {
		if id, _, err := protocol.ParseTaskName(task); err == nil && len(agents) > 0 {
			running[id]++
		}
	}
	for id, job := range c.sim.users.jobs {
		if _, cancelled := c.dependencyCancelledAt(job); !job.accepted || job.cancelRequested || job.outcome != "" || cancelled {
			continue
		}
		if job.spec.Kind != protocol.KindService || running[id] < job.spec.Tasks {
			return id
		}
	}
	return ""
}
