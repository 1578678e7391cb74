package reconcile

// fence orders the commands of an agent's holders by fencing tokens: the agent refuses
// commands under a lower token than it has seen.
type fence struct {
	granted      uint64 // token of the grant
	current      uint64 // token in use: that of the grant plus steps of this holder
	highestStart uint64 // highest token under which a start was sent
	// confirmed: a heartbeat has shown the grant's token, so no command of a former holder
	// can take effect any more.
	confirmed bool
}

// newFence is the fence of an agent that is taken up under a grant.
func newFence(granted uint64) fence {
	return fence{granted: granted, current: granted, highestStart: granted - 1}
}

// regrant takes up a new grant of the agent; a lower token than that in force is ignored.
func (f *fence) regrant(granted uint64) {
	if granted <= f.granted {
		return
	}
	f.granted = granted
	f.current = max(f.current, granted)
	f.confirmed = false
}

// observe takes in the token that a heartbeat shows.
func (f *fence) observe(shown uint64) { f.confirmed = shown >= f.granted }

// raise takes the next token into use and returns it.
func (f *fence) raise() uint64 {
	f.current++
	return f.current
}

// raiseAbove takes a token into use that is higher than one under which commands were sent.
func (f *fence) raiseAbove(sent uint64) {
	if f.current <= sent {
		f.current = sent + 1
	}
}

// useForStart returns the token in use, under which a start is about to be sent.
func (f *fence) useForStart() uint64 {
	f.highestStart = f.current
	return f.current
}

// raiseAboveStarts takes a token into use that is higher than that of any start sent.
func (f *fence) raiseAboveStarts() { f.raiseAbove(f.highestStart) }
