package scenario

import (
	"maps"
	"slices"
	"time"

	"rockrun/internal/protocol"
)

// machinesOf lists the machines that tasks of a job are on.
func (c *checker) machinesOf(id string) []*fakeAgent {
	var tasks []string
	for task := range c.runningOn {
		if job, _, err := protocol.ParseTaskName(task); err == nil && job == id {
			tasks = append(tasks, task)
		}
	}
	slices.Sort(tasks)
	var out []*fakeAgent
	for _, task := range tasks {
		out = append(out, c.runningOn[task]...)
	}
	return out
}

// waitsAtMost is how long a job may wait once all faults are over while a
// machine that fits has room and its team is under its limit.
const maxWaiting = 90 * time.Second

// idle looks for jobs that wait for nothing.
func (c *checker) checkWaiting() {
	sim := c.sim
	for _, id := range slices.Sorted(maps.Keys(sim.users.jobs)) {
		j := sim.users.jobs[id]
		if !j.accepted || j.cancelRequested || j.outcome != "" || len(c.machinesOf(id)) > 0 || !c.dependenciesComplete(j) || !c.hasRoom(j) {
			j.waitingSince = 0
			continue
		}
		if j.waitingSince == 0 {
			j.waitingSince = max(sim.now, 1)
		}
		if sim.now-j.waitingSince > maxWaiting {
			c.violate("left_waiting", "%s waits since %s while there is room", id, j.waitingSince)
			j.waitingSince = 0
		}
	}
}

// room reports whether a task of a job, of which none runs, could start somewhere.
func (c *checker) hasRoom(j *userJob) bool {
	sim := c.sim
	used := 0.0
	fits := false
	for _, agent := range sim.agents {
		cpus, mem := agent.machineType.CPUs, agent.machineType.MemoryGB
		for _, o := range agent.tasks {
			if o.State != protocol.TaskEnded && o.spec != nil {
				cpus -= o.spec.CPUs
				mem -= o.spec.MemoryGB
				if o.spec.Team == j.spec.Team {
					used += o.spec.CPUs
				}
			}
		}
		p := &j.spec
		if p.CPUs <= cpus+1e-6 && p.MemoryGB <= mem+1e-6 && (p.Spot || !agent.machine.Spot) && (p.Zone == "" || p.Zone == agent.machine.Zone) &&
			(len(p.Types) == 0 || slices.Contains(p.Types, agent.machine.Type)) && !agent.partitioned && !agent.inboundPartition && !agent.outboundPartition && !agent.faulty && agent.terminatedAt == 0 && !agent.isPaused() {
			fits = true
		}
	}
	for _, t := range sim.cluster.Teams {
		if t.Name == j.spec.Team && t.MaxCPUs > 0 && used+j.spec.CPUs > t.MaxCPUs+1e-6 {
			return false
		}
	}
	return fits && !j.failsEverywhere
}
