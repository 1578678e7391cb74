package transport

import (
	"time"

	"github.com/failsafe-go/failsafe-go/adaptivelimiter"
)

// requestClass is a class of user requests. Lower classes are shed first.
type requestClass int

const (
	classStatus requestClass = iota
	classSubmit
	classCancel
)

// String returns the label of the class in metrics.
func (c requestClass) String() string { return [...]string{"status", "submit", "withdraw"}[c] }

// Windows over which the Limiter compares request durations.
const (
	shortWindow      = time.Second
	longWindow       = 30 * time.Second
	minWindowSamples = 20 // minimum requests in a short window
)

// Limiter limits the number of user requests in progress. The limit adapts to measured request
// durations: it falls when they rise above their earlier level and recovers when they fall.
// Status requests are shed first, and cancellations are admitted even above the limit. Health
// checks and heartbeats bypass the Limiter. It is safe for concurrent use.
type Limiter struct {
	adaptive adaptivelimiter.AdaptiveLimiter[any]
}

// NewLimiter returns a Limiter whose limit stays between the two bounds and starts at half of
// the upper one.
func NewLimiter(minLimit, maxLimit uint) *Limiter {
	return &Limiter{adaptive: adaptivelimiter.NewBuilder[any]().
		WithLimits(minLimit, maxLimit, maxLimit/2).
		WithRecentWindow(shortWindow, longWindow, minWindowSamples).
		Build()}
}

// acquire admits or rejects a request without waiting. The caller of an admitted request calls
// release when the request is finished, which records its duration. The duration of a
// cancellation that is admitted above the limit is not recorded.
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

// statusLimit returns the number of requests in progress from which status requests are shed.
// The last tenth of the limit is reserved for the other classes.
func (l *Limiter) statusLimit() int { return max(l.adaptive.Limit()*9/10, 1) }

// Limit returns the current limit.
func (l *Limiter) Limit() int { return l.adaptive.Limit() }
