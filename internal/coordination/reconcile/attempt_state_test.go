package reconcile

import (
	"errors"
	"testing"

	"rockrun/internal/protocol"
)

// TestAttemptTransitions checks that a state may be followed by itself and by any later state.
// A change to an earlier state returns an error that names both states. The earlier state is
// adopted nevertheless, unless the attempt has ended.
func TestAttemptTransitions(t *testing.T) {
	states := []attemptState{attemptPlanned, attemptFetching, attemptRunning, attemptSaving, attemptEnded}
	for _, from := range states {
		for _, to := range states {
			state := from
			err := state.advance(to)
			var transition *TransitionError
			if legal := to >= from; legal != (err == nil) {
				t.Errorf("%s to %s: %v", from, to, err)
			} else if !legal && (!errors.As(err, &transition) || transition.From != from || transition.To != to) {
				t.Errorf("%s to %s: %v", from, to, err)
			}
			if want := to; from == attemptEnded && state != attemptEnded || from != attemptEnded && state != want {
				t.Errorf("%s to %s: state is %s", from, to, state)
			}
		}
	}
}

// TestParseTaskState checks the attempt state for each task state that agents send, and for an
// unknown one.
func TestParseTaskState(t *testing.T) {
	for _, c := range []struct {
		reported string
		want     attemptState
		known    bool
	}{
		{protocol.TaskFetching, attemptFetching, true},
		{protocol.TaskAwaitingGang, attemptFetching, true},
		{protocol.TaskRunning, attemptRunning, true},
		{protocol.TaskSaving, attemptSaving, true},
		{protocol.TaskEnded, attemptEnded, true},
		{"no-such-state", attemptPlanned, false},
	} {
		if state, known := parseTaskState(c.reported); state != c.want || known != c.known {
			t.Errorf("%s: %s, known %t", c.reported, state, known)
		}
	}
}
