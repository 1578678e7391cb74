package scenario

import (
	"math"
	"net/http"

	"rockrun/internal/protocol"
)

// Actions that deliberately break a rule to show that the checker detects it.

// injectedAttempt is an attempt number that no controller assigns.
const injectedAttempt = math.MaxUint32

// actInjectStart: "inject-start m-000000 run-1/0" starts a task on a machine without the
// knowledge of the controllers.
func actInjectStart(sim *simulation, line *statement) func() {
	machine, task := line.arg(0), line.arg(1)
	return func() {
		if agent := sim.agents[machine]; agent != nil {
			agent.apply([]protocol.Command{{Verb: protocol.VerbStart, Task: task, Attempt: injectedAttempt}})
		}
	}
}

// actInjectAnswer: "inject-answer run-1 done" reports a job stage to the job's user. The
// stage is a wire value.
func actInjectAnswer(sim *simulation, line *statement) func() {
	id, stage := line.arg(0), line.arg(1)
	return func() {
		job := sim.users.jobs[id]
		outcome := ""
		if job != nil {
			outcome = job.outcome
		}
		sim.checker.jobAnswered(id, job, outcome, stage)
	}
}

// actInjectRefusal: "inject-refusal run-1" reports to a user that its job is unknown.
func actInjectRefusal(sim *simulation, line *statement) func() {
	id := line.arg(0)
	return func() { sim.checker.jobDenied(sim.users.jobs[id], id, http.StatusNotFound) }
}

// actInjectLostAnswers: "inject-lost-answers run-1" drops the answers to all polls of a job.
func actInjectLostAnswers(sim *simulation, line *statement) func() {
	id := line.arg(0)
	return func() { sim.users.jobs[id].pollAnswersLost = true }
}
