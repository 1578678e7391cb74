package transport

import (
	"time"

	"github.com/failsafe-go/failsafe-go/adaptivelimiter"
)

// requestClass is a kind of user request, in the order in which kinds are shed. Its text is
// a label of the metrics.
type requestClass int

const (
	classStatus requestClass = iota
	classSubmit
	classCancel
)

// String returns the class's label.
func (c requestClass) String() string { return [...]string{"status", "submit", "withdraw"}[c] }

// Windows over which the Limiter compares the times that requests take.
const (
	shortWindow   = time.Second
	longWindow    = 30 * time.Second
	windowSamples = 20 // requests that a short window needs
)

// Limiter bounds the users' requests in progress. The bound follows measured times: it
// narrows when they rise above what they were and recovers when they fall. Status requests
// are shed first; cancellations pass even above the bound, and health checks and heartbeats
// never come here. It may be used from any goroutine.
type Limiter struct {
	adaptive adaptivelimiter.AdaptiveLimiter[any]
}

// NewLimiter makes a limiter that stays between the two bounds and begins in the middle.
func NewLimiter(least, most uint) *Limiter {
	return &Limiter{adaptive: adaptivelimiter.NewBuilder[any]().
		WithLimits(least, most, most/2).
		WithRecentWindow(shortWindow, longWindow, windowSamples).
		Build()}
}

// acquire admits a request or refuses it at once. A request that was admitted calls release
// when it is over, whose time is then measured.
func (l *Limiter) acquire(class requestClass) (release func(), admitted bool) {
	if class == classStatus && l.adaptive.Inflight() >= l.statusLimit() {
		return nil, false
	}
	permit, ok := l.adaptive.TryAcquirePermit()
	if !ok {
		return func() {}, class == classCancel
	}
	return permit.Record, true
}

// statusLimit is the number in progress from which status requests are shed: the last tenth
// is left to the others.
func (l *Limiter) statusLimit() int { return max(l.adaptive.Limit()*9/10, 1) }

// Limit returns the present bound.
func (l *Limiter) Limit() int { return l.adaptive.Limit() }
