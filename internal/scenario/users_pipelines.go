package scenario

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"rockrun/internal/protocol"
)

// Jobs that wait for others, as users submit them: each as soon as those that it needs
// are accepted, or only once these are over.

// submitWhen submits a job once all that it needs is accepted, or over.
func (u *fakeUsers) submitWhen(j *userJob, over bool) {
	ready := u.allAccepted(j) && !(over && slices.ContainsFunc(j.spec.Dependencies, func(id string) bool { return u.jobs[id].outcome == "" }))
	if !ready {
		u.sim.after(dependencyPollPause, func() { u.submitWhen(j, over) })
		return
	}
	u.submitFirst(j)
}

// submitFirst submits a job for the first time.
func (u *fakeUsers) submitFirst(j *userJob) {
	j.submittedAt = u.sim.now
	u.jobs[j.spec.ID] = j
	u.submit(j)
}

// needPause is how often a user looks whether the next job can be submitted: those that
// it needs were accepted this little ago.
const dependencyPollPause = time.Millisecond

// allAccepted reports whether all jobs that a job names are accepted.
func (u *fakeUsers) allAccepted(j *userJob) bool {
	return !slices.ContainsFunc(j.spec.Dependencies, func(id string) bool {
		need := u.jobs[id]
		return need == nil || !need.accepted
	})
}

// pipelineShapes are the jobs of pipelines: for each the numbers of those that it
// needs.
var pipelineShapes = map[string][][]int{
	"chain":   {{}, {0}, {1}, {2}},
	"diamond": {{}, {0}, {0}, {1, 2}, {3}},
	"fan-in":  {{}, {}, {}, {}, {}, {}, {}, {}, {}, {}, {}, {}, {0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}},
	"fan-out": {{}, {0}, {0}, {0}, {0}, {0}, {0}, {0}, {0}, {0}, {0}, {0}, {0}},
	"ten":     {{}, {0}, {1}, {2}, {3}, {4}, {5}, {6}, {7}, {8}},
}

// actPipeline lets users submit pipelines: one every so often. Arguments are those of a
// job, which all of its jobs are like; rank and deadline are the last one's.
func actPipeline(sim *simulation, line *statement) func() {
	first, err := strconv.Atoi(strings.TrimPrefix(line.arg(0), "run-"))
	if err != nil {
		line.fail("pipeline: %v", err)
	}
	shape, known := pipelineShapes[line.text("shape", "chain")]
	if !known {
		line.fail("pipeline: shape %s", line.pairs["shape"])
		return nil
	}
	every, count := line.duration(line.text("every", "1s")), int(line.number("count", 1))
	cancelled, late := line.number("cancelled", 0), line.number("late", 0)
	after := line.duration(line.text("after", "20s"))
	pipelines := make([][]*userJob, count)
	for i := range pipelines {
		pipelines[i] = sim.pipeline(line, first+i*len(shape), shape)
	}
	return func() {
		for i, jobs := range pipelines {
			sim.after(time.Duration(i)*every, func() { sim.users.submitPipeline(jobs, sim.rand.Float64() < late) })
			if sim.rand.Float64() < cancelled {
				victim := jobs[sim.rand.IntN(len(jobs)-1)]
				sim.after(time.Duration(i)*every+time.Duration(sim.rand.Int64N(int64(after))), func() {
					if victim.accepted {
						sim.users.cancel(victim)
					}
				})
			}
		}
	}
}

// pipeline reads the description of one pipeline.
func (s *simulation) pipeline(line *statement, first int, shape [][]int) []*userJob {
	jobs := make([]*userJob, len(shape))
	for k, needs := range shape {
		line.args[0] = fmt.Sprintf("run-%d", first+k)
		j := s.parseJob(line)
		if k < len(shape)-1 {
			j.spec.DeadlineSeconds = 0
			j.spec.Priority = "best_effort"
		}
		for _, need := range needs {
			j.spec.Dependencies = append(j.spec.Dependencies, fmt.Sprintf("run-%d", first+need))
		}
		jobs[k] = j
	}
	return jobs
}

// submitPipeline submits the jobs of a pipeline; late is for the last one to come only
// when the others are over.
func (u *fakeUsers) submitPipeline(jobs []*userJob, late bool) {
	for k, j := range jobs {
		u.submitWhen(j, late && k == len(jobs)-1)
	}
}

// expectReleased: the first task of a job started within a time of the end of the last
// job that it needs.
func expectReleased(sim *simulation, line *statement) string {
	j := sim.users.jobs[line.arg(0)]
	if j == nil || j.startedAt == 0 {
		return "it never began"
	}
	return exceeds(line, j.startedAt-sim.readyAt(j))
}

// expectReleasedAll is the same for all jobs that need others and are not cancelled.
func expectReleasedAll(sim *simulation, line *statement) string {
	for _, id := range slices.Sorted(maps.Keys(sim.users.jobs)) {
		j := sim.users.jobs[id]
		if _, cancelled := sim.checker.dependencyCancelledAt(j); len(j.spec.Dependencies) == 0 || j.cancelRequested || cancelled || !sim.checker.dependenciesComplete(j) {
			continue
		}
		if j.startedAt == 0 {
			return id + " never began"
		}
		if why := exceeds(line, j.startedAt-sim.readyAt(j)); why != "" {
			return id + ": " + why
		}
	}
	return ""
}

// expectCancelledWith: a job is cancelled, and its own user didn't ask for it.
func expectCancelledByDependency(sim *simulation, line *statement) string {
	j := sim.users.jobs[line.arg(0)]
	switch {
	case j == nil:
		return "no such job"
	case j.cancelRequested:
		return "its own user cancelled it"
	case j.outcome != protocol.StageCancelled:
		return fmt.Sprintf("it is %q", j.outcome)
	}
	return ""
}
