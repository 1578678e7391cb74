package scenario

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Pipelines of dependent jobs. A user submits each job as soon as its dependencies are
// accepted, or once the outcomes of its dependencies are known.

// dependencyPollInterval is how often a user checks whether the next job can be submitted. It
// is the longest time between the acceptance of the dependencies and the submission.
const dependencyPollInterval = time.Millisecond

// submitWhenReady submits a job once all of its dependencies are accepted and, with afterEnd,
// their outcomes are known.
func (u *fakeUsers) submitWhenReady(job *userJob, afterEnd bool) {
	ready := u.dependenciesAccepted(job) && (!afterEnd || u.dependenciesEnded(job))
	if !ready {
		u.sim.after(dependencyPollInterval, func() { u.submitWhenReady(job, afterEnd) })
		return
	}
	u.submitNew(job)
}

// dependenciesAccepted reports whether all dependencies of a job are accepted.
func (u *fakeUsers) dependenciesAccepted(job *userJob) bool {
	return !slices.ContainsFunc(job.spec.Dependencies, func(id string) bool {
		dependency := u.jobs[id]
		return dependency == nil || !dependency.accepted
	})
}

// dependenciesEnded reports whether the users know the outcomes of all dependencies of a
// job. The dependencies must have been submitted.
func (u *fakeUsers) dependenciesEnded(job *userJob) bool {
	return !slices.ContainsFunc(job.spec.Dependencies, func(id string) bool { return u.jobs[id].outcome == "" })
}

// pipelineShapes lists, for each shape and job of a pipeline, the indexes of the jobs that
// the job depends on.
var pipelineShapes = map[string][][]int{
	"chain":   {{}, {0}, {1}, {2}},
	"diamond": {{}, {0}, {0}, {1, 2}, {3}},
	"fan-in":  {{}, {}, {}, {}, {}, {}, {}, {}, {}, {}, {}, {}, {0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}},
	"fan-out": {{}, {0}, {0}, {0}, {0}, {0}, {0}, {0}, {0}, {0}, {0}, {0}, {0}},
	"ten":     {{}, {0}, {1}, {2}, {3}, {4}, {5}, {6}, {7}, {8}},
}

// actPipeline: "pipeline run-100 shape=chain every=3s count=8 cancelled=0.1 after=20s
// late=0.3" submits pipelines at an interval. The other arguments are those of parseJob and
// apply to all jobs of a pipeline, except that priority and deadline apply to its last job
// only. In the cancelled= share of the pipelines, one job before the last is cancelled within
// the after= time. In the late= share, the last job is submitted only once the outcomes of its
// dependencies are known.
func actPipeline(sim *simulation, line *statement) func() {
	first, err := strconv.Atoi(strings.TrimPrefix(line.arg(0), "run-"))
	if err != nil {
		line.fail("pipeline: job ID %q is not of the form run-100: %v", line.arg(0), err)
	}
	shape, known := pipelineShapes[line.text("shape", "chain")]
	if !known {
		line.fail("pipeline: unknown shape=%s (allowed: %s)", line.pairs["shape"], strings.Join(slices.Sorted(maps.Keys(pipelineShapes)), ", "))
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
			startDelay := time.Duration(i) * every
			sim.after(startDelay, func() { sim.users.submitPipeline(jobs, sim.rand.Float64() < late) })
			if sim.rand.Float64() < cancelled {
				cancelledJob := jobs[sim.rand.IntN(len(jobs)-1)]
				sim.after(startDelay+sim.randomBelow(cancelWithin), func() { sim.users.cancelIfAccepted(cancelledJob) })
			}
		}
	}
}

// cancelIfAccepted cancels a job if its user knows that it is accepted.
func (u *fakeUsers) cancelIfAccepted(job *userJob) {
	if job.accepted {
		u.cancel(job)
	}
}

// parsePipeline parses the description of one pipeline whose first job is run-<first>.
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

// submitPipeline submits the jobs of a pipeline. With delayLast, the last job is
// submitted only once the outcomes of its dependencies are known.
func (u *fakeUsers) submitPipeline(jobs []*userJob, delayLast bool) {
	for i, job := range jobs {
		u.submitWhenReady(job, delayLast && i == len(jobs)-1)
	}
}
