package reconcile

import "time"

// reachability tracks whether answers and commands reach an agent whose heartbeats arrive. If
// a heartbeat suggests that they are lost, the agent is challenged: answers and commands carry
// a higher fencing token, which the agent's next heartbeats must report. An agent that has not
// reported the token after the timeout is unresponsive: its tasks end when its lease expires,
// so they must not be relied on.
type reachability struct {
	challengeToken uint64 // token that heartbeats must report
	challengedAt   time.Duration
	suspect        bool // the last heartbeat reported a lower token
	unresponsive   bool // a heartbeat after the timeout still reported a lower token
}

// ensureGrantChallenge makes the grant's token the challenge, once for each grant.
func (r *reachability) ensureGrantChallenge(f *fence, heldSince time.Duration) {
	if r.challengeToken < f.granted {
		r.challengeToken, r.challengedAt = f.granted, heldSince
	}
}

// challenge raises the agent's token, which its next heartbeats must report, unless a
// challenge is pending or the last one above the grant's token was made less than minInterval
// ago.
func (r *reachability) challenge(f *fence, reportedToken uint64, now, minInterval time.Duration) {
	if !f.confirmed || reportedToken < r.challengeToken {
		return
	}
	if r.challengeToken == f.granted || now-r.challengedAt > minInterval {
		r.challengeToken, r.challengedAt = f.raise(), now
	}
}

// observe records the token that a heartbeat reports, and returns whether the agent has become
// unresponsive. Only a heartbeat that waits for an answer can show that, not a heartbeat that
// answers a command request. The timeout of the grant's challenge also counts from the first
// heartbeat, because an agent may start long after its machine was acquired, and no controller
// has answered it before.
func (r *reachability) observe(f *fence, reportedToken uint64, awaitsAnswer bool, now, sinceFirstHeartbeat, timeout time.Duration) (becameUnresponsive bool) {
	r.suspect = reportedToken < r.challengeToken
	unresponsive := r.suspect && awaitsAnswer && now-r.challengedAt > timeout
	if unresponsive && !r.unresponsive && r.challengeToken == f.granted {
		unresponsive = sinceFirstHeartbeat > timeout
	}
	becameUnresponsive = unresponsive && !r.unresponsive
	r.unresponsive = unresponsive
	return becameUnresponsive
}
