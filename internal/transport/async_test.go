package transport

import (
	"errors"
	"testing"

	"rockrun/internal/protocol"
)

// TestCallPool: calls beyond the bound are refused at once, and one that has ended makes
// room. Results come back on the loop.
func TestCallPool(t *testing.T) {
	loop := runLoop(t)
	pool := newCallPool(loop, 1)
	proceed := make(chan struct{})
	results := make(chan int, 1)
	start(pool, func() (int, error) { <-proceed; return 7, nil }, func(result int, _ error) { results <- result })
	refused := make(chan error, 1)
	startWithout(pool, func() error { t.Error("a call too many was made"); return nil }, func(err error) { refused <- err })
	if err := <-refused; !errors.Is(err, protocol.ErrNotExecuted) {
		t.Errorf("a call too many: %v", err)
	}
	close(proceed)
	if result := <-results; result != 7 {
		t.Errorf("result %d", result)
	}
	failure := errors.New("failed")
	ended := make(chan error, 1)
	startWithout(pool, func() error { return failure }, func(err error) { ended <- err })
	if err := <-ended; !errors.Is(err, failure) {
		t.Errorf("%v, not %v", err, failure)
	}
}
