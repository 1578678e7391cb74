// Package transport carries bytes: the listeners for users, workers and other
// controllers, the pooled client for everything outside, the limit on requests
// in progress, and the goroutine on which a node's decisions are made.
package transport

import (
	"sync/atomic"
	"time"
)

// Loop runs functions one after another on a single goroutine. It is a node's
// clock as well.
type Loop struct {
	queue chan func()
	done  chan struct{}
	start time.Time
	over  atomic.Bool
}

// NewLoop makes a loop; Run runs it.
func NewLoop() *Loop {
	return &Loop{queue: make(chan func(), 4096), done: make(chan struct{}), start: time.Now()}
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

// Close ends Run.
func (l *Loop) Close() {
	if l.over.CompareAndSwap(false, true) {
		close(l.done)
	}
}

// Post hands f to the loop. It blocks while the queue is full.
func (l *Loop) Post(f func()) {
	select {
	case l.queue <- f:
	case <-l.done:
	}
}

// TryPost hands f to the loop unless the queue is full.
func (l *Loop) TryPost(f func()) bool {
	select {
	case l.queue <- f:
		return true
	default:
		return false
	}
}

// Now is the steady time since the loop was made.
func (l *Loop) Now() time.Duration { return time.Since(l.start) }

// Wall is the time of day.
func (l *Loop) Wall() time.Time { return time.Now() }

// After runs f on the loop after d.
func (l *Loop) After(d time.Duration, f func()) {
	time.AfterFunc(d, func() { l.Post(f) })
}
