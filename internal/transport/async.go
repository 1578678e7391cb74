package transport

import (
	"fmt"

	"rockrun/internal/protocol"
)

// callPool bounds the calls of one kind that are under way at a time.
type callPool struct {
	loop  *Loop
	slots chan struct{}
}

func newCallPool(loop *Loop, most int) callPool {
	return callPool{loop: loop, slots: make(chan struct{}, most)}
}

// start makes a blocking call on a goroutine of its own and hands the result to done on the
// loop. When too many calls are under way it is refused at once, as if the service had said
// so; done is called on the loop then too. The goroutine ends with the call, which has a
// timeout, and the result is dropped once the loop is closed.
func start[T any](pool callPool, call func() (T, error), done func(T, error)) {
	select {
	case pool.slots <- struct{}{}:
		go func() {
			result, err := call()
			<-pool.slots
			pool.loop.Post(func() { done(result, err) })
		}()
	default:
		var none T
		err := fmt.Errorf("%w: too many calls under way", protocol.ErrNotExecuted)
		go pool.loop.Post(func() { done(none, err) })
	}
}

// startWithout is start for a call without a result.
func startWithout(pool callPool, call func() error, done func(error)) {
	start(pool, func() (struct{}, error) { return struct{}{}, call() },
		func(_ struct{}, err error) { done(err) })
}
