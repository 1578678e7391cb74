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
	s        *sim
	on       map[string][]*agent // where a task is on its machine
	finished map[string]bool     // tasks that have completed
	starts   int
	lateOnes int // starts after a confirmed withdrawal, within the time for cancelling or not
	broken   []string
}

func newChecker(s *sim) *checker {
	return &checker{s: s, on: map[string][]*agent{}, finished: map[string]bool{}}
}

func (c *checker) breach(rule, format string, args ...any) {
	c.broken = append(c.broken, fmt.Sprintf("%s at %s: %s", rule, c.s.now, fmt.Sprintf(format, args...)))
}

// began is called when a task has its image and starts.
func (c *checker) began(w *agent, t *agentTask) {
	c.starts++
	if j := c.s.users.jobs[t.spec.ID]; j.beganAt == 0 {
		j.beganAt = c.s.now
	}
	if others := c.on[t.Task]; len(others) > 0 {
		c.breach("ran_twice", "%s starts on %s while on %s", t.Task, w.r.Name, others[0].r.Name)
	}
	c.place(w, t)
	c.tooEarly(t.Task, c.s.users.jobs[t.spec.ID])
	c.on[t.Task] = append(c.on[t.Task], w)
	if c.s.users.jobs[t.spec.ID].withdrawnAt > 0 {
		c.lateOnes++
	}
	if j := c.s.users.jobs[t.spec.ID]; j.withdrawnAt > 0 && c.s.now > j.withdrawnAt+c.s.cluster.Agents.CancelTimeout() {
		c.breach("ran_cancelled", "%s starts %s after its withdrawal", t.Task, c.s.now-j.withdrawnAt)
	}
	c.quota(t)
}

// quota checks that what runs of a team stays within its limit.
func (c *checker) quota(t *agentTask) {
	i := slices.IndexFunc(c.s.cluster.Teams, func(x config.Team) bool { return x.Name == t.spec.Team })
	most := c.s.cluster.Teams[i].MaxCPUs
	if most <= 0 {
		return // no limit
	}
	cpus := 0.0
	for _, x := range c.s.agents {
		for _, o := range x.tasks {
			if (o == t || o.State == protocol.TaskRunning || o.State == protocol.TaskSaving) && o.spec != nil && o.spec.Team == t.spec.Team {
				cpus += o.spec.CPUs
			}
		}
	}
	if cpus > most+1e-6 {
		c.breach("quota", "team %s uses %v of %v CPUs", t.spec.Team, cpus, most)
	}
}

// place checks that a task starts where its job allows.
func (c *checker) place(w *agent, t *agentTask) {
	s := t.spec
	if w.r.Spot && !s.Spot || s.Zone != "" && s.Zone != w.r.Zone || len(s.Types) > 0 && !slices.Contains(s.Types, w.r.Type) {
		c.breach("wrong_place", "%s on %s", t.Task, w.r.Name)
	}
	if !s.OneZone && !s.Spread {
		return // any zone will do
	}
	here, elsewhere := 1, 0
	for task, workers := range c.on {
		id, _, err := protocol.ParseTaskName(task)
		if err != nil || id != s.ID || task == t.Task {
			continue
		}
		for _, x := range workers {
			if x.r.Zone == w.r.Zone {
				here++
			} else {
				elsewhere++
			}
		}
	}
	if s.OneZone && elsewhere > 0 {
		c.breach("wrong_place", "%s in zone %s, others elsewhere", t.Task, w.r.Zone)
	}
	if s.Spread && here > (s.Tasks+1)/2 {
		c.breach("wrong_place", "%d of %d tasks of %s in zone %s", here, s.Tasks, s.ID, w.r.Zone)
	}
}

// left is called when a task is no longer on its machine.
func (c *checker) left(w *agent, t *agentTask) {
	c.on[t.Task] = slices.DeleteFunc(c.on[t.Task], func(x *agent) bool { return x == w })
	if len(c.on[t.Task]) == 0 {
		delete(c.on, t.Task)
	}
}

// told is called with every answer of the service about a job; final is the
// final state that the user had been told when it asked, if any.
func (c *checker) told(id string, j *userJob, final, stage string) {
	if j == nil {
		c.breach("invented", "%s is %s", id, stage)
		return
	}
	if final != "" && stage != final {
		c.breach("went_back", "%s was %s and is %s", id, final, stage)
	}
	switch stage {
	case protocol.StageDone:
		if !c.complete(j) {
			c.breach("not_done", "%s is called done, not all of its tasks are", id)
		}
	case protocol.StageCancelled:
		if !j.asked && !c.mayBeCancelled(j) {
			c.breach("went_back", "%s is called withdrawn and nobody asked for it", id)
		}
		if j.withdrawnAt == 0 {
			j.withdrawnAt = c.s.now
			c.s.noteFault("cancel-confirmed", 0)
			c.s.after(c.s.cluster.Agents.CancelTimeout(), func() { c.gone(id) })
		}
	default:
		c.orphaned(j, stage)
		return
	}
	if j.final != "" && j.final != stage {
		c.breach("went_back", "%s was %s and is %s", id, j.final, stage)
	}
	j.final = stage
}

// complete reports whether all tasks of a job have completed.
func (c *checker) complete(j *userJob) bool {
	for task := range j.spec.Tasks {
		if !c.finished[protocol.TaskName(j.spec.ID, task)] {
			return false
		}
	}
	return true
}

// gone checks that a withdrawn job has left every machine.
func (c *checker) gone(id string) {
	for task, workers := range c.on {
		if job, _, err := protocol.ParseTaskName(task); err == nil && job == id && len(workers) > 0 {
			c.breach("ran_cancelled", "%s is still on %s", task, workers[0].r.Name)
		}
	}
}

// refused is called with an answer that denies an accepted job.
func (c *checker) refused(id string, j *userJob, status int) {
	if j != nil && j.accepted {
		c.breach("forgotten", "%s is answered %d", id, status)
	}
}

// answeredBad is called with the answer to a submission that can't run, or that is
// malformed.
func (c *checker) answeredBad(body string, status int) {
	if status == http.StatusOK || status == http.StatusCreated {
		c.breach("accepted_bad", "%.60q is answered %d", body, status)
	}
}

// answerWithin is how long after the last fault a job may go unanswered.
const answerWithin = 75 * time.Second

// calm is called once all faults are over: from then on no accepted job may go
// unanswered for long, however others fare.
func (c *checker) calm() {
	c.s.calm = max(c.s.now, 1)
	var look func()
	look = func() {
		for _, j := range c.s.users.jobs {
			if since := max(c.s.calm, j.heard, j.acceptedAt); j.accepted && j.final == "" && c.s.now-since > answerWithin {
				c.breach("forgotten", "no question about %s was answered since %s", j.spec.ID, since)
			}
		}
		c.idle()
		c.s.after(5*time.Second, look)
	}
	look()
}

// unserved names an accepted job that neither is over nor runs as it should.
func (c *checker) unserved() string {
	on := map[string]int{}
	for task, workers := range c.on {
		if id, _, err := protocol.ParseTaskName(task); err == nil && len(workers) > 0 {
			on[id]++
		}
	}
	for id, j := range c.s.users.jobs {
		if _, cancelled := c.cancelledBefore(j); !j.accepted || j.asked || j.final != "" || cancelled {
			continue
		}
		if j.spec.Kind != protocol.KindService || on[id] < j.spec.Tasks {
			return id
		}
	}
	return ""
}

// end checks what only the end of the day shows.
func (c *checker) end() {
	if c.starts == 0 {
		c.breach("nothing_ran", "no task was started")
	}
	if id := c.causeless(); id != "" {
		c.breach("went_back", "%s is called withdrawn and nothing before it is", id)
	}
	for _, j := range c.s.users.jobs {
		if j.accepted && j.unheard > 0 && c.s.now-j.unheard > 90*time.Second {
			c.breach("forgotten", "no poll for %s was answered since %s", j.spec.ID, j.unheard)
		}
	}
}
