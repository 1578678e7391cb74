package scenario

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"rockrun/internal/config"
	"rockrun/internal/protocol"
)

// checker watches the rules of the protocol. It sees what really runs, not what
// the controllers believe.
type checker struct {
	sim        *simulation
	runningOn       map[string][]*fakeAgent // where a task is on its machine
	completedTasks map[string]bool     // tasks that have completed
	starts   int
	startsAfterCancellation int // starts after a confirmed withdrawal, within the time for cancelling or not
	violations   []string
}

func newChecker(sim *simulation) *checker {
	return &checker{sim: sim, runningOn: map[string][]*fakeAgent{}, completedTasks: map[string]bool{}}
}

func (c *checker) violate(rule, format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%s at %s: %s", rule, c.sim.now, fmt.Sprintf(format, args...)))
}

// began is called when a task has its image and starts.
func (c *checker) taskStarted(agent *fakeAgent, t *agentTask) {
	c.starts++
	if j := c.sim.users.jobs[t.spec.ID]; j.startedAt == 0 {
		j.startedAt = c.sim.now
	}
	if others := c.runningOn[t.Task]; len(others) > 0 {
		c.violate("ran_twice", "%s starts on %s while on %s", t.Task, agent.machine.Name, others[0].machine.Name)
	}
	c.checkPlacement(agent, t)
	c.checkDependencies(t.Task, c.sim.users.jobs[t.spec.ID])
	c.runningOn[t.Task] = append(c.runningOn[t.Task], agent)
	if c.sim.users.jobs[t.spec.ID].cancelledAt > 0 {
		c.startsAfterCancellation++
	}
	if j := c.sim.users.jobs[t.spec.ID]; j.cancelledAt > 0 && c.sim.now > j.cancelledAt+c.sim.cluster.Agents.CancelTimeout() {
		c.violate("ran_cancelled", "%s starts %s after its withdrawal", t.Task, c.sim.now-j.cancelledAt)
	}
	c.checkQuota(t)
}

// quota checks that what runs of a team stays within its limit.
func (c *checker) checkQuota(t *agentTask) {
	i := slices.IndexFunc(c.sim.cluster.Teams, func(x config.Team) bool { return x.Name == t.spec.Team })
	most := c.sim.cluster.Teams[i].MaxCPUs
	if most <= 0 {
		return // no limit
	}
	cpus := 0.0
	for _, x := range c.sim.agents {
		for _, o := range x.tasks {
			if (o == t || o.State == protocol.TaskRunning || o.State == protocol.TaskSaving) && o.spec != nil && o.spec.Team == t.spec.Team {
				cpus += o.spec.CPUs
			}
		}
	}
	if cpus > most+1e-6 {
		c.violate("quota", "team %s uses %v of %v CPUs", t.spec.Team, cpus, most)
	}
}

// place checks that a task starts where its job allows.
func (c *checker) checkPlacement(agent *fakeAgent, t *agentTask) {
	spec := t.spec
	if agent.machine.Spot && !spec.Spot || spec.Zone != "" && spec.Zone != agent.machine.Zone || len(spec.Types) > 0 && !slices.Contains(spec.Types, agent.machine.Type) {
		c.violate("wrong_place", "%s on %s", t.Task, agent.machine.Name)
	}
	if !spec.OneZone && !spec.Spread {
		return // any zone will do
	}
	here, elsewhere := 1, 0
	for task, workers := range c.runningOn {
		id, _, err := protocol.ParseTaskName(task)
		if err != nil || id != spec.ID || task == t.Task {
			continue
		}
		for _, x := range workers {
			if x.machine.Zone == agent.machine.Zone {
				here++
			} else {
				elsewhere++
			}
		}
	}
	if spec.OneZone && elsewhere > 0 {
		c.violate("wrong_place", "%s in zone %s, others elsewhere", t.Task, agent.machine.Zone)
	}
	if spec.Spread && here > (spec.Tasks+1)/2 {
		c.violate("wrong_place", "%d of %d tasks of %s in zone %s", here, spec.Tasks, spec.ID, agent.machine.Zone)
	}
}

// left is called when a task is no longer on its machine.
func (c *checker) taskLeft(w *fakeAgent, t *agentTask) {
	c.runningOn[t.Task] = slices.DeleteFunc(c.runningOn[t.Task], func(x *fakeAgent) bool { return x == w })
	if len(c.runningOn[t.Task]) == 0 {
		delete(c.runningOn, t.Task)
	}
}

// told is called with every answer of the service about a job; final is the
// final state that the user had been told when it asked, if any.
func (c *checker) jobAnswered(id string, j *userJob, final, stage string) {
	if j == nil {
		c.violate("invented", "%s is %s", id, stage)
		return
	}
	if final != "" && stage != final {
		c.violate("went_back", "%s was %s and is %s", id, final, stage)
	}
	switch stage {
	case protocol.StageDone:
		if !c.complete(j) {
			c.violate("not_done", "%s is called done, not all of its tasks are", id)
		}
	case protocol.StageCancelled:
		if !j.cancelRequested && !c.mayBeCancelled(j) {
			c.violate("went_back", "%s is called withdrawn and nobody asked for it", id)
		}
		if j.cancelledAt == 0 {
			j.cancelledAt = c.sim.now
			c.sim.noteFault("cancel-confirmed", 0)
			c.sim.after(c.sim.cluster.Agents.CancelTimeout(), func() { c.checkCancelled(id) })
		}
	default:
		c.checkOrphaned(j, stage)
		return
	}
	if j.outcome != "" && j.outcome != stage {
		c.violate("went_back", "%s was %s and is %s", id, j.outcome, stage)
	}
	j.outcome = stage
}

// complete reports whether all tasks of a job have completed.
func (c *checker) complete(j *userJob) bool {
	for task := range j.spec.Tasks {
		if !c.completedTasks[protocol.TaskName(j.spec.ID, task)] {
			return false
		}
	}
	return true
}

// gone checks that a withdrawn job has left every machine.
func (c *checker) checkCancelled(id string) {
	for task, workers := range c.runningOn {
		if job, _, err := protocol.ParseTaskName(task); err == nil && job == id && len(workers) > 0 {
			c.violate("ran_cancelled", "%s is still on %s", task, workers[0].machine.Name)
		}
	}
}

// refused is called with an answer that denies an accepted job.
func (c *checker) jobDenied(id string, j *userJob, status int) {
	if j != nil && j.accepted {
		c.violate("forgotten", "%s is answered %d", id, status)
	}
}

// answeredBad is called with the answer to a submission that can't run, or that is
// malformed.
func (c *checker) invalidAnswered(body string, status int) {
	if status == http.StatusOK || status == http.StatusCreated {
		c.violate("accepted_bad", "%.60q is answered %d", body, status)
	}
}

// answerWithin is how long after the last fault a job may go unanswered.
const maxUnanswered = 75 * time.Second

// calm is called once all faults are over: from then on no accepted job may go
// unanswered for long, however others fare.
func (c *checker) checkLiveness() {
	c.sim.livenessFrom = max(c.sim.now, 1)
	var look func()
	look = func() {
		for _, j := range c.sim.users.jobs {
			if since := max(c.sim.livenessFrom, j.answeredAt, j.acceptedAt); j.accepted && j.outcome == "" && c.sim.now-since > maxUnanswered {
				c.violate("forgotten", "no question about %s was answered since %s", j.spec.ID, since)
			}
		}
		c.checkWaiting()
		c.sim.after(5*time.Second, look)
	}
	look()
}

// unserved names an accepted job that neither is over nor runs as it should.
func (c *checker) unservedJob() string {
	running := map[string]int{}
	for task, workers := range c.runningOn {
		if id, _, err := protocol.ParseTaskName(task); err == nil && len(workers) > 0 {
			running[id]++
		}
	}
	for id, j := range c.sim.users.jobs {
		if _, cancelled := c.dependencyCancelledAt(j); !j.accepted || j.cancelRequested || j.outcome != "" || cancelled {
			continue
		}
		if j.spec.Kind != protocol.KindService || running[id] < j.spec.Tasks {
			return id
		}
	}
	return ""
}

// end checks what only the end of the day shows.
func (c *checker) end() {
	if c.starts == 0 {
		c.violate("nothing_ran", "no task was started")
	}
	if id := c.cancelledWithoutCause(); id != "" {
		c.violate("went_back", "%s is called withdrawn and nothing before it is", id)
	}
	for _, j := range c.sim.users.jobs {
		if j.accepted && j.unansweredSince > 0 && c.sim.now-j.unansweredSince > 90*time.Second {
			c.violate("forgotten", "no poll for %s was answered since %s", j.spec.ID, j.unansweredSince)
		}
	}
}
