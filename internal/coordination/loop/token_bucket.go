package loop

import "time"

// TokenBucket limits a rate. It holds at most what arrives in a second.
type TokenBucket struct {
	rate     float64 // tokens a second
	level    float64 // tokens that may be taken; below 0 after TakeAnyway
	filledAt time.Duration
}

// NewTokenBucket makes a full bucket with a rate in tokens a second.
func NewTokenBucket(rate float64) TokenBucket { return TokenBucket{rate: rate, level: rate} }

// SetRate changes the rate from now on.
func (b *TokenBucket) SetRate(rate float64) { b.rate = rate }

// Rate is the rate in tokens a second.
func (b *TokenBucket) Rate() float64 { return b.rate }

// Level is how many tokens there were when the bucket was last filled.
func (b *TokenBucket) Level() float64 { return b.level }

// Fill adds the tokens that have arrived since the last call.
func (b *TokenBucket) Fill(now time.Duration) {
	b.level = min(b.rate, b.level+b.rate*(now-b.filledAt).Seconds())
	b.filledAt = now
}

// Take takes n tokens and reports whether they were there. More than the bucket can hold
// are taken when it is full, and paid back before the next.
func (b *TokenBucket) Take(now time.Duration, n int) bool {
	b.Fill(now)
	if b.level < min(float64(n), b.rate) {
		return false
	}
	b.level -= float64(n)
	return true
}

// TakeAnyway takes n tokens for what cannot wait. The debt is bounded by the rate.
func (b *TokenBucket) TakeAnyway(now time.Duration, n int) {
	b.Fill(now)
	b.level = max(b.level-float64(n), -b.rate)
}

// TimeUntil is how long it takes until there are n tokens.
func (b *TokenBucket) TimeUntil(n int) time.Duration {
	missing := max(0, min(float64(n), b.rate)-b.level)
	return time.Duration(missing/b.rate*float64(time.Second)) + time.Millisecond
}
