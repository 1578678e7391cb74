package transport

import (
	"errors"
	"testing"

	"rockrun/internal/protocol"
)

// TestCallPool checks that calls beyond the size of a pool fail at once, that a finished call
// frees its slot, and that results and errors are delivered on the loop.
func TestCallPool(t *testing.T) {
	loop := runLoop(t)
	pool := newCallPool(loop, 1)
	proceed := make(chan struct{})
	results := make(chan int, 1)
	startCall(pool, func() (int, error) { <-proceed; return 7, nil }, func(result int, _ error) { results <- result })
	rejected := make(chan error, 1)
	startCallWithoutResult(pool, func() error { t.Error("a call beyond the pool size was made"); return nil }, func(err error) { rejected <- err })
	if err := <-rejected; !errors.Is(err, protocol.ErrNotExecuted) {
		t.Errorf("call beyond the pool size: error %v, want %v", err, protocol.ErrNotExecuted)
	}
	close(proceed)
	if result := <-results; result != 7 {
		t.Errorf("result %d, want 7", result)
	}
	failure := errors.New("failed")
	ended := make(chan error, 1)
	startCallWithoutResult(pool, func() error { return failure }, func(err error) { ended <- err })
	if err := <-ended; !errors.Is(err, failure) {
		t.Errorf("error %v, want %v", err, failure)
	}
}
