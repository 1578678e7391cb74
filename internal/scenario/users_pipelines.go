package scenario

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Jobs that depend on others, as users submit them: each as soon as those that it depends
// on are accepted, or only once these are over.

// dependencyPollPause is how often a user looks whether the next job can be submitted: its
// dependencies were accepted this little ago.
const dependencyPollPause = time.Millisecond

// submitWhen submits a job once all of its dependencies are accepted, or over.
func (u *fakeUsers) submitWhen(job *userJob, over bool) {
	ready := u.dependenciesAccepted(job) && (!over || u.dependenciesOver(job))
	if !ready {
		u.sim.after(dependencyPollPause, func() { u.submitWhen(job, over) })
		return
	}
	u.submitFirst(job)
}

// dependenciesAccepted reports whether all jobs that a job names are accepted.
func (u *fakeUsers) dependenciesAccepted(job *userJob) bool {
	return !slices.ContainsFunc(job.spec.Dependencies, func(id string) bool {
		dependency := u.jobs[id]
		return dependency == nil || !dependency.accepted
	})
}

// dependenciesOver reports whether the users know the outcomes of all jobs that a job
// names, which were submitted.
func (u *fakeUsers) dependenciesOver(job *userJob) bool {
	return !slices.ContainsFunc(job.spec.Dependencies, func(id string) bool { return u.jobs[id].outcome == "" })
}

// pipelineShapes are the jobs of pipelines: for each the numbers of those that it
// depends on.
var pipelineShapes = map[string][][]int{
	"chain":   {{}, {0}, {1}, {2}},
	"diamond": {{}, {0}, {0}, {1, 2}, {3}},
	"fan-in":  {{}, {}, {}, {}, {}, {}, {}, {}, {}, {}, {}, {}, {0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}},
	"fan-out": {{}, {0}, {0}, {0}, {0}, {0}, {0}, {0}, {0}, {0}, {0}, {0}, {0}},
	"ten":     {{}, {0}, {1}, {2}, {3}, {4}, {5}, {6}, {7}, {8}},
}

// actPipeline lets users submit pipelines, one every so often: "pipeline run-100
// shape=chain every=3s count=8 cancelled=0.1 after=20s late=0.3" and the arguments of a
// job, which all of its jobs are like; priority and deadline are the last one's. A share
// has one job cancelled, and a share gets its last job only when the others are over.
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
	every := line.duration(line.text("every", "1s"))
	cancelled, late := line.number("cancelled", 0), line.number("late", 0)
	cancelWithin := line.duration(line.text("after", "20s"))
	pipelines := make([][]*userJob, int(line.number("count", 1)))
	for i := range pipelines {
		pipelines[i] = parsePipeline(line, first+i*len(shape), shape)
	}
	return func() {
		for i, jobs := range pipelines {
			begin := time.Duration(i) * every
			sim.after(begin, func() { sim.users.submitPipeline(jobs, sim.rand.Float64() < late) })
			if sim.rand.Float64() < cancelled {
				victim := jobs[sim.rand.IntN(len(jobs)-1)]
				sim.after(begin+sim.randomBelow(cancelWithin), func() { sim.users.cancelAccepted(victim) })
			}
		}
	}
}

// cancelAccepted cancels a job if it is accepted.
func (u *fakeUsers) cancelAccepted(job *userJob) {
	if job.accepted {
		u.cancel(job)
	}
}

// parsePipeline reads the description of one pipeline.
func parsePipeline(line *statement, first int, shape [][]int) []*userJob {
	jobs := make([]*userJob, len(shape))
	for i, dependencies := range shape {
		line.args[0] = fmt.Sprintf("run-%d", first+i)
		job := parseJob(line)
		if i < len(shape)-1 {
			job.spec.DeadlineSeconds = 0
			job.spec.Priority = "best_effort"
		}
		for _, dependency := range dependencies {
			job.spec.Dependencies = append(job.spec.Dependencies, fmt.Sprintf("run-%d", first+dependency))
		}
		jobs[i] = job
	}
	return jobs
}

// submitPipeline submits the jobs of a pipeline; late is for the last one to come only
// when the others are over.
func (u *fakeUsers) submitPipeline(jobs []*userJob, late bool) {
	for i, job := range jobs {
		u.submitWhen(job, late && i == len(jobs)-1)
	}
}
