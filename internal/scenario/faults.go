package scenario

import "time"

// faultLog records when each fault was in effect. Scenarios that combine faults use it to verify
// that the faults overlapped.
type faultLog struct {
	clock *clock
	spans []faultSpan
}

// faultSpan is the time during which a fault was in effect. An event, such as a confirmed
// cancellation, is a span of length zero.
type faultSpan struct {
	name  string
	key   string // distinguishes faults of the same name that last at the same time
	begin time.Duration
	end   time.Duration // faultOngoing while the fault lasts
}

// faultOngoing marks the end of a fault that has not ended.
const faultOngoing = -1

// record records a fault that begins now and lasts for the given duration.
func (l *faultLog) record(name string, duration time.Duration) {
	l.spans = append(l.spans, faultSpan{name: name, begin: l.clock.now, end: l.clock.now + duration})
}

// begin records a fault whose end is not known yet. key distinguishes faults of the same name that
// last at the same time.
func (l *faultLog) begin(name, key string) {
	l.spans = append(l.spans, faultSpan{name: name, key: key, begin: l.clock.now, end: faultOngoing})
}

// end records the end of the ongoing fault with the given name and key, if there is one.
func (l *faultLog) end(name, key string) {
	for i := range l.spans {
		if span := &l.spans[i]; span.name == name && span.key == key && span.end == faultOngoing {
			span.end = l.clock.now
		}
	}
}

// A handover span begins before the grant, while the previous holder may still act, and ends
// when the new holder has received heartbeats from its machines.
const (
	handoverBefore = time.Second
	handoverAfter  = 3 * time.Second
)

// recordHandover records that a shard is granted to another holder now.
func (l *faultLog) recordHandover() {
	l.spans = append(l.spans, faultSpan{name: "handover", begin: l.clock.now - handoverBefore, end: l.clock.now + handoverAfter})
}

// overlaps counts the pairs of a fault named first and a fault named second that lasted at the
// same time.
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
	if span.end == faultOngoing {
		return l.clock.now
	}
	return span.end
}
