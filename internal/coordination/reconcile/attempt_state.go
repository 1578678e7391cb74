package reconcile

import (
	"fmt"
	"slices"

	"rockrun/internal/protocol"
)

// attemptState is the state of an attempt in its life cycle.
type attemptState int

const (
	attemptPlanned  attemptState = iota // planned, not seen on the agent; the start may have been sent
	attemptFetching                     // the agent waits for the image or for the gang
	attemptRunning
	attemptSaving // stopping and saving its progress
	attemptEnded  // confirmed terminated; the outcome may not be durable yet
)

// String returns the name of the state in log lines.
func (s attemptState) String() string {
	return [...]string{"planned", "fetching", "running", "saving", "ended"}[s]
}

// attemptTransitions defines the life cycle of an attempt: the states that may follow each
// state. Heartbeats arrive seconds apart, so any state but the last may be skipped.
var attemptTransitions = map[attemptState][]attemptState{
	attemptPlanned:  {attemptFetching, attemptRunning, attemptSaving, attemptEnded},
	attemptFetching: {attemptRunning, attemptSaving, attemptEnded},
	attemptRunning:  {attemptSaving, attemptEnded},
	attemptSaving:   {attemptEnded},
	attemptEnded:    {},
}

// TransitionError reports a state change that the life cycle of an attempt does not allow.
type TransitionError struct{ From, To fmt.Stringer }

// Error implements error.
func (e *TransitionError) Error() string {
	return fmt.Sprintf("attempt state must not change from %s to %s", e.From, e.To)
}

// advance changes the state to next. It returns a *TransitionError if the life cycle does not
// allow the change. An ended attempt stays ended; otherwise the state changes despite the
// error, because the agent's heartbeat shows the actual state.
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

// parseTaskState returns the attempt state for a task state in a heartbeat, or false if the
// task state is unknown.
func parseTaskState(reported string) (attemptState, bool) {
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
