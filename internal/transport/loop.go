package transport

import (
	"sync/atomic"
	"time"
)

// loopQueue is how many functions may wait for a Loop.
const loopQueue = 4096

// Loop is a controller's event loop: it runs functions one after another on the goroutine
// that calls Run, so that the controller's state needs no locks. It is the controller's
// clock as well. Its methods may be called from any goroutine.
type Loop struct {
	queue   chan func()
	done    chan struct{}
	started time.Time
	closed  atomic.Bool
}

// NewLoop makes a loop; Run runs it.
func NewLoop() *Loop {
	return &Loop{queue: make(chan func(), loopQueue), done: make(chan struct{}), started: time.Now()}
}

// Run runs what is posted until Close.
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

// Close ends Run. What is posted later, or waits, is dropped.
func (l *Loop) Close() {
	if l.closed.CompareAndSwap(false, true) {
		close(l.done)
	}
}

// Post hands f to the loop. It blocks while the queue is full, and must not be called on the
// loop itself.
func (l *Loop) Post(f func()) {
	select {
	case l.queue <- f:
	case <-l.done:
	}
}

// TryPost hands f to the loop unless the queue is full, and reports whether it did.
func (l *Loop) TryPost(f func()) bool {
	select {
	case l.queue <- f:
		return true
	default:
		return false
	}
}

// Now is the steady time since the loop was made.
func (l *Loop) Now() time.Duration { return time.Since(l.started) }

// Wall is the time of day.
func (l *Loop) Wall() time.Time { return time.Now() }

// After runs f on the loop after d.
func (l *Loop) After(d time.Duration, f func()) {
	time.AfterFunc(d, func() { l.Post(f) })
}
