package scenario

import (
	"maps"
	"slices"
	"time"

	"rockrun/internal/protocol"
)

// Liveness rules, which apply once all faults are over.

const (
	// maxUnansweredAfterFaults is how long polls of a job may be unanswered once all faults are
	// over.
	maxUnansweredAfterFaults = 75 * time.Second
	// maxRunnableWait is how long a runnable job may have no running task while a suitable
	// machine has capacity and the job's team is below its maximum.
	maxRunnableWait = 90 * time.Second
	// livenessCheckInterval is the time between two liveness checks.
	livenessCheckInterval = 5 * time.Second
)

// checkLiveness starts the periodic liveness checks. It is called once all faults are over. From
// then on no accepted job may go unanswered for long, and no runnable job may starve.
func (c *checker) checkLiveness() {
	c.livenessStart = max(c.sim.now, 1)
	var check func()
	check = func() {
		c.checkAnswered()
		c.checkStarvation()
		c.sim.after(livenessCheckInterval, check)
	}
	check()
}

// checkAnswered checks every accepted job without a known outcome for polls that stay unanswered
// for too long.
func (c *checker) checkAnswered() {
	for _, job := range c.sim.users.jobs {
		since := max(c.livenessStart, job.answeredAt, job.acceptedAt)
		if job.accepted && job.outcome == "" && c.sim.now-since > maxUnansweredAfterFaults {
			c.recordViolation(ruleJobForgotten, "no poll of %s has been answered since %s", job.spec.ID, since)
		}
	}
}

// checkStarvation checks for jobs that have been starved for longer than maxRunnableWait.
func (c *checker) checkStarvation() {
	now := c.sim.now
	for _, id := range slices.Sorted(maps.Keys(c.sim.users.jobs)) {
		job := c.sim.users.jobs[id]
		if !c.isStarved(job) {
			job.starvedSince = 0
			continue
		}
		if job.starvedSince == 0 {
			job.starvedSince = max(now, 1)
		}
		if now-job.starvedSince > maxRunnableWait {
			c.recordViolation(ruleStarved, "%s has been waiting since %s while a machine has capacity for it", id, job.starvedSince)
			job.starvedSince = 0
		}
	}
}

// isStarved reports whether a job could run now but none of its tasks does.
func (c *checker) isStarved(job *userJob) bool {
	if !job.accepted || job.cancelRequested || job.outcome != "" || job.failsEverywhere {
		return false
	}
	return len(c.agentsOf(job.spec.ID)) == 0 && c.dependenciesComplete(job) && c.withinMaximum(job) && c.hasCapacityFor(job)
}

// withinMaximum reports whether one more task of a job would stay within its team's maximum.
func (c *checker) withinMaximum(job *userJob) bool {
	used := 0.0
	for _, agent := range c.sim.agents {
		for _, task := range agent.tasks {
			if task.holdsResources() && task.spec.Team == job.spec.Team {
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

// hasCapacityFor reports whether a healthy machine that the job allows has capacity for one of its
// tasks.
func (c *checker) hasCapacityFor(job *userJob) bool {
	for _, agent := range c.sim.agents {
		if agent.fits(&job.spec) && allowedOn(&job.spec, agent.machine) && agent.isHealthy() {
			return true
		}
	}
	return false
}

// holdsResources reports whether a task occupies CPUs and memory of its machine.
func (t *agentTask) holdsResources() bool { return t.State != protocol.TaskEnded && t.spec != nil }

// fits reports whether the machine has free capacity for one more task of a job.
func (a *fakeAgent) fits(spec *protocol.JobSpec) bool {
	cpus, memory := a.machineType.CPUs, a.machineType.MemoryGB
	for _, task := range a.tasks {
		if task.holdsResources() {
			cpus -= task.spec.CPUs
			memory -= task.spec.MemoryGB
		}
	}
	return spec.CPUs <= cpus+capacityTolerance && spec.MemoryGB <= memory+capacityTolerance
}

// isHealthy reports whether a machine is not partitioned, paused or failing its tasks, and is not
// about to be reclaimed.
func (a *fakeAgent) isHealthy() bool {
	partitioned := a.partitioned || a.inboundPartition || a.outboundPartition
	return !partitioned && !a.faulty && a.terminatedAt == 0 && !a.isPaused()
}

// findUnservedJob returns the ID of an accepted, uncancelled job that has no outcome and is not a
// service with all of its replicas running, or "" if there is none.
func (c *checker) findUnservedJob() string {
	running := map[string]int{} // number of running tasks by job
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
