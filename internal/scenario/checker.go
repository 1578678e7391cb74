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
	sim                     *simulation
	runningOn               map[string][]*fakeAgent // by task
	completedTasks          map[string]bool
	starts                  int
	startsAfterCancellation int           // after a confirmed one, within the time for cancelling or not
	livenessFrom            time.Duration // when all faults were over; 0: not yet
	violations              []string
}

func newChecker(sim *simulation) *checker {
	return &checker{sim: sim, runningOn: map[string][]*fakeAgent{}, completedTasks: map[string]bool{}}
}

// violate notes that a rule is broken.
func (c *checker) violate(broken rule, format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%s at %s: %s", broken, c.sim.now, fmt.Sprintf(format, args...)))
}

// jobOf is the job of a task, as its user knows it.
func (c *checker) jobOf(task *agentTask) *userJob { return c.sim.users.jobs[task.spec.ID] }

// taskStarted is called when a task has its image and starts.
func (c *checker) taskStarted(agent *fakeAgent, task *agentTask) {
	c.starts++
	job := c.jobOf(task)
	if job.startedAt == 0 {
		job.startedAt = c.sim.now
	}
	if others := c.runningOn[task.Task]; len(others) > 0 {
		c.violate(ruleRanTwice, "%s starts on %s while on %s", task.Task, agent.machine.Name, others[0].machine.Name)
	}
	c.checkPlacement(agent, task)
	c.checkDependencies(task.Task, job)
	c.runningOn[task.Task] = append(c.runningOn[task.Task], agent)
	c.checkNotCancelled(task, job)
	c.checkQuota(task)
}

// taskAccepted is called when a machine takes an attempt, which may wait for its image. No
// other machine may have one at the same task that has not ended: only then can no order of
// fetches and ends let the task run twice.
func (c *checker) taskAccepted(agent *fakeAgent, task *agentTask) {
	for _, other := range c.sim.agents {
		if other != agent && other.hasUnfinishedAttempt(task.Task) {
			c.violate(ruleTwoAttempts, "%s is taken by %s while %s has it", task.Task, agent.machine.Name, other.machine.Name)
		}
	}
}

// checkNotCancelled checks that a task that starts is of no job that was cancelled for
// longer than a cancellation may take.
func (c *checker) checkNotCancelled(task *agentTask, job *userJob) {
	if job.cancelledAt == 0 {
		return
	}
	c.startsAfterCancellation++
	if c.sim.now > job.cancelledAt+c.sim.cluster.Agents.CancelTimeout() {
		c.violate(ruleRanCancelled, "%s starts %s after its cancellation", task.Task, c.sim.now-job.cancelledAt)
	}
}

// checkQuota checks that what runs of a task's team stays within its maximum.
func (c *checker) checkQuota(task *agentTask) {
	team := task.spec.Team
	i := slices.IndexFunc(c.sim.cluster.Teams, func(t config.Team) bool { return t.Name == team })
	most := c.sim.cluster.Teams[i].MaxCPUs
	if most <= 0 {
		return // no maximum
	}
	cpus := 0.0
	for _, agent := range c.sim.agents {
		for _, other := range agent.tasks {
			if (other == task || other.active()) && other.spec != nil && other.spec.Team == team {
				cpus += other.spec.CPUs
			}
		}
	}
	if cpus > most+capacityTolerance {
		c.violate(ruleQuota, "team %s uses %v of %v CPUs", team, cpus, most)
	}
}

// checkPlacement checks that a task starts where its job allows.
func (c *checker) checkPlacement(agent *fakeAgent, task *agentTask) {
	spec := task.spec
	if !allowedOn(spec, agent.machine) {
		c.violate(ruleWrongPlace, "%s on %s", task.Task, agent.machine.Name)
	}
	if !spec.OneZone && !spec.Spread {
		return // any zone will do
	}
	here, elsewhere := c.tasksByZone(task, agent.machine.Zone)
	here++
	if spec.OneZone && elsewhere > 0 {
		c.violate(ruleWrongPlace, "%s in zone %s, others elsewhere", task.Task, agent.machine.Zone)
	}
	if spec.Spread && here > (spec.Tasks+1)/2 {
		c.violate(ruleWrongPlace, "%d of %d tasks of %s in zone %s", here, spec.Tasks, spec.ID, agent.machine.Zone)
	}
}

// allowedOn reports whether a job's tasks may be on a machine, for its type, its zone and
// whether it is a spot machine.
func allowedOn(spec *protocol.JobSpec, machine *fakeMachine) bool {
	switch {
	case machine.Spot && !spec.Spot:
		return false
	case spec.Zone != "" && spec.Zone != machine.Zone:
		return false
	default:
		return len(spec.Types) == 0 || slices.Contains(spec.Types, machine.Type)
	}
}

// tasksByZone counts the other tasks of a task's job that are on machines, those in a zone
// and those in others.
func (c *checker) tasksByZone(task *agentTask, zone string) (here, elsewhere int) {
	for name, agents := range c.runningOn {
		if !isTaskOf(name, task.spec.ID) || name == task.Task {
			continue
		}
		for _, agent := range agents {
			if agent.machine.Zone == zone {
				here++
			} else {
				elsewhere++
			}
		}
	}
	return here, elsewhere
}

// isTaskOf reports whether a name is that of a task of a job.
func isTaskOf(task, job string) bool {
	id, _, err := protocol.ParseTaskName(task)
	return err == nil && id == job
}

// taskLeft is called when a task is no longer on its machine.
func (c *checker) taskLeft(agent *fakeAgent, task *agentTask) {
	c.runningOn[task.Task] = slices.DeleteFunc(c.runningOn[task.Task], func(other *fakeAgent) bool { return other == agent })
	if len(c.runningOn[task.Task]) == 0 {
		delete(c.runningOn, task.Task)
	}
}

// machinesOf lists the machines that tasks of a job are on.
func (c *checker) machinesOf(job string) []*fakeAgent {
	var tasks []string
	for task := range c.runningOn {
		if isTaskOf(task, job) {
			tasks = append(tasks, task)
		}
	}
	slices.Sort(tasks)
	var agents []*fakeAgent
	for _, task := range tasks {
		agents = append(agents, c.runningOn[task]...)
	}
	return agents
}

// complete reports whether all tasks of a job have completed.
func (c *checker) complete(job *userJob) bool {
	for task := range job.spec.Tasks {
		if !c.completedTasks[protocol.TaskName(job.spec.ID, task)] {
			return false
		}
	}
	return true
}

// maxUnpolled is for how long polls of a job may be unanswered at the end.
const maxUnpolled = 90 * time.Second

// end checks what only the end of the scenario shows.
func (c *checker) end() {
	if c.starts == 0 {
		c.violate(ruleNothingRan, "no task was started")
	}
	if id := c.cancelledWithoutCause(); id != "" {
		c.violate(ruleWentBack, "%s is called cancelled and nothing before it is", id)
	}
	for _, job := range c.sim.users.jobs {
		if job.accepted && job.unansweredSince > 0 && c.sim.now-job.unansweredSince > maxUnpolled {
			c.violate(ruleForgotten, "no poll for %s was answered since %s", job.spec.ID, job.unansweredSince)
		}
	}
}

// jobDenied is called with an answer that denies a job, which must not be an accepted one.
func (c *checker) jobDenied(job *userJob, id string, status int) {
	if job != nil && job.accepted {
		c.violate(ruleForgotten, "%s is answered %d", id, status)
	}
}

// invalidAnswered is called with the answer to a submission that can't run, or that is
// malformed.
func (c *checker) invalidAnswered(body string, status int) {
	if status == http.StatusOK || status == http.StatusCreated {
		c.violate(ruleAcceptedBad, "%.60q is answered %d", body, status)
	}
}
