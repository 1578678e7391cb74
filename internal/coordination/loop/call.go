package loop

import "time"

// Call is the state of a call that has at most one attempt under way and pauses before
// the next. The zero value is ready.
type Call struct {
	inFlight  bool
	notBefore time.Duration
}

// Ready reports whether an attempt may begin.
func (c *Call) Ready(now time.Duration) bool { return !c.inFlight && now >= c.notBefore }

// TryBegin begins an attempt if one may begin, and reports whether it did.
func (c *Call) TryBegin(now time.Duration) bool {
	if !c.Ready(now) {
		return false
	}
	c.inFlight = true
	return true
}

// Begin begins an attempt that was found ready.
func (c *Call) Begin() { c.inFlight = true }

// Done ends the attempt; the next may begin from the given time on.
func (c *Call) Done(notBefore time.Duration) {
	c.inFlight = false
	c.notBefore = notBefore
}

// Finish ends the attempt and leaves the time of the next as it is.
func (c *Call) Finish() { c.inFlight = false }

// RetryAt sets the time before which no attempt begins.
func (c *Call) RetryAt(notBefore time.Duration) { c.notBefore = notBefore }

// InFlight reports whether an attempt is under way.
func (c *Call) InFlight() bool { return c.inFlight }

// NotBefore is the time before which no attempt begins.
func (c *Call) NotBefore() time.Duration { return c.notBefore }

// Write is the state of a record that is written repeatedly. The next write must wait
// until the view shows the last, or it would be made with an old version. The zero value
// is ready.
type Write struct {
	Call
	revision uint64
}

// Ready reports whether a write may begin, given the revision that the view has reached.
func (w *Write) Ready(now time.Duration, viewRevision uint64) bool {
	return w.Call.Ready(now) && viewRevision >= w.revision
}

// Written ends a write that was made at a revision.
func (w *Write) Written(revision uint64) {
	w.Finish()
	w.revision = revision
}

// Revision is the revision that the view must have reached before the next write.
func (w *Write) Revision() uint64 { return w.revision }
