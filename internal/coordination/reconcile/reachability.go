package reconcile

import "time"

// reachability tells whether answers and commands reach an agent whose heartbeats arrive.
// Where the heartbeats give reason for doubt, the agent is answered under a higher token,
// the probe, which its next heartbeats must show. If they don't for long, what the agent
// runs ends with its lease, and it must not be counted on.
type reachability struct {
	probeToken   uint64 // token that heartbeats must show
	probedAt     time.Duration
	suspect      bool // the last heartbeat did not show it
	unresponsive bool // nor did others long after
}

// begin makes the grant's token the probe, once for each grant.
func (r *reachability) begin(f *fence, heldSince time.Duration) {
	if r.probeToken < f.granted {
		r.probeToken, r.probedAt = f.granted, heldSince
	}
}

// probe raises the token of an agent that is in doubt, unless a probe is under way or was
// a short time ago.
func (r *reachability) probe(f *fence, shown uint64, now, pause time.Duration) {
	if !f.confirmed || shown < r.probeToken {
		return
	}
	if r.probeToken == f.granted || now-r.probedAt > pause {
		r.probeToken, r.probedAt = f.raise(), now
	}
}

// observe takes in the token that a heartbeat shows and reports whether the agent has
// become unresponsive. Only a heartbeat that waits for its answer can show that, not one
// that answers a command. heardFor is the time since the agent's first heartbeat: it may
// have come up long after it was taken up, and has not been answered before.
func (r *reachability) observe(f *fence, shown uint64, awaitsAnswer bool, now, heardFor, patience time.Duration) (became bool) {
	r.suspect = shown < r.probeToken
	unresponsive := r.suspect && awaitsAnswer && now-r.probedAt > patience
	if unresponsive && !r.unresponsive && r.probeToken == f.granted {
		unresponsive = heardFor > patience
	}
	became = unresponsive && !r.unresponsive
	r.unresponsive = unresponsive
	return became
}
