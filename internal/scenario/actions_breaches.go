package scenario

import (
	"math"

	"rockrun/internal/protocol"
)

// Actions that break a rule on purpose, to show that the checker sees it.

func actRogueStart(s *sim, line *statement) func() {
	// A breach on purpose, to show that the checker sees it: the task is
	// started on a machine behind the controllers' back.
	name, task := line.arg(0), line.arg(1)
	return func() {
		if x := s.agents[name]; x != nil {
			x.obey([]protocol.Command{{Verb: protocol.VerbStart, Task: task, Attempt: math.MaxUint32}})
		}
	}
}

func actRogueTold(s *sim, line *statement) func() {
	id, stage := line.arg(0), line.arg(1)
	return func() {
		j := s.users.jobs[id]
		final := ""
		if j != nil {
			final = j.final
		}
		s.check.told(id, j, final, stage)
	}
}

func actRogueRefused(s *sim, line *statement) func() {
	id := line.arg(0)
	return func() { s.check.refused(id, s.users.jobs[id], 404) }
}

func actRogueMute(s *sim, line *statement) func() {
	id := line.arg(0)
	return func() { s.users.jobs[id].muted = true }
}
