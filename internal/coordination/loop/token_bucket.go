package loop

import "time"

// TokenBucket is a rate limiter. Its capacity is the number of tokens that arrive in a second.
type TokenBucket struct {
	rate       float64 // tokens per second
	level      float64 // available tokens; may be negative after ForceConsume
	refilledAt time.Duration
}

// NewTokenBucket returns a full bucket with a rate in tokens per second.
func NewTokenBucket(rate float64) TokenBucket { return TokenBucket{rate: rate, level: rate} }

// SetRate changes the rate and the capacity. The level is capped at the next refill.
func (b *TokenBucket) SetRate(rate float64) { b.rate = rate }

// Rate returns the rate in tokens per second.
func (b *TokenBucket) Rate() float64 { return b.rate }

// Level returns the number of available tokens as of the last refill or removal.
func (b *TokenBucket) Level() float64 { return b.level }

// Refill adds the tokens that have arrived since the last refill.
func (b *TokenBucket) Refill(now time.Duration) {
	b.level = min(b.rate, b.level+b.rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
}

// TryConsume removes n tokens if they are available, and reports whether they were available.
// If n exceeds the capacity, a full bucket suffices; the debt must be paid back before more
// tokens are available.
func (b *TokenBucket) TryConsume(now time.Duration, n int) bool {
	b.Refill(now)
	if b.level < min(float64(n), b.rate) {
		return false
	}
	b.level -= float64(n)
	return true
}

// ForceConsume removes n tokens even if they are not available, for operations that cannot
// wait. The debt is at most the tokens of one second.
func (b *TokenBucket) ForceConsume(now time.Duration, n int) {
	b.Refill(now)
	b.level = max(b.level-float64(n), -b.rate)
}

// TimeUntil returns the time from the last refill until n tokens are available, or until the
// bucket is full if n exceeds the capacity.
func (b *TokenBucket) TimeUntil(n int) time.Duration {
	missing := max(0, min(float64(n), b.rate)-b.level)
	return time.Duration(missing/b.rate*float64(time.Second)) + time.Millisecond
}
