package transport

import (
	"sync/atomic"
	"time"
)

// loopQueueSize is the capacity of a Loop's queue in functions.
const loopQueueSize = 4096

// Loop is a controller's event loop. It runs functions one after another on the goroutine
// that calls Run, so that the controller's state needs no locks. It is also the controller's
// clock. Its methods may be called from any goroutine.
type Loop struct {
	queue   chan func()
	done    chan struct{}
	started time.Time
	closed  atomic.Bool
}

// NewLoop returns a Loop. Call Run to start it.
func NewLoop() *Loop {
	return &Loop{queue: make(chan func(), loopQueueSize), done: make(chan struct{}), started: time.Now()}
}

// Run runs posted functions until Close is called.
func (l *Loop) Run() {
	for {
		select {
		case f := <-l.queue:
			f()
		case <-l.done:
			return
		}
	}
}

// Close ends Run. Functions that are still queued and functions that are posted later are
// discarded.
func (l *Loop) Close() {
	if l.closed.CompareAndSwap(false, true) {
		close(l.done)
	}
}

// Post queues f. It blocks while the queue is full, so it must not be called on the loop
// itself.
func (l *Loop) Post(f func()) {
	select {
	case l.queue <- f:
	case <-l.done:
	}
}

// TryPost queues f unless the queue is full, and reports whether f was queued.
func (l *Loop) TryPost(f func()) bool {
	select {
	case l.queue <- f:
		return true
	default:
		return false
	}
}

// Now returns the monotonic time since the loop was created.
func (l *Loop) Now() time.Duration { return time.Since(l.started) }

// Wall returns the wall-clock time.
func (l *Loop) Wall() time.Time { return time.Now() }

// After posts f to the loop after d.
func (l *Loop) After(d time.Duration, f func()) {
	time.AfterFunc(d, func() { l.Post(f) })
}
