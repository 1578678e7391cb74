package coordination

import "time"

// setWriteBudget works out this process's part of the writes that all controllers share,
// by what it does: the home of the work that ends writes most, the leader and
// the homes of services less, and what is left is for users' requests, which
// never wait for a budget.
func (n *Node) setWriteBudget() {
	part := 0.02
	if n.lead != nil {
		part += 0.25
	}
	for s := range n.shards {
		switch {
		case s >= n.cache.Homes || !n.holds(s):
		case n.cache.Homes == 1:
			part += 0.5
		case s == 0:
			part += 0.4
		default:
			part += 0.1 / float64(n.cache.Homes-1)
		}
	}
	n.budget.rate = max(1, part*n.limits.WriteRate)
}

// bucket is this process's part of the writes all controllers share.
type bucket struct {
	rate, level float64
	at          time.Duration
}

func newBucket(rate float64) bucket { return bucket{rate: rate, level: rate} }

func (b *bucket) fill(now time.Duration) {
	b.level = min(b.rate, b.level+b.rate*(now-b.at).Seconds())
	b.at = now
}

// take takes n writes if they are there, or all that there can ever be; a larger
// number is paid back before the next.
func (b *bucket) take(now time.Duration, n int) bool {
	b.fill(now)
	if b.level < min(float64(n), b.rate) {
		return false
	}
	b.level -= float64(n)
	return true
}

// until is how long it takes until there are n writes.
func (b *bucket) until(n int) time.Duration {
	return time.Duration(max(0, min(float64(n), b.rate)-b.level)/b.rate*float64(time.Second)) + time.Millisecond
}

// force takes n writes for what can't wait.
func (b *bucket) force(now time.Duration, n int) {
	b.fill(now)
	b.level = max(b.level-float64(n), -b.rate)
}
