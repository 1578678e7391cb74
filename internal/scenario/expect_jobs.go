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

// expectAccepted: "accepted run-1 within=10s".
func expectAccepted(sim *simulation, line *statement) string {
	job := sim.users.jobs[line.arg(0)]
	if job == nil {
		return noSuchJob
	}
	if !job.accepted {
		return fmt.Sprintf("last status %d", job.status)
	}
	return exceeds(line, job.acceptedAt-job.submittedAt)
}

// expectStatus: "status run-1 422", the last answer to its submission.
func expectStatus(sim *simulation, line *statement) string {
	job := sim.users.jobs[line.arg(0)]
	if job == nil || strconv.Itoa(job.status) != line.arg(1) {
		return fmt.Sprintf("it is %v", job)
	}
	return ""
}

// expectDone: "done run-1 within=60s", of its submission.
func expectDone(sim *simulation, line *statement) string {
	return expectOutcome(sim, line, protocol.StageDone)
}

// expectCancelled: "cancelled run-1 by=60s", the time of the scenario when that was
// confirmed at the latest.
func expectCancelled(sim *simulation, line *statement) string {
	if why := expectOutcome(sim, line, protocol.StageCancelled); why != "" {
		return why
	}
	job := sim.users.jobs[line.arg(0)]
	if by := line.text("by", ""); by != "" && job.cancelledAt > line.duration(by) {
		return fmt.Sprintf("it was confirmed at %s", job.cancelledAt)
	}
	return ""
}

func expectOutcome(sim *simulation, line *statement, outcome string) string {
	job := sim.users.jobs[line.arg(0)]
	if job == nil {
		return noSuchJob
	}
	if job.outcome != outcome {
		return fmt.Sprintf("it is %q", job.outcome)
	}
	return exceeds(line, job.outcomeAt-job.submittedAt)
}

// expectCancelledByDependency: "cancelled-by-dependency run-2", and its own user didn't ask
// for it.
func expectCancelledByDependency(sim *simulation, line *statement) string {
	job := sim.users.jobs[line.arg(0)]
	switch {
	case job == nil:
		return noSuchJob
	case job.cancelRequested:
		return "its own user cancelled it"
	case job.outcome != protocol.StageCancelled:
		return fmt.Sprintf("it is %q", job.outcome)
	}
	return ""
}

// expectRunning: "running run-1 4", tasks that run.
func expectRunning(sim *simulation, line *statement) string {
	count := 0
	if job := sim.users.jobs[line.arg(0)]; job != nil {
		count = len(sim.checker.machinesOf(job.spec.ID))
	}
	if strconv.Itoa(count) != line.arg(1) {
		return fmt.Sprintf("it is %d", count)
	}
	return ""
}

// expectReleased: "released run-2 within=2s", its first task started within that of the
// end of its last dependency.
func expectReleased(sim *simulation, line *statement) string {
	job := sim.users.jobs[line.arg(0)]
	if job == nil || job.startedAt == 0 {
		return "it never began"
	}
	return exceeds(line, job.startedAt-sim.readyAt(job))
}

// expectReleasedAll is the same for all jobs whose dependencies are done and that are not
// cancelled.
func expectReleasedAll(sim *simulation, line *statement) string {
	for _, id := range slices.Sorted(maps.Keys(sim.users.jobs)) {
		job := sim.users.jobs[id]
		_, cancelled := sim.checker.dependencyCancelledAt(job)
		if len(job.spec.Dependencies) == 0 || job.cancelRequested || cancelled || !sim.checker.dependenciesComplete(job) {
			continue
		}
		if job.startedAt == 0 {
			return id + " never began"
		}
		if why := exceeds(line, job.startedAt-sim.readyAt(job)); why != "" {
			return id + ": " + why
		}
	}
	return ""
}

// readyAt is when a job could begin: submitted, and all of its dependencies complete.
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

// expectAllServed: every accepted job that nobody cancelled runs or is done.
func expectAllServed(sim *simulation, _ *statement) string {
	if id := sim.checker.unservedJob(); id != "" {
		return id + " is neither done nor runs as a whole"
	}
	return ""
}
