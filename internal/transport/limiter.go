package transport

import (
	"time"

	"github.com/failsafe-go/failsafe-go/adaptivelimiter"
)

// class is a kind of user request, in the order in which kinds are shed.
type class int

const (
	classStatus class = iota
	classSubmit
	classWithdraw
)

func (c class) String() string { return [...]string{"status", "submit", "withdraw"}[c] }

// Limiter bounds the users' requests in progress. The bound follows measured
// times: it narrows when they rise above what they were and recovers when they
// fall. Questions are shed first; cancellations pass even above the bound, and
// health checks and workers' reports never come here.
type Limiter struct {
	limit adaptivelimiter.AdaptiveLimiter[any]
}

// NewLimiter makes a limiter that stays between the two bounds.
func NewLimiter(least, most uint) *Limiter {
	return &Limiter{limit: adaptivelimiter.NewBuilder[any]().
		WithLimits(least, most, most/2).
		WithRecentWindow(time.Second, 30*time.Second, 20).
		Build()}
}

// acquire admits a request or refuses it at once.
func (l *Limiter) acquire(c class) (release func(), ok bool) {
	if c == classStatus && l.limit.Inflight() >= max(l.limit.Limit()*9/10, 1) {
		return nil, false
	}
	p, ok := l.limit.TryAcquirePermit()
	if !ok {
		return func() {}, c == classWithdraw
	}
	return p.Record, true
}

// Limit returns the present bound.
func (l *Limiter) Limit() int { return l.limit.Limit() }
