package scenario

import (
	"container/heap"
	"time"
)

// clock is virtual time: a queue of events that are carried out in the order of their
// times, and in the order in which they were scheduled where these are equal.
type clock struct {
	now       time.Duration // since the beginning of the scenario
	scheduled int           // events so far
	queue     eventQueue
}

// after schedules what to do once a delay has passed, which counts as none if negative.
func (c *clock) after(delay time.Duration, do func()) {
	c.scheduled++
	heap.Push(&c.queue, event{due: c.now + max(delay, 0), number: c.scheduled, callback: do})
}

// run carries out all events until the given time.
func (c *clock) run(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].due <= until {
		next := c.queue[0]
		heap.Pop(&c.queue)
		c.now = next.due
		next.callback()
	}
	c.now = until
}

// event is something that will happen.
type event struct {
	due      time.Duration
	number   int
	callback func()
}

// eventQueue is a heap of events, the next one first.
type eventQueue []event

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	return q[i].due < q[j].due || q[i].due == q[j].due && q[i].number < q[j].number
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
