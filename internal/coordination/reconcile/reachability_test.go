package reconcile

import (
	"testing"
	"time"
)

// TestUnresponsive: an agent is unresponsive if, after the timeout, a heartbeat that waits for
// an answer still reports a token below the challenge. For an agent that has just started, the
// timeout counts from its first heartbeat.
func TestUnresponsive(t *testing.T) {
	const timeout = 10 * time.Second
	for _, c := range []struct {
		name                     string
		reportedToken            uint64
		awaitsAnswer             bool
		now, sinceFirstHeartbeat time.Duration
		suspect, want            bool
	}{
		{"reports the token", 100, true, time.Minute, time.Minute, false, false},
		{"within the timeout", 99, true, timeout, timeout, true, false},
		{"after the timeout", 99, true, timeout + 1, timeout + 1, true, true},
		{"answers a command request", 99, false, time.Minute, time.Minute, true, false},
		{"has just started", 99, true, time.Minute, timeout, true, false},
	} {
		f := newFence(100)
		r := reachability{}
		r.ensureGrantChallenge(&f, 0)
		if became := r.observe(&f, c.reportedToken, c.awaitsAnswer, c.now, c.sinceFirstHeartbeat, timeout); became != c.want || r.unresponsive != c.want || r.suspect != c.suspect {
			t.Errorf("%s: %+v", c.name, r)
		}
	}
}

// TestChallenge: an agent whose answers seem lost is challenged with a higher token. It is not
// challenged again until it has reported that token and the minimum interval has passed.
func TestChallenge(t *testing.T) {
	const minInterval = 30 * time.Second
	f := newFence(100)
	r := reachability{}
	r.ensureGrantChallenge(&f, 0)
	for _, step := range []struct {
		name          string
		reportedToken uint64
		at            time.Duration
		want          uint64
	}{
		{"fence not confirmed", 99, time.Second, 100},
		{"answers seem lost", 100, 2 * time.Second, 101},
		{"challenge pending", 100, time.Minute, 101},
		{"reported within the interval", 101, 3 * time.Second, 101},
		{"reported after the interval", 101, 2*time.Second + minInterval + 1, 102},
	} {
		f.observe(step.reportedToken)
		r.challenge(&f, step.reportedToken, step.at, minInterval)
		if r.challengeToken != step.want || f.current != step.want {
			t.Errorf("%s: challenge %d, token %d", step.name, r.challengeToken, f.current)
		}
	}
	f.regrant(200)
	if r.ensureGrantChallenge(&f, time.Minute); r.challengeToken != 200 || r.challengedAt != time.Minute {
		t.Errorf("new grant: %+v", r)
	}
}
