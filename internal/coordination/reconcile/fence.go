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
	// reported is the token in the agent's last heartbeat.
	reported uint64
	// superseded is the highest token of a start that must not be executed any more: the agent
	// must report a higher one.
	superseded uint64
	announced  bool // the token above superseded was sent in a command request
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
func (f *fence) observe(reported uint64) {
	f.reported = reported
	f.confirmed = reported >= f.granted
}

// supersede raises the token in use above the token of a start that must not be executed any
// more, for example by a delayed copy of the command.
func (f *fence) supersede(started uint64) {
	f.raiseAbove(started)
	if started > f.superseded {
		f.superseded, f.announced = started, false
	}
}

// awaitsReport reports whether the agent must still report a token above the superseded one.
func (f *fence) awaitsReport() bool { return f.superseded > 0 && f.reported <= f.superseded }

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
