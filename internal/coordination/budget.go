package coordination

import "time"

// setWriteBudget works out this process's part of the writes that all controllers share,
// by what it does: the home of the work that ends writes most, the leader and
// the homes of services less, and what is left is for users' requests, which
// never wait for a budget.
func (n *Controller) setWriteBudget() {
	part := 0.02
	if n.leadership != nil {
		part += 0.25
	}
	for s := range n.shardCount {
		switch {
		case s >= n.view.JobShards || !n.holdsShard(s):
		case n.view.JobShards == 1:
			part += 0.5
		case s == 0:
			part += 0.4
		default:
			part += 0.1 / float64(n.view.JobShards-1)
		}
	}
	n.writeBudget.rate = max(1, part*n.storeLimits.WriteRate)
}

// bucket is this process's part of the writes all controllers share.
type tokenBucket struct {
	rate, level float64
	filledAt    time.Duration
}

func newTokenBucket(rate float64) tokenBucket { return tokenBucket{rate: rate, level: rate} }

func (b *tokenBucket) fill(now time.Duration) {
	b.level = min(b.rate, b.level+b.rate*(now-b.filledAt).Seconds())
	b.filledAt = now
}

// take takes n writes if they are there, or all that there can ever be; a larger
// number is paid back before the next.
func (b *tokenBucket) take(now time.Duration, n int) bool {
	b.fill(now)
	if b.level < min(float64(n), b.rate) {
		return false
	}
	b.level -= float64(n)
	return true
}

// until is how long it takes until there are n writes.
func (b *tokenBucket) timeUntil(n int) time.Duration {
	return time.Duration(max(0, min(float64(n), b.rate)-b.level)/b.rate*float64(time.Second)) + time.Millisecond
}

// force takes n writes for what can't wait.
func (b *tokenBucket) force(now time.Duration, n int) {
	b.fill(now)
	b.level = max(b.level-float64(n), -b.rate)
}
