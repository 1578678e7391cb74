package loop

import (
	"math/rand/v2"
	"time"
)

// Clock provides the time and timers that run on the controller's goroutine.
type Clock interface {
	// Now returns the monotonic time since an arbitrary moment before the controller started.
	Now() time.Duration
	// Wall returns the wall-clock time.
	Wall() time.Time
	// After calls f after the duration d.
	After(d time.Duration, f func())
}

// Generation is one life of a controller's in-memory state. It ends when the controller can
// no longer follow the changes of the records and rereads all of them. Callbacks of an
// earlier generation must not change the state of a later one, so components schedule
// callbacks through the generation that they belong to.
type Generation struct {
	Clock
	// Rand is the random source for the jitter of delays.
	Rand *rand.Rand

	ended    bool
	stopping bool
}

// NewGeneration returns an active generation.
func NewGeneration(clock Clock, random *rand.Rand) *Generation {
	return &Generation{Clock: clock, Rand: random}
}

// End ends the generation: callbacks scheduled with AfterIfActive no longer run.
func (g *Generation) End() { g.ended = true }

// Stop marks that the controller is shutting down. Callbacks no longer run, but the state
// still belongs to this generation.
func (g *Generation) Stop() { g.stopping = true }

// Ended reports whether the generation has ended.
func (g *Generation) Ended() bool { return g.ended }

// Stopping reports whether the controller is shutting down.
func (g *Generation) Stopping() bool { return g.stopping }

// Active reports whether the generation has not ended and the controller is not shutting down.
func (g *Generation) Active() bool { return !g.ended && !g.stopping }

// AfterIfActive calls f after the duration d if the generation is still active then.
func (g *Generation) AfterIfActive(d time.Duration, f func()) {
	g.After(d, func() {
		if g.Active() {
			f()
		}
	})
}

// Jitter returns a random duration between d and 2d.
func (g *Generation) Jitter(d time.Duration) time.Duration {
	return d + time.Duration(g.Rand.Int64N(int64(d)+1))
}
