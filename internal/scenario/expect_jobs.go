package scenario

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"rockrun/internal/protocol"
)

const noSuchJob = "no such job"

// expectAccepted: "accepted run-1 within=10s", counted from the submission.
func expectAccepted(sim *simulation, line *statement) string {
	job := sim.users.jobs[line.arg(0)]
	if job == nil {
		return noSuchJob
	}
	if !job.accepted {
		return fmt.Sprintf("the last status is %d", job.submissionStatus)
	}
	return checkWithin(line, job.acceptedAt-job.submittedAt)
}

// expectStatus: "status run-1 422", the status of the last answer to the submission.
func expectStatus(sim *simulation, line *statement) string {
	job := sim.users.jobs[line.arg(0)]
	if job == nil || strconv.Itoa(job.submissionStatus) != line.arg(1) {
		return fmt.Sprintf("the job is %v", job)
	}
	return ""
}

// expectDone: "done run-1 within=60s", counted from the submission.
func expectDone(sim *simulation, line *statement) string {
	return expectOutcome(sim, line, protocol.StageDone)
}

// expectCancelled: "cancelled run-1 by=60s"; by= is the latest scenario time at which the
// cancellation may be confirmed.
func expectCancelled(sim *simulation, line *statement) string {
	if problem := expectOutcome(sim, line, protocol.StageCancelled); problem != "" {
		return problem
	}
	job := sim.users.jobs[line.arg(0)]
	if by := line.text("by", ""); by != "" && job.cancelledAt > line.duration(by) {
		return fmt.Sprintf("the cancellation was confirmed at %s", job.cancelledAt)
	}
	return ""
}

func expectOutcome(sim *simulation, line *statement, outcome string) string {
	job := sim.users.jobs[line.arg(0)]
	if job == nil {
		return noSuchJob
	}
	if job.outcome != outcome {
		return fmt.Sprintf("the outcome is %q", job.outcome)
	}
	return checkWithin(line, job.outcomeAt-job.submittedAt)
}

// expectCancelledByDependency: "cancelled-by-dependency run-2", cancelled although the job's own
// user did not cancel it.
func expectCancelledByDependency(sim *simulation, line *statement) string {
	job := sim.users.jobs[line.arg(0)]
	switch {
	case job == nil:
		return noSuchJob
	case job.cancelRequested:
		return "the job's own user cancelled it"
	case job.outcome != protocol.StageCancelled:
		return fmt.Sprintf("the outcome is %q", job.outcome)
	}
	return ""
}

// expectRunning: "running run-1 4", the number of running tasks.
func expectRunning(sim *simulation, line *statement) string {
	count := 0
	if job := sim.users.jobs[line.arg(0)]; job != nil {
		count = len(sim.checker.agentsOf(job.spec.ID))
	}
	if strconv.Itoa(count) != line.arg(1) {
		return fmt.Sprintf("%d tasks are running", count)
	}
	return ""
}

// expectReleased: "released run-2 within=2s", the first task started within that time after the
// submission and the completion of the last dependency.
func expectReleased(sim *simulation, line *statement) string {
	job := sim.users.jobs[line.arg(0)]
	if job == nil || job.startedAt == 0 {
		return "no task was started"
	}
	return checkWithin(line, job.startedAt-sim.readyAt(job))
}

// expectReleasedAll: "released-all within=2s", checks like expectReleased all uncancelled jobs with
// dependencies that are all complete.
func expectReleasedAll(sim *simulation, line *statement) string {
	for _, id := range slices.Sorted(maps.Keys(sim.users.jobs)) {
		job := sim.users.jobs[id]
		_, cancelled := sim.checker.dependencyCancelledAt(job)
		if len(job.spec.Dependencies) == 0 || job.cancelRequested || cancelled || !sim.checker.dependenciesComplete(job) {
			continue
		}
		if job.startedAt == 0 {
			return id + ": no task was started"
		}
		if problem := checkWithin(line, job.startedAt-sim.readyAt(job)); problem != "" {
			return id + ": " + problem
		}
	}
	return ""
}

// readyAt returns when a job became ready to start: it was submitted and all of its dependencies
// were complete. For a job that is not ready yet it returns the current time.
func (s *simulation) readyAt(job *userJob) time.Duration {
	ready := job.submittedAt
	for _, id := range job.spec.Dependencies {
		dependency := s.users.jobs[id]
		if dependency == nil || dependency.completedAt == 0 {
			return s.now
		}
		ready = max(ready, dependency.completedAt)
	}
	return ready
}

// expectAllServed: "all-served", every accepted array or gang is done and every accepted service
// has all replicas running. Cancelled jobs don't count.
func expectAllServed(sim *simulation, _ *statement) string {
	if id := sim.checker.findUnservedJob(); id != "" {
		return id + " is neither done nor running with all of its tasks"
	}
	return ""
}
