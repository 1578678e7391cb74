package reconcile

// fence tracks the fencing tokens that order the commands of an agent's successive holders:
// the agent rejects commands with a lower token than the highest that it has seen.
type fence struct {
	granted           uint64 // the grant's token
	current           uint64 // token in use: the grant's token plus this holder's increments
	highestStartToken uint64 // highest token with which a start was sent
	// confirmed is set once a heartbeat has reported the grant's token or a higher one:
	// commands of earlier holders can no longer take effect.
	confirmed bool
}

// newFence makes the fence of an agent that is acquired under a grant.
func newFence(granted uint64) fence {
	return fence{granted: granted, current: granted, highestStartToken: granted - 1}
}

// regrant applies a new grant; a token that is not above the current grant's is ignored.
func (f *fence) regrant(granted uint64) {
	if granted <= f.granted {
		return
	}
	f.granted = granted
	f.current = max(f.current, granted)
	f.confirmed = false
}

// observe records the token that a heartbeat reports.
func (f *fence) observe(reported uint64) { f.confirmed = reported >= f.granted }

// raise increments the token in use and returns it.
func (f *fence) raise() uint64 {
	f.current++
	return f.current
}

// raiseAbove raises the token in use above a token with which commands were sent.
func (f *fence) raiseAbove(sent uint64) {
	if f.current <= sent {
		f.current = sent + 1
	}
}

// tokenForStart returns the token in use and records that a start is sent with it.
func (f *fence) tokenForStart() uint64 {
	f.highestStartToken = f.current
	return f.current
}

// raiseAboveStarts raises the token in use above that of every start sent so far.
func (f *fence) raiseAboveStarts() { f.raiseAbove(f.highestStartToken) }
