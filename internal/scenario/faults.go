package scenario

import "time"

// faultLog notes when each fault lasted. Scenarios that combine faults prove by it that
// these overlapped.
type faultLog struct {
	clock *clock
	spans []faultSpan
}

// faultSpan is a time during which a fault lasted; an event, such as a confirmed
// cancellation, is one without length.
type faultSpan struct {
	name  string
	key   string // tells those apart that last at the same time
	begin time.Duration
	end   time.Duration // stillLasting until it is known
}

// stillLasting is the end of a fault that has not ended.
const stillLasting = -1

// note notes that a fault lasts for so long from now on.
func (l *faultLog) note(name string, lasting time.Duration) {
	l.spans = append(l.spans, faultSpan{name: name, begin: l.clock.now, end: l.clock.now + lasting})
}

// begin notes a fault whose end is not known yet; key tells those apart that last at the
// same time.
func (l *faultLog) begin(name, key string) {
	l.spans = append(l.spans, faultSpan{name: name, key: key, begin: l.clock.now, end: stillLasting})
}

// end notes that a fault with a key is over, if there was one.
func (l *faultLog) end(name, key string) {
	for i := range l.spans {
		if span := &l.spans[i]; span.name == name && span.key == key && span.end == stillLasting {
			span.end = l.clock.now
		}
	}
}

// A handover is noted from a moment before the grant, while the last holder may
// still act, until the new one has heard its machines.
const (
	handoverBefore = time.Second
	handoverAfter  = 3 * time.Second
)

// noteHandover notes that the machines of a shard change hands now.
func (l *faultLog) noteHandover() {
	l.spans = append(l.spans, faultSpan{name: "handover", begin: l.clock.now - handoverBefore, end: l.clock.now + handoverAfter})
}

// overlaps counts the pairs of two faults that lasted at the same time.
func (l *faultLog) overlaps(first, second string) int {
	count := 0
	for _, one := range l.spans {
		for _, other := range l.spans {
			if one != other && one.name == first && other.name == second && l.overlap(one, other) {
				count++
			}
		}
	}
	return count
}

func (l *faultLog) overlap(one, other faultSpan) bool {
	return max(one.begin, other.begin) <= min(l.endOf(one), l.endOf(other))
}

func (l *faultLog) endOf(span faultSpan) time.Duration {
	if span.end == stillLasting {
		return l.clock.now
	}
	return span.end
}
