package loop

import (
	"math/rand/v2"
	"time"
)

// Clock tells the time and calls back later, on the controller's goroutine.
type Clock interface {
	// Now is the steady time since some moment before the controller started.
	Now() time.Duration
	// Wall is the time of day.
	Wall() time.Time
	// After calls f once d has passed.
	After(d time.Duration, f func())
}

// Generation is one life of a controller's in-memory state. It ends when the controller
// has lost track of the records and reads them anew; what an earlier generation asked for
// must not change the state of a later one, so components schedule their callbacks with
// the generation that they belong to.
type Generation struct {
	Clock
	// Rand draws the pauses of retries.
	Rand *rand.Rand

	ended    bool
	stopping bool
}

// NewGeneration begins a generation.
func NewGeneration(clock Clock, random *rand.Rand) *Generation {
	return &Generation{Clock: clock, Rand: random}
}

// End ends the generation: callbacks scheduled with Later do not run any more.
func (g *Generation) End() { g.ended = true }

// Stop marks that the controller is shutting down. Callbacks do not run any more, but
// the state stays this generation's.
func (g *Generation) Stop() { g.stopping = true }

// Ended reports whether a later generation has begun.
func (g *Generation) Ended() bool { return g.ended }

// Stopping reports whether the controller is shutting down.
func (g *Generation) Stopping() bool { return g.stopping }

// Active reports whether the generation neither has ended nor is shutting down.
func (g *Generation) Active() bool { return !g.ended && !g.stopping }

// Later calls f after d, unless the generation is not active by then.
func (g *Generation) Later(d time.Duration, f func()) {
	g.After(d, func() {
		if g.Active() {
			f()
		}
	})
}

// Jitter returns a random time between d and 2d.
func (g *Generation) Jitter(d time.Duration) time.Duration {
	return d + time.Duration(g.Rand.Int64N(int64(d)+1))
}
