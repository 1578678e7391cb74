package scenario

import (
	"container/heap"
	"time"
)

// clock is a virtual clock with an event queue. Events run in the order of their due times,
// and events with equal due times in the order in which they were scheduled.
type clock struct {
	now       time.Duration // since the start of the scenario
	scheduled int           // number of events scheduled so far
	queue     eventQueue
}

// after schedules a callback. A negative delay counts as zero.
func (c *clock) after(delay time.Duration, callback func()) {
	c.scheduled++
	heap.Push(&c.queue, event{due: c.now + max(delay, 0), sequence: c.scheduled, callback: callback})
}

// run executes all events due up to and including a time, and advances the clock to it.
func (c *clock) run(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].due <= until {
		next := c.queue[0]
		heap.Pop(&c.queue)
		c.now = next.due
		next.callback()
	}
	c.now = until
}

// event is a scheduled callback.
type event struct {
	due      time.Duration
	sequence int
	callback func()
}

// eventQueue is a min-heap of events, ordered by due time and sequence.
type eventQueue []event

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	return q[i].due < q[j].due || q[i].due == q[j].due && q[i].sequence < q[j].sequence
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	popped := (*q)[last]
	*q = (*q)[:last]
	return popped
}
