package scenario

import (
	"math"

	"rockrun/internal/protocol"
)

// Actions that break a rule on purpose, to show that the checker sees it.

func actInjectStart(sim *simulation, line *statement) func() {
	// A breach on purpose, to show that the checker sees it: the task is
	// started on a machine behind the controllers' back.
	name, task := line.arg(0), line.arg(1)
	return func() {
		if x := sim.agents[name]; x != nil {
			x.apply([]protocol.Command{{Verb: protocol.VerbStart, Task: task, Attempt: math.MaxUint32}})
		}
	}
}

func actInjectAnswer(sim *simulation, line *statement) func() {
	id, stage := line.arg(0), line.arg(1)
	return func() {
		j := sim.users.jobs[id]
		final := ""
		if j != nil {
			final = j.outcome
		}
		sim.checker.jobAnswered(id, j, final, stage)
	}
}

func actInjectRefusal(sim *simulation, line *statement) func() {
	id := line.arg(0)
	return func() { sim.checker.jobDenied(id, sim.users.jobs[id], 404) }
}

func actInjectLostAnswers(sim *simulation, line *statement) func() {
	id := line.arg(0)
	return func() { sim.users.jobs[id].answersLost = true }
}
