package scenario

import (
	"maps"
	"slices"
	"time"

	"rockrun/internal/protocol"
)

// machinesOf lists the machines that tasks of a job are on.
func (c *checker) machinesOf(id string) []*agent {
	var tasks []string
	for task := range c.on {
		if job, _, err := protocol.ParseTaskName(task); err == nil && job == id {
			tasks = append(tasks, task)
		}
	}
	slices.Sort(tasks)
	var out []*agent
	for _, task := range tasks {
		out = append(out, c.on[task]...)
	}
	return out
}

// waitsAtMost is how long a job may wait once all faults are over while a
// machine that fits has room and its team is under its limit.
const waitsAtMost = 90 * time.Second

// idle looks for jobs that wait for nothing.
func (c *checker) idle() {
	s := c.s
	for _, id := range slices.Sorted(maps.Keys(s.users.jobs)) {
		j := s.users.jobs[id]
		if !j.accepted || j.asked || j.final != "" || len(c.machinesOf(id)) > 0 || !c.needsDone(j) || !c.room(j) {
			j.idleSince = 0
			continue
		}
		if j.idleSince == 0 {
			j.idleSince = max(s.now, 1)
		}
		if s.now-j.idleSince > waitsAtMost {
			c.breach("left_waiting", "%s waits since %s while there is room", id, j.idleSince)
			j.idleSince = 0
		}
	}
}

// room reports whether a task of a job, of which none runs, could start somewhere.
func (c *checker) room(j *userJob) bool {
	s := c.s
	used := 0.0
	fits := false
	for _, w := range s.agents {
		cpus, mem := w.t.CPUs, w.t.MemoryGB
		for _, o := range w.tasks {
			if o.State != protocol.TaskEnded && o.spec != nil {
				cpus -= o.spec.CPUs
				mem -= o.spec.MemoryGB
				if o.spec.Team == j.spec.Team {
					used += o.spec.CPUs
				}
			}
		}
		p := &j.spec
		if p.CPUs <= cpus+1e-6 && p.MemoryGB <= mem+1e-6 && (p.Spot || !w.r.Spot) && (p.Zone == "" || p.Zone == w.r.Zone) &&
			(len(p.Types) == 0 || slices.Contains(p.Types, w.r.Type)) && !w.cut && !w.deaf && !w.mute && !w.faulty && w.warn == 0 && !w.hangs() {
			fits = true
		}
	}
	for _, t := range s.cluster.Teams {
		if t.Name == j.spec.Team && t.MaxCPUs > 0 && used+j.spec.CPUs > t.MaxCPUs+1e-6 {
			return false
		}
	}
	return fits && !j.broken
}
