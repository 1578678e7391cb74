package transport

import (
	"fmt"

	"rockrun/internal/protocol"
)

// callPool limits the number of concurrent calls of one kind.
type callPool struct {
	loop  *Loop
	slots chan struct{}
}

func newCallPool(loop *Loop, size int) callPool {
	return callPool{loop: loop, slots: make(chan struct{}, size)}
}

// startCall runs a blocking call on a new goroutine and passes its result to done on the loop.
// If the pool has no free slot, the call is not made and done receives an error that matches
// protocol.ErrNotExecuted, as if the service had rejected the call. The goroutine ends with
// the call, which has a timeout. After the loop is closed, the result is discarded.
func startCall[T any](pool callPool, call func() (T, error), done func(T, error)) {
	select {
	case pool.slots <- struct{}{}:
		go func() {
			result, err := call()
			<-pool.slots
			pool.loop.Post(func() { done(result, err) })
		}()
	default:
		var zero T
		err := fmt.Errorf("%w: too many calls in progress", protocol.ErrNotExecuted)
		go pool.loop.Post(func() { done(zero, err) })
	}
}

// startCallWithoutResult is startCall for a call that returns only an error.
func startCallWithoutResult(pool callPool, call func() error, done func(error)) {
	startCall(pool, func() (struct{}, error) { return struct{}{}, call() },
		func(_ struct{}, err error) { done(err) })
}
