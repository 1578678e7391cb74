package reconcile

import (
	"fmt"
	"slices"

	"rockrun/internal/protocol"
)

// attemptState is how far an attempt has come.
type attemptState int

const (
	attemptPlanned  attemptState = iota // decided here; the start may have been sent
	attemptFetching                     // seen waiting for its image or its gang
	attemptRunning
	attemptSaving // asked to stop, saves its progress
	attemptEnded  // seen ended, outcome being made durable
)

// String names the state as in log lines.
func (s attemptState) String() string {
	return [...]string{"planned", "fetching", "running", "saving", "ended"}[s]
}

// attemptTransitions is the life cycle of an attempt: from each state, those that may
// follow. Heartbeats come seconds apart, so any state but the last may be skipped.
var attemptTransitions = map[attemptState][]attemptState{
	attemptPlanned:  {attemptFetching, attemptRunning, attemptSaving, attemptEnded},
	attemptFetching: {attemptRunning, attemptSaving, attemptEnded},
	attemptRunning:  {attemptSaving, attemptEnded},
	attemptSaving:   {attemptEnded},
	attemptEnded:    {},
}

// TransitionError is a change of an attempt's state that its life cycle does not know.
type TransitionError struct{ From, To fmt.Stringer }

// Error implements error.
func (e *TransitionError) Error() string {
	return fmt.Sprintf("no transition of an attempt from %s to %s", e.From, e.To)
}

// advance changes the state, or leaves it where it is that one already. It returns a
// *TransitionError where the life cycle does not know the change. An ended attempt stays
// ended; otherwise the state changes all the same, since what an agent shows is so.
func (s *attemptState) advance(next attemptState) error {
	from := *s
	if from == next {
		return nil
	}
	if from != attemptEnded {
		*s = next
	}
	if !slices.Contains(attemptTransitions[from], next) {
		return &TransitionError{From: from, To: next}
	}
	return nil
}

// stateOnAgent is the state of an attempt whose task an agent reports in a state; false
// where it names none.
func stateOnAgent(reported string) (attemptState, bool) {
	switch reported {
	case protocol.TaskFetching, protocol.TaskAwaitingGang:
		return attemptFetching, true
	case protocol.TaskRunning:
		return attemptRunning, true
	case protocol.TaskSaving:
		return attemptSaving, true
	case protocol.TaskEnded:
		return attemptEnded, true
	}
	return attemptPlanned, false
}
