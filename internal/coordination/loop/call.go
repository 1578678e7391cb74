package loop

import "time"

// Call is the state of a repeated call with at most one attempt in flight and a delay before
// the next attempt. The zero value is ready.
type Call struct {
	inFlight  bool
	notBefore time.Duration
}

// Ready reports whether no attempt is in flight and the delay is over.
func (c *Call) Ready(now time.Duration) bool { return !c.inFlight && now >= c.notBefore }

// TryBegin begins an attempt if the call is ready, and reports whether it was ready.
func (c *Call) TryBegin(now time.Duration) bool {
	if !c.Ready(now) {
		return false
	}
	c.inFlight = true
	return true
}

// Begin begins an attempt; the caller must have checked Ready.
func (c *Call) Begin() { c.inFlight = true }

// FinishAndDelayUntil ends the attempt and sets the time before which the next must not begin.
func (c *Call) FinishAndDelayUntil(notBefore time.Duration) {
	c.inFlight = false
	c.notBefore = notBefore
}

// Finish ends the attempt without changing the time before which the next must not begin.
func (c *Call) Finish() { c.inFlight = false }

// DelayUntil sets the time before which the next attempt must not begin.
func (c *Call) DelayUntil(notBefore time.Duration) { c.notBefore = notBefore }

// InFlight reports whether an attempt has begun and not ended.
func (c *Call) InFlight() bool { return c.inFlight }

// NotBefore returns the time before which the next attempt must not begin.
func (c *Call) NotBefore() time.Duration { return c.notBefore }

// Write is the state of a record that is written repeatedly. The next write must wait until
// the view includes the previous one; otherwise its precondition would use an outdated
// version. The zero value is ready.
type Write struct {
	Call
	revision uint64
}

// Ready reports whether a write may begin while the view is at the given revision.
func (w *Write) Ready(now time.Duration, viewRevision uint64) bool {
	return w.Call.Ready(now) && viewRevision >= w.revision
}

// Written ends a write that was committed at the given revision.
func (w *Write) Written(revision uint64) {
	w.Finish()
	w.revision = revision
}

// Revision returns the revision that the view must reach before the next write.
func (w *Write) Revision() uint64 { return w.revision }
