package scenario

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"rockrun/internal/config"
	"rockrun/internal/protocol"
)

// checker verifies the rules of the protocol against the tasks that actually run on the
// fake machines, not against the controllers' records.
type checker struct {
	sim                     *simulation
	runningOn               map[string][]*fakeAgent // agents that run a task, by task name
	completedTasks          map[string]bool
	starts                  int
	startsAfterCancellation int           // starts after a confirmed cancellation, also after the cancel timeout
	livenessStart           time.Duration // when the liveness checks started, after all faults; 0: not yet
	violations              []string
}

func newChecker(sim *simulation) *checker {
	return &checker{sim: sim, runningOn: map[string][]*fakeAgent{}, completedTasks: map[string]bool{}}
}

// recordViolation records that a rule was violated, with the time and the details.
func (c *checker) recordViolation(violated rule, format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%s at %s: %s", violated, c.sim.now, fmt.Sprintf(format, args...)))
}

// jobOf returns the job of a task, with the state that its user knows.
func (c *checker) jobOf(task *agentTask) *userJob { return c.sim.users.jobs[task.spec.ID] }

// taskStarted is called when a machine has the task's image and starts the task.
func (c *checker) taskStarted(agent *fakeAgent, task *agentTask) {
	c.starts++
	job := c.jobOf(task)
	if job.startedAt == 0 {
		job.startedAt = c.sim.now
	}
	if others := c.runningOn[task.Task]; len(others) > 0 {
		c.recordViolation(ruleRanTwice, "%s starts on %s while it runs on %s", task.Task, agent.machine.Name, others[0].machine.Name)
	}
	c.checkPlacement(agent, task)
	c.checkDependencies(task.Task, job)
	c.runningOn[task.Task] = append(c.runningOn[task.Task], agent)
	c.checkNotCancelled(task, job)
	c.checkTeamMaximum(task)
}

// taskAccepted is called when a machine accepts an attempt, which may still have to fetch its
// image. No other machine may have an unfinished attempt of the same task: otherwise some order
// of image fetches and task ends could run the task twice.
func (c *checker) taskAccepted(agent *fakeAgent, task *agentTask) {
	for _, other := range c.sim.agents {
		if other != agent && other.hasUnfinishedAttempt(task.Task) {
			c.recordViolation(ruleTwoAttempts, "%s is accepted by %s while %s has an attempt that has not ended", task.Task, agent.machine.Name, other.machine.Name)
		}
	}
}

// checkNotCancelled checks that a starting task does not belong to a job whose cancellation was
// confirmed more than the cancel timeout ago.
func (c *checker) checkNotCancelled(task *agentTask, job *userJob) {
	if job.cancelledAt == 0 {
		return
	}
	c.startsAfterCancellation++
	if c.sim.now > job.cancelledAt+c.sim.cluster.Agents.CancelTimeout() {
		c.recordViolation(ruleRanCancelled, "%s starts %s after its cancellation was confirmed", task.Task, c.sim.now-job.cancelledAt)
	}
}

// checkTeamMaximum checks that the running tasks of a task's team stay within the team's maximum.
func (c *checker) checkTeamMaximum(task *agentTask) {
	team := task.spec.Team
	i := slices.IndexFunc(c.sim.cluster.Teams, func(t config.Team) bool { return t.Name == team })
	maximum := c.sim.cluster.Teams[i].MaxCPUs
	if maximum <= 0 {
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
	if cpus > maximum+capacityTolerance {
		c.recordViolation(ruleQuota, "team %s uses %v CPUs, its maximum is %v", team, cpus, maximum)
	}
}

// checkPlacement checks that a task starts on a machine and in a zone that its job allows.
func (c *checker) checkPlacement(agent *fakeAgent, task *agentTask) {
	spec := task.spec
	if !allowedOn(spec, agent.machine) {
		c.recordViolation(ruleWrongPlacement, "%s starts on %s, which its job does not allow", task.Task, agent.machine.Name)
	}
	if !spec.OneZone && !spec.Spread {
		return // no constraint on zones
	}
	inZone, elsewhere := c.tasksByZone(task, agent.machine.Zone)
	inZone++
	if spec.OneZone && elsewhere > 0 {
		c.recordViolation(ruleWrongPlacement, "%s starts in zone %s while other tasks of its job are in other zones", task.Task, agent.machine.Zone)
	}
	if spec.Spread && inZone > (spec.Tasks+1)/2 {
		c.recordViolation(ruleWrongPlacement, "%d of %d tasks of %s are in zone %s", inZone, spec.Tasks, spec.ID, agent.machine.Zone)
	}
}

// allowedOn reports whether a job's tasks may run on a machine, given the machine's type, zone
// and market (spot or on-demand).
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

// tasksByZone counts the other running tasks of a task's job, separately for the given zone and
// for all other zones.
func (c *checker) tasksByZone(task *agentTask, zone string) (inZone, elsewhere int) {
	for name, agents := range c.runningOn {
		if !isTaskOf(name, task.spec.ID) || name == task.Task {
			continue
		}
		for _, agent := range agents {
			if agent.machine.Zone == zone {
				inZone++
			} else {
				elsewhere++
			}
		}
	}
	return inZone, elsewhere
}

// isTaskOf reports whether a task name belongs to a job.
func isTaskOf(task, job string) bool {
	id, _, err := protocol.ParseTaskName(task)
	return err == nil && id == job
}

// taskRemoved is called when a task no longer runs on its machine.
func (c *checker) taskRemoved(agent *fakeAgent, task *agentTask) {
	c.runningOn[task.Task] = slices.DeleteFunc(c.runningOn[task.Task], func(other *fakeAgent) bool { return other == agent })
	if len(c.runningOn[task.Task]) == 0 {
		delete(c.runningOn, task.Task)
	}
}

// agentsOf lists the agents that run tasks of a job, in the order of the task names.
func (c *checker) agentsOf(job string) []*fakeAgent {
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

// isComplete reports whether all tasks of a job have actually completed.
func (c *checker) isComplete(job *userJob) bool {
	for task := range job.spec.Tasks {
		if !c.completedTasks[protocol.TaskName(job.spec.ID, task)] {
			return false
		}
	}
	return true
}

// maxUnansweredAtEnd is how long polls of a job may have been unanswered when the scenario ends.
const maxUnansweredAtEnd = 90 * time.Second

// checkFinalState checks the rules that can be decided only at the end of the scenario.
func (c *checker) checkFinalState() {
	if c.starts == 0 {
		c.recordViolation(ruleNothingRan, "no task was started")
	}
	if id := c.findCancelledWithoutCause(); id != "" {
		c.recordViolation(ruleInvalidOutcome, "%s is reported cancelled, but neither its user nor a cancelled dependency caused it", id)
	}
	for _, job := range c.sim.users.jobs {
		if job.accepted && job.unansweredSince > 0 && c.sim.now-job.unansweredSince > maxUnansweredAtEnd {
			c.recordViolation(ruleJobForgotten, "no poll of %s has been answered since %s", job.spec.ID, job.unansweredSince)
		}
	}
}

// jobDenied is called with an answer that rejects a job or reports it as unknown. An accepted job
// must not get such an answer.
func (c *checker) jobDenied(job *userJob, id string, status int) {
	if job != nil && job.accepted {
		c.recordViolation(ruleJobForgotten, "request for the accepted job %s is answered with status %d", id, status)
	}
}

// invalidSubmissionAnswered is called with the answer to a submission that is malformed or
// describes a job that can never run.
func (c *checker) invalidSubmissionAnswered(body string, status int) {
	if status == http.StatusOK || status == http.StatusCreated {
		c.recordViolation(ruleInvalidAccepted, "invalid submission %.60q is answered with status %d", body, status)
	}
}
